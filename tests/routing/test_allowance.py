"""Replays of retry storms against a host's share of the retries."""

import random

from hypothesis import given
from hypothesis import strategies as st
from kingcuplug_routing import (
    AllowanceSettings,
    RetryAllowance,
    WindowCount,
    fixed_part,
)

SETTINGS = AllowanceSettings(ratio=0.2, fixed=60, window_s=10.0)


def _allowance(seed: int = 1) -> RetryAllowance:
    return RetryAllowance(SETTINGS, random.Random(seed))


def test_everything_failing_adds_a_fifth_and_not_more():
    """Guards against doubling the load when all servers shed."""
    hosts = [_allowance(seed) for seed in range(10)]
    requests = extra = 0
    for step in range(400):
        now = step * 0.05
        for host in hosts:
            host.request(now)
            requests += 1
            extra += host.take(now, 0.1, hedge=False)
            extra += host.take(now, 0.1, hedge=True)
    assert extra <= requests * 0.2 + 2 * 60


def test_retry_after_a_lost_replica_is_allowed_at_low_rates():
    """Guards against refusing the one retry of a host with few requests."""
    allowance = _allowance()
    allowance.request(0.0)
    assert allowance.take(0.0, 0.1, hedge=False)


def test_hedges_leave_a_rest_for_retries():
    """Guards against hedges that use up what replaces failed attempts."""
    allowance = _allowance()
    for _ in range(100):
        allowance.request(0.0)
    while allowance.take(0.0, 0.1, hedge=True):
        pass
    assert allowance.take(0.0, 0.1, hedge=False)


@given(st.lists(st.tuples(st.floats(0, 0.5), st.booleans()), max_size=300))
def test_no_window_exceeds_the_bound(steps):
    """Guards against more retries than allowed in any window of ten seconds."""
    allowance = _allowance()
    now, requests, extra = 0.0, [], []
    for pause_s, hedge in steps:
        now += pause_s
        allowance.request(now)
        requests.append(now)
        if allowance.take(now, 1.0, hedge):
            extra.append(now)
        recent = sum(at > now - 10 for at in extra)
        counted = sum(at > now - 20 for at in requests)
        assert recent <= counted * 0.2 + 60


def test_busy_host_may_use_what_idle_hosts_leave():
    """Replays uneven callers: guards against a busy host without hedges.

    Of 90 hosts one has a twentieth of the requests; with equal parts of the fixed
    number it could add 1 attempt to each 5 requests, while most of the number stays
    unused.
    """
    shared = AllowanceSettings(ratio=0.2, fixed=180, window_s=10.0)
    busy = RetryAllowance(shared, random.Random(1))
    part = fixed_part(own=20, total=400, hosts=90)
    granted = 0
    for step in range(20):
        busy.request(step * 0.5)
        granted += busy.take(step * 0.5, part, hedge=True)
    assert granted >= 8


@given(
    st.lists(st.integers(0, 200), min_size=1, max_size=90),
    st.floats(0.9, 1.1),
)
def test_parts_add_up_to_little_more_than_the_whole(requests, error):
    """Guards against parts that together exceed the fixed number of all hosts."""
    total = round(sum(requests) * error)
    parts = [fixed_part(own, total, len(requests)) for own in requests]
    if total > 0:
        assert sum(parts) * 0.8 <= 1.25 * 0.8 / 0.9 + 0.1


def test_parts_are_equal_while_the_requests_of_all_are_unknown():
    """Guards against the whole number at each host after a change of leader."""
    assert fixed_part(own=50, total=0, hosts=10) == 0.1
    assert fixed_part(own=50, total=0, hosts=0) == 0.0


def test_window_count_forgets_old_events():
    """Guards against counts that only grow."""
    count = WindowCount(10.0)
    count.add(0.0, 7)
    assert count.total(9.0) == 7
    assert count.total(11.5) == 0


def test_hosts_with_few_requests_still_hedge_within_the_common_bound():
    """Replays 90 hosts with two requests each and a server that stalls for all.

    Guards against a bound that each host rounds down to no attempt at all, and
    against rounding up that exceeds the bound of all hosts together.
    """
    shared = AllowanceSettings(ratio=0.2, fixed=60, window_s=10.0)
    source = random.Random(5)
    hosts = [RetryAllowance(shared, source) for _ in range(90)]
    granted = 0
    for host in hosts:
        part = fixed_part(own=2, total=180, hosts=90)
        for now in (0.0, 0.5):
            host.request(now)
            granted += host.take(now, part, hedge=True)
    assert 50 <= granted <= 180 * 0.2 + 60
