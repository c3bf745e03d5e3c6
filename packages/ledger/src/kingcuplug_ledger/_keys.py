"""Idempotency keys: ``<issue time in ms>-<random text>``.

The issue time lets the ledger purge old orders safely: a key that is older than the
retention is refused, whether or not its record still exists.
"""

import dataclasses
import re

from kingcuplug_common import KingcuplugError

__all__ = ["IdempotencyKey", "KeyInvalid", "parse_key"]

# Leading zeros are rejected, so that each key has one spelling. The random text has
# at least 8 characters, because callers generate it independently of each other.
_KEY_PATTERN = re.compile(r"(0|[1-9][0-9]{0,14})-([A-Za-z0-9_.-]{8,64})", re.ASCII)


class KeyInvalid(KingcuplugError):
    """An idempotency key is malformed."""


@dataclasses.dataclass(frozen=True, slots=True)
class IdempotencyKey:
    """The parts of a key; `issue_ms` is milliseconds since the epoch."""

    issue_ms: int
    random_text: str

    def __str__(self) -> str:
        return f"{self.issue_ms}-{self.random_text}"


def parse_key(key: str) -> IdempotencyKey:
    """Split a key into its parts.

    Raises
    ------
    KeyInvalid
        If `key` is malformed.
    """
    match = _KEY_PATTERN.fullmatch(key) if isinstance(key, str) else None
    if match is None:
        raise KeyInvalid(
            f"idempotency key {ascii(key)[:100]} is malformed",
            "send <issue time in ms>-<8 to 64 random letters, digits, '_', '.', '-'>",
        )
    return IdempotencyKey(int(match[1]), match[2])
