"""Quorums of half of the voters beside a lost disk, and groups of mixed versions."""

import asyncio
import dataclasses
from itertools import combinations

import pytest
from kingcuplug_log import Member, MemberRole, QuorumRule
from kingcuplug_log._group_membership import (
    NOOP_DATA,
    GroupMembership,
    members_entry_data,
)
from kingcuplug_log._snapshot import Snapshot
from kingcuplug_log._types import Entry, EntryKind, VoterTransition
from kingcuplug_testkit import LogGroup, run_virtual

_JOINING, _LEAVING = VoterTransition.JOINING, VoterTransition.LEAVING


def _voters(names: str, **fields) -> list[Member]:
    defaults = {"half_quorums": True} | fields
    return [Member(f"{name}/1", name, name, **defaults) for name in names]


def _ids(names: str) -> set[str]:
    return {f"{name}/1" for name in names}


def _quorums(rule: QuorumRule, replaced: set[str]) -> list[set[str]]:
    everyone = sorted(rule.voter_sets[0])
    subsets = (
        set(subset)
        for size in range(len(everyone) + 1)
        for subset in combinations(everyone, size)
    )
    return [subset for subset in subsets if rule.is_met(subset, replaced)]


@pytest.mark.parametrize("names", ["ab", "abc", "abcd", "abcde", "abcdef"])
def test_quorums_before_and_after_a_loss_share_a_voter(names):
    """Guards against two leaders of a term, and against lost entries."""
    rule = QuorumRule.from_members(_voters(names))
    before, after = _quorums(rule, set()), _quorums(rule, _ids("a"))
    assert all(one & other for one in after for other in before + after)


@pytest.mark.parametrize(
    ("transition", "settled"), [(_JOINING, "bcd"), (_LEAVING, "bcd")]
)
def test_change_shares_a_voter_with_quorums_of_both_sets(transition, settled):
    """Guards against a change that only a majority of the new voters has."""
    moving = dataclasses.replace(_voters("a")[0], transition=transition)
    changing = QuorumRule.from_members([moving, *_voters("bcd")])
    replaced = _ids("b")
    for names in ("abcd", settled):
        others = _quorums(QuorumRule.from_members(_voters(names)), replaced)
        for one in _quorums(changing, replaced):
            assert all(one & other for other in others)


def test_half_counts_only_where_all_voters_know_of_it():
    """Guards against a half beside a leader of an earlier version."""
    mixed = [*_voters("abc"), *_voters("d", half_quorums=False)]
    for members, expected in ((_voters("abcd"), True), (mixed, False)):
        rule = QuorumRule.from_members(members)
        assert rule.is_met(_ids("cd"), _ids("a")) is expected
        assert not rule.is_met(_ids("cd"), set())
        assert rule.losses_borne(_ids("bcd")) == (1 if expected else 0)


def _membership(*entries: Entry) -> GroupMembership:
    membership = GroupMembership()
    membership.append_entries(entries)
    return membership


def test_term_of_an_earlier_version_puts_half_quorums_out_of_force():
    """Guards against half quorums beside changes by majorities of the new voters."""
    data = members_entry_data("test", _voters("abcd"), 3)
    first = Entry(1, 1, EntryKind.MEMBERS, data)
    current = Entry(2, 1, EntryKind.NOOP, NOOP_DATA)
    earlier = Entry(2, 1, EntryKind.NOOP, None)
    assert _membership(first, current).quorum_rule.half_quorums
    membership = _membership(first, earlier)
    assert not membership.quorum_rule.half_quorums
    assert membership.members_index == 2
    # The entry is replaced by another leader.
    membership.append_entries([current])
    assert membership.quorum_rule.half_quorums


def test_members_keep_the_versions_and_the_change_in_entries_and_snapshots():
    """Guards against another quorum rule after a restart than before it."""
    leaving = dataclasses.replace(_voters("a")[0], transition=_LEAVING)
    members = (leaving, *_voters("bcd"))
    data = members_entry_data("test", members, 3)
    assert _membership(Entry(1, 1, EntryKind.MEMBERS, data)).members == members
    snapshot = Snapshot.from_json(Snapshot(1, 1, "test", members, {}, 3).to_json())
    membership = GroupMembership()
    membership.restore(snapshot, [])
    assert len(membership.quorum_rule.voter_sets) == 2
    assert membership.quorum_rule.half_quorums


