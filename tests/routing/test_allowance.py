"""Replays of retry storms against a host's share of the retries."""

from hypothesis import given
from hypothesis import strategies as st
from kingcuplug_routing import AllowanceSettings, RetryAllowance

SETTINGS = AllowanceSettings(ratio=0.2, fixed=60, window_s=10.0)


def test_everything_failing_adds_a_fifth_and_not_more():
    """Guards against doubling the load when all servers shed."""
    hosts = [RetryAllowance(SETTINGS) for _ in range(10)]
    requests = extra = 0
    for step in range(400):
        now = step * 0.05
        for host in hosts:
            host.request(now)
            requests += 1
            extra += host.take(now, 10, hedge=False)
            extra += host.take(now, 10, hedge=True)
    assert extra <= requests * 0.2 + 2 * 60


def test_retry_after_a_lost_replica_is_allowed_at_low_rates():
    """Guards against refusing the one retry of a host with few requests."""
    allowance = RetryAllowance(SETTINGS)
    allowance.request(0.0)
    assert allowance.take(0.0, 10, hedge=False)


def test_hedges_leave_a_rest_for_retries():
    """Guards against hedges that use up what replaces failed attempts."""
    allowance = RetryAllowance(SETTINGS)
    for _ in range(100):
        allowance.request(0.0)
    while allowance.take(0.0, 10, hedge=True):
        pass
    assert allowance.take(0.0, 10, hedge=False)


@given(st.lists(st.tuples(st.floats(0, 0.5), st.booleans()), max_size=300))
def test_no_window_exceeds_the_bound(steps):
    """Guards against more retries than allowed in any window of ten seconds."""
    allowance = RetryAllowance(SETTINGS)
    now, requests, extra = 0.0, [], []
    for pause_s, hedge in steps:
        now += pause_s
        allowance.request(now)
        requests.append(now)
        if allowance.take(now, 1, hedge):
            extra.append(now)
        recent = sum(at > now - 10 for at in extra)
        counted = sum(at > now - 20 for at in requests)
        assert recent <= counted * 0.2 + 60
