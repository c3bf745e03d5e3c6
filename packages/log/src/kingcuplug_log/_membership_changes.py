"""Membership changes of the group, one at a time."""

import dataclasses
from typing import TYPE_CHECKING

from kingcuplug_log._errors import ChangeRefused
from kingcuplug_log._group_membership import majority, members_data
from kingcuplug_log._replica_state import Core
from kingcuplug_log._types import EntryKind, Member, MemberRole

if TYPE_CHECKING:
    from kingcuplug_log._leadership import Leadership

__all__ = ["Changes"]


class Changes:
    """Adds, promotes and removes members while this replica is the leader.

    A change starts only after the previous change and an entry of the leader's own
    term are committed, so that the quorums of successive configurations overlap.
    """

    def __init__(self, state: Core, leadership: "Leadership") -> None:
        self._core = state
        self._leadership = leadership

    def start(self, add: Member | None, remove: str | None) -> int:
        """Start a membership change and return the index of its entry.

        Raises
        ------
        ChangeRefused
            If another change is in progress, or the change is not valid for the
            current members.
        """
        if not self._may_change():
            raise ChangeRefused(
                "another membership change is in progress, or the term has just begun",
                "try again when status() shows the change as committed",
            )
        if add is not None:
            return self._set_members(self._with(add))
        return self._set_members(self._without(remove or ""))

    def removed(self) -> bool:
        """Return whether this replica has been removed from the voters."""
        group = self._core.group
        applied = self._core.applied_index >= group.index
        return applied and not group.votes(self._core.member.id)

    def _ready(self) -> Member | None:
        """Return a learner that can be promoted now, or ``None``."""
        if not self._may_change():
            return None
        for progress in self._leadership.learners():
            return self._core.group.find(progress.member.id)
        return None

    def _may_change(self) -> bool:
        return (
            self._leadership.opened
            and self._core.group.index <= self._core.commit_index
        )

    def _set_members(self, members: tuple[Member, ...]) -> int:
        cluster = self._core.group.cluster or ""
        return self._leadership.append(
            EntryKind.MEMBERS, members_data(cluster, members)
        )

    def _replaced(self, member: Member) -> tuple[Member, ...]:
        members = self._core.group.members
        return tuple(member if m.id == member.id else m for m in members)

    def _with(self, add: Member) -> tuple[Member, ...]:
        learner = add
        if add.role is MemberRole.VOTER:
            learner = dataclasses.replace(add, role=MemberRole.LEARNER)
        existing = self._core.group.find(add.id)
        if existing is None:
            return (*self._core.group.members, learner)
        if existing.role is add.role and existing.address != add.address:
            return self._replaced(add)
        if existing.role is MemberRole.OBSERVER and learner.role is MemberRole.LEARNER:
            return self._replaced(learner)
        raise ChangeRefused(
            f"{add.id} is already a member, with role {existing.role}",
            "remove it first, or specify another address or a voting role",
        )

    def _without(self, identifier: str) -> tuple[Member, ...]:
        group = self._core.group
        if group.find(identifier) is None:
            raise ChangeRefused(
                f"{identifier} is not a member", "see status() for the members"
            )
        remaining = [voter.id for voter in group.voters if voter.id != identifier]
        responsive = sum(self._leadership.answers(voter) for voter in remaining)
        if not remaining or responsive < majority(len(remaining)):
            raise ChangeRefused(
                f"only {responsive} of the {len(remaining)} remaining voters respond",
                "restart the other voters, or add a voter first",
            )
        return tuple(m for m in group.members if m.id != identifier)

    def due(self) -> bool:
        """Return whether the leader must step down or promote a learner."""
        return self.removed() or self._ready() is not None

    def promote(self) -> None:
        """Make a learner that is caught up and synced a voter, if there is one."""
        member = self._ready()
        if member is not None:
            promoted = dataclasses.replace(member, role=MemberRole.VOTER)
            self._set_members(self._replaced(promoted))
