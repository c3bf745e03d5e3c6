"""Tests of saving committed routes, and of using them before there is a leader."""

import asyncio
import errno
import os
import threading
from pathlib import Path

import pytest
from kingcuplug_common import EventLog
from kingcuplug_fleet import (
    ControlHostPoller,
    DirectoryFile,
    FleetView,
    RouteRegister,
    RoutesFile,
    ServerState,
    answer_poll,
)
from kingcuplug_fleet._durable_file import replace_file
from kingcuplug_testkit import run_virtual

from .conftest import FakePeerClient, make_record


@pytest.fixture
def log():
    descriptor = os.open(os.devnull, os.O_WRONLY)
    yield EventLog(descriptor, "host")
    os.close(descriptor)


def _open_file(folder, log) -> tuple[RoutesFile, RouteRegister]:
    register = RouteRegister(lambda: file.on_register_changed())
    file = RoutesFile(folder, register, log)
    return file, register


async def _wait_for_version(folder, log, version: int) -> None:
    async with asyncio.timeout(5):
        while True:
            file = RoutesFile(folder, RouteRegister(lambda: None), log)
            saved = await file.load()
            if saved is not None and saved[0] == version:
                return
            await asyncio.sleep(0.005)


def test_applied_document_is_restored_after_a_restart(tmp_path, log):
    """Guards against hosts that refuse callers until a leader is elected."""

    async def run() -> None:
        file, register = _open_file(tmp_path, log)
        task = asyncio.ensure_future(file.run())
        register.apply(1, {"version": 3, "document": "three"})
        await _wait_for_version(tmp_path, log, 3)
        task.cancel()

    asyncio.run(run())
    assert asyncio.run(_open_file(tmp_path, log)[0].load()) == (3, "three")


def test_replay_of_the_log_does_not_replace_a_newer_saved_document(tmp_path, log):
    """Guards against a second power loss that reverts the routes."""

    async def run() -> None:
        (tmp_path / "routes.json").write_text('{"version": 9, "document": "nine"}')
        file, register = _open_file(tmp_path, log)
        assert await file.load() == (9, "nine")
        task = asyncio.ensure_future(file.run())
        for version in (1, 5, 9):
            register.apply(version, {"version": version, "document": str(version)})
            await asyncio.sleep(0.02)
            assert await _open_file(tmp_path, log)[0].load() == (9, "nine")
        register.apply(10, {"version": 10, "document": "ten"})
        await _wait_for_version(tmp_path, log, 10)
        task.cancel()

    asyncio.run(run())


@pytest.mark.parametrize(
    "data", [b"", b"[]", b"{}", b'{"version": "9", "document": "x"}', b"\x00\xff"]
)
def test_corrupt_routes_file_is_ignored(tmp_path, log, data):
    """Guards against a host that does not start after a power loss."""
    (tmp_path / "routes.json").write_bytes(data)
    assert asyncio.run(_open_file(tmp_path, log)[0].load()) is None


def test_saved_document_outlives_a_start_without_free_descriptors(
    tmp_path, log, monkeypatch
):
    """Guards against an old document that replaces the saved one, which was not read.

    The caller of `load` tries again before anything is written.
    """
    (tmp_path / "routes.json").write_text('{"version": 9, "document": "nine"}')

    def fail(path):
        raise OSError(errno.EMFILE, os.strerror(errno.EMFILE))

    file = _open_file(tmp_path, log)[0]
    with monkeypatch.context() as patch:
        patch.setattr(Path, "read_bytes", fail)
        with pytest.raises(OSError, match="Too many open files"):
            asyncio.run(file.load())
    assert asyncio.run(file.load()) == (9, "nine")


def test_full_disk_does_not_end_the_task(tmp_path, log):
    """Guards against routes that are never saved again after the disk was full."""

    async def run() -> None:
        folder = tmp_path / "data"
        folder.write_text("a file in place of the folder")
        file, register = _open_file(folder, log)
        task = asyncio.ensure_future(file.run())
        register.apply(1, {"version": 1, "document": "one"})
        await asyncio.sleep(0.05)
        assert not task.done()
        task.cancel()

    asyncio.run(run())


def test_started_host_takes_routes_and_fleet_from_a_control_host_without_leader():
    """Guards against hosts without a disk that wait for an election.

    All hosts have lost power; the control hosts have loaded their files.
    """

    async def run() -> None:
        client, own, restarted = FakePeerClient(), FleetView(5.0), FleetView(5.0)
        restarted.update_routes(4, "four")
        restarted.merge_servers([make_record()])
        restarted.assume_host_count(7)
        restarted.zones = {"a": "y", "b": "z"}
        restarted.set_control_hosts(["a", "b"])
        restarted.set_reachable_control_hosts(("a", "b"))

        async def answer(path, value):
            return await answer_poll(restarted, lambda: False, "b", value)

        client.handlers = {"a": answer, "b": answer}
        log = EventLog(os.open(os.devnull, os.O_WRONLY), "host")
        poller = ControlHostPoller(
            "host", own, client, lambda: ("a", "b"), lambda: False, "self", "z", log
        )
        task = asyncio.ensure_future(poller.run())
        await asyncio.sleep(0.3)
        assert own.routes_version == 4
        assert [r.id for r in own.directory.usable()] == ["i-1"]
        assert own.host_count == 7
        assert own.reachable_control_hosts == ("a", "b")
        assert poller.control_host is None
        task.cancel()

    run_virtual(run())


