"""Results of the ledger's commands, with their JSON."""

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
    """The key is reserved for the holder of `token`."""

    token: str


@dataclasses.dataclass(frozen=True, slots=True)
class Attached:
    """Another claim holds the key, or it is past that.

    `state` ``released`` means that the token of the claim was spent before.
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
    """The dispatch is recorded; the sender of `attempt_id` may send once."""

    attempt_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class DispatchRefused:
    """The sender must not send."""

    reason: RefusedReason


@dataclasses.dataclass(frozen=True, slots=True)
class OutcomeRecorded:
    """The outcome is in the record."""


@dataclasses.dataclass(frozen=True, slots=True)
class OutcomeRefused:
    """The outcome is not in the record; `outcome` is what the record holds."""

    reason: RefusedReason
    outcome: StoredOutcome | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Released:
    """The token is spent: nothing will be dispatched with it."""


@dataclasses.dataclass(frozen=True, slots=True)
class ReleaseRefused:
    """The claim could not be given back."""

    reason: RefusedReason


@dataclasses.dataclass(frozen=True, slots=True)
class LookupResult:
    """Answer to a look-up."""

    record: OrderRecord | None


@dataclasses.dataclass(frozen=True, slots=True)
class MalformedCommand:
    """The command cannot be understood and changed nothing."""

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
