"""Choice of a replica for each sub-request of one service at one entry host."""

import asyncio
from collections.abc import Iterable, Set
from math import inf
from random import Random

from kingcuplug_routing._fleet import Fleet
from kingcuplug_routing._policy import RoutingPolicy
from kingcuplug_routing._queueing import waiting_is_faster, wake, wake_all
from kingcuplug_routing._refusals import (
    deadline_unreachable,
    no_replica,
    replicas_excluded,
    retry_budget_exhausted,
)
from kingcuplug_routing._server import Server
from kingcuplug_routing._statistics import ServiceStatistics
from kingcuplug_routing._ticket import Ticket
from kingcuplug_routing._token_bucket import TokenBucket
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
        self._hedge_budget = TokenBucket(policy.hedge_budget, policy.budget_burst, 1.0)
        self._retry_budget = TokenBucket(
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
        self._retry_budget.raise_capacity(
            sum(each.max_limit for each in self._fleet.servers())
        )

    def snapshots(self) -> list[SnapshotView]:
        """Return the served snapshots, newest first."""
        return self._fleet.table.snapshots()

    def slot_share(self) -> float:
        """Return this entry host's even share of the service's slots."""
        return self._fleet.slot_share()

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
            ticket = self._try_reserve(snapshot, shard, exclude, zone)
            if ticket is not None:
                self._add_budget_tokens()
            return ticket
        budget = self._budget_of(attempt)
        if not budget.has_token():
            return None
        ticket = self._try_reserve(snapshot, shard, exclude, zone)
        if ticket is not None:
            budget.try_acquire()
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
        budget = None if attempt is Attempt.FIRST else self._budget_of(attempt)
        if budget is not None and not budget.try_acquire():
            raise retry_budget_exhausted(self.service)
        ticket = None
        try:
            while ticket is None:
                self._check_servable(snapshot, shard, exclude, priority, deadline)
                ticket = self._try_reserve(snapshot, shard, exclude, zone)
                if ticket is None:
                    ticket = await self._wait(
                        snapshot, shard, exclude, priority, deadline
                    )
        finally:
            if ticket is None and budget is not None:
                budget.add_tokens()
        if budget is None:
            self._add_budget_tokens()
        return ticket

    def hedge_delay_ms(self, shard: int) -> float | None:
        """Return the delay after which to hedge, or None while it is unknown."""
        if self.policy.hedge_budget <= 0:
            return None
        return self.statistics.hedge_delay_ms(shard)

    def may_hedge(self) -> bool:
        """Return whether the hedge budget has a token; `choose` takes it."""
        return self._hedge_budget.has_token()

    def may_retry(self) -> bool:
        """Return whether the retry budget has a token; `choose` takes it."""
        return self._retry_budget.has_token()

    # Internals: choice

    def _try_reserve(
        self, snapshot: int, shard: int, exclude: Set[str], zone: str
    ) -> Ticket | None:
        now = _now()
        if now >= self._fleet.maintenance_at:
            self._run_maintenance(now)
        replicas = self._fleet.replicas(snapshot, shard, exclude)
        candidates = [
            each
            for each in replicas
            if each.in_flight + 1 <= each.limit and each.back_off_until <= now
        ]
        if not candidates:
            return None
        if now < self._fleet.slow_start_until:
            candidates = self._apply_slow_start(candidates, now)
        index = 0
        if len(candidates) > 1:
            index = self.policy.select(candidates, zone, self._random)
        chosen = candidates[index]
        if len(candidates) < len(replicas) and waiting_is_faster(chosen, replicas, now):
            return None
        return self._reserve(chosen, snapshot, shard, now)

    def _apply_slow_start(self, candidates: list[Server], now: float) -> list[Server]:
        duration = self.policy.slow_start_s
        eligible = [
            each
            for each in candidates
            if self._random.random() * duration >= each.slow_start_end - now
        ]
        return eligible or candidates

    def _run_maintenance(self, now: float) -> None:
        if self._fleet.run_maintenance(self.statistics.mean_ms, now):
            wake_all(self._fleet.servers())

    def _reserve(self, server: Server, snapshot: int, shard: int, now: float) -> Ticket:
        server.in_flight += 1
        return Ticket(server, snapshot, shard, now, self._record_outcome)

    def _budget_of(self, attempt: Attempt) -> TokenBucket:
        return self._hedge_budget if attempt is Attempt.HEDGE else self._retry_budget

    def _add_budget_tokens(self) -> None:
        self._hedge_budget.add_for_request()
        self._retry_budget.add_for_request()

    # Internals: feedback

    def _record_outcome(
        self, ticket: Ticket, server: Server, outcome: AttemptOutcome, latency_ms: float
    ) -> None:
        now = _now()
        server.in_flight -= 1
        server.record_outcome(outcome, latency_ms, now, self._random)
        self.statistics.record(ticket.shard, outcome, latency_ms)
        if outcome is AttemptOutcome.SHED:
            self._retry_budget.add_tokens(_SHED_REFUND_TOKENS)
        if outcome is AttemptOutcome.SNAPSHOT_GONE:
            self._fleet.exclude_holding(server, ticket.snapshot, now)
            wake_all(self._fleet.servers())
        elif server.consecutive_failures and self._fleet.eject_if_failing(server, now):
            wake_all(self._fleet.servers())
        if server.waiting.entry_count:
            self._grant_waiting(server)

    # Internals: waiting

    def _check_servable(
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
            self.statistics.lower_mean(shard)
            raise deadline_unreachable(self.service, remaining_ms, needed_ms)

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
                self._arm_back_off_timer(server, loop)
        timer = None
        if deadline < inf:
            latest = deadline - self.statistics.median_ms(shard) / 1_000
            timer = loop.call_at(latest, wake, future)
        try:
            return await future
        except asyncio.CancelledError:
            self._release_granted(future)
            raise
        finally:
            future.cancel()
            if timer is not None:
                timer.cancel()

    def _release_granted(self, future: asyncio.Future[Ticket | None]) -> None:
        """Release a ticket granted to a task that was cancelled at the same time."""
        if future.done() and not future.cancelled():
            ticket = future.result()
            if ticket is not None:
                ticket.finish(AttemptOutcome.CANCELLED, 0.0)

    def _grant_waiting(self, server: Server) -> None:
        """Grant the free capacity of a server to the requests waiting for it."""
        now = _now()
        if server.back_off_until > now + _TIMER_TOLERANCE_S:
            self._arm_back_off_timer(server, asyncio.get_running_loop())
            return
        while server.in_flight + 1 <= server.limit:
            waiter = server.waiting.peek()
            if waiter is None or waiting_is_faster(server, waiter.replicas, now):
                return
            server.waiting.pop()
            ticket = self._reserve(server, waiter.snapshot, waiter.shard, now)
            waiter.future.set_result(ticket)

    def _arm_back_off_timer(
        self, server: Server, loop: asyncio.AbstractEventLoop
    ) -> None:
        if server.back_off_timer is None:
            server.back_off_timer = loop.call_at(
                server.back_off_until, self._end_back_off, server
            )

    def _end_back_off(self, server: Server) -> None:
        server.back_off_timer = None
        self._grant_waiting(server)


def _now() -> float:
    return _running_loop().time()
