"""Random runs of hosts that share a server's limit and lose reports, with mutants."""

import random
from collections import deque
from dataclasses import dataclass, field

import pytest
from kingcuplug_fleet import _demand_totals
from kingcuplug_fleet._demand_totals import DemandTotals
from kingcuplug_routing import ServerLimit, _server_limit
from kingcuplug_testkit import most_in_window, poisson_count

_STEP_S = 0.1
_END_S = 60.0
_WINDOW_S = 4.0
_REPORT_STEPS = 3
_SERVER = "s"


@dataclass
class _Host:
    """One host, with the requests a second that its callers send to the server."""

    rate_per_s: float
    limit: ServerLimit | None = None
    total: int = 0
    frozen_until: float = 0.0
    unheard_until: float = 0.0
    excused_until: float = 0.0
    updates: deque = field(default_factory=deque)


class _Run:
    """Hosts, the coordinator, and the times at which requests reach the server."""

    def __init__(self, seed: int) -> None:
        self.draw = random.Random(seed)
        self.limit_per_s = self.draw.choice((0.5, 3.0, 8.0, 20.0, 90.0))
        self.hosts = [_Host(0.0) for _ in range(self.draw.choice((1, 5, 12, 60)))]
        self.spare_hosts = [_Host(0.0) for _ in range(3)]
        self.coordinator = DemandTotals(-20.0)
        self.sent: list[float] = []
        self.published: dict[str, int] = {}
        self.unknown_until = 0.0
        self._change_rates()

    def run(self) -> None:
        now = 0.0
        step = 0
        while now < _END_S:
            if self.draw.random() < 0.03:
                self._disturb(now)
            for number, host in enumerate(self.hosts):
                if now >= host.frozen_until:
                    self._send(host, now)
                    if (step + number) % _REPORT_STEPS == 0:
                        self._report(host, now)
            totals = {}
            if now >= self.unknown_until:
                totals = self.coordinator.totals(now)
                self.published = totals or self.published
            for host in self.hosts:
                self._update(host, totals.get(_SERVER, 0), now)
            now += _STEP_S
            step += 1

    def _change_rates(self) -> None:
        total_per_s = self.limit_per_s * self.draw.choice((0.3, 1.0, 3.0, 10.0))
        busy_ratio = self.draw.choice((0.1, 0.5, 1.0))
        weights = [
            self.draw.random() if self.draw.random() < busy_ratio else 0.001
            for _ in self.hosts
        ]
        for host, weight in zip(self.hosts, weights, strict=True):
            host.rate_per_s = total_per_s * weight / sum(weights)

    def _disturb(self, now: float) -> None:
        kind = self.draw.choice(
            ("rates", "rates", "restart", "freeze", "join", "leave", "cut", "leader")
        )
        host = self.draw.choice(self.hosts)
        if kind == "rates":
            self._change_rates()
        elif kind == "restart":
            host.limit, host.total = None, 0
            host.excused_until = now + _WINDOW_S
        elif kind == "freeze":
            host.frozen_until = now + self.draw.uniform(0.3, 3.0)
            host.excused_until = host.frozen_until + _WINDOW_S
        elif kind == "join" and self.spare_hosts:
            self.hosts.append(self.spare_hosts.pop())
            self._change_rates()
        elif kind == "leave" and len(self.hosts) > 1:
            self.hosts.remove(host)
            self._change_rates()
        elif kind == "cut":
            # Its requests arrive, but neither its reports nor the totals.
            host.unheard_until = now + self.draw.uniform(0.5, 4.0)
            host.excused_until = host.unheard_until + _WINDOW_S
        elif kind == "leader":
            self.coordinator = DemandTotals(now, self.published)
            self.unknown_until = now + self.draw.uniform(0.3, 2.0)

    def _send(self, host: _Host, now: float) -> None:
        for _ in range(poisson_count(self.draw, host.rate_per_s * _STEP_S)):
            if host.limit is None:
                # The answer to the first request names the limit.
                host.limit = ServerLimit(self.limit_per_s, self.draw.random(), now)
                host.limit.set_fleet(host.total, len(self.hosts), now)
                continue
            host.limit.record_demand(now)
            if host.limit.available(now) > 0:
                host.limit.take(now)
                if now >= host.excused_until:
                    self.sent.append(now)

    def _report(self, host: _Host, now: float) -> None:
        if host.limit is None:
            return
        host.limit.set_fleet(host.total, len(self.hosts), now)
        if now < max(host.unheard_until, self.unknown_until):
            return
        count = host.limit.pop_demand()
        if count and self.draw.random() >= 0.02:
            self.coordinator.record({_SERVER: count}, now)

    def _update(self, host: _Host, total: int, now: float) -> None:
        if now < host.unheard_until:
            # It has lost its control host.
            host.updates.clear()
            host.total = 0
            return
        host.updates.append((now + 0.5, total))
        while host.updates and host.updates[0][0] <= now:
            host.total = host.updates.popleft()[1]

    def excess(self) -> float:
        """Return the most requests in a window over what is allowed."""
        counted = (at for at in self.sent if at >= _WINDOW_S)
        return most_in_window(counted, _WINDOW_S) / (
            1.5 * self.limit_per_s * _WINDOW_S + 5
        )


def _excess(seed: int) -> float:
    run = _Run(seed)
    run.run()
    return run.excess()


def test_limit_is_kept_while_hosts_join_leave_restart_and_lose_reports():
    # Guards against a sum over all hosts that exceeds what a server takes.
    assert max(map(_excess, range(40))) <= 1.0


@pytest.mark.parametrize(
    ("module", "constant", "value"),
    [
        (_server_limit, "_TOTAL_DELAY_S", 0.0),
        (_server_limit, "_BOUND_DEVIATIONS", -3.0),
        (_demand_totals, "DEMAND_WINDOW_S", 1.0),
        (_demand_totals, "_PUBLISHED_RATIO", 0.5),
    ],
)
def test_wrong_divisions_are_found(monkeypatch, module, constant, value):
    # Guards against random runs that would not notice a wrong division.
    monkeypatch.setattr(module, constant, value)
    assert any(_excess(seed) > 1.0 for seed in range(40))


@pytest.mark.parametrize(
    ("owner", "method", "replacement"),
    [
        # Requests that are not used never expire.
        (ServerLimit, "_first_unused", lambda limit: limit._used),
        # A new coordinator begins with totals of nothing.
        (DemandTotals, "_inherited_total", lambda totals, server, now: 0),
        # A host that is told of a limit starts with all of it.
        (_server_limit, "limit_share", lambda own, total, hosts: 1.0),
    ],
)
def test_wrong_decisions_are_found(monkeypatch, owner, method, replacement):
    # Guards against random runs without bursts, changes of the leader, and new hosts.
    monkeypatch.setattr(owner, method, replacement)
    assert any(_excess(seed) > 1.0 for seed in range(40))
