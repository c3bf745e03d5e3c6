"""Replays of slow and pausing servers against what all hosts together find."""

import pytest
from kingcuplug_routing import PaceBoard, ReplicaState, Timing


def _feed(board: PaceBoard, server: str, ratios: list[float], begin: float) -> float:
    """Add one sample every 50 ms and return the time after the last."""
    for number, ratio in enumerate(ratios):
        board.add({server: (1, ratio)}, begin + number * 0.05)
    return begin + len(ratios) * 0.05


def test_slow_server_is_found_within_a_second():
    """Guards against a server that delays every host before it is avoided."""
    board = PaceBoard()
    now = _feed(board, "i-1", [1.0] * 40, 0.0)
    now = _feed(board, "i-1", [3.0] * 20, now)
    assert board.slow(now)["i-1"] >= 1.7


def test_pause_of_a_server_is_not_taken_for_slowness():
    """Guards against avoiding every server in turn for its regular pause."""
    board = PaceBoard()
    now = _feed(board, "i-1", [1.0] * 80, 0.0)
    now = _feed(board, "i-1", [3.0] * 4, now)
    assert board.slow(now) == {}


def test_few_samples_decide_nothing():
    """Guards against condemning a server by one host's one bad answer."""
    board = PaceBoard()
    board.add({"i-1": (1, 3.0)}, 0.0)
    assert board.slow(0.5) == {}


def test_server_that_nobody_asks_any_more_is_tried_again():
    """Guards against avoiding a server for ever after its recovery."""
    board = PaceBoard()
    now = _feed(board, "i-1", [3.0] * 30, 0.0)
    assert board.slow(now)
    assert board.slow(now + 6.0) == {}


def test_failures_count_as_slow_samples():
    """Guards against sharing only good answers of a server that fails half of them."""
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


def test_shared_pace_counts_where_a_host_has_seen_nothing():
    """Guards against each host learning a slow server by its own delayed query."""
    known, unknown = ReplicaState(3), ReplicaState(3)
    known.shared_pace = 3.0
    assert known.expected_s(0.0, 0.03) > 2 * unknown.expected_s(0.0, 0.03)


def test_estimates_start_from_the_target():
    """Guards against a host that hedges everything before its first answers."""
    assert Timing(target_ms=180).hedge_after_s > 0.05


def test_late_attempt_is_shared_before_it_ends_and_counted_once():
    """Guards against slow servers that all hosts learn of only by their answers.

    An attempt at a server that turned slow is shared when it is late; its end only
    adds what it has become slower, so a pause does not weigh twice.
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
    assert state.shared == {}
