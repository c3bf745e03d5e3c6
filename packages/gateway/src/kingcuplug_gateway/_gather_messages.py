"""What hosts say when one gathers the parts of a query for another."""

from base64 import b64decode, b64encode
from dataclasses import dataclass
from typing import Any

__all__ = ["Begin", "Gathered", "Rest", "decode_question"]


@dataclass(frozen=True, slots=True)
class Begin:
    """Asks for the parts of some shards.

    Attributes
    ----------
    id : str
        Identifies the gathering, for `Rest`.
    head : bytes
        Request line and headers for the servers.
    left_ms : float
        Time until the caller's deadline.
    target_ms : int
        Of the route, in whose time the gatherer learns how long answers take.
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
    """Asks for the parts that were not in before, with second attempts.

    Attributes
    ----------
    within_ms : float
        Time in which the answer must leave, whatever is in by then.
    """

    id: str
    within_ms: float

    def to_json(self) -> list[Any]:
        """Return the fields as a JSON array."""
        return ["rest", self.id, round(self.within_ms, 1)]


def decode_question(value: list[Any]) -> Begin | Rest:
    """Return the question described by a JSON array of another host.

    Raises
    ------
    ValueError
        If it is neither of the two.
    """
    kind, *fields = value
    if kind == "rest":
        return Rest(*fields)
    if kind != "begin":
        raise ValueError(f"unknown question {kind!r}")
    identifier, route, shards, head, body, attempt_id, *numbers = fields
    return Begin(
        identifier,
        route,
        tuple(shards),
        head.encode("latin-1"),
        b64decode(body),
        attempt_id.encode("latin-1"),
        *numbers,
    )


@dataclass(frozen=True, slots=True)
class Gathered:
    """The parts that have come in since the last answer.

    Attributes
    ----------
    seals : tuple of bytes
        Signatures of the parts.
    body : bytes
        The greatest records of these parts.
    failed : tuple of str
        Shards that will not answer any more.
    open : tuple of str
        Shards that may still answer.
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
        """Return the answer described by a JSON array of another host."""
        seals, body, failed, still_open = value
        return cls(
            tuple(seal.encode("latin-1") for seal in seals),
            b64decode(body),
            tuple(failed),
            tuple(still_open),
        )
