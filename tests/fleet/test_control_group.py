"""Groups of control hosts that lose and replace hosts."""

import asyncio
import contextlib
import errno
from collections.abc import Iterable

import pytest
from kingcuplug_fleet import CoreUnavailable
from kingcuplug_testkit import Failpoint, run_virtual

from .conftest import ControlHost

# A host counts as lost until this long after it has started.
_CATCH_UP_S = 4.0
_RECOVERY_S = 12.0


async def _form_with_replaced_host(group, replaced: str = "leader") -> str:
    """Form a group of three, replace one host for good by d, and return its name."""
    await group.form("a", "b", "c")
    leader = group.leader()
    assert leader is not None
    lost = leader if replaced == "leader" else min({"a", "b", "c"} - {leader})
    group.power_off(lost)
    await asyncio.sleep(1.0)
    group.start("d")
    await asyncio.sleep(_CATCH_UP_S)
    return lost


@pytest.mark.parametrize("replaced", ["leader", "follower"])
def test_replaced_host_is_removed_whoever_leads(make_control_group, replaced):
    # Guards against a voter that is gone for good but stays in the group because the
    # leader that added its successor has never heard of it, or has lost its office.
    async def main() -> None:
        group = make_control_group()
        lost = await _form_with_replaced_host(group, replaced)
        assert group.members() == {"a", "b", "c", "d"} - {lost}
        assert group.losses_borne() == 1
        await group.stop()

    run_virtual(main())


@pytest.mark.parametrize("delay_s", [0.0, 0.5, 2.0])
@pytest.mark.parametrize("replaced", ["leader", "follower"])
def test_change_survives_a_lost_disk_right_after_a_planned_replacement(
    make_control_group, replaced, delay_s
):
    # Guards against a voter that counts after its process has ended as planned: with
    # its successor the group has four voters, and then bears no further loss.
    async def main() -> None:
        group = make_control_group()
        await group.form("a", "b", "c")
        group.start("d")
        await asyncio.sleep(_CATCH_UP_S)
        leader = group.leader()
        assert leader is not None
        followers = sorted({"a", "b", "c"} - {leader})
        stopped = leader if replaced == "leader" else followers[0]
        await group.terminate(stopped)
        await group.submit(7)
        await asyncio.sleep(delay_s)
        lost = followers[1]
        group.power_off(lost)
        group.hosts[lost].disk.wipe()
        await asyncio.sleep(1.0)
        group.start(lost)
        assert await group.read_version(_RECOVERY_S) == 7
        await group.submit(9)
        await group.wait_until(lambda: group.losses_borne() == 1)
        await group.stop()

    run_virtual(main())


def test_restarted_voter_leaves_only_where_it_was_replaced(make_control_group):
    # Guards against a group that shrinks with each planned restart, and against a host
    # that stays outside after it has left.
    async def main() -> None:
        group = make_control_group()
        await group.form("a", "b", "c")
        await group.terminate("a")
        assert group.hosts["a"].replica is None
        await group.wait_until(lambda: group.leader() is not None)
        assert group.voters() == {"a", "b", "c"}
        group.start("a")
        group.start("d")
        await group.wait_until(lambda: group.voter_count() == 4)
        await group.terminate("b")
        await group.wait_until(lambda: group.voters() == {"a", "c", "d"})
        await group.terminate("c")
        await group.wait_until(lambda: group.leader() is not None)
        assert group.voters() == {"a", "c", "d"}
        group.start("b")
        group.start("c")
        await group.wait_until(lambda: group.voter_count() == 4)
        await group.stop()

    run_virtual(main())


def test_acknowledged_change_survives_a_lost_disk_after_the_leader_was_replaced(
    make_control_group,
):
    # Guards against a group without a quorum: four voters, one gone, one with an empty
    # disk. Callers were then served by routes older than the acknowledged ones.
    async def main() -> None:
        group = make_control_group()
        await _form_with_replaced_host(group)
        await group.submit(7)
        names = [host.name for host in group.running()]
        for name in names:
            group.power_off(name)
        group.hosts["d"].disk.wipe()
        for name in names:
            group.start(name)
        assert await group.read_version() == 7
        await group.submit(8)
        await group.stop()

    run_virtual(main())


def _restart_with_lost_disks(group, names: Iterable[str], lost: set[str]) -> None:
    """Restart hosts after a loss of power, some of them with empty disks."""
    for name in names:
        group.power_off(name)
    for name in lost:
        group.hosts[name].disk.wipe()
    for name in names:
        group.start(name)


