"""How control hosts share what servers and hosts tell them."""

import asyncio
import gc
import os
from collections.abc import Callable, Iterator
from contextlib import contextmanager

from kingcuplug_common import EventLog
from kingcuplug_fleet import (
    REPORT_PATH,
    SHARE_PATH,
    Knowledge,
    Mesh,
    Report,
    ServerState,
    teach,
)
from kingcuplug_testkit import run_virtual

from .conftest import Answer, FakePeers, make_record


class World:
    """Control hosts a, b, c with their meshes, each in a zone of its own name."""

    def __init__(self, names: str = "abc") -> None:
        self.names = names
        self.leader: str | None = names[0]
        self.peers = FakePeers()
        self.pushes: list[tuple[str, int]] = []
        self.knowledge = {name: Knowledge(4.0) for name in names}
        self.meshes = {name: self._mesh(name) for name in names}
        for name in names:
            self.peers.answers[name] = self._answer(name)
            self.knowledge[name].learn_control(list(names))

    def _mesh(self, name: str) -> Mesh:
        log = EventLog(os.open(os.devnull, os.O_WRONLY), name)
        known = self.knowledge[name]
        return Mesh(
            f"host-{name}", known, self.peers, name, name, lambda: self.leader, log
        )

    def _answer(self, name: str) -> Answer:
        async def answer(path, value):
            if path == REPORT_PATH:
                return self.meshes[name].take_report(Report.from_json(value))
            assert path == SHARE_PATH
            self.pushes.append((name, len(value[3])))
            return self.meshes[name].take(value)

        return answer

    def hear(self, name: str, **fields) -> None:
        """Let a control host hear a server, as the host's listener does."""
        record = make_record(**fields)
        self.knowledge[name].learn_servers([record], first_hand=True)
        self.meshes[name].hear(record)

    @contextmanager
    def running(self) -> Iterator[None]:
        """Run all meshes."""
        tasks = [asyncio.ensure_future(mesh.run()) for mesh in self.meshes.values()]
        try:
            yield
        finally:
            for task in tasks:
                task.cancel()

    def all(self, condition: Callable[[Knowledge], bool]) -> bool:
        """Return whether a condition holds for what each control host knows."""
        return all(condition(known) for known in self.knowledge.values())


def test_news_of_a_leaving_server_reaches_another_control_host_first():
    """Guards against acknowledging a drain that only one host knows, which may die."""

    async def run() -> None:
        world = World()
        with world.running():
            await asyncio.sleep(1.5)
            world.peers.frozen.add("b")
            record = make_record(state=ServerState.DRAINING)
            world.knowledge["a"].learn_servers([record], first_hand=True)
            assert await world.meshes["a"].tell(record)
            assert world.knowledge["c"].directory.find("i-1") == record
            everyone = {"host-a", "host-b", "host-c"}
            assert world.knowledge["a"].live_hosts() == everyone

    run_virtual(run())


def test_host_that_is_gone_is_not_counted_for_ever():
    """Guards against control hosts that tell each other of a dead host in a circle."""

    async def run() -> None:
        world = World("ab")
        with world.running():
            world.knowledge["b"].meet_host("gone")
            await asyncio.sleep(2.0)
            assert world.all(lambda known: known.hosts == 3)
            await asyncio.sleep(10.0)
            assert world.all(lambda known: known.hosts == 2)

    run_virtual(run())


def test_slow_servers_are_summed_up_by_the_leader_and_told_to_all():
    """Guards against each control host judging by the few samples of its own hosts."""

    async def run() -> None:
        world = World()
        with world.running():
            for _ in range(8):
                for mesh in world.meshes.values():
                    mesh.take_report(Report({"slow": (1, 3.0), "sound": (1, 1.0)}))
                await asyncio.sleep(0.25)
            await asyncio.sleep(1.0)
            assert world.all(lambda known: set(known.slow) == {"slow"})
            assert world.knowledge["b"].zones == {name: name for name in "abc"}
            await asyncio.sleep(8.0)
            assert world.all(lambda known: known.slow == {})

    run_virtual(run())


