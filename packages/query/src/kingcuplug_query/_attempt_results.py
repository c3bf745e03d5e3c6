"""Result of the only attempt of an order, and the answer to its caller."""

import dataclasses
from typing import Any

from kingcuplug_common import RefusalReason, not_run_refusal
from kingcuplug_ledger import OrderRecord, OutcomeKind, StoredOutcome

from kingcuplug_query._messages import (
    Answer,
    OrderRequest,
    ReplyStatus,
    SubReply,
    SubRequest,
)
from kingcuplug_query._order_refusals import outcome_unknown_refusal

__all__ = [
    "AttemptResult",
    "answer_from_record",
    "answer_from_result",
    "result_from_reply",
]

_NEW_KEY_REMEDY = "send the order again with a new idempotency key"

_OUTCOME_KIND_BY_STATUS: dict[ReplyStatus, OutcomeKind] = {
    ReplyStatus.OK: "done",
    ReplyStatus.PARTIAL: "done",
    ReplyStatus.SHED: "not_run",
    ReplyStatus.NOT_RUN: "not_run",
    ReplyStatus.SNAPSHOT_GONE: "not_run",
    ReplyStatus.FAILED: "unknown",
}


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptResult:
    """Result of the only attempt of an order, as the ledger records it."""

    kind: OutcomeKind
    status: str
    body: Any


def result_from_reply(reply: SubReply, sub_request: SubRequest) -> AttemptResult:
    body = {
        "value": reply.value,
        "coverage": reply.coverage,
        "snapshot": sub_request.snapshot,
        "shard": sub_request.shard,
        "shard_count": sub_request.shard_count,
    }
    return AttemptResult(
        _OUTCOME_KIND_BY_STATUS[reply.status], reply.status.value, body
    )


def answer_from_record(record: OrderRecord, request: OrderRequest) -> Answer:
    outcome = record.outcome
    if outcome is None:
        raise outcome_unknown_refusal(
            f"order {record.key} was dispatched to {record.server} by {record.host} "
            "and has no recorded outcome"
        )
    return answer_from_result(_result_from_stored(outcome), request, record.revision)


def _result_from_stored(outcome: StoredOutcome) -> AttemptResult:
    if outcome.kind == "done" and outcome.body is None:
        digest_value = {"value_digest": outcome.body_digest}
        return AttemptResult("done", outcome.status, {"value": digest_value})
    return AttemptResult(outcome.kind, outcome.status, outcome.body)


def answer_from_result(
    result: AttemptResult, request: OrderRequest, revision: int
) -> Answer:
    if result.kind == "unknown":
        raise outcome_unknown_refusal(f"the attempt ended with {result.status}")
    if result.kind == "not_run":
        raise not_run_refusal(
            RefusalReason.ORDER_NOT_RUN,
            f"order {request.key} ended without a run: {result.status}",
            _NEW_KEY_REMEDY,
        )
    body = result.body
    shard = body.get("shard", 0)
    coverage = body.get("coverage", 1.0)
    return Answer(
        value=body["value"],
        snapshot=body.get("snapshot", 0),
        shard_count=body.get("shard_count", 0),
        coverage=coverage,
        revision=revision,
        partial_shards={} if coverage == 1 else {shard: coverage},
    )
