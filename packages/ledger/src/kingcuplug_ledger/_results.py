"""Results of the ledger's commands, and their JSON encoding."""

import dataclasses
from collections.abc import Mapping
from typing import Any, Literal

from kingcuplug_ledger._codec import Codec
from kingcuplug_ledger._records import OrderRecord, OrderState, StoredOutcome

__all__ = [
    "Attached",
    "Claimed",
    "DispatchRecorded",
    "DispatchRefused",
    "KeyExpired",
    "KeyFromFuture",
    "KeyReused",
    "LookupResult",
    "MalformedCommand",
    "OutcomeRecorded",
    "OutcomeRefused",
    "RefusedReason",
    "ReleaseRefused",
    "Released",
    "Result",
    "result_from_json",
    "result_to_json",
]

RefusedReason = Literal[
    "unknown_key",
    "superseded",
    "expired",
    "already_dispatched",
    "not_dispatched",
    "already_finished",
]


@dataclasses.dataclass(frozen=True, slots=True)
class Claimed:
    """The key is claimed for the holder of `token`."""

    token: str


@dataclasses.dataclass(frozen=True, slots=True)
class Attached:
    """The key is held by another claim, or the order is already dispatched.

    `state` is ``released`` if the token of the claim was revoked before.
    """

    state: OrderState
    outcome: StoredOutcome | None
    host: str
    host_incarnation: int


@dataclasses.dataclass(frozen=True, slots=True)
class KeyReused:
    """The key belongs to an order with another body or service."""


@dataclasses.dataclass(frozen=True, slots=True)
class KeyExpired:
    """The key is older than the retention.

    An earlier order under this key may have run, and its record may be purged.
    """


@dataclasses.dataclass(frozen=True, slots=True)
class KeyFromFuture:
    """The key's issue time lies ahead of the ledger's time by `ahead_ms`."""

    ahead_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class DispatchRecorded:
    """The dispatch is recorded; the order may be sent once, as `attempt_id`."""

    attempt_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class DispatchRefused:
    """The dispatch is not recorded; the order must not be sent."""

    reason: RefusedReason


@dataclasses.dataclass(frozen=True, slots=True)
class OutcomeRecorded:
    """The outcome is stored in the record."""


@dataclasses.dataclass(frozen=True, slots=True)
class OutcomeRefused:
    """The outcome is not stored; `outcome` is the one in the record, if any."""

    reason: RefusedReason
    outcome: StoredOutcome | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Released:
    """The token is revoked: no dispatch with it will be recorded."""


@dataclasses.dataclass(frozen=True, slots=True)
class ReleaseRefused:
    """The claim could not be released."""

    reason: RefusedReason


@dataclasses.dataclass(frozen=True, slots=True)
class LookupResult:
    """The record of the order, or None if there is none."""

    record: OrderRecord | None


@dataclasses.dataclass(frozen=True, slots=True)
class MalformedCommand:
    """The command is malformed and had no effect."""

    message: str
    remedy: str


Result = (
    Claimed
    | Attached
    | KeyReused
    | KeyExpired
    | KeyFromFuture
    | DispatchRecorded
    | DispatchRefused
    | OutcomeRecorded
    | OutcomeRefused
    | Released
    | ReleaseRefused
    | LookupResult
    | MalformedCommand
)

_codec: Codec[Result] = Codec(
    {
        "claimed": Claimed,
        "attached": Attached,
        "key_reused": KeyReused,
        "key_expired": KeyExpired,
        "key_from_future": KeyFromFuture,
        "dispatched": DispatchRecorded,
        "dispatch_refused": DispatchRefused,
        "recorded": OutcomeRecorded,
        "outcome_refused": OutcomeRefused,
        "released": Released,
        "release_refused": ReleaseRefused,
        "found": LookupResult,
        "malformed": MalformedCommand,
    }
)


def result_to_json(result: Result) -> dict[str, Any]:
    """Return a result as a JSON object."""
    return _codec.encode(result)


def result_from_json(value: Mapping[str, Any]) -> Result:
    """Read a result; raise `MessageInvalid` if it is malformed."""
    return _codec.decode(value)
