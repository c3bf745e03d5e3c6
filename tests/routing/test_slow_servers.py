"""Detection of slow servers from the samples of all hosts."""

import pytest
from kingcuplug_routing import LatencyEstimator, ReplicaState, SlowServerDetector


def _record_ratios(
    detector: SlowServerDetector, server: str, ratios: list[float], begin: float
) -> float:
    """Add one sample every 50 ms and return the time after the last."""
    for number, ratio in enumerate(ratios):
        detector.record({server: (1, ratio)}, begin + number * 0.05)
    return begin + len(ratios) * 0.05


def test_slow_server_is_detected_within_a_second():
    """Guards against a server that delays every host before it is avoided."""
    detector = SlowServerDetector()
    now = _record_ratios(detector, "i-1", [1.0] * 40, 0.0)
    now = _record_ratios(detector, "i-1", [3.0] * 20, now)
    assert detector.slow_servers(now)["i-1"] >= 1.7


def test_pausing_server_is_not_slow():
    """Guards against avoiding each server in turn because of its regular pause."""
    detector = SlowServerDetector()
    now = _record_ratios(detector, "i-1", [1.0] * 80, 0.0)
    now = _record_ratios(detector, "i-1", [3.0] * 4, now)
    assert detector.slow_servers(now) == {}


def test_few_samples_do_not_make_a_server_slow():
    """Guards against avoiding a server because of one late answer to one host."""
    detector = SlowServerDetector()
    detector.record({"i-1": (1, 3.0)}, 0.0)
    assert detector.slow_servers(0.5) == {}


def test_unused_slow_server_is_tried_again():
    """Guards against avoiding a server for ever after its recovery."""
    detector = SlowServerDetector()
    now = _record_ratios(detector, "i-1", [3.0] * 30, 0.0)
    assert detector.slow_servers(now)
    assert detector.slow_servers(now + 6.0) == {}


def test_failures_count_as_slow_samples():
    """Guards against reporting only successes of a server with many failures."""
    state = ReplicaState(3)
    for number in range(10):
        key = object()
        state.record_start(key, number, 0.03)
        if number % 2:
            state.record_failure(key, number + 0.001, unreachable=False)
        else:
            state.record_answer(key, number + 0.03)
    count, total = state.drain_samples()
    assert count == 10
    assert total / count > 1.7
    assert state.drain_samples() == (0, 0.0)


def test_shared_latency_ratio_applies_without_own_samples():
    """Guards against hosts that detect a slow server only by their own late query."""
    reported, unreported = ReplicaState(3), ReplicaState(3)
    reported.shared_latency_ratio = 3.0
    assert reported.expected_latency_s(0.0, 0.03) > 2 * unreported.expected_latency_s(
        0.0, 0.03
    )


def test_hedge_delay_starts_from_the_target():
    """Guards against a host that hedges every request before its first answers."""
    assert LatencyEstimator(target_ms=180).hedge_delay_s > 0.05


def test_late_attempt_is_reported_before_it_ends_and_counted_once():
    """Guards against slow servers that are detected only by their late answers.

    An attempt is reported when it is late; its end adds only the further delay, so that
    a pause is not counted twice.
    """
    state = ReplicaState(slots=3)
    attempt = object()
    state.record_start(attempt, 0.0, 0.02)
    state.report_late(attempt, 0.04)
    assert state.drain_samples() == (1, pytest.approx(2.0))
    state.report_late(attempt, 0.05)
    assert state.drain_samples() == (0, 0.0)
    state.record_answer(attempt, 0.056)
    assert state.drain_samples() == (0, pytest.approx(0.8))
    assert state.reported_ratios == {}
