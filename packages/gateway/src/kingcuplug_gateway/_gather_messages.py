"""Messages between a host and the peer that gathers parts of a query for it."""

from base64 import b64decode, b64encode
from dataclasses import dataclass
from typing import Any

__all__ = ["Begin", "Gathered", "Rest", "decode_question"]


@dataclass(frozen=True, slots=True)
class Begin:
    """Request to query some shards and return the parts that arrive in time.

    Attributes
    ----------
    id : str
        Identifies the gather operation in a later `Rest`.
    head : bytes
        Request line and headers to send to the servers.
    left_ms : float
        Time until the caller's deadline.
    target_ms : int
        Target latency of the route, which the gatherer's latency statistics need.
    top : int
        Number of records in a merged answer.
    """

    id: str
    route: str
    shards: tuple[str, ...]
    head: bytes
    body: bytes
    attempt_id: bytes
    left_ms: float
    target_ms: int
    max_attempts: int
    top: int

    def to_json(self) -> list[Any]:
        """Return the fields as a JSON array."""
        return [
            "begin",
            self.id,
            self.route,
            self.shards,
            self.head.decode("latin-1"),
            b64encode(self.body).decode(),
            self.attempt_id.decode("latin-1"),
            round(self.left_ms, 1),
            self.target_ms,
            self.max_attempts,
            self.top,
        ]


@dataclass(frozen=True, slots=True)
class Rest:
    """Request for the parts missing from earlier replies, which allows hedging.

    Attributes
    ----------
    within_ms : float
        Time limit of the reply, which holds the parts received by then.
    """

    id: str
    within_ms: float

    def to_json(self) -> list[Any]:
        """Return the fields as a JSON array."""
        return ["rest", self.id, round(self.within_ms, 1)]


def decode_question(value: list[Any]) -> Begin | Rest:
    """Return the request decoded from a JSON array.

    Raises
    ------
    ValueError
        If the array holds neither kind of request.
    """
    kind, *fields = value
    if kind == "rest":
        return Rest(*fields)
    if kind != "begin":
        raise ValueError(f"unknown question {kind!r}")
    gather_id, route, shards, head, body, attempt_id, *numbers = fields
    return Begin(
        gather_id,
        route,
        tuple(shards),
        head.encode("latin-1"),
        b64decode(body),
        attempt_id.encode("latin-1"),
        *numbers,
    )


@dataclass(frozen=True, slots=True)
class Gathered:
    """Reply with the parts received since the previous reply.

    Attributes
    ----------
    seals : tuple of bytes
        Signatures of the parts.
    body : bytes
        The greatest records of these parts.
    failed : tuple of str
        Shards whose calls have failed for good.
    open : tuple of str
        Shards whose calls are still in progress.
    """

    seals: tuple[bytes, ...]
    body: bytes
    failed: tuple[str, ...]
    open: tuple[str, ...]

    def to_json(self) -> list[Any]:
        """Return the fields as a JSON array."""
        return [
            [seal.decode("latin-1") for seal in self.seals],
            b64encode(self.body).decode(),
            self.failed,
            self.open,
        ]

    @classmethod
    def from_json(cls, value: list[Any]) -> "Gathered":
        """Return the reply decoded from a JSON array."""
        signatures, body, failed_shards, pending_shards = value
        return cls(
            tuple(seal.encode("latin-1") for seal in signatures),
            b64decode(body),
            tuple(failed_shards),
            tuple(pending_shards),
        )