@pytest.mark.parametrize("delay_s", [0.0, 0.1, 0.3, 0.6, 1.0])
def test_first_acknowledged_change_survives_the_loss_of_two_disks(
    make_control_group, delay_s
):
    # Guards against acknowledging changes before the new group has as many voters as
    # the losses to be tolerated require.
    async def main() -> None:
        names = tuple("abcdefgh")
        group = make_control_group(tolerated_losses=2)
        group.begin(*names)
        await group.submit(7, timeout_s=8.0)
        await asyncio.sleep(delay_s)
        voters = [m for m in names if m in group.members()]
        _restart_with_lost_disks(group, names, {"a", voters[1]})
        assert await group.read_version(timeout_s=10.0) == 7
        await group.stop()

    run_virtual(main())


def test_acknowledged_change_survives_lost_disks_after_silent_voters(
    make_control_group,
):
    # Guards against a group that shrinks below what the losses to be tolerated require
    # because some of its hosts are down for long.
    async def main() -> None:
        names = tuple("abcdef")
        group = make_control_group(tolerated_losses=2)
        await group.form(*names)
        down = [name for name in names if name != group.leader()][:2]
        for name in down:
            group.power_off(name)
        await asyncio.sleep(45.0)
        await group.submit(7)
        up = [name for name in names if name not in down]
        _restart_with_lost_disks(group, up, set(up[:2]))
        for name in down:
            group.start(name)
        assert await group.read_version(timeout_s=10.0) == 7
        await group.stop()

    run_virtual(main())


@pytest.mark.parametrize("delay_s", [0.0, 0.2, 0.5, 1.0, 3.0])
@pytest.mark.parametrize("lost_zone", ["x", "y", "z"])
def test_first_acknowledged_change_survives_the_loss_of_a_zone(
    make_control_group, delay_s, lost_zone
):
    # Guards against a majority of the disks with an acknowledged change in one zone.
    async def main() -> None:
        # All seeds are in one zone.
        zones = dict(zip("abcdefg", "xxxyyzz", strict=True))
        group = make_control_group(2, 1, zones)
        group.begin(*zones)
        await group.submit(7, timeout_s=8.0)
        await asyncio.sleep(delay_s)
        lost = {name for name, zone in zones.items() if zone == lost_zone}
        _restart_with_lost_disks(group, tuple(zones), lost)
        assert await group.read_version(timeout_s=10.0) == 7
        await group.submit(8)
        await group.stop()

    run_virtual(main())


@pytest.mark.parametrize("delay_s", [0.0, 0.5, 3.0])
def test_zone_with_most_disks_has_no_majority_of_the_voters(
    make_control_group, delay_s
):
    # Guards against a group of all seeds, which are in one zone here.
    async def main() -> None:
        zones = dict(zip("abcde", "xxxyz", strict=True))
        group = make_control_group(1, 1, zones)
        group.begin(*zones)
        await group.submit(7, timeout_s=8.0)
        await asyncio.sleep(delay_s)
        assert [zones[name] for name in sorted(group.voters())] == ["x", "y", "z"]
        _restart_with_lost_disks(group, tuple(zones), set("abc"))
        assert await group.read_version(timeout_s=10.0) == 7
        await group.stop()

    run_virtual(main())


def test_voter_lost_for_good_is_replaced_by_an_observer_of_its_zone(
    make_control_group,
):
    # Guards against a dead voter that stays for good, because one more in its zone
    # would be too many.
    async def main() -> None:
        zones = dict(zip("abcde", "xxxyz", strict=True))
        group = make_control_group(1, 1, zones)
        group.begin(*zones)
        await group.submit(7, timeout_s=8.0)
        await group.wait_until(lambda: group.members() == set(zones))
        before = group.voters()
        (dead,) = (name for name in before if zones[name] == "x")
        group.power_off(dead)
        await group.wait_until(
            lambda: dead not in group.voters() and len(group.voters()) == 3, 40.0
        )
        assert sorted(zones[name] for name in group.voters()) == ["x", "y", "z"]
        await group.stop()

    run_virtual(main())


