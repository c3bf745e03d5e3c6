"""Membership changes must preserve the quorum and report when a loss is safe."""

import asyncio
import dataclasses

import pytest
from kingcuplug_log import ChangeRefused, LogSettings, Member, MemberRole
from kingcuplug_log._group_membership import GroupMembership, members_entry_data
from kingcuplug_log._snapshot import Snapshot
from kingcuplug_log._types import Entry, EntryKind
from kingcuplug_testkit import LogGroup, run_virtual


def _is_safe_to_lose_one(group: LogGroup) -> bool:
    leader = group.leader()
    return leader is not None and group.replica(leader.name).status().safe_to_lose_one


def test_repaired_group_survives_second_disk_loss() -> None:
    # Guards against reporting a second loss as safe before the repair is done.
    async def main() -> None:
        group = LogGroup("second loss")
        await group.start("a", "b", "c")
        await group.propose({"n": 1})
        await group.wait_until(lambda: _is_safe_to_lose_one(group))
        lost = group.followers()[0]
        lost_id = lost.member.id
        lost.disk.wipe()
        await asyncio.sleep(group.settings.election_timeout)
        assert not _is_safe_to_lose_one(group)
        await lost.start()
        await group.join(lost.name)
        # One of the four voters is permanently lost: a second loss breaks the quorum.
        assert not _is_safe_to_lose_one(group)
        await group.change_members(remove=lost_id)
        await group.wait_until(lambda: _is_safe_to_lose_one(group))
        second_lost = await group.wait_for_leader()
        second_lost.disk.wipe()
        second_lost.decommissioned = True
        await group.propose({"n": 2})
        await group.wait_until_converged()
        assert [value["n"] for value in lost.state_machine.values] == [1, 2]
        await group.stop()

    run_virtual(main())


def test_second_change_is_refused_while_one_is_pending() -> None:
    # Guards against two concurrent changes whose quorums may not overlap.
    async def main() -> None:
        group = LogGroup("one change")
        await group.start("a", "b", "c")
        new_host = await group.add_host("d")
        leader = await group.wait_for_leader()
        replica = group.replica(leader.name)
        pending_change = asyncio.ensure_future(
            replica.change_members(add=new_host.member)
        )
        await asyncio.sleep(0)
        with pytest.raises(ChangeRefused):
            await replica.change_members(remove=group.followers()[0].member.id)
        await pending_change
        await group.stop()

    run_virtual(main())


def test_change_is_refused_before_commit_in_own_term() -> None:
    # Guards against a new leader that starts a change while a previous one may not
    # be committed.
    async def main() -> None:
        group = LogGroup("own term")
        await group.start("a", "b", "c")
        crashed_leader = await group.wait_for_leader()
        crashed_leader.disk.crash()
        await group.wait_until(
            lambda: group.leader() is not None, poll_interval_s=0.0001
        )
        new_leader = group.leader()
        assert new_leader is not None
        with pytest.raises(ChangeRefused):
            await group.replica(new_leader.name).change_members(
                remove=crashed_leader.member.id
            )
        await group.change_members(remove=crashed_leader.member.id)
        await group.stop()

    run_virtual(main())


def test_removal_that_breaks_quorum_is_refused() -> None:
    # Guards against removing a live voter instead of the crashed one by mistake.
    async def main() -> None:
        group = LogGroup("last quorum")
        await group.start("a", "b", "c")
        crashed, live = group.followers()
        crashed.disk.crash()
        await asyncio.sleep(group.settings.election_timeout)
        leader = await group.wait_for_leader()
        with pytest.raises(ChangeRefused):
            await group.replica(leader.name).change_members(remove=live.member.id)
        await group.propose({"n": 1})
        await group.stop()

    run_virtual(main())


def test_observer_is_not_counted_in_quorum() -> None:
    # Guards against an observer whose loss blocks the group, or that becomes a voter.
    async def main() -> None:
        group = LogGroup("observer")
        await group.start("a")
        host = await group.add_host("o")
        observer_member = dataclasses.replace(host.member, role=MemberRole.OBSERVER)
        await group.change_members(add=observer_member)
        await group.propose({"n": 1})
        await group.wait_until_converged()
        assert host.state_machine.values == [{"n": 1}]
        host.disk.crash()
        await group.propose({"n": 2})
        await host.start()
        await group.wait_until_converged()
        assert not group.is_voter(observer_member.id)
        await group.stop()

    run_virtual(main())


def test_removed_leader_steps_down() -> None:
    # Guards against a leader that keeps leading after its removal.
    async def main() -> None:
        group = LogGroup("removed leader")
        await group.start("a", "b", "c")
        removed_leader = await group.wait_for_leader()
        await group.replica(removed_leader.name).change_members(
            remove=removed_leader.member.id
        )
        await group.wait_until(lambda: not group.replica(removed_leader.name).leading)
        await group.propose({"n": 1})
        assert group.leader() is not removed_leader
        await group.stop()

    run_virtual(main())


def test_intended_size_survives_snapshots_and_other_leaders() -> None:
    # Guards against a new leader that takes a successor for one more voter.
    async def main() -> None:
        settings = LogSettings(snapshot_entries=4, retained_entries=1)
        group = LogGroup("intended size", settings)
        await group.start("a", "b", "c")
        new_host = await group.add_host("d")
        leader = await group.wait_for_leader()
        await group.replica(leader.name).change_members(
            add=new_host.member, enlarge=False
        )
        await group.wait_until(lambda: group.is_voter(new_host.member.id))
        for number in range(12):
            await group.propose({"number": number})
        leader.disk.crash()
        await group.wait_until(lambda: group.leader() not in (None, leader))
        await leader.start()
        await group.wait_until_converged()
        for host in group.running_hosts():
            status = group.replica(host.name).status()
            assert (status.intended_size, len(status.members)) == (3, 4)
        await group.stop()

    run_virtual(main())


def test_log_of_an_older_version_has_no_intended_size() -> None:
    # Guards against a group that cannot start, or shrinks, with data of older versions.
    data = members_entry_data("test", [Member("a/1", "a", "a")], 3)
    del data["intended_size"]
    membership = GroupMembership()
    membership.append_entries([Entry(1, 1, EntryKind.MEMBERS, data)])
    assert (membership.intended_size, len(membership.members)) == (0, 1)
    snapshot = Snapshot(2, 1, "test", membership.members, {}, 3).to_json()
    del snapshot["intended_size"]
    assert Snapshot.from_json(snapshot).intended_size == 0
