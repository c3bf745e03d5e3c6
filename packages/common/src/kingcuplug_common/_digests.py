"""Digests and identifiers."""

import hashlib
import secrets
from typing import Any

import orjson

__all__ = ["canonical", "digest", "random_identifier"]

_IDENTIFIER_BYTES = 12


def canonical(value: Any) -> bytes:
    """Return `value` as JSON with sorted keys and no spaces."""
    return orjson.dumps(value, option=orjson.OPT_SORT_KEYS)


def digest(value: Any) -> str:
    """Return the SHA-256 of the canonical JSON of `value` as hex text."""
    return hashlib.sha256(canonical(value)).hexdigest()


def random_identifier() -> str:
    """Return a random identifier of 96 bits as hex text."""
    return secrets.token_hex(_IDENTIFIER_BYTES)
