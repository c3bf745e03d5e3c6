"""Retry budget of a host under replayed retry storms."""

import random

from hypothesis import given
from hypothesis import strategies as st
from kingcuplug_routing import (
    RetryBudget,
    RetryBudgetSettings,
    SlidingWindowCounter,
    host_share,
)

SETTINGS = RetryBudgetSettings(ratio=0.2, fixed_attempts=60, window_s=10.0)


def _make_budget(seed: int = 1) -> RetryBudget:
    return RetryBudget(SETTINGS, random.Random(seed))


def test_retries_add_at_most_a_fifth_when_everything_fails():
    """Guards against doubling the load when all servers shed."""
    hosts = [_make_budget(seed) for seed in range(10)]
    requests = additional = 0
    for step in range(400):
        now = step * 0.05
        for host in hosts:
            host.record_request(now)
            requests += 1
            additional += host.try_acquire(now, 0.1, hedge=False)
            additional += host.try_acquire(now, 0.1, hedge=True)
    assert additional <= requests * 0.2 + 2 * 60


def test_retry_after_a_lost_replica_is_allowed_at_low_rates():
    """Guards against refusing the one retry of a host with few requests."""
    budget = _make_budget()
    budget.record_request(0.0)
    assert budget.try_acquire(0.0, 0.1, hedge=False)


def test_hedges_leave_budget_for_retries():
    """Guards against hedges that exhaust the budget for retries of failed attempts."""
    budget = _make_budget()
    for _ in range(100):
        budget.record_request(0.0)
    while budget.try_acquire(0.0, 0.1, hedge=True):
        pass
    assert budget.try_acquire(0.0, 0.1, hedge=False)


@given(st.lists(st.tuples(st.floats(0, 0.5), st.booleans()), max_size=300))
def test_no_window_exceeds_the_bound(steps):
    """Guards against more retries than allowed in any window of ten seconds."""
    budget = _make_budget()
    now, requests, additional = 0.0, [], []
    for pause_s, hedge in steps:
        now += pause_s
        budget.record_request(now)
        requests.append(now)
        if budget.try_acquire(now, 1.0, hedge):
            additional.append(now)
        recent = sum(at > now - 10 for at in additional)
        counted = sum(at > now - 20 for at in requests)
        assert recent <= counted * 0.2 + 60


def test_busy_host_may_use_the_share_of_idle_hosts():
    """Guards against a busy host without budget for hedges.

    Of 90 hosts one has a twentieth of the requests. With equal shares of the fixed
    number it could add 1 attempt to each 5 requests, while most of the number stays
    unused.
    """
    common = RetryBudgetSettings(ratio=0.2, fixed_attempts=180, window_s=10.0)
    busy_host = RetryBudget(common, random.Random(1))
    share = host_share(own=20, total=400, hosts=90)
    granted = 0
    for step in range(20):
        busy_host.record_request(step * 0.5)
        granted += busy_host.try_acquire(step * 0.5, share, hedge=True)
    assert granted >= 8


@given(
    st.lists(st.integers(0, 200), min_size=1, max_size=90),
    st.floats(0.9, 1.1),
)
def test_host_shares_sum_to_little_more_than_the_fixed_number(requests, error):
    """Guards against host shares that together exceed the fixed number of all hosts."""
    total = round(sum(requests) * error)
    shares = [host_share(own, total, len(requests)) for own in requests]
    if total > 0:
        assert sum(shares) * 0.8 <= 1.25 * 0.8 / 0.9 + 0.1


def test_host_shares_are_equal_while_the_total_is_unknown():
    """Guards against hosts that each use the whole number after a change of leader."""
    assert host_share(own=50, total=0, hosts=10) == 0.1
    assert host_share(own=50, total=0, hosts=0) == 0.0


def test_sliding_window_drops_old_events():
    """Guards against counts that never decrease."""
    count = SlidingWindowCounter(10.0)
    count.add(0.0, 7)
    assert count.total(9.0) == 7
    assert count.total(11.5) == 0


def test_hosts_with_few_requests_still_hedge_within_the_common_bound():
    """Guards against rounding that allows no hedges, or too many over all hosts.

    Of 90 hosts each sends two requests to a server that stalls. If each host rounds its
    budget down, none hedges; if each rounds it up, they exceed the common bound.
    """
    common = RetryBudgetSettings(ratio=0.2, fixed_attempts=60, window_s=10.0)
    source = random.Random(5)
    hosts = [RetryBudget(common, source) for _ in range(90)]
    granted = 0
    for host in hosts:
        share = host_share(own=2, total=180, hosts=90)
        for now in (0.0, 0.5):
            host.record_request(now)
            granted += host.try_acquire(now, share, hedge=True)
    assert 50 <= granted <= 180 * 0.2 + 60


def test_unused_share_of_silent_gatherers_goes_to_the_hosts():
    """Guards against fallbacks that are denied while the gatherers' part is unused.

    Two of six gatherers are silent; they would use 0.7 / 6 of the budget each.
    """
    settings = RetryBudgetSettings(ratio=0.2, fixed_attempts=194, window_s=10.0)
    hosts, gatherers, silent, requests = 77, 6, 2, 920
    granted = 0
    for number in range(hosts):
        budget = RetryBudget(settings, random.Random(number), share=0.3)
        for _ in range(requests // hosts):
            budget.record_request(1.0)
        while budget.try_acquire(1.0, 1 / hosts, False, 0.7 * silent / gatherers):
            granted += 1
    bound = settings.ratio * requests + settings.fixed_attempts
    used_by_gatherers = 0.7 * (gatherers - silent) / gatherers * bound
    assert granted + used_by_gatherers <= bound
    assert granted > 0.35 * bound
