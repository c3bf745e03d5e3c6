"""State of one backend server as the directory stores and sends it.

An entry is the join of all updates to the server's greatest announcement. The join is
commutative, associative and idempotent, so updates may arrive in any order and more
than once.
"""

from dataclasses import dataclass

from kingcuplug_membership._announcement import Announcement

__all__ = ["Key", "ServerEntry", "holder_name", "join_entries"]

Key = tuple[str, str]


def holder_name(host: str, incarnation: int) -> str:
    """Return the name under which one run of an entry host holds leases."""
    return f"{host}/{incarnation}"


@dataclass(frozen=True, slots=True)
class ServerEntry:
    """One backend server: its greatest announcement and the leases on it.

    Attributes
    ----------
    held : tuple of str
        Runs of entry hosts, by `holder_name`, that granted a lease on exactly this
        announcement.
    ended : tuple of str
        Those of `held` whose lease has ended. An announcement that reached two
        entry hosts is renewed at one of them only, so the end of the other lease
        does not end the server.
    """

    announcement: Announcement
    held: tuple[str, ...]
    ended: tuple[str, ...] = ()

    @property
    def key(self) -> Key:
        """Return (service, server)."""
        return (self.announcement.service, self.announcement.server)

    @property
    def live(self) -> bool:
        """Return whether the server has a lease and has not withdrawn."""
        if self.announcement.state == "withdrawn":
            return False
        return not set(self.held) <= set(self.ended)

    @property
    def rank(self) -> tuple[int, int, int]:
        """Return (incarnation, sequence, ended)."""
        return (*self.announcement.rank, 0 if self.live else 1)


def join_entries(first: ServerEntry, second: ServerEntry) -> ServerEntry:
    """Return the join of two entries; the greater announcement wins."""
    if first.announcement.rank != second.announcement.rank:
        return max(first, second, key=lambda entry: entry.announcement.rank)
    announcement = first.announcement
    if announcement != second.announcement:
        announcement = max(announcement, second.announcement, key=_tie_break_key)
    return ServerEntry(
        announcement,
        _union(first.held, second.held),
        _union(first.ended, second.ended),
    )


def _tie_break_key(announcement: Announcement) -> tuple[bool, str]:
    # Announcements of equal rank have equal content unless the server is faulty or
    # withdraws. Comparing the text breaks the tie, so that all hosts converge.
    return (announcement.state == "withdrawn", repr(announcement))


def _union(first: tuple[str, ...], second: tuple[str, ...]) -> tuple[str, ...]:
    return first if first == second else tuple(sorted({*first, *second}))