def test_group_that_cannot_bear_the_loss_of_a_zone_serves_and_logs_it_once(
    make_control_group, log, monkeypatch
):
    # Guards against a deployment that never serves, or is silent about its disks.
    events = []
    monkeypatch.setattr(log, "write", lambda event, *_, **__: events.append(event))

    async def main() -> None:
        zones = dict(zip("abcde", "xxxyz", strict=True))
        group = make_control_group(2, 1, zones)
        group.begin(*zones)
        await group.submit(7, timeout_s=8.0)
        await group.wait_until(lambda: group.voter_count() == 5)
        await asyncio.sleep(15.0)
        # Any two disks may still be lost.
        _restart_with_lost_disks(group, tuple(zones), set("ad"))
        assert await group.read_version(timeout_s=10.0) == 7
        await group.stop()

    run_virtual(main())
    assert events.count("tolerance_not_met") == 1


def test_group_of_too_few_disks_still_serves(make_control_group):
    # Guards against a small deployment that accepts no change because its settings name
    # more losses than its disks can bear.
    async def main() -> None:
        group = make_control_group(tolerated_losses=2)
        group.begin("a", "b", "c")
        await group.submit(7, timeout_s=8.0)
        await group.stop()

    run_virtual(main())


def test_changes_go_on_when_one_host_is_lost_after_the_leader_was_replaced(
    make_control_group,
):
    # Guards against changes that stay unanswered while one of three hosts is down.
    async def main() -> None:
        group = make_control_group()
        await _form_with_replaced_host(group)
        leader = group.leader()
        assert leader is not None
        group.power_off(leader)
        await group.submit(7, timeout_s=4.0)
        await group.stop()

    run_virtual(main())


def test_replaced_host_is_removed_soon_after_the_leader_changes_again(
    make_control_group,
):
    # Guards against a leader that does not know that a successor has joined already,
    # and so keeps a silent voter for the time that a returning host is given.
    async def main() -> None:
        group = make_control_group()
        await group.form("a", "b", "c")
        replaced = group.leader()
        assert replaced is not None
        group.power_off(replaced)
        await asyncio.sleep(0.7)
        group.start("d")
        await group.wait_until(lambda: group.voter_count() == 4)
        second = group.leader()
        assert second is not None
        group.power_off(second)
        await asyncio.sleep(0.5)
        group.start(second)
        expected = {"a", "b", "c", "d"} - {replaced}
        await group.wait_until(lambda: group.members() == expected, timeout_s=6.0)
        await group.stop()

    run_virtual(main())


def test_control_host_whose_disk_stalls_does_not_count_as_current(make_control_group):
    # Guards against hosts that stay with a control host whose state is old: it hears
    # its leader, but cannot store and so not apply what has been committed.
    async def main() -> None:
        group = make_control_group()
        await group.form("a", "b", "c")
        await group.submit(1)
        stalled = next(h for h in group.running() if h.name != group.leader())
        stalled.disk.sync_s = 8.0
        await group.submit(2)
        await asyncio.sleep(1.5)
        assert stalled.register.version == 1
        connected = {
            host.name: host.replica is not None and host.replica.connected()
            for host in group.running()
        }
        assert connected == {name: name != stalled.name for name in ("a", "b", "c")}
        stalled.disk.sync_s = 0.001
        await group.wait_until(lambda: stalled.register.version == 2)
        await asyncio.sleep(0.2)
        assert stalled.replica is not None
        assert stalled.replica.connected()
        await group.stop()

    run_virtual(main())


@pytest.mark.parametrize("with_changes", [False, True])
def test_changes_are_accepted_after_the_disks_were_full_in_turn(
    make_control_group, with_changes
):
    # Guards against a group that stays without a quorum, or with a leader that cannot
    # store, after each disk has room again.
    async def main() -> None:
        group = make_control_group()
        await group.form("a", "b", "c")
        version = 1
        await group.submit(version)
        for name in ("a", "b", "c", "a", "c", "b"):
            group.hosts[name].disk.full = True
            for _ in range(5):
                await asyncio.sleep(0.6)
                if with_changes:
                    version += 1
                    await group.submit(version, timeout_s=4.0)
            group.hosts[name].disk.full = False
            await asyncio.sleep(0.8)
        version += 1
        await group.submit(version, timeout_s=1.0)
        await group.wait_until(
            lambda: all(h.register.version == version for h in group.running()), 2.0
        )
        assert group.members() == {"a", "b", "c"}
        assert group.losses_borne() == 1
        await group.stop()

    run_virtual(main())


