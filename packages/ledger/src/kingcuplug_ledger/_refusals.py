"""Refusals that callers receive for results of the ledger.

A refusal is ``not_run`` only if the ledger proves that the order has not run and
will not run because of this request.
"""

from kingcuplug_common import Refusal, RefusalKind, RefusalReason

from kingcuplug_ledger._records import OrderRecord
from kingcuplug_ledger._results import (
    Attached,
    KeyExpired,
    KeyFromFuture,
    KeyReused,
)

__all__ = ["order_refusal"]


def order_refusal(
    result: Attached | OrderRecord | KeyReused | KeyExpired | KeyFromFuture,
) -> Refusal:
    """Return the refusal for an order that has no ``done`` outcome.

    Raises
    ------
    ValueError
        If the outcome is ``done``; its caller receives the recorded reply instead.
    """
    match result:
        case KeyReused():
            return Refusal(
                RefusalKind.NOT_RUN,
                RefusalReason.KEY_REUSED,
                "the idempotency key belongs to another order",
                "use a new key for each order",
            )
        case KeyFromFuture():
            return Refusal(
                RefusalKind.NOT_RUN,
                RefusalReason.KEY_FROM_FUTURE,
                f"the key's issue time is {result.ahead_ms} ms too far ahead",
                "correct the caller's clock and issue a new key",
                retry_after_ms=result.ahead_ms,
            )
        case KeyExpired():
            # An order under this key may have run before its record was purged.
            return Refusal(
                RefusalKind.OUTCOME_UNKNOWN,
                RefusalReason.KEY_EXPIRED,
                "the key is older than the retention of orders",
                "look for the receipt of the order before issuing a new key",
            )
        case Attached() | OrderRecord():
            return _refusal_without_result(result)


def _refusal_without_result(order: Attached | OrderRecord) -> Refusal:
    outcome = order.outcome
    if outcome and outcome.kind == "done":
        raise ValueError(f"order finished as done: {order!r:.100}")
    if order.state == "released" or (outcome and outcome.kind == "not_run"):
        return Refusal(
            RefusalKind.NOT_RUN,
            RefusalReason.ORDER_NOT_RUN,
            "the order has not run",
            "issue a new key and send the order again"
            if outcome
            else "send the order again with the same key",
        )
    return Refusal(
        RefusalKind.OUTCOME_UNKNOWN,
        RefusalReason.ORDER_UNKNOWN,
        f"the order is {order.state} and its outcome is not known",
        "send the same key again later; do not issue a new one",
    )
