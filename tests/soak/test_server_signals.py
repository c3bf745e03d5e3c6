"""What servers say of themselves, at real hosts, and the checks of it."""

import asyncio
from dataclasses import dataclass
from pathlib import Path

import pytest
from kingcuplug_soak import SoakSettings
from kingcuplug_soak._fake_servers import FakeServer, FakeServerPool
from kingcuplug_soak._run import caller_traffic, soak_environment
from kingcuplug_soak._signal_checks import (
    Arrival,
    arrivals_after_leaving,
    arrivals_while_pushed_back,
)
from kingcuplug_soak._traffic import DEFAULT_ATTEMPTS
from kingcuplug_testkit import most_in_window

_SETTINGS = SoakSettings(seed=1, max_attempts=DEFAULT_ATTEMPTS)
_DURATION_S = 14.0
_LIMIT_PER_S = 1.0
_LIMIT_WINDOW_S = 4.0
_MAX_IN_WINDOW = 1.5 * _LIMIT_PER_S * _LIMIT_WINDOW_S + 5
_STABILITY_WINDOW_S = 5.0
_RETRY_AFTER_S = 6.0
_MAX_PUSHED_BACK = 2
_LEAST_SERVED = 0.7  # A quarter of the requests are orders, which no server takes.


@dataclass
class Outcome:
    """What the servers that said something saw, and the share of requests served."""

    limited: list[FakeServer]
    limited_at_s: float
    leaving: FakeServer
    pushing_back: list[FakeServer]
    served: float
    violations: list[str]


def _server_of(pool: FakeServerPool, service: str, number: int = 0) -> FakeServer:
    return [server for server in pool.servers if server.service == service][number]


def _most_over_limit(arrivals: list[Arrival], limited_at_s: float) -> float:
    """Return the most arrivals in a window, divided by the number that is allowed.

    Windows count from the time at which all hosts have heard of the limit.
    """
    from_s = limited_at_s + _STABILITY_WINDOW_S
    times_s = sorted(a.at_s for a in arrivals if a.at_s >= from_s)
    return most_in_window(times_s, _LIMIT_WINDOW_S) / _MAX_IN_WINDOW


async def _run(folder: Path) -> Outcome:
    async with soak_environment(_SETTINGS, folder) as env:
        pool = env.backends
        # One asked through gatherers, too; one by the callers' hosts only.
        limited = [_server_of(pool, "s1"), _server_of(pool, "reads")]
        leaving = _server_of(pool, "reads", 1)
        # All of a service: a host with other servers asks such ones less anyway.
        pushing_back = [_server_of(pool, "orders", number) for number in range(3)]
        async with caller_traffic(env):
            await asyncio.sleep(2.0)
            limited_at_s = asyncio.get_running_loop().time()
            for server in limited:
                server.limit_per_s = _LIMIT_PER_S
            leaving.says_leaving = True
            for server in pushing_back:
                server.retry_after_s = _RETRY_AFTER_S
            await asyncio.sleep(_DURATION_S)
        served = env.checker.served_count / env.checker.attempt_count
        return Outcome(
            limited,
            limited_at_s,
            leaving,
            pushing_back,
            served,
            env.checker.check_executions(),
        )


@pytest.mark.system
def test_hosts_do_what_servers_say_of_themselves(tmp_path):
    """Guards against hosts that overrun a limit, or go on asking after a signal."""
    outcome = asyncio.run(_run(tmp_path))
    over_limit = [
        _most_over_limit(server.arrivals, outcome.limited_at_s)
        for server in outcome.limited
    ]
    late = arrivals_after_leaving(outcome.leaving.arrivals)
    pushed_back = max(
        arrivals_while_pushed_back(server.arrivals) for server in outcome.pushing_back
    )
    print(
        f"of the limit {over_limit}, {late} after leaving, {pushed_back} while "
        f"pushed back, {outcome.served:.3f} served"
    )
    assert max(over_limit) <= 1
    assert late == 0
    assert pushed_back <= _MAX_PUSHED_BACK
    assert outcome.served >= _LEAST_SERVED
    assert outcome.violations == []


@pytest.mark.parametrize(("count", "is_over"), [(11, False), (12, True)])
def test_check_counts_arrivals_over_a_limit(count, is_over):
    """Guards against a check that misses a burst, or counts before hosts know."""
    early = [Arrival(4.0, "h")] * 40
    arrivals = early + [Arrival(7.0 + 0.1 * number, "h") for number in range(count)]
    assert (_most_over_limit(arrivals, 1.0) > 1) is is_over


def test_check_counts_requests_of_hosts_that_were_told_of_leaving():
    """Guards against a check that blames a host that was not told, or none."""
    told = Arrival(1.0, "a", says_leaving=True)
    other = Arrival(9.0, "b", says_leaving=True)
    assert arrivals_after_leaving([told, Arrival(3.9, "a"), other]) == 0
    assert arrivals_after_leaving([told, Arrival(4.1, "a"), other]) == 1


def test_check_counts_requests_while_a_host_was_pushed_back():
    """Guards against a check that counts other hosts, or times that are allowed."""
    told = Arrival(1.0, "a", retry_after_s=2.0)
    allowed = [Arrival(1.4, "a"), Arrival(2.0, "b"), Arrival(3.1, "a")]
    assert arrivals_while_pushed_back([told, *allowed]) == 0
    assert arrivals_while_pushed_back([told, Arrival(2.0, "a"), *allowed]) == 1
