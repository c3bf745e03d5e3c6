"""Choice of a home control host."""

import hashlib
from collections.abc import Iterable

__all__ = ["rendezvous_order"]


def rendezvous_order(host: str, seeds: Iterable[str]) -> list[str]:
    """Order `seeds` for `host` by rendezvous hash.

    The loss of one control host moves only its own sessions, and spreads them over the
    others.
    """
    return sorted(
        set(seeds),
        key=lambda seed: hashlib.sha256(f"{host}|{seed}".encode()).digest(),
    )
