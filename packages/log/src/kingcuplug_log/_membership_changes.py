"""Membership changes of the group, one at a time.

Where half quorums are in force, a voter is added or removed in two entries: the first
lists it with its transition, and is decided by a quorum of the voters with it and one
of the voters without it; the second completes the change. Otherwise one entry suffices,
because majorities of both sets share a voter.
"""

import dataclasses
from typing import TYPE_CHECKING

from kingcuplug_log._errors import ChangeRefused, LostLeadership
from kingcuplug_log._group_membership import members_entry_data, without_half_quorums
from kingcuplug_log._quorum_rule import QuorumRule
from kingcuplug_log._replica_state import ReplicaState
from kingcuplug_log._types import EntryKind, Member, MemberRole, VoterTransition

if TYPE_CHECKING:
    from kingcuplug_log._leadership import Leadership

__all__ = ["MembershipChanges"]


class MembershipChanges:
    """Adds, promotes and removes members while this replica is the leader.

    A change starts only after the previous change and an entry of the leader's own
    term are committed, so that the quorums of successive configurations overlap.
    """

    def __init__(self, state: ReplicaState, leadership: "Leadership") -> None:
        self._state = state
        self._leadership = leadership

    def start(self, add: Member | None, remove: str | None, enlarge: bool) -> int:
        """Start a membership change and return the index of its entry.

        Parameters
        ----------
        enlarge : bool
            Whether the group is meant to have as many voters as it then has members.

        Raises
        ------
        ChangeRefused
            If another change is in progress, or the change is not valid for the
            current members.
        """
        if not self._is_change_allowed():
            raise ChangeRefused(
                "another membership change is in progress, or the term has just begun",
                "try again when status() shows the change as committed",
            )
        if add is not None:
            return self._append_members_entry(self._members_with_addition(add), enlarge)
        return self._append_members_entry(self._members_with_removal(remove or ""))

    async def wait_completed(self, index: int) -> None:
        """Wait until the change that entry `index` began is completed and committed.

        Raises
        ------
        LostLeadership
            If the leadership ends before; another leader completes the change.
        """

        def is_completed() -> bool:
            group = self._state.group
            committed = group.members_index <= self._state.commit_index
            return committed and not group.in_transition

        await self._state.changed.wait_for(
            lambda: is_completed() or not self._leadership.active
        )
        if not is_completed():
            raise LostLeadership(index)

    def is_removed(self) -> bool:
        """Return whether this replica has been removed from the voters."""
        group = self._state.group
        applied = self._state.applied_index >= group.members_index
        return applied and not group.is_voter(self._state.member.id)

    def _find_promotable_learner(self) -> Member | None:
        """Return a learner that can be promoted now, or ``None``."""
        if not self._is_change_allowed():
            return None
        for progress in self._leadership.promotable_learners():
            return self._state.group.find_member(progress.member.id)
        return None

    def _is_change_allowed(self) -> bool:
        return self._is_settled() and not self._state.group.in_transition

    def _is_settled(self) -> bool:
        """Return whether the current members and an entry of the term are committed."""
        return (
            self._leadership.has_committed_in_term
            and self._state.group.members_index <= self._state.commit_index
        )

    def _append_members_entry(
        self, members: tuple[Member, ...], enlarge: bool = False
    ) -> int:
        group = self._state.group
        # Logs of older versions do not have the size.
        size = group.intended_size or len(group.voters)
        if enlarge:
            voting = sum(m.role is not MemberRole.OBSERVER for m in members)
            size = max(size, voting)
        return self._leadership.append(
            EntryKind.MEMBERS, members_entry_data(group.cluster or "", members, size)
        )

    def _members_with_update(self, member: Member) -> tuple[Member, ...]:
        members = self._state.group.members
        return tuple(member if m.id == member.id else m for m in members)

    def _members_with_addition(self, add: Member) -> tuple[Member, ...]:
        learner = add
        if add.role is MemberRole.VOTER:
            learner = dataclasses.replace(add, role=MemberRole.LEARNER)
        existing = self._state.group.find_member(add.id)
        if existing is None:
            return (*self._state.group.members, learner)
        if existing.role is add.role and existing != add:
            return self._members_with_update(add)
        if existing.role is MemberRole.OBSERVER and learner.role is MemberRole.LEARNER:
            return self._members_with_update(learner)
        raise ChangeRefused(
            f"{add.id} is already a member, with role {existing.role}",
            "remove it first, or specify another address or a voting role",
        )

    def _members_with_removal(self, identifier: str) -> tuple[Member, ...]:
        group = self._state.group
        removed = group.find_member(identifier)
        if removed is None:
            raise ChangeRefused(
                f"{identifier} is not a member", "see status() for the members"
            )
        remaining = tuple(m for m in group.members if m.id != identifier)
        responsive = self._leadership.responsive_members()
        rule = QuorumRule.from_members(remaining)
        if not rule.is_met(responsive, self._state.replaced_members):
            voters = rule.voter_sets[0]
            raise ChangeRefused(
                f"only {len(voters & responsive)} of the {len(voters)} remaining "
                "voters respond",
                "restart the other voters, or add a voter first",
            )
        if removed.role is not MemberRole.VOTER:
            return remaining
        if group.quorum_rule.half_quorums:
            leaving = dataclasses.replace(removed, transition=VoterTransition.LEAVING)
            return self._members_with_update(leaving)
        return _without_new_half_quorums(remaining)

    def has_pending_action(self) -> bool:
        """Return whether the leader must step down or continue a change."""
        return (
            self.is_removed()
            or self._has_transition_to_complete()
            or self._find_promotable_learner() is not None
        )

    def advance(self) -> None:
        """Complete a change, or make a learner that is caught up a voter."""
        if self._has_transition_to_complete():
            self._append_members_entry(self._members_after_transition())
            return
        learner = self._find_promotable_learner()
        if learner is not None:
            self._append_members_entry(self._members_with_promotion(learner))

    def _has_transition_to_complete(self) -> bool:
        return self._is_settled() and self._state.group.in_transition

    def _members_after_transition(self) -> tuple[Member, ...]:
        return tuple(
            dataclasses.replace(member, transition=None)
            for member in self._state.group.members
            if member.transition is not VoterTransition.LEAVING
        )

    def _members_with_promotion(self, learner: Member) -> tuple[Member, ...]:
        group = self._state.group
        promoted = dataclasses.replace(learner, role=MemberRole.VOTER)
        if not group.quorum_rule.half_quorums:
            return _without_new_half_quorums(self._members_with_update(promoted))
        if not learner.half_quorums:
            # The learner is promoted once half quorums are out of force.
            return without_half_quorums(group.members)
        joining = dataclasses.replace(promoted, transition=VoterTransition.JOINING)
        return self._members_with_update(joining)


def _without_new_half_quorums(members: tuple[Member, ...]) -> tuple[Member, ...]:
    """Return changed members among which half quorums do not come into force.

    A half of the new voters need not share one with a majority of the former ones. The
    members state again which version they run.
    """
    if QuorumRule.from_members(members).half_quorums:
        return without_half_quorums(members)
    return members
