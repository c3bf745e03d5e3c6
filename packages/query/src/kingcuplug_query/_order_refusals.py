"""Refusals of orders.

A caller may send several copies of an order, with the same idempotency key. A
refusal of one copy must not contradict the outcome of another.
"""

from typing import Any

from kingcuplug_common import (
    KingcuplugError,
    Refusal,
    RefusalKind,
    RefusalReason,
    not_run_refusal,
)
from kingcuplug_ledger import KeyExpired, KeyFromFuture, OrderRecord

from kingcuplug_query._messages import OrderRequest

__all__ = [
    "SAME_KEY_REMEDY",
    "claim_held_refusal",
    "key_refusal",
    "no_quorum_refusal",
    "outcome_unknown_refusal",
    "refusal_for_all_copies",
]

_RETRY_AFTER_MS = 1_000
_UNKNOWN_REMEDY = (
    "send the order again with the same key to get its outcome, or look it up with "
    "`kingcuplug orders show`"
)
_NEW_KEY_REMEDY = "send the order again with a new idempotency key"
SAME_KEY_REMEDY = "send the order again with the same idempotency key"

# Reasons that hold for every copy of the same order.
_REASONS_FOR_ALL_COPIES = frozenset(
    (
        RefusalReason.INVALID_REQUEST,
        RefusalReason.KEY_REUSED,
        RefusalReason.ORDER_NOT_RUN,
    )
)


def refusal_for_all_copies(refusal: Refusal, resend: bool) -> Refusal:
    """Return a refusal that holds for all copies of an order.

    Another copy of a resent order may have run or may run later, even if this one
    released its claim, so ``not_run`` is replaced by ``outcome_unknown``.
    """
    if not resend or refusal.kind is RefusalKind.OUTCOME_UNKNOWN:
        return refusal
    if refusal.reason in _REASONS_FOR_ALL_COPIES:
        return refusal
    return Refusal(
        RefusalKind.OUTCOME_UNKNOWN,
        refusal.reason,
        f"this copy was not run, another one may have been: {refusal.message}",
        _UNKNOWN_REMEDY,
        refusal.retry_after_ms,
    )


def outcome_unknown_refusal(message: str) -> Refusal:
    return Refusal(
        RefusalKind.OUTCOME_UNKNOWN,
        RefusalReason.ORDER_UNKNOWN,
        message,
        _UNKNOWN_REMEDY,
    )


def no_quorum_refusal(error: KingcuplugError) -> Refusal:
    return not_run_refusal(
        RefusalReason.NO_QUORUM,
        f"the order ledger cannot be written: {error.message}",
        SAME_KEY_REMEDY,
        retry_after_ms=_RETRY_AFTER_MS,
    )


def claim_held_refusal(request: OrderRequest, record: OrderRecord) -> Refusal:
    return outcome_unknown_refusal(f"order {request.key} is being run by {record.host}")


def key_refusal(key: str, claim_result: Any) -> Refusal:
    if isinstance(claim_result, KeyExpired):
        # The record may have been purged, so it is unknown whether a copy has run.
        return Refusal(
            RefusalKind.OUTCOME_UNKNOWN,
            RefusalReason.KEY_EXPIRED,
            f"key {key} is older than the retention, so this copy was not run",
            "check whether the order was run before; else use a new key",
        )
    if isinstance(claim_result, KeyFromFuture):
        return not_run_refusal(
            RefusalReason.KEY_FROM_FUTURE,
            f"the issue time of key {key} is {claim_result.ahead_ms} ms ahead",
            "correct the caller's clock and use a new key",
        )
    return not_run_refusal(
        RefusalReason.KEY_REUSED,
        f"key {key} belongs to an order with another body or service",
        _NEW_KEY_REMEDY,
    )
