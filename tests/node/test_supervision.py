"""Background tasks that raise unexpected exceptions."""

import asyncio
import os

import pytest
from kingcuplug_common import EventLog
from kingcuplug_gateway import RouteTable
from kingcuplug_node import Host
from kingcuplug_testkit import run_virtual

from .conftest import HEADER_NAMES, ROUTE_TABLE, make_settings


def _make_host(decode_routes) -> Host:
    settings = make_settings()
    log = EventLog(os.open(os.devnull, os.O_WRONLY), "host")
    return Host(settings, HEADER_NAMES, decode_routes, lambda: settings, log)


def test_failed_background_task_is_started_again():
    """Guards against a process that stops because of one unexpected error."""

    async def run() -> tuple[int, bool]:
        host = _make_host(lambda text: ROUTE_TABLE)
        runs = 0

        async def fail_three_times() -> None:
            nonlocal runs
            runs += 1
            if runs <= 3:
                raise RuntimeError("unexpected")

        await asyncio.wait_for(host._supervise(fail_three_times), timeout=30)
        return runs, host._stop_requested.is_set()

    assert run_virtual(run()) == (4, False)


def test_persistent_fault_of_a_task_does_not_occupy_the_processor():
    """Guards against a task that fails at once and is restarted in a busy loop."""

    async def run() -> int:
        host = _make_host(lambda text: ROUTE_TABLE)
        runs = 0

        async def fail() -> None:
            nonlocal runs
            runs += 1
            raise RuntimeError("unexpected")

        task = asyncio.ensure_future(host._supervise(fail))
        await asyncio.sleep(60.0)
        task.cancel()
        return runs

    assert 10 <= run_virtual(run()) <= 25


@pytest.mark.parametrize("error", [ValueError("unknown field"), RuntimeError("bug")])
def test_undecodable_routes_leave_the_routes_in_force(error):
    """Guards against a document that stops every host to which it is replicated."""

    def decode(text: str) -> RouteTable:
        if text == "poison":
            raise error
        return RouteTable(int(text), (), {}, 8_192, 65_536, 3_000, 15_000)

    async def run() -> list[int]:
        host = _make_host(decode)
        task = asyncio.ensure_future(host._supervise(host._apply_changes))
        versions = []
        for version, document in ((1, "1"), (2, "poison"), (3, "3")):
            host._fleet_view.update_routes(version, document)
            await asyncio.sleep(1.0)
            assert host._gateway.table is not None
            versions.append(host._gateway.table.version)
        task.cancel()
        return versions

    assert run_virtual(run()) == [1, 1, 3]
