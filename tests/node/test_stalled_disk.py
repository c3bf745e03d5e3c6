"""A host that starts or is stopped while its disk stalls."""

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


def _make_host(
    data_folder: Path, control_address: str, ready_address: str = "127.0.0.1:0"
) -> Host:
    settings = make_settings(
        control_address=control_address,
        ready_address=ready_address,
        seeds=(control_address,),
        first_start=True,
        data_folder=data_folder,
        termination_grace_ms=600,
    )
    log = EventLog(os.open(os.devnull, os.O_WRONLY), "host")
    return Host(settings, HEADER_NAMES, lambda _: ROUTE_TABLE, lambda: settings, log)


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
        host = _make_host(tmp_path, address)
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


@pytest.mark.parametrize("name", ["servers.json", "routes.json"])
def test_host_answers_while_a_saved_file_cannot_be_read(
    tmp_path: Path, monkeypatch, name
) -> None:
    """Guards against callers and control that a stalled disk keeps waiting at a start.

    Nothing may be written to the folder before its files are loaded.
    """
    resumed, stalled = threading.Event(), threading.Event()
    read_bytes = Path.read_bytes
    routes = b'{"version": 1, "document": "one"}'
    (tmp_path / "routes.json").write_bytes(routes)

    def stall(path: Path) -> bytes:
        if path.name == name:
            stalled.set()
            resumed.wait(_WAIT_S)
        return read_bytes(path)

    async def run() -> None:
        address, ready_address = _find_free_address(), _find_free_address()
        host = _make_host(tmp_path, address, ready_address)
        monkeypatch.setattr(Path, "read_bytes", stall)
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        task = asyncio.ensure_future(host.run(None))
        assert await asyncio.to_thread(stalled.wait, _WAIT_S)
        assert loop.time() - started_at < _WAIT_S / 2
        host._fleet_view.merge_servers([_RECORD])
        probe_host, _, port = ready_address.rpartition(":")
        async with asyncio.timeout(_WAIT_S / 4):
            reader, writer = await asyncio.open_connection(probe_host, int(port))
            writer.write(b"GET /ready HTTP/1.1\r\nHost: a\r\n\r\n")
            assert (await reader.read(1_000)).startswith(b"HTTP/1.1 503")
            writer.close()
        await asyncio.sleep(0.5)
        assert await asyncio.to_thread(os.listdir, tmp_path) == ["routes.json"]
        assert not resumed.is_set()
        resumed.set()
        async with asyncio.timeout(_WAIT_S):
            while host._fleet_view.routes_version != 1:  # noqa: ASYNC110
                await asyncio.sleep(0.02)
        host._stop_requested.set()
        await asyncio.wait_for(task, _WAIT_S)

    try:
        asyncio.run(run())
    finally:
        resumed.set()
