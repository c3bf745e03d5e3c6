"""Choice of a replica for each sub-request of one service at one entry host."""

import asyncio
from collections.abc import Iterable, Set
from math import inf
from random import Random

from kingcuplug_routing._fleet import Fleet
from kingcuplug_routing._policy import RoutingPolicy
from kingcuplug_routing._queueing import outpaced, wake, wake_all
from kingcuplug_routing._refusals import (
    budget_spent,
    no_replica,
    replicas_excluded,
    too_late,
)
from kingcuplug_routing._server import Server
from kingcuplug_routing._statistics import ServiceStatistics
from kingcuplug_routing._ticket import Ticket
from kingcuplug_routing._token_bucket import Budget
from kingcuplug_routing._types import (
    Attempt,
    AttemptOutcome,
    Priority,
    ServerView,
    SnapshotView,
)
from kingcuplug_routing._waiting import Waiter

__all__ = ["Router"]

# Part of a retry token refunded for a shed attempt, which did no work: without it,
# sheds caused by uncoordinated entry hosts exhaust the retry budget.
_SHED_REFUND_TOKENS = 0.8
# The event loop fires timers up to its clock's resolution early; comparing times
# without this tolerance would re-arm the same timer again and again.
_TIMER_TOLERANCE_S = 1e-6
_running_loop = asyncio.get_running_loop
_NO_SERVERS: frozenset[str] = frozenset()


