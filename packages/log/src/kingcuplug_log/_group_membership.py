"""Membership of the group, as set by the entries of the log."""

from collections.abc import Iterable, Sequence
from typing import Any

from kingcuplug_log._snapshot import Snapshot
from kingcuplug_log._types import Entry, EntryKind, Member, MemberRole

__all__ = ["GroupMembership", "members_entry_data", "quorum_size"]


def quorum_size(voter_count: int) -> int:
    """Return the size of a majority of `voter_count` voters."""
    return voter_count // 2 + 1


def members_entry_data(cluster: str, members: Iterable[Member]) -> dict[str, Any]:
    """Return the data of an entry that sets the members."""
    return {"cluster": cluster, "members": [member.to_json() for member in members]}


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
        self._versions: list[tuple[int, tuple[Member, ...]]] = []

    @property
    def members(self) -> tuple[Member, ...]:
        """Current members."""
        return self._versions[-1][1] if self._versions else ()

    @property
    def members_index(self) -> int:
        """Index of the entry that set the current members."""
        return self._versions[-1][0] if self._versions else 0

    @property
    def voters(self) -> tuple[Member, ...]:
        """Current members that vote."""
        return tuple(m for m in self.members if m.role is MemberRole.VOTER)

    def members_at(self, index: int) -> tuple[Member, ...]:
        """Return the members as of entry `index`."""
        latest: tuple[Member, ...] = ()
        for start, members in self._versions:
            if start <= index:
                latest = members
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
            self._versions = [(snapshot.index, snapshot.members)]
        if entries:
            self.append_entries(
                [e for e in entries if not snapshot or e.index > snapshot.index]
            )

    def append_entries(self, entries: Sequence[Entry]) -> None:
        """Apply entries that replace everything from their first index on."""
        if not entries:
            return
        first = entries[0].index
        self._versions = [v for v in self._versions if v[0] < first]
        for entry in entries:
            if entry.kind is EntryKind.MEMBERS:
                self._append_version(entry)

    def _append_version(self, entry: Entry) -> None:
        self.cluster = entry.data["cluster"]
        members = tuple(map(Member.from_json, entry.data["members"]))
        self._versions.append((entry.index, members))
