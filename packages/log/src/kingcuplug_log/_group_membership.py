"""Membership of the group, as set by the entries of the log."""

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, replace
from typing import Any

from kingcuplug_log._quorum_rule import QuorumRule
from kingcuplug_log._snapshot import Snapshot
from kingcuplug_log._types import Entry, EntryKind, Member, MemberRole

__all__ = [
    "NOOP_DATA",
    "GroupMembership",
    "members_entry_data",
    "without_half_quorums",
]

# Data of the first entry of a term whose leader knows of half quorums.
NOOP_DATA = {"half_quorums": True}


def without_half_quorums(members: Iterable[Member]) -> tuple[Member, ...]:
    """Return members that are not known to run a version with half quorums."""
    return tuple(replace(member, half_quorums=False) for member in members)


def members_entry_data(
    cluster: str, members: Iterable[Member], intended_size: int = 0
) -> dict[str, Any]:
    """Return the data of an entry that sets the members."""
    return {
        "cluster": cluster,
        "members": [member.to_json() for member in members],
        "intended_size": intended_size,
    }


@dataclass(frozen=True, slots=True)
class _Version:
    """Membership as set by the entry `index`."""

    index: int
    members: tuple[Member, ...]
    intended_size: int
    rule: QuorumRule

    @classmethod
    def create(
        cls, index: int, members: Iterable[Member], intended_size: int
    ) -> "_Version":
        listed = tuple(members)
        return cls(index, listed, intended_size, QuorumRule.from_members(listed))


class GroupMembership:
    """Members of the group by log index; the latest in the log are current.

    A members entry takes effect when it is appended, not when it is committed, so
    replacing a suffix of the log also reverts its changes.

    A leader of an earlier version changes the voters by majorities of the new ones. The
    first entry of its term shows its version, and half quorums are then out of force
    until members state again that they know of them.

    Attributes
    ----------
    cluster : str or None
        Identifier of the cluster; ``None`` before the first entry or snapshot.
    """

    def __init__(self) -> None:
        self.cluster: str | None = None
        self._versions: list[_Version] = []

    @property
    def members(self) -> tuple[Member, ...]:
        """Current members."""
        return self._versions[-1].members if self._versions else ()

    @property
    def intended_size(self) -> int:
        """Number of voters that the group is meant to have; 0 if unknown."""
        return self._versions[-1].intended_size if self._versions else 0

    @property
    def members_index(self) -> int:
        """Index of the entry that set the current members."""
        return self._versions[-1].index if self._versions else 0

    @property
    def quorum_rule(self) -> QuorumRule:
        """Which members decide together."""
        return self._versions[-1].rule if self._versions else _NO_MEMBERS

    @property
    def voters(self) -> tuple[Member, ...]:
        """Current members that vote."""
        return tuple(m for m in self.members if m.role is MemberRole.VOTER)

    @property
    def in_transition(self) -> bool:
        """Whether a voter joins or leaves."""
        return len(self.quorum_rule.voter_sets) > 1

    def at(self, index: int) -> tuple[tuple[Member, ...], int]:
        """Return the members and the intended size as of entry `index`."""
        latest: tuple[tuple[Member, ...], int] = ((), 0)
        for version in self._versions:
            if version.index <= index:
                latest = version.members, version.intended_size
        return latest

    def find_member(self, identifier: str | None) -> Member | None:
        """Return the current member with this identifier, or ``None``."""
        return next((m for m in self.members if m.id == identifier), None)

    def is_voter(self, identifier: str) -> bool:
        """Return whether the member with this identifier is a voter."""
        member = self.find_member(identifier)
        return member is not None and member.role is MemberRole.VOTER

    def restore(self, snapshot: Snapshot | None, entries: Sequence[Entry]) -> None:
        """Rebuild the history from a snapshot and the stored entries."""
        if snapshot is not None:
            self.cluster = snapshot.cluster
            self._versions = [
                _Version.create(
                    snapshot.index, snapshot.members, snapshot.intended_size
                )
            ]
        if entries:
            self.append_entries(
                [e for e in entries if not snapshot or e.index > snapshot.index]
            )

    def append_entries(self, entries: Sequence[Entry]) -> None:
        """Apply entries that replace everything from their first index on."""
        if not entries:
            return
        first = entries[0].index
        self._versions = [v for v in self._versions if v.index < first]
        for entry in entries:
            if entry.kind is EntryKind.MEMBERS:
                self._append_version(entry)
            elif entry.kind is EntryKind.NOOP and not _has_half_quorums(entry):
                self._disable_half_quorums(entry.index)

    def _append_version(self, entry: Entry) -> None:
        self.cluster = entry.data["cluster"]
        members = tuple(map(Member.from_json, entry.data["members"]))
        intended_size = entry.data.get("intended_size", 0)
        self._versions.append(_Version.create(entry.index, members, intended_size))

    def _disable_half_quorums(self, index: int) -> None:
        members = without_half_quorums(self.members)
        if members != self.members:
            self._versions.append(_Version.create(index, members, self.intended_size))


def _has_half_quorums(noop: Entry) -> bool:
    return isinstance(noop.data, Mapping) and noop.data.get("half_quorums") is True


_NO_MEMBERS = QuorumRule.from_members(())
