"""In-memory list of log entries."""

from collections.abc import Sequence

from kingcuplug_log._types import Entry

__all__ = ["EntryList"]


class EntryList:
    """A contiguous sequence of entries that follows a compacted base.

    Attributes
    ----------
    base_index, base_term : int
        Index and term of the entry before the first stored one.
    """

    def __init__(self, base_index: int = 0, base_term: int = 0) -> None:
        self.base_index = base_index
        self.base_term = base_term
        self._entries: list[Entry] = []

    @property
    def last_index(self) -> int:
        """Index of the last entry, or of the base if there are no entries."""
        return self.base_index + len(self._entries)

    @property
    def last_term(self) -> int:
        """Term of the last entry, or of the base if there are no entries."""
        return self._entries[-1].term if self._entries else self.base_term

    def term_at(self, index: int) -> int | None:
        """Return the term at `index`, or ``None`` if no entry is stored there."""
        if index == self.base_index:
            return self.base_term
        if self.base_index < index <= self.last_index:
            return self._entries[index - self.base_index - 1].term
        return None

    def slice(self, first: int, limit: int | None = None) -> list[Entry]:
        """Return up to `limit` entries from index `first`."""
        offset = first - self.base_index - 1
        if offset < 0:
            raise ValueError(f"entry {first} is before the first stored entry")
        return self._entries[offset : None if limit is None else offset + limit]

    def replace(self, entries: Sequence[Entry]) -> None:
        """Replace everything from the first index of `entries` on."""
        offset = entries[0].index - self.base_index - 1
        if not 0 <= offset <= len(self._entries):
            raise ValueError(
                f"entry {entries[0].index} leaves a gap after {self.last_index}"
            )
        self._entries[offset:] = entries

    def compact(self, base_index: int, base_term: int) -> None:
        """Remove entries up to `base_index`, or all if its term differs."""
        if self.term_at(base_index) == base_term:
            self._entries = self.slice(base_index + 1)
        else:
            self._entries = []
        self.base_index, self.base_term = base_index, base_term
