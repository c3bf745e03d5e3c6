"""Changes of the group's members, one at a time."""

import dataclasses
from typing import TYPE_CHECKING

from kingcuplug_log._core import Core
from kingcuplug_log._errors import ChangeRefused
from kingcuplug_log._group import majority, members_data
from kingcuplug_log._types import EntryKind, Member, MemberRole

if TYPE_CHECKING:
    from kingcuplug_log._leadership import Leadership

__all__ = ["Changes"]


class Changes:
    """Adds, promotes and removes members while this replica leads.

    A change begins only when the one before it and an entry of the leader's own
    term are committed, so that any two quorums of successive groups overlap.
    """

    def __init__(self, core: Core, leadership: "Leadership") -> None:
        self._core = core
        self._leadership = leadership

    def start(self, add: Member | None, remove: str | None) -> int:
        """Start a change of members and return the index of its entry.

        Raises
        ------
        ChangeRefused
            If another change is in progress, or the change makes no sense now.
        """
        if not self._may_change():
            raise ChangeRefused(
                "another change of members is in progress, or the term has just begun",
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
        """Return a learner that can be promoted now."""
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
        known = self._core.group.find(add.id)
        if known is None:
            return (*self._core.group.members, learner)
        if known.role is add.role and known.address != add.address:
            return self._replaced(add)
        if known.role is MemberRole.OBSERVER and learner.role is MemberRole.LEARNER:
            return self._replaced(learner)
        raise ChangeRefused(
            f"{add.id} is a member already, with role {known.role}",
            "remove it first, or give another address or a voting role",
        )

    def _without(self, remove: str) -> tuple[Member, ...]:
        group = self._core.group
        if group.find(remove) is None:
            raise ChangeRefused(
                f"{remove} is not a member", "see status() for the members"
            )
        rest = [voter.id for voter in group.voters if voter.id != remove]
        answering = sum(self._leadership.answers(voter) for voter in rest)
        if not rest or answering < majority(len(rest)):
            raise ChangeRefused(
                f"only {answering} of the {len(rest)} voters left would answer",
                "bring the other voters back, or add a voter first",
            )
        return tuple(m for m in group.members if m.id != remove)

    def due(self) -> bool:
        """Return whether the leader has something to do about its members."""
        return self.removed() or self._ready() is not None

    def promote(self) -> None:
        """Make a learner that is caught up and synced a voter."""
        member = self._ready()
        if member is not None:
            promoted = dataclasses.replace(member, role=MemberRole.VOTER)
            self._set_members(self._replaced(promoted))
