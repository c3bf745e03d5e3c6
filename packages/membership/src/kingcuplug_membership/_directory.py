"""The directory of backend servers.

A control host keeps all servers, an entry host those of its routed services.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from kingcuplug_common import random_identifier

from kingcuplug_membership._change_log import ChangeLog
from kingcuplug_membership._entry import Key, ServerEntry, join_entries

__all__ = ["Directory", "DirectoryChanges"]


@dataclass(frozen=True, slots=True)
class DirectoryChanges:
    """Entries changed after a version, the oldest first.

    `version` is the version reached; `more` tells whether further entries follow it.
    """

    entries: tuple[ServerEntry, ...]
    version: int
    more: bool


class Directory:
    """Backend servers by service; the entry with the greatest rank wins.

    Parameters
    ----------
    clock : callable
        Monotonic time in seconds.
    tombstone_ms : int
        Time for which an ended server is kept as a tombstone, so that a stale update
        does not restore it.

    Attributes
    ----------
    epoch : str
        Identifies the sequence of versions; after a change of epoch a reader needs
        all entries.
    """

    def __init__(self, clock: Callable[[], float], tombstone_ms: int = 60_000) -> None:
        self.epoch = random_identifier()
        self._clock = clock
        self._tombstone_s = tombstone_ms / 1_000
        self._subscribers: list[Callable[[ServerEntry], None]] = []
        self._clear()

    def _clear(self) -> None:
        self._changes: ChangeLog[Key] = ChangeLog(self._clock)
        self._entries: dict[Key, ServerEntry] = {}
        self._services: dict[str, dict[str, ServerEntry]] = {}
        self._holders: dict[str, dict[Key, None]] = {}
        self._tombstones: dict[Key, float] = {}

    def __len__(self) -> int:
        return len(self._entries)

    @property
    def version(self) -> int:
        """Return the version of the last change."""
        return self._changes.version

    @property
    def local_version(self) -> int:
        """Return the version of the last change that this host replicates."""
        return self._changes.local_version

    def subscribe(self, callback: Callable[[ServerEntry], None]) -> None:
        """Call `callback` with every entry that changes or is removed."""
        self._subscribers.append(callback)

    def get(self, service: str, server: str) -> ServerEntry | None:
        """Return the entry of a server, also while it is a tombstone."""
        return self._entries.get((service, server))

    def servers(self, service: str) -> list[ServerEntry]:
        """Return the live servers of a service, draining ones included."""
        entries = self._services.get(service, {}).values()
        return [entry for entry in entries if entry.live]

    def services(self) -> list[str]:
        """Return the names of all services that have an entry."""
        return list(self._services)

    def merge(self, entry: ServerEntry, local: bool = False) -> bool:
        """Merge an update; return whether it changed the directory.

        Parameters
        ----------
        entry : ServerEntry
            The update.
        local : bool
            Whether this host received the update first and so replicates it to the
            other control hosts.
        """
        current = self._entries.get(entry.key)
        if entry == current:
            return False
        merged = entry if current is None else join_entries(current, entry)
        if merged == current:
            return False
        self._store_entry(merged, current)
        self._changes.record_change(entry.key, local)
        self._notify_subscribers(merged)
        return True

    def merge_and_replicate(self, entry: ServerEntry) -> bool:
        """Merge an update and replicate it even if it is already known.

        A session that moved here repeats updates that its former home may not have
        replicated before it was lost.
        """
        if self.merge(entry, local=True):
            return True
        if not self._changes[entry.key].local:
            self._changes.record_change(entry.key, local=True)
            self._notify_subscribers(entry)
        return False

    def _store_entry(self, entry: ServerEntry, previous: ServerEntry | None) -> None:
        key = entry.key
        self._entries[key] = entry
        self._services.setdefault(key[0], {})[key[1]] = entry
        if previous is not None:
            self._remove_holders(previous, set(previous.held) - set(entry.held))
        for holder in entry.held:
            if holder in entry.ended:
                self._remove_holders(entry, {holder})
            else:
                self._holders.setdefault(holder, {})[key] = None
        self._tombstones.pop(key, None)
        if not entry.live:
            self._tombstones[key] = self._clock()

    def _remove_holders(self, entry: ServerEntry, holders: set[str]) -> None:
        for holder in holders:
            keys = self._holders.get(holder, {})
            keys.pop(entry.key, None)
            if not keys:
                self._holders.pop(holder, None)

    def changes_since(
        self,
        version: int,
        services: Iterable[str] | None = None,
        *,
        local: bool = False,
        limit: int | None = None,
    ) -> DirectoryChanges:
        """Return the entries changed after `version`, the oldest first."""
        keys = self._keys_since(version, services, local)
        batch = keys if limit is None else keys[:limit]
        more = len(batch) < len(keys)
        reached = self._changes[batch[-1]].version if more else self.version
        return DirectoryChanges(
            tuple(self._entries[key] for key in batch), reached, more
        )

    def _keys_since(
        self, version: int, services: Iterable[str] | None, local: bool
    ) -> list[Key]:
        if services is None:
            return self._changes.keys_since(version, local)
        wanted = frozenset(services)
        server_count = sum(len(self._services.get(service, ())) for service in wanted)
        if self.version - version < server_count:
            changed = self._changes.keys_since(version, local)
            return [key for key in changed if key[0] in wanted]
        # There are fewer servers than changes, so scan the servers; every part of a
        # long reply repeats the scan.
        keys = [
            (service, server)
            for service in wanted
            for server in self._services.get(service, ())
        ]
        changes = self._changes
        keys = [key for key in keys if changes[key].version > version]
        keys = [key for key in keys if changes[key].local or not local]
        return sorted(keys, key=lambda key: changes[key].version)

    def has_changes(self, version: int, services: frozenset[str]) -> bool:
        """Return whether a server of `services` changed after `version`."""
        return any(key[0] in services for key, _ in self._changes.newest_since(version))

    def version_before(self, time: float) -> int:
        """Return a version that contains no change made from `time` on."""
        return self._changes.version_before(time)

    def lease_holders(self) -> list[str]:
        """Return the names of the holders of running leases."""
        return list(self._holders)

    def end_leases(self, holder: str) -> int:
        """End every lease that `holder` holds; return their number."""
        keys = list(self._holders.get(holder, ()))
        for key in keys:
            entry = self._entries[key]
            self.merge(ServerEntry(entry.announcement, (holder,), (holder,)), True)
        return len(keys)

    def purge_tombstones(self) -> int:
        """Remove tombstones older than their retention; return their number."""
        cutoff = self._clock() - self._tombstone_s
        outdated = []
        for key, ended_at in self._tombstones.items():
            if ended_at > cutoff:
                break
            outdated.append(key)
        for key in outdated:
            self.remove(key)
        return len(outdated)

    def remove(self, key: Key) -> None:
        """Remove a server without leaving a tombstone."""
        entry = self._entries.pop(key)
        servers = self._services[key[0]]
        del servers[key[1]]
        if not servers:
            del self._services[key[0]]
        self._remove_holders(entry, set(entry.held))
        self._tombstones.pop(key, None)
        self._changes.remove(key)
        self._notify_subscribers(entry)

    def _notify_subscribers(self, entry: ServerEntry) -> None:
        for callback in self._subscribers:
            callback(entry)

    def keys(self) -> list[Key]:
        """Return (service, server) of all entries."""
        return list(self._entries)

    def reset(self) -> None:
        """Remove all entries and start a new epoch, as after a restart."""
        self.epoch = random_identifier()
        self._clear()
