"""Shares of the retry budget while the number of all requests lags or is unknown."""

import random

import pytest
from kingcuplug_gateway._servers import ServerTable
from kingcuplug_routing import RetryBudgetSettings, SlidingWindowCounter

_HOSTS = 10
_STEP_S = 0.02
_REQUESTS_PER_S = 94
_REPORT_DELAY_S = 0.7
_MIN_CHANGE_RATIO = 0.1
_ELECTION_S = 2.0
_SETTINGS = RetryBudgetSettings()


def _replay(seed: int, leader_lost_at: float, until: float) -> tuple[float, int]:
    """Return the most additional attempts in a window over the bound, and their sum.

    Traffic starts at 0. Each request fails at its first attempt, so every host uses its
    whole budget. The total of all requests is known some time late. When the leader is
    lost it first stays as it was, and is then unknown for a window.
    """
    chance = random.Random(seed)
    tables = [ServerTable("z", _SETTINGS, chance) for _ in range(_HOSTS)]
    weights = [chance.uniform(0.5, 1.5) for _ in tables]
    for table in tables:
        table.set_connection_limits({}, hosts=_HOSTS)
    total = SlidingWindowCounter(_SETTINGS.window_s)
    reports: list[float] = []
    published, now = 0, 100.0
    requests: list[float] = []
    extra: list[float] = []
    start = now
    while now < start + until:
        now += _STEP_S
        while reports and reports[0] <= now - _REPORT_DELAY_S:
            reports.pop(0)
            total.add(now)
        known = total.total(now)
        lost_s = now - start - leader_lost_at
        changed = abs(known - published) > published * _MIN_CHANGE_RATIO
        if changed and not 0 < lost_s < _SETTINGS.window_s:
            published = known
        lost = _ELECTION_S < lost_s < _SETTINGS.window_s
        for table in tables:
            table.set_fleet_requests(0 if lost else published, now)
        for _ in range(2):
            if chance.random() > _REQUESTS_PER_S * _STEP_S / 2:
                continue
            table = chance.choices(tables, weights)[0]
            budget = table.pool("stock").caller_retry_budget
            table.count_request(now)
            budget.record_request(now)
            reports.append(now)
            requests.append(now)
            if budget.try_acquire(now, table.retry_share(now), hedge=False):
                extra.append(now)
    worst = 0.0
    for begin in extra:
        end = begin + _SETTINGS.window_s
        count = sum(begin <= at < end for at in extra)
        asked = max(
            sum(begin - back <= at < end - back for at in requests)
            for back in (0.0, _SETTINGS.window_s / 2, _SETTINGS.window_s)
        )
        allowed = _SETTINGS.ratio * asked + _SETTINGS.fixed_attempts
        worst = max(worst, count / allowed)
    return worst, len(extra)


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("leader_lost_at", [0.5, 1.5, 3.1, 100.0])
def test_shares_exceed_no_window_when_traffic_starts(seed, leader_lost_at):
    """Guards against shares of a total that lags, and that are kept when it is lost.

    Each host then takes a multiple of its part of the constant number of attempts.
    """
    worst, used = _replay(seed, leader_lost_at, until=14.0)
    assert worst <= 1.0
    assert used > 0


def test_busy_hosts_keep_their_share_in_steady_state():
    """Guards against equal shares, of which idle hosts leave most unused."""
    worst, used = _replay(1, leader_lost_at=100.0, until=40.0)
    bound = (_SETTINGS.ratio * _REQUESTS_PER_S + _SETTINGS.fixed_attempts / 10) * 40
    assert 0.55 < used / bound <= 1.0
    assert worst <= 1.0