async def _start_group(seed: str, names: str) -> LogGroup:
    """Start a group whose voters have all stated that they know of half quorums."""
    group = LogGroup(seed)
    first, *others = names
    await group.start(first)
    await _declare(group, first)
    for name in others:
        host = await group.add_host(name)
        host.member = dataclasses.replace(host.member, half_quorums=True)
        await group.join(name)
    await group.wait_until(lambda: _has_half_quorums(group))
    return group


async def _declare(group: LogGroup, name: str) -> None:
    leader = await group.wait_for_leader()
    member = dataclasses.replace(group.hosts[name].member, half_quorums=True)
    await group.replica(leader.name).change_members(add=member)


def _rule(group: LogGroup) -> QuorumRule:
    leader = group.leader()
    members = group.replica(leader.name).status().members if leader else ()
    return QuorumRule.from_members(members)


def _has_half_quorums(group: LogGroup) -> bool:
    rule = _rule(group)
    return rule.half_quorums and len(rule.voter_sets) == 1


def test_four_voters_go_on_without_one_beside_a_lost_disk() -> None:
    """Guards against a lost disk that ends a group of an even number of voters."""

    async def main() -> None:
        group = await _start_group("half", "abcd")
        await group.propose({"n": 1})
        leader = await group.wait_for_leader()
        leader.disk.crash()
        leader.decommissioned = True
        lost = group.running_hosts()[0]
        lost.disk.wipe()
        await asyncio.sleep(10 * group.settings.election_timeout)
        assert group.leader() is None
        await lost.start()
        await group.propose({"n": 2})
        await group.stop()

    run_virtual(main())


def test_host_of_another_name_at_the_address_is_no_proof_of_a_lost_disk() -> None:
    """Guards against a member that returns after its address was given away."""

    async def main() -> None:
        group = await _start_group("address", "abcd")
        leader = await group.wait_for_leader()
        other, *_ = group.followers()
        leader.disk.crash()
        other.disk.crash()
        stranger = await group.add_host("stranger")
        replica = group.replica("stranger")
        group.network.attach(other.name, replica.handle)
        await asyncio.sleep(10 * group.settings.election_timeout)
        assert group.leader() is None
        await stranger.stop()
        await other.start()
        await group.propose({"n": 1})
        await group.stop()

    run_virtual(main())


def test_voter_of_an_earlier_version_joins_after_half_quorums_are_out_of_force() -> (
    None
):
    """Guards against a change in one step beside half quorums."""

    async def main() -> None:
        group = await _start_group("earlier", "abc")
        host = await group.add_host("d")
        await group.join("d")
        assert group.is_voter(host.member.id)
        assert not _rule(group).half_quorums
        for name in "abc":
            await _declare(group, name)
        assert not _rule(group).half_quorums
        await _declare(group, "d")
        assert _rule(group).half_quorums
        await group.stop()

    run_virtual(main())


def test_removal_is_completed_by_a_later_leader() -> None:
    """Guards against a change that stays half done when its leader fails."""

    async def main() -> None:
        group = await _start_group("completed", "abcd")
        leader = await group.wait_for_leader()
        removed = group.followers()[0].member.id
        change = asyncio.ensure_future(
            group.replica(leader.name).change_members(remove=removed)
        )
        await group.wait_until(
            lambda: len(_rule(group).voter_sets) == 2, poll_interval_s=0.0005
        )
        leader.disk.crash()
        with pytest.raises(Exception, match=r"."):
            await change
        await group.wait_until(lambda: group.leader() not in (None, leader))
        await leader.start()
        await group.wait_until(lambda: len(_rule(group).voter_sets) == 1)
        voters = _rule(group).voter_sets[0]
        assert len(voters) == (3 if removed not in voters else 4)
        await group.propose({"n": 1})
        await group.stop()

    run_virtual(main())


def test_observer_does_not_state_the_version_of_the_voters() -> None:
    """Guards against a rule that depends on members without a vote."""
    observer = _voters("d", half_quorums=False, role=MemberRole.OBSERVER)
    assert QuorumRule.from_members([*_voters("abc"), *observer]).half_quorums
