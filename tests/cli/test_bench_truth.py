"""The judge of the load tool finds each kind of violation."""

from typing import Any

import pytest
from kingcuplug_cli._bench._load import Sample
from kingcuplug_cli._bench._schedule import Arrival
from kingcuplug_cli._bench._truth import VIOLATIONS, Truth, judge
from kingcuplug_cli._standin import expected_value

SERVICE = "counter-01"
BODY = {"check": 1}
SHARDS = 4
COUNTS = {(SERVICE, 1): SHARDS, (SERVICE, 2): SHARDS}


def entry(shard: int, snapshot: int = 1, body: Any = None) -> dict[str, Any]:
    value = expected_value(SERVICE, snapshot, shard, body or BODY)
    return {"shard": shard, "value": value}


def query(**fields: Any) -> Sample:
    arrival = Arrival(0, 10.0, "steady", SERVICE, "query", "normal", BODY)
    answer = {
        "value": [entry(shard) for shard in range(SHARDS)],
        "snapshot": 1,
        "shard_count": SHARDS,
        "coverage": 1.0,
        "partial": False,
        "missing_shards": [],
        "revision": 3,
    }
    return Sample(arrival, "request-1", status=200, answer=answer | fields)


def refused(kind: str = "not_run", resend: bool = False) -> Sample:
    arrival = Arrival(0, 10.0, "steady", SERVICE, "order", "normal", BODY, "o1", resend)
    answer = {"refusal": {"kind": kind, "reason": "overloaded"}}
    sample = Sample(arrival, "request-1", status=429, answer=answer)
    sample.order_key = "1-o1"
    return sample


def truth(**fields: Any) -> Truth:
    known: dict[str, Any] = {
        "received": {},
        "started": {},
        "orders": {},
        "shard_counts": COUNTS,
    }
    return Truth(**(known | fields))


def found(sample: Sample, **fields: Any) -> set[str]:
    return {name for name, n in judge([sample], truth(**fields)).items() if n}


def test_whole_and_partial_answers_that_are_true_pass():
    """Guards against a judge that finds faults in right answers."""
    partial = query(
        value=[entry(0), entry(2)], coverage=0.5, partial=True, missing_shards=[1, 3]
    )
    assert found(query()) == set()
    assert found(partial) == set()
    assert set(judge([], truth())) == set(VIOLATIONS)


def test_value_of_another_snapshot_is_a_mixed_snapshot():
    """Guards against an answer that was drawn from two snapshots."""
    value = [entry(0), entry(1, snapshot=2), entry(2), entry(3)]
    assert "mixed_snapshots" in found(query(value=value))


def test_value_of_another_request_is_a_crossed_answer():
    """Guards against an answer with a part of another caller's answer."""
    value = [entry(0), entry(1, body={"check": 2}), entry(2), entry(3)]
    assert "crossed_answers" in found(query(value=value))


def test_values_of_two_exchanged_shards_are_crossed():
    """Guards against a reply that was accepted for another shard."""
    one, two = entry(1), entry(2)
    value = [entry(0), two | {"shard": 1}, one | {"shard": 2}, entry(3)]
    assert "crossed_answers" in found(query(value=value))


@pytest.mark.parametrize(
    "fields",
    [
        {"value": [entry(0), entry(1), entry(2)]},
        {"coverage": 0.75},
        {"partial": True},
        {"missing_shards": [3]},
        {"shard_count": 5},
        {"value": [entry(0), entry(1), entry(2), entry(2)]},
        {
            "value": [entry(0), entry(1)],
            "shard_count": 2,
        },
        {"value": [entry(0)], "coverage": 0.5, "partial": True},
        {
            "value": [entry(0), entry(1), entry(2), entry(2)],
            "missing_shards": [3],
        },
    ],
    ids=[
        "value missing",
        "coverage too small",
        "whole but called partial",
        "present but called missing",
        "wrong shard count",
        "shard twice",
        "own denominator",
        "coverage too great",
        "shard twice in place of a missing one",
    ],
)
def test_untrue_coverage_is_found(fields: dict[str, Any]):
    """Guards against a coverage statement that differs from the delivered shards."""
    assert "untrue_coverage" in found(query(**fields))


def test_joined_lists_are_judged_by_the_shards_that_are_not_missing():
    """Guards against answers with merge `concat` that go unjudged."""
    values = [entry(shard)["value"] for shard in range(SHARDS)]
    assert found(query(value=values)) == set()
    assert "untrue_coverage" in found(query(value=values[:3]))
    assert "crossed_answers" in found(query(value=[*values[:3], "other"]))


def test_doubled_order_is_found():
    """Guards against an order that ran twice."""
    assert found(query(), orders={"1-o1": 2}) == {"doubled_orders"}
    assert found(query(), orders={"1-o1": 1}) == set()


def test_not_run_of_a_request_that_ran_is_false():
    """Guards against a refusal that invites the caller to send the work again."""
    assert found(refused(), started={"request-1": 1}) == {"false_not_run"}
    assert found(refused("outcome_unknown"), started={"request-1": 1}) == set()
    assert found(refused()) == set()


def test_not_run_of_a_resent_order_speaks_for_the_first_sending():
    """Guards against a resend that denies the run of the first sending."""
    assert found(refused(resend=True), orders={"1-o1": 1}) == {"false_not_run"}
    assert found(refused(resend=False), orders={"1-o1": 1}) == set()


def test_answer_under_a_superseded_configuration_is_stale():
    """Guards against a text that is still used 4 s after the next was accepted."""
    # The arrival is at 10 s after the start, which is 110 on the loop's clock.
    late = truth(revisions=[(100.0, 3), (105.0, 4)], start=100.0)
    in_time = truth(revisions=[(100.0, 3), (107.0, 4)], start=100.0)
    assert judge([query()], late)["stale_revisions"] == 1
    assert judge([query()], in_time)["stale_revisions"] == 0