def test_host_never_takes_older_routes_than_it_holds():
    """Guards against routes that revert when a restarted control host answers."""

    async def run() -> None:
        client, own = FakePeerClient(), FleetView(5.0)
        views = {}
        for name, version in (("a", 3), ("b", 5), ("c", 4)):
            views[name] = FleetView(5.0)
            views[name].update_routes(version, str(version))

            async def answer(path, value, name=name):
                return await answer_poll(views[name], lambda: False, name, value)

            client.handlers[name] = answer
        log = EventLog(os.open(os.devnull, os.O_WRONLY), "host")
        poller = ControlHostPoller(
            "host",
            own,
            client,
            lambda: ("a", "b", "c"),
            lambda: False,
            "self",
            "z",
            log,
        )
        seen = []
        own.changed.notify()
        task = asyncio.ensure_future(poller.run())
        for _ in range(300):
            await asyncio.sleep(0.01)
            seen.append(own.routes_version)
        assert seen == sorted(seen)
        assert seen[-1] == 5
        task.cancel()

    run_virtual(run())


def test_departure_is_on_the_disk_before_it_is_acknowledged(tmp_path, log):
    """Guards against a server that has left and is used again after a power loss."""

    async def run() -> bool:
        view = FleetView(5.0)
        file = DirectoryFile(tmp_path, view, log)
        task = asyncio.ensure_future(file.run())
        view.merge_servers([make_record()])
        await file.wait_saved(2.0)
        view.merge_servers([make_record(sequence=2, state=ServerState.DRAINING)])
        saved = await file.wait_saved(2.0)
        task.cancel()
        return saved

    assert asyncio.run(run())

    async def restart() -> list[str]:
        view = FleetView(5.0)
        await DirectoryFile(tmp_path, view, log).load()
        return [record.id for record in view.directory.usable()]

    assert asyncio.run(restart()) == []


def test_departure_does_not_wait_for_the_write_interval(tmp_path, log, monkeypatch):
    """Guards against a power loss between a departure and its delayed write."""
    module = "kingcuplug_fleet._directory_file._WRITE_INTERVAL_S"
    monkeypatch.setattr(module, 3_600.0)

    async def run() -> list[bool]:
        view = FleetView(5.0)
        file = DirectoryFile(tmp_path, view, log)
        task = asyncio.ensure_future(file.run())
        results = []
        for sequence, state in ((1, ServerState.READY), (2, ServerState.ENDED)):
            view.merge_servers([make_record(sequence=sequence, state=state)])
            results.append(await file.wait_saved(5.0))
        task.cancel()
        return results

    assert asyncio.run(run()) == [True, True]


def test_stalled_disk_does_not_hold_the_acknowledgement(tmp_path, log, monkeypatch):
    """Guards against a leaving server that gets no answer while a disk stalls."""

    def stall(path, data):
        raise OSError("no space left on device")

    monkeypatch.setattr("kingcuplug_fleet._directory_file.replace_file", stall)

    async def run() -> bool:
        view = FleetView(5.0)
        file = DirectoryFile(tmp_path, view, log)
        task = asyncio.ensure_future(file.run())
        view.merge_servers([make_record(state=ServerState.ENDED)])
        async with asyncio.timeout(2.0):
            saved = await file.wait_saved(0.05)
        task.cancel()
        return saved

    assert not asyncio.run(run())


def _run_routes_file(folder, log) -> asyncio.Task[None]:
    file, register = _open_file(folder, log)
    task = asyncio.ensure_future(file.run())
    register.apply(1, {"version": 3, "document": "three"})
    return task


def _run_directory_file(folder, log) -> asyncio.Task[None]:
    view = FleetView(5.0)
    task = asyncio.ensure_future(DirectoryFile(folder, view, log).run())
    view.merge_servers([make_record()])
    return task


@pytest.mark.parametrize("run_file", [_run_routes_file, _run_directory_file])
def test_cancelled_task_ends_after_its_write(tmp_path, log, monkeypatch, run_file):
    """Guards against a late write beside one of the task that follows.

    Both would write to the same temporary file.
    """
    stalled, resumed = threading.Event(), threading.Event()

    def stall(descriptor):
        stalled.set()
        assert resumed.wait(5)

    monkeypatch.setattr(os, "fsync", stall)

    async def run() -> None:
        task = run_file(tmp_path, log)
        assert await asyncio.to_thread(stalled.wait, 5)
        task.cancel()
        await asyncio.wait([task], timeout=0.1)
        assert not task.done()
        assert not list(tmp_path.glob("*.json"))
        resumed.set()
        await asyncio.wait([task], timeout=5)
        assert task.cancelled()
        assert len(list(tmp_path.glob("*.json"))) == 1

    try:
        asyncio.run(run())
    finally:
        resumed.set()


@pytest.mark.parametrize("call", ["fsync", "replace"])
def test_failed_replacement_takes_no_space(tmp_path, monkeypatch, call):
    """Guards against a full disk that stays full with an unfinished file."""

    def refuse(*args):
        raise OSError(errno.ENOSPC, "no space left on device")

    path = tmp_path / "routes.json"
    path.write_bytes(b"old")
    owner = os if call == "fsync" else Path
    monkeypatch.setattr(owner, call, refuse)
    with pytest.raises(OSError, match="no space"):
        replace_file(path, b"new")
    assert [p.name for p in tmp_path.iterdir()] == ["routes.json"]
    assert path.read_bytes() == b"old"
