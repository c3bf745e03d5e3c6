"""When queries are answered, hedged, and kept waiting at a starting host."""

import pytest
from hypothesis import given
from hypothesis import strategies as st
from kingcuplug_routing import LatencyEstimator, PartialAnswerPolicy, startup_wait_until


def _make_policy(minimum: float = 0.89, total: int = 10) -> PartialAnswerPolicy:
    return PartialAnswerPolicy(
        total, minimum, received_at=0.0, target_at=0.15, final_at=1.4
    )


@pytest.mark.parametrize(
    ("total", "minimum", "needed"),
    [
        (10, 0.89, 9),
        (10, 0.75, 8),
        (36, 0.95, 35),
        (10, 0.9, 9),
        (3, 1.0, 3),
        (4, 0, 1),
    ],
)
def test_needed_shards(total, minimum, needed):
    """Guards against an answer one shard short of the minimum."""
    assert _make_policy(minimum, total).required_shards == needed


def test_one_stalled_shard_does_not_delay_the_answer_beyond_the_target():
    """Guards against a late answer because of one shard of ten."""
    policy = _make_policy()
    assert not policy.should_answer(9, 1, now=0.1)
    assert policy.should_answer(9, 1, now=0.15, at_target=True)


def test_late_query_waits_a_limited_time_for_its_last_shard():
    """Guards against an incomplete answer when the target is missed in any case."""
    policy = _make_policy()
    assert not policy.should_answer(9, 1, now=0.2)
    assert policy.should_answer(9, 1, now=0.46)


def test_query_that_cannot_reach_its_minimum_coverage_ends_at_once():
    """Guards against a caller that waits for a query that has already failed."""
    assert _make_policy().should_answer(3, 5, now=0.01)
    assert not _make_policy().should_answer(3, 6, now=0.01)


@given(st.integers(0, 10), st.integers(0, 10), st.floats(0, 2))
def test_every_query_is_answered(answered, pending, now):
    """Guards against a query that is never answered."""
    policy = _make_policy()
    if pending == 0 or now >= policy.final_at:
        assert policy.should_answer(answered, pending, now)


def test_hedge_is_sent_after_most_answers_and_within_the_target():
    """Guards against hedging every request, and against hedging too late."""
    estimator = LatencyEstimator(target_ms=180)
    for step in range(400):
        estimator.record(0.2 if step % 20 == 0 else 0.02 + (step % 10) * 0.001)
    assert 0.025 < estimator.hedge_delay_s <= 0.081
    assert estimator.typical_s < 0.04


def test_startup_wait_leaves_time_for_another_host():
    """Guards against a caller that waits until its deadline."""
    assert startup_wait_until(10.0, 11.0, started_at=9.5) == pytest.approx(10.45)
    assert startup_wait_until(10.0, 20.0, started_at=7.0) == pytest.approx(11.0)
    assert startup_wait_until(10.0, 11.0, started_at=0.0) < 10.0
