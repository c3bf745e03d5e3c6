"""The backend servers that this host has heard of."""

from dataclasses import dataclass

from kingcuplug_fleet._records import ServerRecord, ServerState

__all__ = ["Directory"]

# Late statements of servers that are gone arrive within the length of a network
# partition; after this time a host no longer has to recognize them.
_ENDED_KEPT_S = 120.0
# A server that says nothing for so long is gone without a word. One that was only
# cut off is kept, because its statements count from where they were.
_SILENT_KEPT_S = 3_600.0


@dataclass(slots=True)
class _Entry:
    record: ServerRecord
    version: int
    heard_at: float


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
    """

    def __init__(self, silent_after_s: float) -> None:
        self._silent_after_s = silent_after_s
        self._entries: dict[str, _Entry] = {}
        self._newest_at: dict[str, str] = {}
        self.version = 0

    def merge(self, record: ServerRecord, now: float) -> bool:
        """Take a statement; return whether other hosts must learn of it."""
        entry = self._entries.get(record.id)
        if entry is None:
            self.version += 1
            self._entries[record.id] = _Entry(record, self.version, now)
            self._claim_address(record)
            return True
        if record.rank <= entry.record.rank:
            return False
        changed = record.says_more_than(entry.record)
        entry.record = record
        entry.heard_at = now
        if changed:
            self.version += 1
            entry.version = self.version
            self._claim_address(record)
        return changed

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

    def since(self, version: int) -> list[ServerRecord]:
        """Return the statements that changed after a version."""
        return [e.record for e in self._entries.values() if e.version > version]

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
                if self._newest_at.get(entry.record.address) == identifier:
                    del self._newest_at[entry.record.address]

    def _claim_address(self, record: ServerRecord) -> None:
        holder = self.find(self._newest_at.get(record.address, ""))
        if holder is None or holder.born_ms <= record.born_ms:
            self._newest_at[record.address] = record.id
