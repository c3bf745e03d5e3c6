"""The entries of the log in memory."""

from collections.abc import Sequence

from kingcuplug_log._types import Entry

__all__ = ["EntryList"]


class EntryList:
    """A contiguous run of entries after a base.

    Attributes
    ----------
    base_index, base_term : int
        Index and term of the entry before the first one held.
    """

    def __init__(self, base_index: int = 0, base_term: int = 0) -> None:
        self.base_index = base_index
        self.base_term = base_term
        self._entries: list[Entry] = []

    @property
    def last_index(self) -> int:
        """Index of the last entry, or of the base."""
        return self.base_index + len(self._entries)

    @property
    def last_term(self) -> int:
        """Term of the last entry, or of the base."""
        return self._entries[-1].term if self._entries else self.base_term

    def term_at(self, index: int) -> int | None:
        """Return the term at `index`, or ``None`` if it is not held."""
        if index == self.base_index:
            return self.base_term
        if self.base_index < index <= self.last_index:
            return self._entries[index - self.base_index - 1].term
        return None

    def slice(self, first: int, limit: int | None = None) -> list[Entry]:
        """Return up to `limit` entries from index `first`."""
        start = first - self.base_index - 1
        if start < 0:
            raise ValueError(f"entry {first} is before the first held entry")
        return self._entries[start : None if limit is None else start + limit]

    def replace(self, entries: Sequence[Entry]) -> None:
        """Put `entries` in place of everything from their first index on."""
        start = entries[0].index - self.base_index - 1
        if not 0 <= start <= len(self._entries):
            raise ValueError(
                f"entry {entries[0].index} leaves a gap after {self.last_index}"
            )
        self._entries[start:] = entries

    def compact(self, base_index: int, base_term: int) -> None:
        """Drop entries up to `base_index`, or all if the log differs there."""
        if self.term_at(base_index) == base_term:
            self._entries = self.slice(base_index + 1)
        else:
            self._entries = []
        self.base_index, self.base_term = base_index, base_term
