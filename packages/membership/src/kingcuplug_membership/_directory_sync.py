"""Synchronisation of an entry host's directory with its home control host."""

from collections.abc import Callable

from kingcuplug_membership._directory import Directory
from kingcuplug_membership._entry import Key
from kingcuplug_membership._messages import SessionReply

__all__ = ["DirectorySync"]


class DirectorySync:
    """Merges session replies, and drops servers that a new home does not list.

    Servers are dropped only after `drop_delay_s`, a server lease period: a restarted
    control host receives the leases of other entry hosts a little later than those of
    this one.

    Attributes
    ----------
    version : int
        Version up to which the home's directory is merged.
    complete : bool
        Whether the whole directory has been merged at least once.
    """

    def __init__(
        self, directory: Directory, clock: Callable[[], float], drop_delay_s: float
    ) -> None:
        self.version = 0
        self.complete = False
        self._directory = directory
        self._clock = clock
        self._drop_delay_s = drop_delay_s
        self._listed: set[Key] | None = None
        self._unlisted: set[Key] = set()
        self._drop_unlisted_at = 0.0

    def restart(self) -> None:
        """Start over; the next reply begins the whole directory."""
        self.version = 0
        self._listed = None

    def apply_reply(self, reply: SessionReply) -> None:
        """Merge the entries of a reply."""
        if reply.full:
            self._listed = set()
        for entry in reply.entries:
            self._unlisted.discard(entry.key)
            if self._listed is not None:
                self._listed.add(entry.key)
            self._directory.merge(entry)
        self.version = reply.directory
        self._drop_unlisted()
        if not reply.more:
            self._finish_transfer()
        self._directory.purge_tombstones()

    def _finish_transfer(self) -> None:
        self.complete = True
        if self._listed is not None:
            self._unlisted = set(self._directory.keys()) - self._listed
            self._drop_unlisted_at = self._clock() + self._drop_delay_s
            self._listed = None

    def _drop_unlisted(self) -> None:
        if self._clock() < self._drop_unlisted_at:
            return
        for key in self._unlisted.intersection(self._directory.keys()):
            self._directory.remove(key)
        self._unlisted = set()
