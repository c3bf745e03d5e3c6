"""Change log of keys, from which a reader is sent only what it lacks."""

from collections.abc import Callable, Hashable, Iterator
from typing import Generic, NamedTuple, TypeVar

__all__ = ["ChangeLog", "ChangeRecord"]

_Key = TypeVar("_Key", bound=Hashable)


class ChangeRecord(NamedTuple):
    """Version and time of a key's last change.

    `local` tells whether this host received the change first and so replicates it.
    """

    version: int
    time: float
    local: bool


class ChangeLog(Generic[_Key]):
    """Last change of every key, in order; a key that changes again moves to the end.

    Attributes
    ----------
    version, local_version : int
        Version of the last change, and of the last change that this host received
        first.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self.version = 0
        self.local_version = 0
        self._clock = clock
        self._records: dict[_Key, ChangeRecord] = {}

    def __getitem__(self, key: _Key) -> ChangeRecord:
        return self._records[key]

    def record_change(self, key: _Key, local: bool = False) -> None:
        """Record a change of `key`."""
        self.version += 1
        if local:
            self.local_version = self.version
        self._records.pop(key, None)
        self._records[key] = ChangeRecord(self.version, self._clock(), local)

    def remove(self, key: _Key) -> None:
        """Remove the record of `key`."""
        self._records.pop(key, None)

    def newest_since(self, version: int) -> Iterator[tuple[_Key, ChangeRecord]]:
        """Yield keys changed after `version`, the newest first."""
        for key, record in reversed(self._records.items()):
            if record.version <= version:
                return
            yield key, record

    def keys_since(self, version: int, local: bool = False) -> list[_Key]:
        """Return keys changed after `version`, the oldest first."""
        keys = [
            key
            for key, record in self.newest_since(version)
            if record.local or not local
        ]
        keys.reverse()
        return keys

    def version_before(self, time: float) -> int:
        """Return a version that contains no change made from `time` on."""
        for record in reversed(self._records.values()):
            if record.time < time:
                return record.version
        return 0
