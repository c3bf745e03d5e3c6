"""A host that is stopped while its disk stalls."""

import asyncio
import os
import socket
import threading
from pathlib import Path

import pytest
from kingcuplug_common import EventLog
from kingcuplug_fleet import ServerRecord, ServerState
from kingcuplug_node import Host

from .conftest import HEADER_NAMES, ROUTE_TABLE, make_settings

_RECORD = ServerRecord("i", 1, 1, "s", "127.0.0.1:2", "z", 9, ServerState.READY)
_WAIT_S = 10.0


def _find_free_address() -> str:
    with socket.create_server(("127.0.0.1", 0)) as free:
        return f"127.0.0.1:{free.getsockname()[1]}"


def _is_free(address: str) -> bool:
    host, _, port = address.rpartition(":")
    try:
        socket.create_server((host, int(port))).close()
    except OSError:
        return False
    return True


@pytest.mark.parametrize("stalls_from_start", [True, False])
def test_control_port_is_held_until_the_last_write_has_ended(
    tmp_path: Path, monkeypatch, stalls_from_start
) -> None:
    """Guards against a successor that uses the data folder beside a late write.

    The successor waits for the control port before it opens the folder.
    """
    resumed = threading.Event()
    stalled = threading.Event()
    fsync = os.fsync

    def stall(descriptor: int) -> None:
        stalled.set()
        assert resumed.wait(_WAIT_S)
        fsync(descriptor)

    async def run() -> None:
        address = _find_free_address()
        settings = make_settings(
            control_address=address,
            seeds=(address,),
            first_start=True,
            data_folder=tmp_path,
            termination_grace_ms=600,
        )
        log = EventLog(os.open(os.devnull, os.O_WRONLY), "host")
        host = Host(
            settings, HEADER_NAMES, lambda _: ROUTE_TABLE, lambda: settings, log
        )
        if stalls_from_start:
            monkeypatch.setattr(os, "fsync", stall)
        task = asyncio.ensure_future(host.run(None))
        if not stalls_from_start:
            while not (host._replica and host._replica.is_leader()):  # noqa: ASYNC110
                await asyncio.sleep(0.02)
            monkeypatch.setattr(os, "fsync", stall)
        host._fleet_view.merge_servers([_RECORD])
        assert await asyncio.to_thread(stalled.wait, _WAIT_S)
        host._stop_requested.set()
        await asyncio.sleep(1.5)
        assert not _is_free(address)
        resumed.set()
        await asyncio.wait_for(task, _WAIT_S)
        assert _is_free(address)

    try:
        asyncio.run(run())
    finally:
        resumed.set()
