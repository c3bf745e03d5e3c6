"""Checks samples against the record of what the simulated servers did."""

import dataclasses
from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from typing import Any

from kingcuplug_cli._bench._load_generator import Sample
from kingcuplug_cli._standin import expected_value

__all__ = ["INVARIANT_VIOLATIONS", "GroundTruth", "count_violations", "shard_values"]

INVARIANT_VIOLATIONS = (
    "mixed_snapshots",
    "crossed_answers",
    "doubled_orders",
    "false_not_run",
    "untrue_coverage",
    "stale_revisions",
)

# Within this time of its acceptance, a revision must be in force on all hosts.
_CONFIGURATION_DELAY_BOUND_S = 4.0
_COVERAGE_TOLERANCE = 1e-9


@dataclasses.dataclass(frozen=True, slots=True)
class GroundTruth:
    """Record of the work that the simulated servers did in one round.

    Attributes
    ----------
    received, started : Mapping
        Number of sub-requests received and started per request id.
    orders : Mapping
        Number of executions per idempotency key.
    shard_counts : Mapping
        Shard count of each (service, snapshot), including replaced snapshots.
    revisions : sequence of (float, int)
        Acceptance time and number of each configuration revision.
    start : float
        Start of the round, on the clock of `revisions`.
    """

    received: Mapping[str, int]
    started: Mapping[str, int]
    orders: Mapping[str, int]
    shard_counts: Mapping[tuple[str, int], int]
    revisions: Sequence[tuple[float, int]] = ()
    start: float = 0.0

    @classmethod
    def from_journal(
        cls,
        journal: Mapping[str, Any],
        revisions: Sequence[tuple[float, int]],
        start: float,
    ) -> "GroundTruth":
        """Return the ground truth in a journal of the simulated servers."""
        return cls(
            journal["received"],
            journal["started"],
            journal["orders"],
            {(name, number): count for name, number, count in journal["snapshots"]},
            tuple(revisions),
            start,
        )


def count_violations(
    samples: Iterable[Sample],
    truth: GroundTruth,
    descriptions: list[dict[str, Any]] | None = None,
) -> Counter[str]:
    """Count the violations of each invariant.

    An answer counts at most once per invariant. Invariants without violations have
    the count 0.

    Parameters
    ----------
    descriptions : list, optional
        Receives a description of each violation.
    """
    counts = Counter(dict.fromkeys(INVARIANT_VIOLATIONS, 0))
    for sample in samples:
        violations = _sample_violations(sample, truth)
        counts.update(violations)
        if violations and descriptions is not None:
            descriptions.append(_describe_violations(sample, violations, truth))
    doubled_orders = [key for key, executions in truth.orders.items() if executions > 1]
    counts["doubled_orders"] += len(doubled_orders)
    if descriptions is not None:
        descriptions += [
            {"faults": ["doubled_orders"], "order": key} for key in doubled_orders
        ]
    return counts


def _sample_violations(sample: Sample, truth: GroundTruth) -> set[str]:
    if sample.answered:
        return _answer_violations(sample, truth)
    return {"false_not_run"} if _is_false_not_run(sample, truth) else set()


def _describe_violations(
    sample: Sample, violations: set[str], truth: GroundTruth
) -> dict[str, Any]:
    return {
        "faults": sorted(violations),
        "request_id": sample.request_id,
        "arrival": dataclasses.asdict(sample.arrival),
        "latency_ms": sample.latency_ms,
        "answer": {
            name: value for name, value in sample.answer.items() if name != "receipt"
        },
        "started": truth.started.get(sample.request_id, 0),
        "order": sample.order_key,
        "order_runs": truth.orders.get(sample.order_key or "", 0),
    }


def _answer_violations(sample: Sample, truth: GroundTruth) -> set[str]:
    violations = set()
    if _has_stale_revision(sample, truth):
        violations.add("stale_revisions")
    if sample.arrival.kind == "query":
        violations |= _query_violations(sample, truth)
    return violations


def _query_violations(sample: Sample, truth: GroundTruth) -> set[str]:
    answer, service = sample.answer, sample.arrival.service
    violations = set()
    values = shard_values(answer)
    correct_count = 0
    for shard, value in values:
        violation = _value_violation(sample, shard, value, truth)
        if violation is None:
            correct_count += 1
        else:
            violations.add(violation)
    shard_count = truth.shard_counts.get((service, answer["snapshot"]), 0)
    if not _is_coverage_correct(answer, values, correct_count, shard_count):
        violations.add("untrue_coverage")
    return violations


def shard_values(answer: Mapping[str, Any]) -> list[tuple[int, Any]]:
    """Return shard and value of each entry of a merged answer."""
    value = answer["value"]
    if all(isinstance(entry, dict) for entry in value):
        return [(entry["shard"], entry["value"]) for entry in value]
    missing = set(answer["missing_shards"])
    shards = [shard for shard in range(answer["shard_count"]) if shard not in missing]
    # If there are too few or too many entries, some shards get the value None or some
    # values the shard -1.
    padded = [*value, *[None] * (len(shards) - len(value))]
    return [
        (shards[index] if index < len(shards) else -1, entry)
        for index, entry in enumerate(padded)
    ]


def _value_violation(
    sample: Sample, shard: int, value: Any, truth: GroundTruth
) -> str | None:
    service, body = sample.arrival.service, sample.arrival.body
    snapshot = sample.answer["snapshot"]
    if value == expected_value(service, snapshot, shard, body):
        return None
    snapshots = (
        known_snapshot for name, known_snapshot in truth.shard_counts if name == service
    )
    if any(
        value == expected_value(service, other_snapshot, shard, body)
        for other_snapshot in snapshots
    ):
        return "mixed_snapshots"
    return "crossed_answers"


def _is_coverage_correct(
    answer: Mapping[str, Any],
    values_by_shard: Sequence[tuple[int, Any]],
    correct_count: int,
    shard_count: int,
) -> bool:
    shards = {shard for shard, _ in values_by_shard}
    if (
        shard_count == 0
        or len(shards) != len(values_by_shard)
        or answer["shard_count"] != shard_count
    ):
        return False
    missing_shards = sorted(set(range(shard_count)) - shards)
    return bool(
        abs(answer["coverage"] - correct_count / shard_count) < _COVERAGE_TOLERANCE
        and sorted(answer["missing_shards"]) == missing_shards
        and answer["partial"] == (correct_count < shard_count)
    )


def _is_false_not_run(sample: Sample, truth: GroundTruth) -> bool:
    refusal = sample.answer.get("refusal")
    if refusal is None or refusal["kind"] != "not_run":
        return False
    if truth.started.get(sample.request_id, 0):
        return True
    # The refusal of a resend covers all earlier attempts with its key. The refusal of
    # an earlier attempt stays correct even if a later attempt is executed.
    key = sample.order_key
    return bool(sample.arrival.resend and key and truth.orders.get(key, 0))


def _has_stale_revision(sample: Sample, truth: GroundTruth) -> bool:
    """Return whether a newer revision had to be in force at the arrival."""
    accepted_by = truth.start + sample.arrival.at_s - _CONFIGURATION_DELAY_BOUND_S
    required_revision = max(
        (
            revision
            for accepted_at, revision in truth.revisions
            if accepted_at <= accepted_by
        ),
        default=-1,
    )
    return int(sample.answer["revision"]) < required_revision
