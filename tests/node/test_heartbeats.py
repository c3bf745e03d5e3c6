"""Heartbeats that a host does not accept."""

import asyncio
import os
import time

import pytest
from kingcuplug_common import EventLog
from kingcuplug_fleet import ServerRecord, ServerState
from kingcuplug_node import Elsewhere, Host, RecordImplausible

from .conftest import HEADER_NAMES, ROUTE_TABLE, make_settings


def _record(start_ms: int) -> ServerRecord:
    return ServerRecord(
        "i-1", start_ms, 1, "stock", "10.0.0.1:80", "z", 3, ServerState.READY
    )


def test_server_from_the_future_is_rejected():
    """Guards against an odd entry that takes another server's address for good."""

    async def run() -> None:
        settings = make_settings()
        log = EventLog(os.open(os.devnull, os.O_WRONLY), "host")
        host = Host(
            settings, HEADER_NAMES, lambda text: ROUTE_TABLE, lambda: settings, log
        )
        host._poller.control_host = "127.0.0.1:1"
        now_ms = int(time.time() * 1_000)
        with pytest.raises(RecordImplausible):
            await host.receive_heartbeat(_record(now_ms + 10 * 86_400_000))
        # A clock that is ahead by seconds is no reason; control hosts take the record.
        with pytest.raises(Elsewhere):
            await host.receive_heartbeat(_record(now_ms + 60_000))

    asyncio.run(run())
