"""How a host finds control hosts and follows what they know."""

import asyncio
import os
from collections.abc import Callable
from typing import Any

import pytest
from kingcuplug_common import EventLog
from kingcuplug_fleet import (
    Knowledge,
    Learner,
    ServerState,
    teach,
)
from kingcuplug_testkit import run_virtual

from .conftest import Answer, FakePeers, make_record


def _teacher(knowledge: Knowledge, connected: bool = True, address: str = "") -> Answer:
    async def answer(path: str, value: Any) -> Any:
        return await teach(knowledge, lambda: connected, address, value)

    return answer


def _learner(knowledge: Knowledge, peers: FakePeers, seeds: tuple[str, ...]) -> Learner:
    log = EventLog(os.open(os.devnull, os.O_WRONLY), "host")
    return Learner(
        "host", knowledge, peers, lambda: seeds, lambda: False, "self", "z", log
    )


async def _until(condition: Callable[[], bool], seconds: float) -> float:
    """Return after how long the condition holds, failing after `seconds`."""
    loop = asyncio.get_running_loop()
    begun_at = loop.time()
    while not condition():
        assert loop.time() - begun_at < seconds, "the host did not learn in time"
        await asyncio.sleep(0.01)
    return loop.time() - begun_at


@pytest.mark.parametrize("seed", range(8))
def test_host_whose_control_host_freezes_learns_in_time(seed):
    """Guards against choosing the frozen control host again and again.

    A change must be in force everywhere within 3 s.
    """

    async def run() -> None:
        peers, own, taught = FakePeers(), Knowledge(5.0), Knowledge(5.0)
        taught.learn_control(["a", "b", "c"])
        seeds = ("a", "b", "c")
        for address in seeds:
            peers.answers[address] = _teacher(taught)
        learner = _learner(own, peers, seeds)
        learner._random.seed(seed)
        task = asyncio.ensure_future(learner.run())
        await _until(lambda: learner.teacher is not None, 2.0)
        peers.frozen.add(learner.teacher)
        taught.learn_routes(7, "{}")
        await _until(lambda: own.routes_version == 7, 3.0)
        task.cancel()

    run_virtual(run())


def test_control_host_without_a_leader_is_left():
    """Guards against following a control host that is cut off with old routes."""

    async def run() -> None:
        peers, own = FakePeers(), Knowledge(5.0)
        cut_off, current = Knowledge(5.0), Knowledge(5.0)
        cut_off.learn_routes(1, "old")
        current.learn_routes(2, "new")
        peers.answers = {
            "a": _teacher(cut_off, connected=False),
            "b": _teacher(current),
        }
        learner = _learner(own, peers, ("a", "b"))
        task = asyncio.ensure_future(learner.run())
        await _until(lambda: own.routes_version == 2, 3.0)
        await _until(lambda: learner.teacher == "b", 1.0)
        task.cancel()

    run_virtual(run())


def test_restarted_control_host_hears_who_is_leaving():
    """Guards against forgetting a drain when all control hosts restart at once."""

    async def run() -> None:
        peers, own, first = FakePeers(), Knowledge(5.0), Knowledge(5.0)
        record = make_record(state=ServerState.DRAINING, sequence=8)
        first.learn_servers([record])
        peers.answers = {"a": _teacher(first)}
        task = asyncio.ensure_future(_learner(own, peers, ("a",)).run())
        await _until(lambda: own.directory.find("i-1") is not None, 2.0)
        restarted = Knowledge(5.0)
        peers.answers = {"a": _teacher(restarted)}
        await _until(lambda: restarted.directory.find("i-1") == record, 4.0)
        restarted.learn_servers([make_record(sequence=5)])
        assert restarted.directory.usable() == []
        task.cancel()

    run_virtual(run())


def test_routes_never_go_back():
    """Guards against a late answer with older routes."""

    async def run() -> None:
        own = Knowledge(5.0)
        own.learn_routes(3, "three")
        own.learn_routes(2, "two")
        assert (own.routes_version, own.routes_document) == (3, "three")

    run_virtual(run())


def test_host_prefers_a_control_host_in_its_availability_zone():
    """Guards against control traffic between availability zones without need."""

    async def run() -> None:
        peers, own, taught = FakePeers(), Knowledge(5.0), Knowledge(5.0)
        taught.learn_control(["a", "b", "c"])
        taught.zones = {"a": "y", "b": "z", "c": "x"}
        peers.answers = {name: _teacher(taught) for name in "abc"}
        learner = _learner(own, peers, ("a", "c"))
        task = asyncio.ensure_future(learner.run())
        await _until(lambda: learner.teacher == "b", 2.0)
        peers.frozen.add("b")
        await _until(lambda: learner.teacher in ("a", "c"), 3.0)
        task.cancel()

    run_virtual(run())
