"""Recognition of callers that return after a refusal."""

from kingcuplug_routing import ReturningCallers


def test_caller_with_less_time_than_the_others_returns():
    """Guards against returning callers that queue behind new ones."""
    callers = ReturningCallers()
    assert not any(callers.record(1_500) for _ in range(10))
    assert callers.record(1_120)
    assert not callers.record(1_500)


def test_caller_that_repeats_at_once_counts_as_new():
    """Guards against an advantage for callers that do not wait as told."""
    callers = ReturningCallers()
    for _ in range(10):
        callers.record(1_500)
    assert not callers.record(1_490)


def test_patient_callers_do_not_make_the_others_returning():
    """Guards against one caller with a long time limit that changes all others."""
    callers = ReturningCallers()
    for _ in range(10):
        callers.record(600)
    assert not callers.record(30_000)
    assert not callers.record(600)


def test_nothing_is_assumed_without_a_usual_time_limit():
    """Guards against guesses on a route whose callers' limits all differ."""
    callers = ReturningCallers()
    assert not any(callers.record(1_000 + 13 * step) for step in range(20, 0, -1))


def test_usual_time_limit_follows_a_change():
    """Guards against new callers that count as returning after a change of limits."""
    callers = ReturningCallers()
    for _ in range(200):
        callers.record(1_500)
    results = [callers.record(600) for _ in range(100)]
    assert not any(results[50:])
