"""Heartbeats that a host does not accept."""

import asyncio
import os
import time
from pathlib import Path

import orjson
import pytest
from kingcuplug_common import EventLog
from kingcuplug_fleet import ServerRecord, ServerState
from kingcuplug_node import Elsewhere, Host, RecordImplausible

from .conftest import HEADER_NAMES, ROUTE_TABLE, make_settings


def _record(start_ms: int) -> ServerRecord:
    return ServerRecord(
        "i-1", start_ms, 1, "stock", "10.0.0.1:80", "z", 3, ServerState.READY
    )


def _make_host(output: Path) -> Host:
    settings = make_settings()
    log = EventLog(os.open(output, os.O_WRONLY | os.O_CREAT), "host")
    return Host(settings, HEADER_NAMES, lambda _: ROUTE_TABLE, lambda: settings, log)


def test_server_from_the_future_is_rejected():
    """Guards against an odd entry that takes another server's address for good."""

    async def run() -> None:
        host = _make_host(Path(os.devnull))
        host._poller.control_host = "127.0.0.1:1"
        now_ms = int(time.time() * 1_000)
        with pytest.raises(RecordImplausible):
            await host.receive_heartbeat(_record(now_ms + 10 * 86_400_000))
        # A clock that is ahead by seconds is no reason; control hosts take the record.
        with pytest.raises(Elsewhere):
            await host.receive_heartbeat(_record(now_ms + 60_000))

    asyncio.run(run())


def test_heartbeats_are_accepted_after_the_clock_was_set_back(monkeypatch):
    """Guards against a host that rejects all servers because its clock jumps."""

    async def run() -> None:
        host = _make_host(Path(os.devnull))
        host._poller.control_host = "127.0.0.1:1"
        true_time = time.time
        for ahead_s in (-3.0, -10 * 86_400.0, 0.0, -time.time()):
            monkeypatch.setattr(time, "time", lambda s=ahead_s: true_time() + s)
            now_ms = int(true_time() * 1_000)
            with pytest.raises(Elsewhere):
                await host.receive_heartbeat(_record(now_ms))
            with pytest.raises(RecordImplausible):
                await host.receive_heartbeat(_record(now_ms + 10 * 86_400_000))

    asyncio.run(run())


def test_rejected_heartbeat_is_logged(tmp_path):
    """Guards against a host without servers, by a wrong clock, that shows no cause."""
    output = tmp_path / "log"

    async def run() -> None:
        host = _make_host(output)
        start_ms = int(time.time() * 1_000) + 10 * 86_400_000
        with pytest.raises(RecordImplausible):
            await host.receive_heartbeat(_record(start_ms))
        host._log.flush()
        line = orjson.loads(output.read_bytes())
        assert line["event"] == "server_implausible"
        assert (line["server"], line["born_ms"]) == ("i-1", start_ms)
        assert abs(line["clock_ms"] - time.time() * 1_000) < 60_000

    asyncio.run(run())
