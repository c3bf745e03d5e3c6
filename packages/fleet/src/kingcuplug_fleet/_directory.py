"""Directory of the backend servers that this host has discovered."""

import hashlib
import math
from collections.abc import Collection
from dataclasses import dataclass, replace

from kingcuplug_fleet._server_record import ServerRecord, ServerState

__all__ = ["Directory"]

# Late records of ended servers may arrive until a network partition has healed. After
# this time a host no longer has to recognize them as outdated.
_ENDED_RETENTION_S = 120.0
# A server without a heartbeat for this long has crashed or was removed. One that is
# only partitioned must be kept, because its sequence continues when it returns.
_SILENT_RETENTION_S = 3_600.0
# Two different directories have equal digests with a probability of 1 in 2**64.
_DIGEST_BYTES = 8
_MS_PER_S = 1_000
# The time for which a server is still cold falls by the clock. If a heartbeat exceeds
# that by this much, the server is cold again, for example after an evacuation.
_MIN_COLD_RISE_S = 1.0


@dataclass(slots=True)
class _Entry:
    record: ServerRecord
    version: int
    heartbeat_at: float
    direct: bool
    cold_until: float = 0.0


class Directory:
    """The record with the highest rank of each server, versioned by change.

    Parameters
    ----------
    silent_after_s : float
        Time without a heartbeat after which a server counts as silent.

    Attributes
    ----------
    version : int
        Increases with every change that other hosts must learn.
    direct_version : int
        Version of the last change that this host received directly from a server.
    departure_version : int
        Version of the last change to a server that accepts no new requests.
    digest : int
        Equal on hosts that hold the same records, in any order. Ended servers are
        excluded, because hosts drop them at different times.
    """

    def __init__(self, silent_after_s: float) -> None:
        self._silent_after_s = silent_after_s
        self._entries: dict[str, _Entry] = {}
        self._newest_by_address: dict[str, str] = {}
        self.version = 0
        self.direct_version = 0
        self.departure_version = 0
        self.digest = 0

    def merge(self, record: ServerRecord, now: float, direct: bool = False) -> bool:
        """Merge a record; return whether it must be propagated to other hosts.

        Parameters
        ----------
        direct : bool
            Whether the record was received directly from the server.
        """
        entry = self._entries.get(record.id)
        if entry is not None and record.rank <= entry.record.rank:
            return False
        cold_until = now + record.cold_ms / _MS_PER_S
        if (
            entry is not None
            and not record.differs_materially(entry.record)
            and cold_until < max(now, entry.cold_until) + _MIN_COLD_RISE_S
        ):
            entry.record = record
            entry.heartbeat_at = now
            entry.cold_until = cold_until
            return False
        self.version += 1
        if direct:
            self.direct_version = self.version
        if record.state is not ServerState.READY:
            self.departure_version = self.version
        if entry is not None:
            self.digest ^= _digest(entry.record)
        self.digest ^= _digest(record)
        self._entries[record.id] = _Entry(record, self.version, now, direct, cold_until)
        self._claim_address(record)
        return True

    def record_heartbeat(
        self, server_id: str, start_ms: int, sequence: int, now: float
    ) -> None:
        """Record a heartbeat that another host has received from a server."""
        entry = self._entries.get(server_id)
        if entry is None or entry.record.start_ms != start_ms:
            return
        if sequence >= entry.record.sequence:
            entry.heartbeat_at = now

    def find(self, server_id: str) -> ServerRecord | None:
        """Return the record of a server, ``None`` if it is unknown."""
        entry = self._entries.get(server_id)
        return entry.record if entry else None

    def cold_until(self, server_id: str) -> float:
        """Return until when a server is cold by its last known record."""
        entry = self._entries.get(server_id)
        return entry.cold_until if entry is not None else 0.0

    def reset_heartbeat_times(self, now: float, silent: Collection[str]) -> None:
        """Reset the heartbeat times of all servers except the silent ones."""
        for identifier, entry in self._entries.items():
            if identifier not in silent:
                entry.heartbeat_at = now

    def changed_since(
        self, version: int, direct: bool = False, now: float | None = None
    ) -> list[ServerRecord]:
        """Return the records that changed after a version.

        Parameters
        ----------
        direct : bool
            Whether to return only records received directly from servers.
        now : float or None
            The present time, by which the time that servers are still cold is reduced;
            ``None`` leaves it as it was received.
        """
        return [
            entry.record if now is None else _aged(entry, now)
            for entry in self._entries.values()
            if entry.version > version and (entry.direct or not direct)
        ]

    def not_ready(self) -> list[ServerRecord]:
        """Return the records of servers that are draining or have ended."""
        return [
            entry.record
            for entry in self._entries.values()
            if entry.record.state is not ServerState.READY
        ]

    def usable(self) -> list[ServerRecord]:
        """Return the records of servers that accept new requests.

        Of several servers with the same address, only the one that started last is
        returned.
        """
        return [
            entry.record
            for entry in self._entries.values()
            if entry.record.state is ServerState.READY
            and self._newest_by_address.get(entry.record.address) == entry.record.id
        ]

    def silent(self, now: float) -> set[str]:
        """Return the ids of servers whose heartbeats have stopped."""
        limit = now - self._silent_after_s
        return {i for i, entry in self._entries.items() if entry.heartbeat_at < limit}

    def evict_expired(self, now: float) -> None:
        """Remove servers whose retention time has passed."""
        for identifier, entry in tuple(self._entries.items()):
            ended = entry.record.state is ServerState.ENDED
            kept_s = _ENDED_RETENTION_S if ended else _SILENT_RETENTION_S
            if entry.heartbeat_at < now - kept_s:
                del self._entries[identifier]
                self.digest ^= _digest(entry.record)
                if self._newest_by_address.get(entry.record.address) == identifier:
                    del self._newest_by_address[entry.record.address]

    def _claim_address(self, record: ServerRecord) -> None:
        current = self.find(self._newest_by_address.get(record.address, ""))
        if current is None or current.start_ms <= record.start_ms:
            self._newest_by_address[record.address] = record.id


def _aged(entry: _Entry, now: float) -> ServerRecord:
    """Return a record as of now, for a host that takes it as of its arrival.

    A host that starts would otherwise take servers for cold that started long ago.
    """
    remaining_ms = max(0, math.ceil((entry.cold_until - now) * _MS_PER_S))
    if remaining_ms >= entry.record.cold_ms:
        return entry.record
    return replace(entry.record, cold_ms=remaining_ms)


def _digest(record: ServerRecord) -> int:
    """Return the digest of a record, which is combined by XOR into the directory's."""
    if record.state is ServerState.ENDED:
        return 0
    content = (
        record.id,
        record.start_ms,
        record.service,
        record.address,
        record.slots,
        record.state.value,
    )
    digest = hashlib.blake2b(repr(content).encode(), digest_size=_DIGEST_BYTES)
    return int.from_bytes(digest.digest(), "big")
