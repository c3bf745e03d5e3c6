"""Descriptors of the data folder while worker threads write to them."""

import asyncio
import os
import socket
import threading
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any

import pytest
from kingcuplug_log import CorruptLog, DiskFileSystem, Storage
from kingcuplug_log._snapshot import Snapshot
from kingcuplug_log._types import Entry, EntryKind

_WAIT_S = 5.0


class _StalledDisk:
    """Holds each write back until `resume`."""

    def __init__(self) -> None:
        self.reached = threading.Event()
        self._resumed = threading.Event()
        self._write = os.write

    def write(self, descriptor: int, data: bytes) -> int:
        self.reached.set()
        assert self._resumed.wait(_WAIT_S)
        return self._write(descriptor, data)

    async def wait_reached(self) -> None:
        assert await asyncio.to_thread(self.reached.wait, _WAIT_S)

    def resume(self) -> None:
        self._resumed.set()


@pytest.fixture
def stalled_disk(monkeypatch) -> Iterator[_StalledDisk]:
    disk = _StalledDisk()
    with monkeypatch.context() as patch:
        patch.setattr(os, "write", disk.write)
        yield disk
        disk.resume()


def _open_socket_pairs() -> list[tuple[socket.socket, socket.socket]]:
    """Open sockets, which take the lowest free descriptor numbers."""
    pairs = [socket.socketpair() for _ in range(4)]
    for pair in pairs:
        for end in pair:
            end.setblocking(False)
    return pairs


def _received(pairs: list[tuple[socket.socket, socket.socket]]) -> bytes:
    received = b""
    for pair in pairs:
        for end in pair:
            try:
                received += end.recv(65_536)
            except BlockingIOError:
                continue
    for pair in pairs:
        for end in pair:
            end.close()
    return received


def test_stalled_write_of_a_closed_file_does_not_reach_a_socket(
    tmp_path: Path, stalled_disk: _StalledDisk
) -> None:
    # Guards against log bytes in a caller's connection that took the file's number.
    async def main() -> bytes:
        files = DiskFileSystem(tmp_path)
        handle = await files.open_append("log")
        files.write(handle, b"record")
        sync = asyncio.ensure_future(files.sync(handle))
        await stalled_disk.wait_reached()
        sync.cancel()
        await asyncio.sleep(0)
        files.close(handle)
        pairs = _open_socket_pairs()
        stalled_disk.resume()
        await asyncio.gather(sync, return_exceptions=True)
        await asyncio.get_running_loop().shutdown_default_executor()
        return _received(pairs)

    assert asyncio.run(main()) == b""


def test_cancelled_opening_of_a_folder_does_not_write_to_a_socket(
    tmp_path: Path, stalled_disk: _StalledDisk
) -> None:
    # Guards against the same when a host is stopped while its disk stalls.
    async def main() -> bytes:
        opening = asyncio.ensure_future(Storage(DiskFileSystem(tmp_path)).open())
        await stalled_disk.wait_reached()
        opening.cancel()
        for _ in range(3):
            await asyncio.sleep(0)
        pairs = _open_socket_pairs()
        stalled_disk.resume()
        await asyncio.gather(opening, return_exceptions=True)
        await asyncio.get_running_loop().shutdown_default_executor()
        return _received(pairs)

    assert asyncio.run(main()) == b""


def test_queued_write_of_a_closed_file_does_not_reach_a_socket(tmp_path: Path) -> None:
    # Guards against a worker thread that starts after the number has a new owner.
    async def main() -> bytes:
        loop, resumed = asyncio.get_running_loop(), threading.Event()
        files = DiskFileSystem(tmp_path)
        handle = await files.open_append("log")
        files.write(handle, b"record")
        loop.set_default_executor(ThreadPoolExecutor(1))
        occupied = loop.run_in_executor(None, resumed.wait, _WAIT_S)
        sync = asyncio.ensure_future(files.sync(handle))
        await asyncio.sleep(0)
        files.close(handle)
        pairs = _open_socket_pairs()
        resumed.set()
        with pytest.raises(OSError, match="closed"):
            await sync
        await occupied
        return _received(pairs)

    assert asyncio.run(main()) == b""
    assert (tmp_path / "log").read_bytes() == b""


def _count_descriptors() -> int:
    return len(list(Path("/proc/self/fd").iterdir()))


def test_no_descriptor_stays_open(tmp_path: Path) -> None:
    # Guards against a file that is left open because a thread used it at its close.
    async def main() -> None:
        files = DiskFileSystem(tmp_path)
        for _ in range(20):
            handle = await files.open_append("log")
            files.write(handle, b"record")
            sync = asyncio.ensure_future(files.sync(handle))
            await asyncio.sleep(0)
            files.close(handle)
            await asyncio.gather(sync, return_exceptions=True)

    before = _count_descriptors()
    asyncio.run(main())
    assert _count_descriptors() == before


def test_failed_opening_of_a_folder_leaves_no_descriptor_open(tmp_path: Path) -> None:
    # Guards against a host whose replica tries again and again until the process has
    # no descriptor left for callers.
    async def create_compacted_log() -> None:
        storage = Storage(DiskFileSystem(tmp_path))
        await storage.open()
        storage.stage([Entry(i, 1, EntryKind.NOOP, None) for i in range(1, 6)])
        await storage.flush()
        await storage.save_snapshot(Snapshot(4, 1, "test", (), {}), retained=1)
        await storage.close()

    async def open_repeatedly() -> None:
        for _ in range(10):
            with pytest.raises(CorruptLog):
                await Storage(DiskFileSystem(tmp_path)).open()

    asyncio.run(create_compacted_log())
    (tmp_path / "snapshot").unlink()
    before = _count_descriptors()
    asyncio.run(open_repeatedly())
    assert _count_descriptors() == before


def test_no_operation_of_the_disk_runs_in_the_event_loop(
    tmp_path: Path, monkeypatch
) -> None:
    # Guards against callers that get no answer while a disk stalls in any operation.
    threads: dict[str, set[int]] = {}

    def record_threads(owner: object, name: str) -> None:
        original = getattr(owner, name)

        def recorded(*args: Any, **options: Any) -> Any:
            threads.setdefault(name, set()).add(threading.get_ident())
            return original(*args, **options)

        monkeypatch.setattr(owner, name, recorded)

    def leave_unfinished_writes() -> None:
        with (tmp_path / "log").open("ab") as log:
            log.write(b"torn")
        (tmp_path / "state.new").touch()

    async def use_all_operations() -> None:
        storage = Storage(DiskFileSystem(tmp_path))
        await storage.open()
        storage.set_term_and_vote(1, "a")
        await storage.persist_term_and_vote()
        storage.stage([Entry(i, 1, EntryKind.NOOP, None) for i in range(1, 6)])
        await storage.flush()
        await storage.save_snapshot(Snapshot(4, 1, "test", (), {}), retained=1)
        await storage.read_snapshot()
        await storage.close()
        await asyncio.to_thread(leave_unfinished_writes)
        reopened = Storage(DiskFileSystem(tmp_path))
        await reopened.open()
        await reopened.close()

    for name in ("open", "write", "fsync", "replace", "unlink"):
        record_threads(os, name)
    for name in ("iterdir", "read_bytes"):
        record_threads(Path, name)
    asyncio.run(use_all_operations())
    assert len(threads) == 7
    in_event_loop = {n for n, ids in threads.items() if threading.get_ident() in ids}
    assert in_event_loop == set()