class Router:
    """Replica choice, limits, budgets and ejection for one service.

    Parameters
    ----------
    service : str
        Name of the service, for messages.
    policy : RoutingPolicy
        Settings; `baseline_policy()` gives the baseline.
    random : Random
        Source of all random decisions.
    """

    def __init__(self, service: str, policy: RoutingPolicy, random: Random) -> None:
        self.service = service
        self.policy = policy
        self.statistics = ServiceStatistics(policy)
        self._random = random
        self._fleet = Fleet(policy)
        self._hedges = Budget(policy.hedge_budget, policy.budget_burst, 1.0)
        self._retries = Budget(
            policy.retry_budget,
            policy.budget_burst,
            policy.budget_burst,
            policy.retry_floor_per_s,
        )

    # Directory

    def update(self, servers: Iterable[ServerView], live_entry_hosts: int) -> None:
        """Replace the known servers.

        Parameters
        ----------
        servers : iterable of ServerView
            All servers of the service; only those that are ``serving`` get work.
        live_entry_hosts : int
            Entry hosts that share the servers' connections and slots.
        """
        mean_ms = self.statistics.mean_ms
        wake_all(self._fleet.update(servers, live_entry_hosts, mean_ms, _now()))
        # When a zone is lost, all its attempts fail at once and each can be retried at
        # a live replica, so the budget must allow one retry per request in flight.
        self._retries.widen(sum(each.cap for each in self._fleet.servers()))

    def snapshots(self) -> list[SnapshotView]:
        """Return the served snapshots, newest first."""
        return self._fleet.table.snapshots()

    def slots(self) -> float:
        """Return this entry host's even share of the service's slots."""
        return self._fleet.slots()

    # Choice

    def choose(
        self,
        snapshot: int,
        shard: int,
        exclude: Set[str] = _NO_SERVERS,
        zone: str = "",
        attempt: Attempt = Attempt.FIRST,
    ) -> Ticket | None:
        """Reserve capacity at a replica, or return None if none is free.

        A hedge or a retry also takes a token of its budget.

        Parameters
        ----------
        exclude : set of str
            Servers that must not be chosen, such as the server of the hedged attempt.
        zone : str
            The entry host's availability zone.
        """
        if attempt is Attempt.FIRST:
            ticket = self._take(snapshot, shard, exclude, zone)
            if ticket is not None:
                self._earn()
            return ticket
        budget = self._budget(attempt)
        if not budget.available():
            return None
        ticket = self._take(snapshot, shard, exclude, zone)
        if ticket is not None:
            budget.spend()
        return ticket

    async def acquire(
        self,
        snapshot: int,
        shard: int,
        exclude: Set[str] = _NO_SERVERS,
        priority: Priority = Priority.NORMAL,
        deadline: float = inf,
        zone: str = "",
        attempt: Attempt = Attempt.FIRST,
    ) -> Ticket:
        """Reserve capacity at a replica, waiting for it in priority order.

        Parameters
        ----------
        deadline : float
            Event loop time by which the answer is needed.

        Raises
        ------
        Refusal
            Always ``NOT_RUN``: no replica, no budget, or the attempt can no longer
            finish before the deadline.
        """
        budget = None if attempt is Attempt.FIRST else self._budget(attempt)
        if budget is not None and not budget.spend():
            raise budget_spent(self.service)
        ticket = None
        try:
            while ticket is None:
                self._check(snapshot, shard, exclude, priority, deadline)
                ticket = self._take(snapshot, shard, exclude, zone)
                if ticket is None:
                    ticket = await self._wait(
                        snapshot, shard, exclude, priority, deadline
                    )
        finally:
            if ticket is None and budget is not None:
                budget.credit()
        if budget is None:
            self._earn()
        return ticket

    def hedge_delay_ms(self, shard: int) -> float | None:
        """Return the delay after which to hedge, or None while it is unknown."""
        if self.policy.hedge_budget <= 0:
            return None
        return self.statistics.hedge_delay_ms(shard)

    def may_hedge(self) -> bool:
        """Return whether the hedge budget has a token; `choose` takes it."""
        return self._hedges.available()

    def may_retry(self) -> bool:
        """Return whether the retry budget has a token; `choose` takes it."""
        return self._retries.available()

    # Internals: choice

    def _take(
        self, snapshot: int, shard: int, exclude: Set[str], zone: str
    ) -> Ticket | None:
        now = _now()
        if now >= self._fleet.upkeep_at:
            self._upkeep(now)
        replicas = self._fleet.replicas(snapshot, shard, exclude)
        candidates = [
            each
            for each in replicas
            if each.in_flight + 1 <= each.limit and each.back_off_until <= now
        ]
        if not candidates:
            return None
        if now < self._fleet.ramping_until:
            candidates = self._ramped(candidates, now)
        index = 0
        if len(candidates) > 1:
            index = self.policy.select(candidates, zone, self._random)
        chosen = candidates[index]
        if len(candidates) < len(replicas) and outpaced(chosen, replicas, now):
            return None
        return self._reserve(chosen, snapshot, shard, now)

    def _ramped(self, candidates: list[Server], now: float) -> list[Server]:
        duration = self.policy.slow_start_s
        eligible = [
            each
            for each in candidates
            if self._random.random() * duration >= each.ramp_end - now
        ]
        return eligible or candidates

    def _upkeep(self, now: float) -> None:
        if self._fleet.upkeep(self.statistics.mean_ms, now):
            wake_all(self._fleet.servers())

    def _reserve(self, server: Server, snapshot: int, shard: int, now: float) -> Ticket:
        server.in_flight += 1
        return Ticket(server, snapshot, shard, now, self._finished)

    def _budget(self, attempt: Attempt) -> Budget:
        return self._hedges if attempt is Attempt.HEDGE else self._retries

    def _earn(self) -> None:
        self._hedges.earn()
        self._retries.earn()

    # Internals: feedback

    def _finished(
        self, ticket: Ticket, server: Server, outcome: AttemptOutcome, latency_ms: float
    ) -> None:
        now = _now()
        server.in_flight -= 1
        server.observe(outcome, latency_ms, now, self._random)
        self.statistics.record(ticket.shard, outcome, latency_ms)
        if outcome is AttemptOutcome.SHED:
            self._retries.credit(_SHED_REFUND_TOKENS)
        if outcome is AttemptOutcome.SNAPSHOT_GONE:
            self._fleet.lose_holding(server, ticket.snapshot, now)
            wake_all(self._fleet.servers())
        elif server.failures and self._fleet.eject(server, now):
            wake_all(self._fleet.servers())
        if server.waiting.entries:
            self._serve(server)

    # Internals: waiting

    def _check(
        self,
        snapshot: int,
        shard: int,
        exclude: Set[str],
        priority: Priority,
        deadline: float,
    ) -> None:
        replicas = self._fleet.replicas(snapshot, shard, exclude)
        if not replicas:
            if exclude and self._fleet.replicas(snapshot, shard, _NO_SERVERS):
                raise replicas_excluded(self.service, shard, frozenset(exclude))
            raise no_replica(self.service, snapshot, shard)
        if deadline == inf:
            return
        remaining_ms = (deadline - _now()) * 1_000
        needed_ms = self.statistics.median_ms(shard)
        needed_ms += min(each.expected_wait_ms(priority) for each in replicas)
        if needed_ms + _TIMER_TOLERANCE_S * 1_000 >= remaining_ms:
            self.statistics.doubt(shard)
            raise too_late(self.service, remaining_ms, needed_ms)

    async def _wait(
        self,
        snapshot: int,
        shard: int,
        exclude: Set[str],
        priority: Priority,
        deadline: float,
    ) -> Ticket | None:
        """Return the granted ticket, or None if the caller has to try again."""
        loop = asyncio.get_running_loop()
        future: asyncio.Future[Ticket | None] = loop.create_future()
        replicas = self._fleet.replicas(snapshot, shard, exclude)
        waiter = Waiter(
            future,
            Priority(priority),
            snapshot=snapshot,
            shard=shard,
            replicas=replicas,
        )
        for server in replicas:
            server.waiting.push(waiter)
            if server.back_off_until > loop.time():
                self._arm(server, loop)
        timer = None
        if deadline < inf:
            latest = deadline - self.statistics.median_ms(shard) / 1_000
            timer = loop.call_at(latest, wake, future)
        try:
            return await future
        except asyncio.CancelledError:
            self._give_back(future)
            raise
        finally:
            future.cancel()
            if timer is not None:
                timer.cancel()

    def _give_back(self, future: asyncio.Future[Ticket | None]) -> None:
        """Release a ticket granted to a task that was cancelled at the same time."""
        if future.done() and not future.cancelled():
            ticket = future.result()
            if ticket is not None:
                ticket.finish(AttemptOutcome.CANCELLED, 0.0)

    def _serve(self, server: Server) -> None:
        """Grant the free capacity of a server to the requests waiting for it."""
        now = _now()
        if server.back_off_until > now + _TIMER_TOLERANCE_S:
            self._arm(server, asyncio.get_running_loop())
            return
        while server.in_flight + 1 <= server.limit:
            waiter = server.waiting.peek()
            if waiter is None or outpaced(server, waiter.replicas, now):
                return
            server.waiting.pop()
            ticket = self._reserve(server, waiter.snapshot, waiter.shard, now)
            waiter.future.set_result(ticket)

    def _arm(self, server: Server, loop: asyncio.AbstractEventLoop) -> None:
        if server.timer is None:
            server.timer = loop.call_at(server.back_off_until, self._retry, server)

    def _retry(self, server: Server) -> None:
        server.timer = None
        self._serve(server)


def _now() -> float:
    return _running_loop().time()
