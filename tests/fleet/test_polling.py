"""Tests of discovering and polling control hosts."""

import asyncio
import os
from collections.abc import Callable
from typing import Any

import pytest
from kingcuplug_common import EventLog
from kingcuplug_fleet import (
    INTRODUCE_PATH,
    ControlHostPoller,
    FleetView,
    PeerFailed,
    ServerState,
    answer_poll,
    introduce_control_hosts,
)
from kingcuplug_testkit import run_virtual

from .conftest import FakePeerClient, Handler, make_record


def _poll_handler(
    view: FleetView, connected: bool = True, address: str = ""
) -> Handler:
    async def handle(path: str, value: Any) -> Any:
        return await answer_poll(view, lambda: connected, address, value)

    return handle


def _make_poller(
    view: FleetView, client: FakePeerClient, seeds: tuple[str, ...]
) -> ControlHostPoller:
    log = EventLog(os.open(os.devnull, os.O_WRONLY), "host")
    return ControlHostPoller(
        "host", view, client, lambda: seeds, lambda: False, "self", "z", log
    )


async def _wait_until(condition: Callable[[], bool], seconds: float) -> float:
    """Wait until a condition holds, at most `seconds`; return the time waited."""
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    while not condition():
        assert loop.time() - started_at < seconds, "the condition did not hold in time"
        await asyncio.sleep(0.01)
    return loop.time() - started_at


@pytest.mark.parametrize("seed", range(8))
def test_host_fails_over_from_a_frozen_control_host_in_time(seed):
    """Guards against selecting the frozen control host repeatedly.

    A change must be in force everywhere within 3 s.
    """

    async def run() -> None:
        client, own, remote = FakePeerClient(), FleetView(5.0), FleetView(5.0)
        remote.set_control_hosts(["a", "b", "c"])
        seeds = ("a", "b", "c")
        for address in seeds:
            client.handlers[address] = _poll_handler(remote)
        poller = _make_poller(own, client, seeds)
        poller._random.seed(seed)
        task = asyncio.ensure_future(poller.run())
        await _wait_until(lambda: poller.control_host is not None, 2.0)
        client.frozen.add(poller.control_host)
        remote.update_routes(7, "{}")
        await _wait_until(lambda: own.routes_version == 7, 3.0)
        task.cancel()

    run_virtual(run())


def test_host_switches_from_a_control_host_without_a_leader():
    """Guards against polling a partitioned control host that has outdated routes."""

    async def run() -> None:
        client, own = FakePeerClient(), FleetView(5.0)
        partitioned, current = FleetView(5.0), FleetView(5.0)
        partitioned.update_routes(1, "old")
        current.update_routes(2, "new")
        client.handlers = {
            "a": _poll_handler(partitioned, connected=False),
            "b": _poll_handler(current),
        }
        poller = _make_poller(own, client, ("a", "b"))
        task = asyncio.ensure_future(poller.run())
        await _wait_until(lambda: own.routes_version == 2, 3.0)
        await _wait_until(lambda: poller.control_host == "b", 1.0)
        task.cancel()

    run_virtual(run())


def test_restarted_control_host_receives_draining_servers():
    """Guards against losing a drain when all control hosts restart at once."""

    async def run() -> None:
        client, own, first = FakePeerClient(), FleetView(5.0), FleetView(5.0)
        record = make_record(state=ServerState.DRAINING, sequence=8)
        first.merge_servers([record])
        client.handlers = {"a": _poll_handler(first)}
        task = asyncio.ensure_future(_make_poller(own, client, ("a",)).run())
        await _wait_until(lambda: own.directory.find("i-1") is not None, 2.0)
        restarted = FleetView(5.0)
        client.handlers = {"a": _poll_handler(restarted)}
        await _wait_until(lambda: restarted.directory.find("i-1") == record, 4.0)
        restarted.merge_servers([make_record(sequence=5)])
        assert restarted.directory.usable() == []
        task.cancel()

    run_virtual(run())


def test_older_routes_are_ignored():
    """Guards against a late response with older routes."""

    async def run() -> None:
        own = FleetView(5.0)
        own.update_routes(3, "three")
        own.update_routes(2, "two")
        assert (own.routes_version, own.routes_document) == (3, "three")

    run_virtual(run())


def test_host_prefers_a_control_host_in_its_availability_zone():
    """Guards against unnecessary control traffic between availability zones."""

    async def run() -> None:
        client, own, remote = FakePeerClient(), FleetView(5.0), FleetView(5.0)
        remote.set_control_hosts(["a", "b", "c"])
        remote.zones = {"a": "y", "b": "z", "c": "x"}
        client.handlers = {name: _poll_handler(remote) for name in "abc"}
        poller = _make_poller(own, client, ("a", "c"))
        task = asyncio.ensure_future(poller.run())
        await _wait_until(lambda: poller.control_host == "b", 2.0)
        client.frozen.add("b")
        await _wait_until(lambda: poller.control_host in ("a", "c"), 3.0)
        task.cancel()

    run_virtual(run())


