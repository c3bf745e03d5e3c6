"""When queries are answered, hedged, and kept waiting."""

import pytest
from hypothesis import given
from hypothesis import strategies as st
from kingcuplug_routing import AnswerRule, Timing, wait_until


def _rule(minimum: float = 0.89, total: int = 10) -> AnswerRule:
    return AnswerRule(total, minimum, begun_at=0.0, target_at=0.15, final_at=1.4)


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
    assert _rule(minimum, total).needed == needed


def test_one_stalled_shard_does_not_cost_the_target():
    """Guards against a late answer for one shard of ten."""
    rule = _rule()
    assert not rule.ready(9, 1, now=0.1)
    assert rule.ready(9, 1, now=0.15, at_target=True)


def test_late_query_waits_for_its_last_shard_but_not_for_ever():
    """Guards against giving up coverage when nothing is won by it."""
    rule = _rule()
    assert not rule.ready(9, 1, now=0.2)
    assert rule.ready(9, 1, now=0.46)


def test_query_that_cannot_reach_its_minimum_ends_at_once():
    """Guards against holding a caller whose query has failed already."""
    assert _rule().ready(3, 5, now=0.01)
    assert not _rule().ready(3, 6, now=0.01)


@given(st.integers(0, 10), st.integers(0, 10), st.floats(0, 2))
def test_every_query_ends(included, open_parts, now):
    """Guards against a query that is never answered."""
    rule = _rule()
    if open_parts == 0 or now >= rule.final_at:
        assert rule.ready(included, open_parts, now)


def test_hedge_goes_out_after_most_answers_and_before_it_is_too_late():
    """Guards against hedging every request, and against hedging too late."""
    timing = Timing(target_ms=180)
    for step in range(400):
        timing.record(0.2 if step % 20 == 0 else 0.02 + (step % 10) * 0.001)
    assert 0.025 < timing.hedge_after_s <= 0.081
    assert timing.typical_s < 0.04


def test_wait_after_a_start_leaves_time_for_another_host():
    """Guards against holding a caller until its deadline."""
    assert wait_until(10.0, 11.0, started_at=9.5) == pytest.approx(10.45)
    assert wait_until(10.0, 20.0, started_at=7.0) == pytest.approx(11.0)
    assert wait_until(10.0, 11.0, started_at=0.0) < 10.0
