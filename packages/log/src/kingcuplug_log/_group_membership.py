"""Membership of the group, as set by the entries of the log."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from typing import Any

from kingcuplug_log._snapshot import Snapshot
from kingcuplug_log._types import Entry, EntryKind, Member, MemberRole

__all__ = ["GroupMembership", "members_entry_data", "quorum_size"]


def quorum_size(voter_count: int) -> int:
    """Return the size of a majority of `voter_count` voters."""
    return voter_count // 2 + 1


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


class GroupMembership:
    """Members of the group by log index; the latest in the log are current.

    A members entry takes effect when it is appended, not when it is committed, so
    replacing a suffix of the log also reverts its changes.

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
    def voters(self) -> tuple[Member, ...]:
        """Current members that vote."""
        return tuple(m for m in self.members if m.role is MemberRole.VOTER)

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
                _Version(snapshot.index, snapshot.members, snapshot.intended_size)
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

    def _append_version(self, entry: Entry) -> None:
        self.cluster = entry.data["cluster"]
        members = tuple(map(Member.from_json, entry.data["members"]))
        intended_size = entry.data.get("intended_size", 0)
        self._versions.append(_Version(entry.index, members, intended_size))
