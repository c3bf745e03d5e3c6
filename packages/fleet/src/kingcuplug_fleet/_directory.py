"""The backend servers that this host has heard of."""

import hashlib
from collections.abc import Collection
from dataclasses import dataclass

from kingcuplug_fleet._records import ServerRecord, ServerState

__all__ = ["Directory"]

# Late statements of servers that are gone arrive within the length of a network
# partition; after this time a host no longer has to recognize them.
_ENDED_KEPT_S = 120.0
# A server that says nothing for so long is gone without a word. One that was only
# cut off is kept, because its statements count from where they were.
_SILENT_KEPT_S = 3_600.0


_DIGEST_BYTES = 8  # Two directories differ unnoticed once in 2**64 comparisons.


@dataclass(slots=True)
class _Entry:
    record: ServerRecord
    version: int
    heard_at: float
    first_hand: bool


class Directory:
    """The greatest statement of each server, with a version for each change.

    Parameters
    ----------
    silent_after_s : float
        Without a statement for this long, a server counts as silent.

    Attributes
    ----------
    version : int
        Grows with every change that other hosts must learn.
    first_hand_version : int
        The version of the last change that a server itself told this host.
    digest : int
        Equal at hosts that hold the same statements, whatever their order. Servers
        that have ended do not count, because hosts forget them at different times.
    """

    def __init__(self, silent_after_s: float) -> None:
        self._silent_after_s = silent_after_s
        self._entries: dict[str, _Entry] = {}
        self._newest_at: dict[str, str] = {}
        self.version = 0
        self.first_hand_version = 0
        self.digest = 0

    def merge(self, record: ServerRecord, now: float, first_hand: bool = False) -> bool:
        """Take a statement; return whether other hosts must learn of it.

        Parameters
        ----------
        first_hand : bool
            Whether the server itself made it here.
        """
        entry = self._entries.get(record.id)
        if entry is not None and record.rank <= entry.record.rank:
            return False
        if entry is not None and not record.says_more_than(entry.record):
            entry.record = record
            entry.heard_at = now
            return False
        self.version += 1
        if first_hand:
            self.first_hand_version = self.version
        if entry is not None:
            self.digest ^= _digest(entry.record)
        self.digest ^= _digest(record)
        self._entries[record.id] = _Entry(record, self.version, now, first_hand)
        self._claim_address(record)
        return True

    def heard(self, identifier: str, born_ms: int, sequence: int, now: float) -> None:
        """Take the news that another host has heard a server."""
        entry = self._entries.get(identifier)
        if entry is None or entry.record.born_ms != born_ms:
            return
        if sequence >= entry.record.sequence:
            entry.heard_at = now

    def find(self, identifier: str) -> ServerRecord | None:
        """Return the greatest statement of a server."""
        entry = self._entries.get(identifier)
        return entry.record if entry else None

    def refresh(self, now: float, silent: Collection[str]) -> None:
        """Take the news that all servers but the silent ones were heard elsewhere."""
        for identifier, entry in self._entries.items():
            if identifier not in silent:
                entry.heard_at = now

    def since(self, version: int, first_hand: bool = False) -> list[ServerRecord]:
        """Return the statements that changed after a version.

        Parameters
        ----------
        first_hand : bool
            Only those that servers themselves made here.
        """
        return [
            entry.record
            for entry in self._entries.values()
            if entry.version > version and (entry.first_hand or not first_hand)
        ]

    def leaving(self) -> list[ServerRecord]:
        """Return the statements of servers that take no new work."""
        return [
            entry.record
            for entry in self._entries.values()
            if entry.record.state is not ServerState.READY
        ]

    def usable(self) -> list[ServerRecord]:
        """Return the servers that take new work.

        Of several servers that claim one address the one that started last has it.
        """
        return [
            entry.record
            for entry in self._entries.values()
            if entry.record.state is ServerState.READY
            and self._newest_at.get(entry.record.address) == entry.record.id
        ]

    def silent(self, now: float) -> set[str]:
        """Return the ids of servers whose statements have stopped."""
        limit = now - self._silent_after_s
        return {i for i, entry in self._entries.items() if entry.heard_at < limit}

    def forget(self, now: float) -> None:
        """Drop servers that are long gone."""
        for identifier, entry in tuple(self._entries.items()):
            ended = entry.record.state is ServerState.ENDED
            kept_s = _ENDED_KEPT_S if ended else _SILENT_KEPT_S
            if entry.heard_at < now - kept_s:
                del self._entries[identifier]
                self.digest ^= _digest(entry.record)
                if self._newest_at.get(entry.record.address) == identifier:
                    del self._newest_at[entry.record.address]

    def _claim_address(self, record: ServerRecord) -> None:
        holder = self.find(self._newest_at.get(record.address, ""))
        if holder is None or holder.born_ms <= record.born_ms:
            self._newest_at[record.address] = record.id


def _digest(record: ServerRecord) -> int:
    """Return what a record adds to the directory's digest."""
    if record.state is ServerState.ENDED:
        return 0
    said = (
        record.id,
        record.born_ms,
        record.service,
        record.address,
        record.slots,
        record.state.value,
    )
    hashed = hashlib.blake2b(repr(said).encode(), digest_size=_DIGEST_BYTES)
    return int.from_bytes(hashed.digest(), "big")
