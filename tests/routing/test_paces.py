"""Detection of slow servers from the samples of all hosts."""

import pytest
from kingcuplug_routing import PaceBoard, ReplicaState, Timing


def _record_ratios(
    detector: PaceBoard, server: str, ratios: list[float], begin: float
) -> float:
    """Add one sample every 50 ms and return the time after the last."""
    for number, ratio in enumerate(ratios):
        detector.add({server: (1, ratio)}, begin + number * 0.05)
    return begin + len(ratios) * 0.05


def test_slow_server_is_detected_within_a_second():
    """Guards against a server that delays every host before it is avoided."""
    detector = PaceBoard()
    now = _record_ratios(detector, "i-1", [1.0] * 40, 0.0)
    now = _record_ratios(detector, "i-1", [3.0] * 20, now)
    assert detector.slow(now)["i-1"] >= 1.7


def test_pausing_server_is_not_slow():
    """Guards against avoiding each server in turn because of its regular pause."""
    detector = PaceBoard()
    now = _record_ratios(detector, "i-1", [1.0] * 80, 0.0)
    now = _record_ratios(detector, "i-1", [3.0] * 4, now)
    assert detector.slow(now) == {}


def test_few_samples_do_not_make_a_server_slow():
    """Guards against avoiding a server because of one late answer to one host."""
    detector = PaceBoard()
    detector.add({"i-1": (1, 3.0)}, 0.0)
    assert detector.slow(0.5) == {}


def test_unused_slow_server_is_tried_again():
    """Guards against avoiding a server for ever after its recovery."""
    detector = PaceBoard()
    now = _record_ratios(detector, "i-1", [3.0] * 30, 0.0)
    assert detector.slow(now)
    assert detector.slow(now + 6.0) == {}


def test_failures_count_as_slow_samples():
    """Guards against reporting only successes of a server with many failures."""
    state = ReplicaState(3)
    for number in range(10):
        key = object()
        state.begin(key, number, 0.03)
        if number % 2:
            state.fail(key, number + 0.001, unreachable=False)
        else:
            state.answer(key, number + 0.03)
    count, total = state.take_samples()
    assert count == 10
    assert total / count > 1.7
    assert state.take_samples() == (0, 0.0)


def test_shared_latency_ratio_applies_without_own_samples():
    """Guards against hosts that detect a slow server only by their own late query."""
    reported, unreported = ReplicaState(3), ReplicaState(3)
    reported.shared_pace = 3.0
    assert reported.expected_s(0.0, 0.03) > 2 * unreported.expected_s(0.0, 0.03)


def test_hedge_delay_starts_from_the_target():
    """Guards against a host that hedges every request before its first answers."""
    assert Timing(target_ms=180).hedge_after_s > 0.05


def test_late_attempt_is_reported_before_it_ends_and_counted_once():
    """Guards against slow servers that are detected only by their late answers.

    An attempt is reported when it is late; its end adds only the further delay, so that
    a pause is not counted twice.
    """
    state = ReplicaState(slots=3)
    attempt = object()
    state.begin(attempt, 0.0, 0.02)
    state.late(attempt, 0.04)
    assert state.take_samples() == (1, pytest.approx(2.0))
    state.late(attempt, 0.05)
    assert state.take_samples() == (0, 0.0)
    state.answer(attempt, 0.056)
    assert state.take_samples() == (0, pytest.approx(0.8))
    assert state.reported_ratios == {}