def test_host_finds_control_hosts_that_its_seeds_have_forgotten():
    """Guards against hosts that stay without routes after a power loss of all.

    The seeds were replaced by hosts without a disk before; only the control host
    knows its own address and these seeds.
    """

    async def run() -> None:
        client, control = FakePeerClient(), FleetView(5.0)
        control.update_routes(6, "six")
        control.set_control_hosts(["core"])
        seeds = ("d1", "d2")
        pollers, views = {}, {}
        for name in ("d1", "d2", "other"):
            view = views[name] = FleetView(5.0)
            pollers[name] = _make_poller(view, client, seeds)
            pollers[name]._own_address = name

            async def answer(path: str, value: Any, name: str = name) -> Any:
                if path == INTRODUCE_PATH:
                    pollers[name].suggest_control_hosts(value)
                    return {}
                return await answer_poll(views[name], lambda: False, name, value)

            client.handlers[name] = answer
        client.handlers["core"] = _poll_handler(control, address="core")
        work = [poller.run() for poller in pollers.values()]
        work.append(
            introduce_control_hosts(
                control, client, lambda: seeds, lambda: False, "core"
            )
        )
        tasks = [asyncio.ensure_future(coroutine) for coroutine in work]
        await _wait_until(
            lambda: all(view.routes_version == 6 for view in views.values()), 2.0
        )
        for task in tasks:
            task.cancel()

    run_virtual(run())


def test_host_without_routes_finds_a_control_host_soon_after_it_has_started():
    """Guards against callers that are refused while a started host backs off.

    All hosts have lost power, and the control hosts start last.
    """

    async def run() -> float:
        client, own, remote = FakePeerClient(), FleetView(5.0), FleetView(5.0)
        remote.update_routes(4, "four")

        async def refuse(path: str, value: Any) -> Any:
            raise PeerFailed("connection refused", "try another host")

        seeds = ("a", "b", "c")
        client.handlers = dict.fromkeys(seeds, refuse)
        task = asyncio.ensure_future(_make_poller(own, client, seeds).run())
        await asyncio.sleep(1.5)
        assert own.routes_version == 0
        client.handlers["b"] = _poll_handler(remote, connected=False, address="b")
        waited_s = await _wait_until(lambda: own.routes_version == 4, 2.0)
        task.cancel()
        return waited_s

    assert run_virtual(run()) < 0.25


def test_host_leaves_the_only_control_host_of_its_zone_when_that_has_no_leader():
    """Guards against a host that is redirected again and again to the same host.

    The disk of the control host in its zone is full or stalls. That host still
    exchanges records with the others, so they take it for a working one.
    """

    async def run() -> None:
        client, own = FakePeerClient(), FleetView(5.0)
        near, others = FleetView(5.0), FleetView(5.0)
        for view in (near, others):
            view.set_control_hosts(["a", "b", "c"])
            view.zones = {"a": "y", "b": "z", "c": "x"}
            view.set_reachable_control_hosts(("a", "b", "c"))
            view.update_routes(1, "old")
        client.handlers = {name: _poll_handler(others, address=name) for name in "ac"}
        client.handlers["b"] = _poll_handler(near, address="b")
        poller = _make_poller(own, client, ("a", "c"))
        task = asyncio.ensure_future(poller.run())
        await _wait_until(lambda: poller.control_host == "b", 2.0)
        client.handlers["b"] = _poll_handler(near, connected=False, address="b")
        for version in range(2, 8):
            others.update_routes(version, "new")
            await _wait_until(
                lambda version=version: own.routes_version == version, 3.0
            )
            await asyncio.sleep(2.0)
        client.handlers["b"] = _poll_handler(others, address="b")
        await _wait_until(lambda: poller.control_host == "b", 6.0)
        task.cancel()

    run_virtual(run())


def test_control_host_without_a_leader_learns_routes_from_another_zone():
    """Guards against a control host that the others redirect to itself.

    Its own disk is full, so it must poll like a host without a disk.
    """

    async def run() -> None:
        client, own, others = FakePeerClient(), FleetView(5.0), FleetView(5.0)
        for view in (own, others):
            view.set_control_hosts(["a", "self", "c"])
            view.zones = {"a": "y", "self": "z", "c": "x"}
            view.set_reachable_control_hosts(("a", "c", "self"))
            view.update_routes(1, "old")
        client.handlers = {name: _poll_handler(others, address=name) for name in "ac"}
        task = asyncio.ensure_future(_make_poller(own, client, ("a", "c")).run())
        others.update_routes(2, "new")
        await _wait_until(lambda: own.routes_version == 2, 3.0)
        task.cancel()

    run_virtual(run())


def test_demand_for_limited_servers_reaches_a_host_and_is_unknown_without_control():
    """Guards against shares of a limit by totals that are long out of date."""

    async def run() -> None:
        client, own, remote = FakePeerClient(), FleetView(5.0), FleetView(5.0)
        remote.set_control_hosts(["a"])
        client.handlers["a"] = _poll_handler(remote)
        task = asyncio.ensure_future(_make_poller(own, client, ("a",)).run())
        await asyncio.sleep(0.5)
        remote.set_demand({"s": 40})
        await _wait_until(lambda: own.demand == {"s": 40}, 1.0)
        remote.set_demand({})
        await _wait_until(lambda: own.demand == {}, 1.0)
        remote.set_demand({"s": 50})
        await _wait_until(lambda: own.demand == {"s": 50}, 1.0)
        client.frozen.add("a")
        await _wait_until(lambda: own.demand == {}, 6.0)
        task.cancel()

    run_virtual(run())
