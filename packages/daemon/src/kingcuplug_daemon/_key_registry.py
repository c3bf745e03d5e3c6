"""Public keys for verifying receipts, kept in the replicated log.

A receipt must stay verifiable for as long as orders are kept, so a key is kept beyond
the life of the host that signed with it.
"""

import dataclasses
from collections.abc import Mapping
from typing import Any

from kingcuplug_common import KingcuplugError, key_id

__all__ = ["KeyRegistry", "PublishKey", "PublishedKey"]

_MAX_KEYS = 100_000
_RAW_KEY_BYTES = 32


@dataclasses.dataclass(frozen=True, slots=True)
class PublishKey:
    """Command that publishes a host's public key."""

    host: str
    public_key: str
    time_ms: int

    def to_json(self) -> dict[str, Any]:
        """Return the command as JSON value."""
        return {"type": "publish_key", **dataclasses.asdict(self)}

    @classmethod
    def from_json(cls, value: Mapping[str, Any]) -> "PublishKey":
        """Read a command.

        Raises
        ------
        KingcuplugError
            If the key is not 32 bytes in hex.
        """
        raw = bytes.fromhex(value["public_key"])
        if len(raw) != _RAW_KEY_BYTES:
            raise KingcuplugError(
                f"public key has {len(raw)} bytes", "publish a raw Ed25519 key"
            )
        return cls(value["host"], value["public_key"], value["time_ms"])


@dataclasses.dataclass(frozen=True, slots=True)
class PublishedKey:
    """A public key and the time of its publication."""

    key_id: str
    host: str
    public_key: str
    time_ms: int


class KeyRegistry:
    """All public keys by key identifier; publishing again changes nothing."""

    def __init__(self) -> None:
        self._keys: dict[str, PublishedKey] = {}

    def apply(self, command: PublishKey) -> PublishedKey:
        """Add a key, unless it is known, and return its record."""
        identifier = key_id(bytes.fromhex(command.public_key))
        published = self._keys.get(identifier)
        if published is None:
            published = PublishedKey(
                identifier, command.host, command.public_key, command.time_ms
            )
            self._keys[identifier] = published
            self._drop_oldest()
        return published

    def keys(self) -> list[PublishedKey]:
        """Return all keys, the oldest first."""
        return list(self._keys.values())

    def raw_keys(self) -> dict[str, bytes]:
        """Return the raw public keys by key identifier."""
        return {
            identifier: bytes.fromhex(key.public_key)
            for identifier, key in self._keys.items()
        }

    def dump(self) -> dict[str, Any]:
        """Return the state as JSON value."""
        return {"keys": [dataclasses.asdict(key) for key in self._keys.values()]}

    def load(self, state: Mapping[str, Any]) -> None:
        """Replace the state by a former `dump`."""
        keys = [PublishedKey(**fields) for fields in state["keys"]]
        self._keys = {key.key_id: key for key in keys}

    def _drop_oldest(self) -> None:
        while len(self._keys) > _MAX_KEYS:
            del self._keys[next(iter(self._keys))]
