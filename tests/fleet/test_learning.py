"""How a host finds control hosts and follows what they know."""

import asyncio
import os
from collections.abc import Awaitable, Callable
from typing import Any

import pytest
from kingcuplug_common import EventLog
from kingcuplug_fleet import (
    REPORT_PATH,
    Knowledge,
    Learner,
    Mesh,
    PeerFailed,
    ServerState,
    teach,
)
from kingcuplug_testkit import run_virtual

from .conftest import make_record

Answer = Callable[[str, Any], Awaitable[Any]]


class FakePeers:
    """Carries calls to functions by address, and counts them."""

    def __init__(self) -> None:
        self.answers: dict[str, Answer] = {}
        self.frozen: set[str] = set()

    async def call(self, address: str, path: str, value: Any, timeout_s: float) -> Any:
        """Call the function of an address; a frozen one does not answer."""
        try:
            async with asyncio.timeout(timeout_s):
                reply = await self.answers[address](path, value)
                if address in self.frozen:
                    await asyncio.sleep(timeout_s)
                return reply
        except TimeoutError as error:
            raise PeerFailed("no answer", "ask another") from error


def _teacher(knowledge: Knowledge, connected: bool = True) -> Answer:
    async def answer(path: str, value: Any) -> Any:
        return await teach(knowledge, lambda: connected, value)

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


def test_news_of_a_leaving_server_reaches_another_control_host_first():
    """Guards against acknowledging a drain that only one host knows, which may die."""

    async def run() -> None:
        peers = FakePeers()
        knowledge = [Knowledge(5.0) for _ in range(3)]
        meshes = [
            Mesh(f"host-{name}", known, peers, name, "z", lambda: "a")
            for name, known in zip("abc", knowledge, strict=True)
        ]

        def share(mesh: Mesh) -> Answer:
            async def answer(path: str, value: Any) -> Any:
                return mesh.take(value)

            return answer

        peers.answers = {n: share(m) for n, m in zip("abc", meshes, strict=True)}
        for known in knowledge:
            known.learn_control(["a", "b", "c"])
        tasks = [asyncio.ensure_future(mesh.run()) for mesh in meshes]
        await asyncio.sleep(1.0)
        peers.frozen.add("b")
        record = make_record(state=ServerState.DRAINING)
        knowledge[0].learn_servers([record])
        assert await meshes[0].tell(record)
        assert knowledge[2].directory.find("i-1") == record
        assert knowledge[2].live_hosts() == {"host-a", "host-b", "host-c"}
        for task in tasks:
            task.cancel()

    run_virtual(run())


def test_host_that_is_gone_is_not_counted_for_ever():
    """Guards against control hosts that tell each other of a dead host in a circle."""

    async def run() -> None:
        peers = FakePeers()
        first, second = Knowledge(5.0), Knowledge(5.0)
        mesh_a = Mesh("host-a", first, peers, "a", "z", lambda: "a")
        mesh_b = Mesh("host-b", second, peers, "b", "z", lambda: "a")

        async def to_a(path: str, value: Any) -> Any:
            return mesh_a.take(value)

        async def to_b(path: str, value: Any) -> Any:
            return mesh_b.take(value)

        peers.answers = {"a": to_a, "b": to_b}
        for known in (first, second):
            known.learn_control(["a", "b"])
        tasks = [asyncio.ensure_future(mesh.run()) for mesh in (mesh_a, mesh_b)]
        first.meet_host("gone")
        await asyncio.sleep(2.0)
        assert "gone" in second.live_hosts()
        await asyncio.sleep(10.0)
        assert second.live_hosts() == first.live_hosts() == {"host-a", "host-b"}
        for task in tasks:
            task.cancel()

    run_virtual(run())


def test_slow_servers_are_summed_up_by_the_leader_and_told_to_all():
    """Guards against each control host judging by the few samples of its own hosts."""

    async def run() -> None:
        peers = FakePeers()
        names = ("a", "b", "c")
        knowledge = {name: Knowledge(5.0) for name in names}
        meshes = {
            name: Mesh(f"host-{name}", knowledge[name], peers, name, name, lambda: "a")
            for name in names
        }

        def answer_of(name: str) -> Answer:
            async def answer(path: str, value: Any) -> Any:
                if path == REPORT_PATH:
                    return meshes[name].take_samples(value)
                return meshes[name].take(value)

            return answer

        peers.answers = {name: answer_of(name) for name in names}
        for known in knowledge.values():
            known.learn_control(list(names))
        tasks = [asyncio.ensure_future(mesh.run()) for mesh in meshes.values()]
        for _ in range(8):
            for mesh in meshes.values():
                mesh.take_samples({"slow": (1, 3.0), "sound": (1, 1.0)})
            await asyncio.sleep(0.25)
        await asyncio.sleep(1.0)
        assert all(set(known.slow) == {"slow"} for known in knowledge.values())
        assert knowledge["b"].zones == {name: name for name in names}
        await asyncio.sleep(8.0)
        assert all(known.slow == {} for known in knowledge.values())
        for task in tasks:
            task.cancel()

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
