"""Replays of hosts that share the limit that a server has named."""

import random
from collections import deque

import pytest
from kingcuplug_routing import (
    DEMAND_WINDOW_S,
    ServerLimit,
    SlidingWindowCounter,
    limit_share,
)
from kingcuplug_testkit import most_in_window, poisson_count

_WINDOW_S = 4.0
_REPORT_DELAY_S = 1.0
_ROUND_S = 0.05


def _replay(limit_per_s, rates_per_s, end_s=40.0, seed=1):
    """Return the times at which requests of hosts with the given rates arrive.

    Each host draws its requests independently; totals of the demand are a second old.
    `rates_per_s` maps the time to the rate of each host.
    """
    draw = random.Random(seed)
    hosts = len(rates_per_s(0.0))
    limits = [ServerLimit(limit_per_s, draw.random(), 0.0) for _ in range(hosts)]
    window = SlidingWindowCounter(DEMAND_WINDOW_S)
    totals = deque()
    sent = []
    now = 0.0
    while now < end_s:
        totals.append((now, window.total(now)))
        while len(totals) > 1 and totals[1][0] <= now - _REPORT_DELAY_S:
            totals.popleft()
        total = totals[0][1] if now > 2 + _REPORT_DELAY_S else 0
        for limit, rate_per_s in zip(limits, rates_per_s(now), strict=True):
            limit.set_fleet(total, hosts, now)
            count = poisson_count(draw, rate_per_s * _ROUND_S)
            for _ in range(count):
                limit.record_demand(now)
                window.add(now)
                if limit.available(now) > 0:
                    limit.take(now)
                    sent.append(now)
        now += _ROUND_S
    return sent


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize(
    ("hosts", "limit_per_s", "rate_per_s"),
    [(10, 14.8, 3.0), (10, 80.0, 20.0), (77, 0.5, 0.3), (200, 6.0, 0.5), (1, 2.0, 9.0)],
)
def test_hosts_together_keep_the_limit(hosts, limit_per_s, rate_per_s, seed):
    # Guards against hosts that each keep the limit, while their sum exceeds it.
    sent = _replay(limit_per_s, lambda _now: [rate_per_s] * hosts, seed=seed)
    assert most_in_window(sent, _WINDOW_S) <= 1.5 * limit_per_s * _WINDOW_S + 5


@pytest.mark.parametrize("seed", range(3))
def test_burst_at_hosts_that_were_idle_keeps_the_limit(seed):
    # Guards against requests that hosts have saved up while they were idle.
    def rates(now):
        return [0.02 if now < 20 or now > 24 else 5.0] * 200

    sent = _replay(6.0, rates, seed=seed)
    assert most_in_window(sent, _WINDOW_S) <= 1.5 * 6.0 * _WINDOW_S + 5


@pytest.mark.parametrize("seed", range(3))
def test_limit_moves_to_the_hosts_that_need_it(seed):
    # Guards against parts of the limit that lie idle where no requests come from.
    def rates(now):
        busy, idle = [3.0] * 3, [0.0] * 27
        return busy + idle if now < 20 else idle + busy

    sent = _replay(10.0, rates, seed=seed)
    assert most_in_window(sent, _WINDOW_S) <= 1.5 * 10.0 * _WINDOW_S + 5
    for start_s in (10.0, 30.0):
        count = sum(start_s <= at < start_s + 10 for at in sent)
        assert count >= 50


def test_shares_add_up_to_one():
    own = [0, 3, 5, 12]
    shares = [limit_share(count, sum(own), len(own)) for count in own]
    assert sum(shares) == pytest.approx(1.0)
    assert min(shares) > 0
    assert limit_share(4, 0, 8) == pytest.approx(1 / 8)


def test_unknown_total_keeps_the_last_share():
    limit = ServerLimit(10.0, 0.0, 0.0)
    for _ in range(30):
        limit.record_demand(1.0)
    limit.set_fleet(40, 4, 1.0)
    limit.set_fleet(0, 4, 2.0)
    assert limit.available(2.0) >= 3


def test_limit_of_zero_is_probed():
    # Guards against a server that is never asked again, and so never heard.
    limit = ServerLimit(0.0, 0.0, 0.0)
    limit.set_fleet(0, 1, 0.0)
    at = limit.room_at(0.0)
    assert at < 20
    assert limit.available(at + 0.1) == 1
