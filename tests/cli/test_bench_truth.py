"""Tests that the load test tool detects each kind of invariant violation."""

from typing import Any

import pytest
from kingcuplug_cli._bench._ground_truth import (
    INVARIANT_VIOLATIONS,
    GroundTruth,
    count_violations,
)
from kingcuplug_cli._bench._load_generator import Sample
from kingcuplug_cli._bench._schedule import Arrival
from kingcuplug_cli._standin import expected_value

SERVICE = "counter-01"
BODY = {"check": 1}
SHARD_COUNT = 4
SHARD_COUNTS = {(SERVICE, 1): SHARD_COUNT, (SERVICE, 2): SHARD_COUNT}


def make_shard_entry(shard: int, snapshot: int = 1, body: Any = None) -> dict[str, Any]:
    value = expected_value(SERVICE, snapshot, shard, body or BODY)
    return {"shard": shard, "value": value}


def make_query_sample(**fields: Any) -> Sample:
    arrival = Arrival(0, 10.0, "steady", SERVICE, "query", "normal", BODY)
    answer = {
        "value": [make_shard_entry(shard) for shard in range(SHARD_COUNT)],
        "snapshot": 1,
        "shard_count": SHARD_COUNT,
        "coverage": 1.0,
        "partial": False,
        "missing_shards": [],
        "revision": 3,
    }
    return Sample(arrival, "request-1", status=200, answer=answer | fields)


def make_refused_order_sample(kind: str = "not_run", resend: bool = False) -> Sample:
    arrival = Arrival(0, 10.0, "steady", SERVICE, "order", "normal", BODY, "o1", resend)
    answer = {"refusal": {"kind": kind, "reason": "overloaded"}}
    sample = Sample(arrival, "request-1", status=429, answer=answer)
    sample.order_key = "1-o1"
    return sample


def make_ground_truth(**fields: Any) -> GroundTruth:
    defaults: dict[str, Any] = {
        "received": {},
        "started": {},
        "orders": {},
        "shard_counts": SHARD_COUNTS,
    }
    return GroundTruth(**(defaults | fields))


def violations_of(sample: Sample, **fields: Any) -> set[str]:
    return {
        name
        for name, count in count_violations(
            [sample], make_ground_truth(**fields)
        ).items()
        if count
    }


def test_correct_whole_and_partial_answers_have_no_violation():
    """Guards against reporting violations for correct answers."""
    partial = make_query_sample(
        value=[make_shard_entry(0), make_shard_entry(2)],
        coverage=0.5,
        partial=True,
        missing_shards=[1, 3],
    )
    assert violations_of(make_query_sample()) == set()
    assert violations_of(partial) == set()
    assert set(count_violations([], make_ground_truth())) == set(INVARIANT_VIOLATIONS)


def test_value_of_another_snapshot_is_reported_as_mixed():
    """Guards against missing an answer that mixes two snapshots."""
    value = [
        make_shard_entry(0),
        make_shard_entry(1, snapshot=2),
        make_shard_entry(2),
        make_shard_entry(3),
    ]
    assert "mixed_snapshots" in violations_of(make_query_sample(value=value))


def test_value_of_another_request_is_reported_as_crossed():
    """Guards against missing an answer that holds part of another caller's answer."""
    value = [
        make_shard_entry(0),
        make_shard_entry(1, body={"check": 2}),
        make_shard_entry(2),
        make_shard_entry(3),
    ]
    assert "crossed_answers" in violations_of(make_query_sample(value=value))


def test_swapped_shard_values_are_reported_as_crossed():
    """Guards against missing a reply that was assigned to the wrong shard."""
    first, second = make_shard_entry(1), make_shard_entry(2)
    value = [
        make_shard_entry(0),
        second | {"shard": 1},
        first | {"shard": 2},
        make_shard_entry(3),
    ]
    assert "crossed_answers" in violations_of(make_query_sample(value=value))


@pytest.mark.parametrize(
    "fields",
    [
        {"value": [make_shard_entry(0), make_shard_entry(1), make_shard_entry(2)]},
        {"coverage": 0.75},
        {"partial": True},
        {"missing_shards": [3]},
        {"shard_count": 5},
        {
            "value": [
                make_shard_entry(0),
                make_shard_entry(1),
                make_shard_entry(2),
                make_shard_entry(2),
            ]
        },
        {
            "value": [make_shard_entry(0), make_shard_entry(1)],
            "shard_count": 2,
        },
        {"value": [make_shard_entry(0)], "coverage": 0.5, "partial": True},
        {
            "value": [
                make_shard_entry(0),
                make_shard_entry(1),
                make_shard_entry(2),
                make_shard_entry(2),
            ],
            "missing_shards": [3],
        },
    ],
    ids=[
        "value missing",
        "coverage too low",
        "complete but stated as partial",
        "present but stated as missing",
        "wrong shard count",
        "shard twice",
        "shard count reduced to the shards present",
        "coverage too high",
        "shard twice in place of a missing one",
    ],
)
def test_wrong_coverage_is_reported(fields: dict[str, Any]):
    """Guards against missing a stated coverage that differs from the shards present."""
    assert "untrue_coverage" in violations_of(make_query_sample(**fields))


def test_concatenated_values_are_checked_against_present_shards():
    """Guards against not checking answers with merge `concat`."""
    values = [make_shard_entry(shard)["value"] for shard in range(SHARD_COUNT)]
    assert violations_of(make_query_sample(value=values)) == set()
    assert "untrue_coverage" in violations_of(make_query_sample(value=values[:3]))
    assert "crossed_answers" in violations_of(
        make_query_sample(value=[*values[:3], "other"])
    )


def test_order_executed_twice_is_reported():
    """Guards against missing an order that was executed twice."""
    assert violations_of(make_query_sample(), orders={"1-o1": 2}) == {"doubled_orders"}
    assert violations_of(make_query_sample(), orders={"1-o1": 1}) == set()


def test_not_run_refusal_of_executed_request_is_reported():
    """Guards against missing a refusal that makes the caller repeat executed work."""
    assert violations_of(make_refused_order_sample(), started={"request-1": 1}) == {
        "false_not_run"
    }
    assert (
        violations_of(
            make_refused_order_sample("outcome_unknown"), started={"request-1": 1}
        )
        == set()
    )
    assert violations_of(make_refused_order_sample()) == set()


def test_not_run_refusal_of_resend_covers_first_attempt():
    """Guards against missing a resend refused as not run after its order ran."""
    assert violations_of(
        make_refused_order_sample(resend=True), orders={"1-o1": 1}
    ) == {"false_not_run"}
    assert (
        violations_of(make_refused_order_sample(resend=False), orders={"1-o1": 1})
        == set()
    )


def test_answer_under_superseded_configuration_is_stale():
    """Guards against missing a revision used 4 s after the next was accepted."""
    # The arrival is at 10 s after the start, which is 110 on the loop's clock.
    overdue = make_ground_truth(revisions=[(100.0, 3), (105.0, 4)], start=100.0)
    recent = make_ground_truth(revisions=[(100.0, 3), (107.0, 4)], start=100.0)
    assert count_violations([make_query_sample()], overdue)["stale_revisions"] == 1
    assert count_violations([make_query_sample()], recent)["stale_revisions"] == 0