def test_what_a_peer_told_is_not_pushed_on():
    """Guards against bytes between zones that grow with the square of the hosts.

    Each of 40 statements has to be pushed to two hosts and no further.
    """

    async def run() -> None:
        world = World()
        with world.running():
            await asyncio.sleep(3.0)
            world.pushes.clear()
            for number in range(40):
                world.hear("b", id=f"i-{number}", address=f"10.0.0.{number}:80")
            await asyncio.sleep(1.0)
            assert world.all(lambda known: len(known.directory.usable()) == 40)
            assert sum(records for _, records in world.pushes) == 2 * 40

    run_virtual(run())


def test_statement_that_was_lost_on_the_way_is_repaired():
    """Guards against a control host that never hears of a server.

    The host that the server spoke to is gone before it could push to the third.
    """

    async def run() -> None:
        world = World()
        with world.running():
            await asyncio.sleep(3.0)
            record = make_record()
            world.knowledge["a"].learn_servers([record])
            await asyncio.sleep(8.0)
            assert world.all(lambda known: known.directory.find("i-1") == record)

    run_virtual(run())


def test_without_a_leader_control_hosts_compare_with_each_other():
    """Guards against news that stays on one side while nobody leads."""

    async def run() -> None:
        world = World()
        world.leader = None
        with world.running():
            await asyncio.sleep(1.0)
            world.knowledge["a"].learn_servers([make_record()])
            await asyncio.sleep(8.0)
            assert world.all(lambda known: known.directory.find("i-1") is not None)

    run_virtual(run())


def test_silent_server_is_found_by_the_leader_and_told_to_all():
    """Guards against control hosts that count a server as alive or silent alone."""

    async def run() -> None:
        world = World()
        with world.running():
            for sequence in range(1, 16):
                world.hear("b", id="i-1", sequence=sequence)
                if sequence < 4:
                    world.hear("c", id="i-2", address="q:1", sequence=sequence)
                await asyncio.sleep(1.0)
            assert world.all(lambda known: known.silent == {"i-2"})

    run_virtual(run())


def test_new_leader_takes_nobody_for_gone():
    """Guards against a leader that had no reports before it led.

    Counting all servers as silent and only its own hosts as live would raise every
    host's share of connections and retries at the worst moment.
    """

    async def run() -> None:
        world = World()
        seen: set[tuple[int, int]] = set()
        with world.running():
            for sequence in range(1, 30):
                world.hear("b", id="i-1", sequence=sequence)
                world.knowledge["b"].meet_host("host-x")
                if sequence == 12:
                    world.leader = None
                if sequence == 18:
                    world.leader = "c"
                await asyncio.sleep(1.0)
                if sequence > 4:
                    seen |= {
                        (len(known.silent), known.hosts)
                        for known in world.knowledge.values()
                    }
        assert seen == {(0, 4)}

    run_virtual(run())


def test_all_learn_which_control_hosts_can_be_reached():
    """Guards against sending servers and hosts to a control host that is gone."""

    async def run() -> None:
        world = World()
        with world.running():
            await asyncio.sleep(3.0)
            assert world.all(lambda known: set(known.reachable) == set("abc"))
            assert world.knowledge["b"].near("c", "i-1") == "c"
            world.meshes["c"]._follow_members = lambda: None
            for peer in world.meshes["c"]._peers.values():
                peer.task.cancel()
            await asyncio.sleep(5.0)
            assert set(world.knowledge["b"].reachable) == set("ab")
            assert world.knowledge["b"].near("c", "i-1") is None

    run_virtual(run())


def test_answer_that_cannot_be_understood_does_not_end_the_pushes():
    """Guards against a control host that is never told again after one bad answer."""

    async def run() -> None:
        world = World()
        sound = world.peers.answers["b"]

        async def nonsense(path, value):
            return {}

        world.peers.answers["b"] = nonsense
        with world.running():
            await asyncio.sleep(3.0)
            world.peers.answers["b"] = sound
            world.hear("a", id="i-1")
            await asyncio.sleep(3.0)
            assert world.all(lambda known: known.directory.find("i-1") is not None)

    run_virtual(run())


