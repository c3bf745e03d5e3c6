"""Tests of saving and loading the server directory."""

import asyncio
import os

import pytest
from kingcuplug_common import EventLog
from kingcuplug_fleet import DirectoryFile, FleetView, ServerState

from .conftest import make_record


@pytest.fixture
def log():
    descriptor = os.open(os.devnull, os.O_WRONLY)
    yield EventLog(descriptor, "host")
    os.close(descriptor)


def _restart(folder, log) -> FleetView:
    async def run() -> FleetView:
        view = FleetView(5.0)
        await DirectoryFile(folder, view, log).load()
        return view

    return asyncio.run(run())


def test_servers_and_drains_are_restored_after_a_restart(tmp_path, log):
    """Guards against refusing callers for a heartbeat interval, and lost drains."""

    async def run() -> None:
        view = FleetView(5.0)
        task = asyncio.ensure_future(DirectoryFile(tmp_path, view, log).run())
        view.merge_servers(
            [
                make_record(id="a", address="x:1"),
                make_record(id="b", address="y:1", state=ServerState.DRAINING),
            ]
        )
        async with asyncio.timeout(5):
            while not (tmp_path / "servers.json").exists():  # noqa: ASYNC110
                await asyncio.sleep(0.01)
        task.cancel()

    asyncio.run(run())
    directory = _restart(tmp_path, log).directory
    assert [record.id for record in directory.usable()] == ["a"]
    assert directory.find("b").state is ServerState.DRAINING


@pytest.mark.parametrize(
    "data", [b"", b"[]", b"{}", b'{"servers": [[1]], "hosts": 1}', b"\x00\xff"]
)
def test_corrupt_file_is_ignored(tmp_path, log, data):
    """Guards against a host that does not start after a power loss."""
    (tmp_path / "servers.json").write_bytes(data)
    assert _restart(tmp_path, log).directory.usable() == []


def test_newer_record_replaces_the_one_from_the_file(tmp_path, log):
    """Guards against using the old record of a server that has since restarted."""
    (tmp_path / "servers.json").write_text(
        '{"servers": [["i-1", 1000, 9, "stock", "10.0.0.1:80", "z", 3, "ready", 0]],'
        '"hosts": 7}'
    )
    view = _restart(tmp_path, log)
    assert view.host_count == 7
    newer = make_record(start_ms=2_000, sequence=1, service="trims")
    assert view.directory.merge(newer, 1.0)
    assert [record.service for record in view.directory.usable()] == ["trims"]
