"""Orders to evacuate zones: the log, messages of older builds, restarts."""

import asyncio
import contextlib
from itertools import permutations
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from kingcuplug_fleet import (
    ControlHostPoller,
    CoreUnavailable,
    DirectoryFile,
    Evacuation,
    EvacuationOrder,
    FleetView,
    OrderSuperseded,
    PeerFailed,
    RouteRegister,
    answer_poll,
)
from kingcuplug_fleet._control_replica import PROPOSE_PATH
from kingcuplug_fleet._evacuation import encode_evacuation_command
from kingcuplug_fleet._mesh_messages import SharedFields
from kingcuplug_routing import SuspectRecord
from kingcuplug_testkit import run_virtual

from .conftest import ControlGroup, FakePeerClient

_ORDERS = st.lists(st.tuples(st.sampled_from(["a", "b", "c"]), st.booleans()))
_DOCUMENT = {"version": 3, "document": "three"}
_EVACUATED = Evacuation(7, frozenset("a"))


def _register() -> RouteRegister:
    return RouteRegister(lambda: None)


@given(_ORDERS, st.integers(0, 20))
def test_last_order_of_each_zone_decides(orders, snapshot_at):
    """Guards against a repeat, or a snapshot between two orders, that changes the set.

    Documents and orders share the log and must not disturb each other.
    """
    register, last = _register(), {}
    register.apply(1, _DOCUMENT)
    for index, (zone, evacuated) in enumerate(orders, 2):
        command = encode_evacuation_command(zone, evacuated)
        assert register.apply(index, command) == index
        last[zone] = evacuated
        if index == snapshot_at:
            state, register = register.dump(), _register()
            register.load(state)
    expected = {zone for zone, evacuated in last.items() if evacuated}
    assert register.evacuation.zones == expected
    assert register.evacuation.version == (len(orders) + 1 if orders else 0)
    assert (register.version, register.document) == (3, "three")


def test_state_of_older_builds_is_read_and_written_without_orders():
    """Guards against snapshots that a host of the earlier build can't share."""
    register = _register()
    register.load(_DOCUMENT)
    assert register.evacuation == Evacuation()
    assert register.dump() == _DOCUMENT
    register.apply(9, encode_evacuation_command("a", True))
    register.load(_DOCUMENT)
    assert register.evacuation == Evacuation()


@pytest.mark.parametrize(
    "command",
    [{"zone": 5, "evacuated": True}, {"zone": "a"}, {"zone": "a", "evacuated": 1}, []],
)
def test_malformed_order_changes_nothing(command):
    """Guards against a replica that ends, or evacuates something else."""
    register = _register()
    with pytest.raises((LookupError, ValueError)):
        register.apply(1, command)
    assert register.is_empty


@pytest.mark.parametrize("order", list(permutations(range(3))))
def test_older_set_never_replaces_a_newer_one(order):
    """Guards against a withdrawn order that comes back with a late message."""
    sets = [Evacuation(4, frozenset("a")), Evacuation(6), Evacuation(5, frozenset("b"))]
    view = FleetView.__new__(FleetView)

    async def run() -> None:
        view.__init__(5.0)
        for number in order:
            view.update_evacuation(sets[number])

    run_virtual(run())
    assert view.evacuation == Evacuation(6)


def _decode_as_before(end):
    """Decode the end of a message as the build before evacuation did."""
    defaults = [{}, {}, [], ""]
    demand, suspects, answered, run = [*end, *defaults[len(end) :]][: len(defaults)]
    return demand, suspects, answered, run


def _encode_as_before(demand, suspects, answered, run):
    records = {f: [r.minutes_left, *sorted(r.executions)] for f, r in suspects.items()}
    end = [demand, records, answered, run]
    while end and not end[-1]:
        end.pop()
    return end


@settings(max_examples=60)
@given(
    st.dictionaries(st.sampled_from("st"), st.integers(1, 9)),
    st.dictionaries(
        st.sampled_from("fg"),
        st.builds(
            SuspectRecord, st.integers(1, 9), st.frozensets(st.sampled_from("e"))
        ),
    ),
    st.lists(st.sampled_from("xy"), max_size=2),
    st.sampled_from(["", "run"]),
    st.sampled_from([Evacuation(), Evacuation(6), _EVACUATED]),
)
def test_messages_are_exchanged_with_the_earlier_build(
    demand, suspects, answered, run, evacuation
):
    """Guards against an upgrade in which one half of the hosts can't read the other."""
    old = _encode_as_before(demand, suspects, answered, run)
    fields = SharedFields(demand, suspects, answered, run)
    assert fields.to_json() == old
    assert SharedFields.from_json(old) == fields
    new = SharedFields(demand, suspects, answered, run, evacuation=evacuation)
    assert SharedFields.from_json(new.to_json()) == new
    assert _decode_as_before(new.to_json()) == _decode_as_before(old)


