"""Messages between a host and the peer that gathers parts of a query for it."""

from base64 import b64decode, b64encode
from dataclasses import dataclass
from typing import Any

from kingcuplug_common import (
    random_identifier,
    require_integer,
    require_number,
    require_string,
    require_strings,
)
from kingcuplug_routing import AllowedRegions

from kingcuplug_gateway._passed_signals import (
    PassedSignal,
    decode_signals,
    encode_signals,
)

__all__ = [
    "PROBE",
    "GatherReply",
    "GatherRequest",
    "RemainderRequest",
    "decode_request",
    "new_gather_id",
    "wants_signals",
]

# Asks whether a host gathers, without a query; the reply is an empty array.
PROBE = ["probe"]
# Hosts of older builds reject replies and requests with further fields, but take any
# string as an id: its end says that the requesting host takes signals in a reply.
_WANTS_SIGNALS = ";signals"


def new_gather_id() -> str:
    """Return the id of a new gather operation, whose replies may hold signals."""
    return random_identifier() + _WANTS_SIGNALS


def wants_signals(gather_id: str) -> bool:
    """Return whether the host that chose an id takes signals in a reply."""
    return gather_id.endswith(_WANTS_SIGNALS)


@dataclass(frozen=True, slots=True)
class GatherRequest:
    """Request to query some shards and return the parts that arrive in time.

    Attributes
    ----------
    gather_id : str
        Identifies the gather operation in a later `RemainderRequest`.
    head : bytes
        Request line and headers to send to the servers.
    remaining_ms : float
        Time until the caller's deadline.
    target_ms : int
        Target latency of the route, which the gatherer's latency statistics need.
    top_records : int
        Number of records in a merged answer.
    allowed_regions : AllowedRegions
        Regions of the servers that may get it, ``None`` for all. Older builds reject a
        request with such a field.
    """

    gather_id: str
    route: str
    shards: tuple[str, ...]
    head: bytes
    body: bytes
    attempt_id: bytes
    remaining_ms: float
    target_ms: int
    max_attempts: int
    top_records: int
    allowed_regions: AllowedRegions = None

    def to_json(self) -> list[Any]:
        """Return the fields as a JSON array."""
        allowed = self.allowed_regions
        homes = [] if allowed is None else [sorted(allowed)]
        return [
            "begin",
            self.gather_id,
            self.route,
            list(self.shards),
            self.head.decode("latin-1"),
            b64encode(self.body).decode(),
            self.attempt_id.decode("latin-1"),
            round(self.remaining_ms, 1),
            self.target_ms,
            self.max_attempts,
            self.top_records,
            *homes,
        ]


@dataclass(frozen=True, slots=True)
class RemainderRequest:
    """Request for the parts missing from earlier replies, which allows all attempts.

    Attributes
    ----------
    reply_within_ms : float
        Time limit of the reply, which holds the parts received by then.
    """

    gather_id: str
    reply_within_ms: float

    def to_json(self) -> list[Any]:
        """Return the fields as a JSON array."""
        return ["rest", self.gather_id, round(self.reply_within_ms, 1)]


def decode_request(value: list[Any]) -> GatherRequest | RemainderRequest:
    """Return the request decoded from a JSON array.

    Raises
    ------
    TypeError, ValueError
        If the array holds neither kind of request.
    """
    kind, gather_id, *fields = value
    if kind == "rest":
        (reply_within_ms,) = fields
        return RemainderRequest(
            require_string(gather_id), require_number(reply_within_ms)
        )
    if kind != "begin":
        raise ValueError(f"unknown kind of gather request {kind!r}")
    route, shards, head, body, attempt_id, remaining_ms, *counts = fields
    target_ms, max_attempts, top_records, *homes = counts
    if len(homes) > 1:
        raise ValueError("the gather request has further fields")
    return GatherRequest(
        require_string(gather_id),
        require_string(route),
        tuple(require_strings(shards)),
        require_string(head).encode("latin-1"),
        b64decode(require_string(body)),
        require_string(attempt_id).encode("latin-1"),
        require_number(remaining_ms),
        require_integer(target_ms, minimum=1),
        require_integer(max_attempts, minimum=1),
        require_integer(top_records),
        frozenset(require_strings(homes[0])) if homes else None,
    )


@dataclass(frozen=True, slots=True)
class GatherReply:
    """Reply with the parts received since the previous reply.

    Attributes
    ----------
    signatures : tuple of bytes
        Signatures of the parts.
    body : bytes
        The greatest records of these parts.
    failed_shards : tuple of str
        Shards whose calls have failed for good.
    pending_shards : tuple of str
        Shards whose calls are still in progress.
    signals : tuple of PassedSignal or None
        What servers of the shards have told the gatherer; ``None`` sends no such field.
    """

    signatures: tuple[bytes, ...]
    body: bytes
    failed_shards: tuple[str, ...]
    pending_shards: tuple[str, ...]
    signals: tuple[PassedSignal, ...] | None = None

    def to_json(self) -> list[Any]:
        """Return the fields as a JSON array."""
        fields = [
            [signature.decode("latin-1") for signature in self.signatures],
            b64encode(self.body).decode(),
            list(self.failed_shards),
            list(self.pending_shards),
        ]
        if self.signals is not None:
            fields.append(encode_signals(self.signals))
        return fields

    @classmethod
    def from_json(cls, value: list[Any]) -> "GatherReply":
        """Return the reply decoded from a JSON array.

        Raises
        ------
        TypeError, ValueError
            If the array holds no reply.
        """
        signatures, body, failed_shards, pending_shards, *later = value
        return cls(
            tuple(s.encode("latin-1") for s in require_strings(signatures)),
            b64decode(require_string(body)),
            tuple(require_strings(failed_shards)),
            tuple(require_strings(pending_shards)),
            decode_signals(later[0]) if later else None,
        )