@pytest.mark.parametrize(
    "failing_call", [("sync", "log.new"), ("rename", "log"), ("rename", "state")]
)
def test_replica_that_cannot_be_opened_leaves_no_file_open(
    make_control_group, failing_call
):
    # Guards against a host that uses up its descriptors while its disk refuses calls.
    async def main() -> None:
        group = make_control_group()
        await group.form("a", "b", "c")
        name = next(
            host.name for host in group.running() if host.name != group.leader()
        )
        disk = group.hosts[name].disk
        group.power_off(name)
        if failing_call[1] == "state":
            disk.wipe()
        disk.failpoints += [
            Failpoint(*failing_call, error=errno.EIO) for _ in range(20)
        ]
        group.start(name)
        await group.wait_until(lambda: len(disk.triggered) == 20, timeout_s=20.0)
        assert disk.open_handles <= 1
        replica = group.hosts[name].replica
        await group.wait_until(replica.connected)
        assert disk.open_handles == 1
        await group.stop()

    run_virtual(main())


def test_founder_that_loses_its_folder_while_it_runs_founds_no_second_group(
    make_control_group,
):
    # Guards against a host that acknowledges changes alone, because its volume was
    # unmounted or its folder removed during the first run of the system.
    async def main() -> None:
        group = make_control_group()
        await group.form("a", "b", "c")
        await group.submit(7)
        founder = group.hosts["a"]
        founder.disk.wipe()
        for version in (8, 9, 10):
            with contextlib.suppress(CoreUnavailable):
                await founder.replica.submit(version, f"document {version}")
            await asyncio.sleep(_CATCH_UP_S)
        newest = founder.register.version
        assert {host.register.version for host in group.running()} == {newest}
        await group.submit(11)
        await group.wait_until(
            lambda: {h.register.version for h in group.running()} == {11}
        )
        assert group.members() == {"a", "b", "c"}
        assert group.losses_borne() == 1
        await group.stop()

    run_virtual(main())


def test_founder_tries_again_after_its_disk_was_full(make_control_group):
    # Guards against a system that never forms because its first host could not store.
    async def main() -> None:
        group = make_control_group()
        founder = ControlHost("a")
        group.hosts["a"] = founder
        founder.disk.full = True
        group.begin("a", "b", "c")
        await asyncio.sleep(2.0)
        founder.disk.full = False
        await group.submit(7, timeout_s=4.0)
        await group.stop()

    run_virtual(main())


@pytest.mark.parametrize("leads", [False, True])
@pytest.mark.parametrize("change_count", [1, 80])
def test_host_whose_files_were_removed_joins_again_by_itself(
    make_control_group, leads, change_count
):
    # Guards against a folder that holds the files written since, but not the vote or
    # the entries, so that the host can't use it after a restart.
    async def main() -> None:
        group = make_control_group()
        await group.form("a", "b", "c")
        await group.submit(1)
        leader = group.leader()
        name = leader if leads else next(n for n in group.hosts if n != leader)
        group.hosts[name].disk.remove_files()
        for version in range(2, 2 + change_count):
            await group.submit(version)
        await asyncio.sleep(_CATCH_UP_S)
        for host in group.hosts:
            group.power_off(host)
        for host in group.hosts:
            group.start(host)
        assert await group.read_version() == version
        await group.wait_until(lambda: group.losses_borne() == 1)
        await group.submit(version + 1)
        await group.wait_until(
            lambda: {h.register.version for h in group.running()} == {version + 1}
        )
        assert group.members() == {"a", "b", "c"}


def test_group_forms_although_its_first_host_restarts_at_once(make_control_group):
    # Guards against a system that never starts because one process ended before it had
    # founded the group; at its next start it is not the system's first start any more.
    async def main() -> None:
        group = make_control_group()
        group.begin("a", "b", "c", "d")
        group.power_off("a")
        await asyncio.sleep(0.3)
        group.start("a")
        await group.submit(7)
        await group.wait_until(lambda: group.members() == {"a", "b", "c", "d"})
        await group.stop()

    run_virtual(main())


@pytest.mark.parametrize("lost", ["a", "b", "c"])
def test_group_forms_without_one_of_its_seeds(make_control_group, lost):
    # Guards against a system that never starts because one host does not.
    async def main() -> None:
        group = make_control_group()
        group.begin("a", "b", "c", "d")
        group.power_off(lost)
        await group.submit(7)
        await group.wait_until(lambda: group.voter_count() == 3)
        await group.stop()

    run_virtual(main())