def _poller(view: FleetView, client: FakePeerClient, log) -> ControlHostPoller:
    return ControlHostPoller(
        "host", view, client, lambda: ("a",), lambda: False, "self", "z", log
    )


def _answer_from(view: FleetView, connected: bool = True):
    async def answer(path, value):
        return await answer_poll(view, lambda: connected, "a", value)

    return answer


@pytest.mark.parametrize("connected", [True, False])
def test_started_host_knows_the_set_with_its_first_routes(log, connected):
    """Guards against a restarted host that serves before it knows the orders.

    Its control host has a leader, or has loaded its files a moment ago.
    """

    async def run() -> None:
        client, own, control = FakePeerClient(), FleetView(5.0), FleetView(5.0)
        control.update_evacuation(_EVACUATED)
        control.update_routes(3, "three")
        client.handlers["a"] = _answer_from(control, connected)
        task = asyncio.ensure_future(_poller(own, client, log).run())
        async with asyncio.timeout(2):
            await own.changed.wait_for(lambda: own.routes_version == 3)
        assert own.evacuation == _EVACUATED
        task.cancel()

    run_virtual(run())


def test_host_learns_orders_and_keeps_them_with_a_host_of_the_earlier_build(log):
    """Guards against polls that come at once, again and again, or lose the order."""

    async def run() -> None:
        client, own, control = FakePeerClient(), FleetView(5.0), FleetView(5.0)
        client.handlers["a"] = _answer_from(control)
        task = asyncio.ensure_future(_poller(own, client, log).run())
        await asyncio.sleep(3)
        control.update_evacuation(_EVACUATED)
        await asyncio.sleep(0.1)
        assert own.evacuation == _EVACUATED
        polls = 0

        async def answer_as_before(path, value):
            nonlocal polls
            polls += 1
            reply = await answer_poll(control, lambda: True, "a", value)
            if "state" in reply:
                reply["state"] = reply["state"][:7]
            return reply

        client.handlers["a"] = answer_as_before
        await asyncio.sleep(5)
        assert own.evacuation == _EVACUATED
        assert polls < 10
        task.cancel()

    run_virtual(run())


def test_set_is_restored_from_the_disk(tmp_path, log):
    """Guards against hosts that serve before the election after a loss of power."""

    async def run() -> None:
        view = FleetView(5.0)
        task = asyncio.ensure_future(DirectoryFile(tmp_path, view, log).run())
        view.set_host_count(3)
        await asyncio.sleep(0.1)
        assert b"evacuation" not in (tmp_path / "servers.json").read_bytes()
        view.update_evacuation(_EVACUATED)
        await asyncio.sleep(0.1)  # Less than the interval of other changes.
        task.cancel()
        restarted = FleetView(5.0)
        await DirectoryFile(tmp_path, restarted, log).load()
        assert restarted.evacuation == _EVACUATED

    asyncio.run(run())


async def _order(group: ControlGroup, zone: str, evacuated: bool) -> None:
    async with asyncio.timeout(5):
        while True:
            for host in group.running():
                try:
                    base = host.replica.evacuation_version()
                    order = EvacuationOrder(zone, evacuated, base)
                    await host.replica.submit_evacuation(order)
                    return
                except CoreUnavailable:
                    await asyncio.sleep(0.05)


class _DelayedProposals:
    """Delivers some proposals to the leader late, also after their sender left."""

    def __init__(self, client: FakePeerClient, random: Random) -> None:
        self._call = client.call
        self._random = random
        self.late: set[asyncio.Task] = set()

    async def call(self, address, path, value, timeout_s):
        if path != PROPOSE_PATH or self._random.random() < 0.4:
            return await self._call(address, path, value, timeout_s)
        self.late.add(asyncio.ensure_future(self._deliver_late(address, value)))
        await asyncio.sleep(timeout_s)
        raise PeerFailed("no response", "try another host")

    async def _deliver_late(self, address, value) -> None:
        await asyncio.sleep(self._random.uniform(0.0, 6.0))
        with contextlib.suppress(PeerFailed):
            await self._call(address, PROPOSE_PATH, value, 1.0)