def test_far_control_host_sends_hosts_to_a_nearer_one():
    """Guards against a whole directory for each host from another zone."""

    async def run() -> None:
        world = World()
        with world.running():
            world.hear("a", id="i-1")
            await asyncio.sleep(3.0)
            question = {
                "host": "host-x",
                "epoch": "",
                "cursor": 0,
                "routes": 0,
                "servers": [],
                "digest": 0,
                "state_key": "",
                "zone": "c",
                "wait": False,
            }
            far = await teach(world.knowledge["a"], lambda: True, "a", question)
            assert "nearer" in far
            assert "servers" not in far
            near = await teach(world.knowledge["c"], lambda: True, "c", question)
            assert len(near["servers"]) == 1
            failed = {**question, "zone": None}
            far = await teach(world.knowledge["a"], lambda: True, "a", failed)
            assert len(far["servers"]) == 1
            moved = {**question, "digest": world.knowledge["c"].directory.digest}
            near = await teach(world.knowledge["c"], lambda: True, "c", moved)
            assert near["servers"] == [], "a host that knows all was sent it again"
            alone = await teach(world.knowledge["a"], lambda: False, "a", question)
            assert "servers" not in alone

    run_virtual(run())


def test_requests_of_all_hosts_are_told_once_they_were_counted_for_a_window():
    """Guards against parts of a total that a new leader has hardly begun to count."""

    async def run() -> None:
        world = World()
        with world.running():
            told = set()
            for step in range(80):
                if step == 60:
                    world.leader = "c"
                for mesh in world.meshes.values():
                    mesh.take_report(Report({}, 5))
                await asyncio.sleep(0.5)
                told |= {known.requests for known in world.knowledge.values()}
            # 30 requests a second, in a window of up to 11 s, and one more report each.
            assert all(known == 0 or 200 < known <= 345 for known in told)
            assert len(told) > 1
            assert world.all(lambda known: known.requests == 0)

    run_virtual(run())


def test_each_side_of_a_cut_sums_up_what_it_sees():
    """Guards against hosts that learn alone of slow servers while nobody leads.

    The four control hosts are cut into halves, so no side has a leader.
    """

    async def run() -> None:
        world = World("abcd")
        world.leader = None
        sides = {"a": "ab", "b": "ab", "c": "cd", "d": "cd"}
        for name, mesh in world.meshes.items():
            mesh._calls = world.peers.between(name, sides)
        with world.running():
            await asyncio.sleep(2.0)
            for _ in range(8):
                world.meshes["b"].take_report(Report({"i-1": (1, 3.0)}))
                world.meshes["d"].take_report(Report({"i-2": (1, 3.0)}))
                await asyncio.sleep(0.25)
            slow = {name: set(k.slow) for name, k in world.knowledge.items()}
            assert slow == {"a": {"i-1"}, "b": {"i-1"}, "c": {"i-2"}, "d": {"i-2"}}

    run_virtual(run())


def test_side_without_a_leader_takes_no_server_for_silent():
    """Guards against sparing servers that speak to the other side of a cut."""

    async def run() -> None:
        world = World("ab")
        with world.running():
            world.hear("b", id="i-1")
            await asyncio.sleep(2.0)
            world.leader = None
            await asyncio.sleep(10.0)
            assert world.all(lambda known: known.silent == set())

    run_virtual(run())


def test_telling_of_a_leaving_server_leaves_no_failed_calls_behind():
    """Guards against alarms for unexpected errors on each loss of a control host."""

    async def run() -> None:
        world = World()
        unexpected = []
        asyncio.get_running_loop().set_exception_handler(
            lambda loop, context: unexpected.append(context)
        )
        with world.running():
            await asyncio.sleep(1.5)
            world.peers.frozen.add("c")
            record = make_record(state=ServerState.DRAINING)
            assert await world.meshes["a"].tell(record)
            await asyncio.sleep(2.0)
            gc.collect()
        assert unexpected == []

    run_virtual(run())
