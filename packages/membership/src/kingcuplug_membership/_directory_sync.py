"""Synchronisation of an entry host's directory with its home control host."""

from collections.abc import Callable

from kingcuplug_membership._directory import Directory
from kingcuplug_membership._entry import Key
from kingcuplug_membership._messages import SessionReply

__all__ = ["DirectoryIntake"]


class DirectoryIntake:
    """Merges session replies, and drops servers that a new home does not list.

    Servers are dropped only after `delay` seconds, a server lease period: a restarted
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
        self, directory: Directory, clock: Callable[[], float], delay: float
    ) -> None:
        self.version = 0
        self.complete = False
        self._directory = directory
        self._clock = clock
        self._delay = delay
        self._seen: set[Key] | None = None
        self._doubted: set[Key] = set()
        self._doubted_until = 0.0

    def start(self) -> None:
        """Start over; the next reply begins the whole directory."""
        self.version = 0
        self._seen = None

    def take(self, reply: SessionReply) -> None:
        """Merge the entries of a reply."""
        if reply.full:
            self._seen = set()
        for entry in reply.entries:
            self._doubted.discard(entry.key)
            if self._seen is not None:
                self._seen.add(entry.key)
            self._directory.merge(entry)
        self.version = reply.directory
        self._drop_doubted()
        if not reply.more:
            self._finish()
        self._directory.purge()

    def _finish(self) -> None:
        self.complete = True
        if self._seen is not None:
            self._doubted = set(self._directory.keys()) - self._seen
            self._doubted_until = self._clock() + self._delay
            self._seen = None

    def _drop_doubted(self) -> None:
        if self._clock() < self._doubted_until:
            return
        for key in self._doubted.intersection(self._directory.keys()):
            self._directory.drop(key)
        self._doubted = set()