async def _send_order(host, zone: str, evacuated: bool) -> bool:
    try:
        order = EvacuationOrder(zone, evacuated, host.replica.evacuation_version())
        await host.replica.submit_evacuation(order)
    except CoreUnavailable:
        return False
    return True


@pytest.mark.parametrize("seed", range(30))
def test_order_that_arrives_late_does_not_undo_a_newer_one(make_control_group, seed):
    """Guards against an order that a host, a link or the leader held back.

    An operator repeats each order at another host until it is acknowledged, then gives
    the next one. Leaders change meanwhile.
    """

    async def run() -> None:
        random = Random(seed)
        group = make_control_group()
        await group.form("a", "b", "c")
        await group.submit(1)
        delays = _DelayedProposals(group._client, random)
        group._client.call = delays.call
        expected: set[str] = set()
        for number in range(12):
            zone, evacuated = random.choice("xy"), random.random() < 0.5
            if number % 4 == 3:
                stopped = random.choice("abc")
                group.power_off(stopped)
                group.start(stopped)
            acknowledged = False
            while not acknowledged:
                host = group.hosts[random.choice("abc")]
                acknowledged = await _send_order(host, zone, evacuated)
            expected = expected | {zone} if evacuated else expected - {zone}
            assert await _read_zones(group) == expected
        await asyncio.gather(*delays.late)
        assert await _read_zones(group) == expected
        await group.stop()

    run_virtual(run())


def test_order_is_superseded_by_newer_orders_for_its_zone_only():
    """Guards against orders for several zones that exclude each other."""
    register = _register()
    register.apply(4, encode_evacuation_command("a", True))
    register.apply(5, encode_evacuation_command("b", True))
    assert register.check_order(EvacuationOrder("a", False, 4))
    assert register.check_order(EvacuationOrder("a", False, 5))
    assert register.check_order(EvacuationOrder("c", True, 0))
    assert not register.check_order(EvacuationOrder("b", True, 4))
    with pytest.raises(OrderSuperseded):
        register.check_order(EvacuationOrder("b", False, 4))
    register.load(register.dump())
    with pytest.raises(OrderSuperseded):
        register.check_order(EvacuationOrder("a", False, 4))
    assert register.check_order(EvacuationOrder("a", False, 5))


def test_orders_of_an_earlier_build_are_executed_and_the_log_keeps_its_form():
    """Guards against replicas of two builds that apply the same log differently."""
    register = _register()
    register.apply(4, encode_evacuation_command("a", True))
    command = encode_evacuation_command("a", False)
    order = EvacuationOrder.from_json(command)
    assert order is not None
    assert register.check_order(order)
    assert EvacuationOrder.from_json({**command, "base": 3}).base == 3
    register.apply(5, {**command, "base": 3})
    assert register.evacuation.zones == frozenset()


async def _read_zones(group: ControlGroup) -> set[str]:
    async with asyncio.timeout(10):
        while True:
            for host in group.running():
                try:
                    return set((await host.replica.read()).evacuation.zones)
                except CoreUnavailable:
                    await asyncio.sleep(0.05)


@pytest.mark.parametrize("entries", [0, 70])
def test_orders_survive_a_loss_of_power_with_a_minority_of_the_disks(
    make_control_group, entries
):
    """Guards against orders that are lost with a disk, a leader, or in a snapshot."""

    async def run() -> None:
        group = make_control_group()
        await group.form("a", "b", "c")
        await _order(group, "x", True)
        await _order(group, "y", True)
        leader = group.leader()
        group.power_off(leader)
        await _order(group, "x", False)
        for version in range(1, entries + 1):
            await group.submit(version)
        for name in group.hosts:
            group.power_off(name)
        group.hosts[leader].disk.wipe()
        for name in group.hosts:
            group.start(name)
        assert await _read_zones(group) == {"y"}
        await _order(group, "y", False)
        assert await _read_zones(group) == set()
        await group.stop()

    run_virtual(run())


def test_order_is_the_first_change_that_a_new_group_acknowledges(make_control_group):
    """Guards against an order that only holds once there is a configuration."""

    async def run() -> None:
        group = make_control_group()
        await group.form("a", "b", "c")
        await _order(group, "x", True)
        assert await _read_zones(group) == {"x"}
        await group.stop()

    run_virtual(run())
