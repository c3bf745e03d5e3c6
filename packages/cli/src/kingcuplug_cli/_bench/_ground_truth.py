"""Judges samples against what the stand-ins really did."""

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

_CONFIGURATION_DELAY_BOUND_S = 4.0
_COVERAGE_TOLERANCE = 1e-9


@dataclasses.dataclass(frozen=True, slots=True)
class GroundTruth:
    """What the stand-ins did in one round.

    Attributes
    ----------
    received, started : Mapping
        Sub-requests received and begun per request id.
    orders : Mapping
        Runs per idempotency key.
    shard_counts : Mapping
        Shard count of each (service, snapshot) that ever existed.
    revisions : sequence of (float, int)
        Time of each accepted configuration and its number.
    start : float
        Time of the start of the round, on the clock of `revisions`.
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
        """Return the truth in a stand-ins' journal."""
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
    """Count the violations of the invariants, by name.

    Each answer counts at most once per name; zero counts are present.

    Parameters
    ----------
    examples : list, optional
        Gets a description of each violation.
    """
    found = Counter(dict.fromkeys(INVARIANT_VIOLATIONS, 0))
    for sample in samples:
        faults = _sample_violations(sample, truth)
        found.update(faults)
        if faults and descriptions is not None:
            descriptions.append(_describe_violations(sample, faults, truth))
    doubled = [key for key, runs in truth.orders.items() if runs > 1]
    found["doubled_orders"] += len(doubled)
    if descriptions is not None:
        descriptions += [
            {"faults": ["doubled_orders"], "order": key} for key in doubled
        ]
    return found


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
        "answer": {k: v for k, v in sample.answer.items() if k != "receipt"},
        "started": truth.started.get(sample.request_id, 0),
        "order": sample.order_key,
        "order_runs": truth.orders.get(sample.order_key or "", 0),
    }


def _answer_violations(sample: Sample, truth: GroundTruth) -> set[str]:
    faults = set()
    if _has_stale_revision(sample, truth):
        faults.add("stale_revisions")
    if sample.arrival.kind == "query":
        faults |= _query_violations(sample, truth)
    return faults


def _query_violations(sample: Sample, truth: GroundTruth) -> set[str]:
    answer, service = sample.answer, sample.arrival.service
    faults = set()
    values = shard_values(answer)
    right = 0
    for shard, value in values:
        fault = _value_violation(sample, shard, value, truth)
        if fault is None:
            right += 1
        else:
            faults.add(fault)
    count = truth.shard_counts.get((service, answer["snapshot"]), 0)
    if not _is_coverage_correct(answer, values, right, count):
        faults.add("untrue_coverage")
    return faults


def shard_values(answer: Mapping[str, Any]) -> list[tuple[int, Any]]:
    """Return shard and value of each entry of a merged answer."""
    value = answer["value"]
    if all(isinstance(entry, dict) for entry in value):
        return [(entry["shard"], entry["value"]) for entry in value]
    missing = set(answer["missing_shards"])
    shards = [s for s in range(answer["shard_count"]) if s not in missing]
    # A wrong number of entries leaves shards or values without a partner.
    padded = [*value, *[None] * (len(shards) - len(value))]
    return [
        (shards[place] if place < len(shards) else -1, entry)
        for place, entry in enumerate(padded)
    ]


def _value_violation(
    sample: Sample, shard: int, value: Any, truth: GroundTruth
) -> str | None:
    service, body = sample.arrival.service, sample.arrival.body
    snapshot = sample.answer["snapshot"]
    if value == expected_value(service, snapshot, shard, body):
        return None
    others = (number for name, number in truth.shard_counts if name == service)
    if any(value == expected_value(service, other, shard, body) for other in others):
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
    missing = sorted(set(range(shard_count)) - shards)
    return bool(
        abs(answer["coverage"] - correct_count / shard_count) < _COVERAGE_TOLERANCE
        and sorted(answer["missing_shards"]) == missing
        and answer["partial"] == (correct_count < shard_count)
    )


def _is_false_not_run(sample: Sample, truth: GroundTruth) -> bool:
    refusal = sample.answer.get("refusal")
    if refusal is None or refusal["kind"] != "not_run":
        return False
    if truth.started.get(sample.request_id, 0):
        return True
    # A resent order speaks for every earlier sending of its key. An earlier sending
    # that was refused stays truthful although a later one runs.
    key = sample.order_key
    return bool(sample.arrival.resend and key and truth.orders.get(key, 0))


def _has_stale_revision(sample: Sample, truth: GroundTruth) -> bool:
    """Return whether a newer revision was in force long before the arrival."""
    in_force = truth.start + sample.arrival.at_s - _CONFIGURATION_DELAY_BOUND_S
    newest = max((n for at, n in truth.revisions if at <= in_force), default=-1)
    return int(sample.answer["revision"]) < newest
