"""Model of backend servers and of a query executor, for `measure_routing`.

The servers have slots, a short queue and a random service time. Entry hosts use the
real routing package and see only the outcomes of their own attempts.
"""

import asyncio
from collections import deque
from dataclasses import dataclass, field
from random import Random

from kingcuplug_common import Refusal
from kingcuplug_routing import (
    Admission,
    Attempt,
    AttemptOutcome,
    Holding,
    Priority,
    Router,
    RoutingPolicy,
    ServerView,
    Ticket,
)

TIMER_TOLERANCE_S = 1e-6  # Timers can fire early by up to the clock's resolution.
NETWORK_DELAY_S = 0.0005  # One way.
MIN_SERVICE_S = 0.002
MEAN_EXTRA_SERVICE_S = 0.008
MEAN_SERVICE_S = MIN_SERVICE_S + MEAN_EXTRA_SERVICE_S
SNAPSHOT = 1
ENTRY_HOSTS = 10
ZONES = 3


@dataclass
class ServiceLayout:
    """Numbers of servers, slots, connections, shards and replicas of a service."""

    servers: int = 15
    slots: int = 2
    connections: int = 120
    shards: int = 15
    replicas: int = 3
    max_queued: int = 2  # Sub-requests that a server queues before it sheds.

    def capacity_qps(self) -> float:
        """Return the queries per second that keep every slot busy."""
        return self.servers * self.slots / (self.shards * MEAN_SERVICE_S)


@dataclass
class BackendServer:
    """Backend server whose slots are fed by a first-in-first-out queue."""

    name: str
    zone: str
    layout: ServiceLayout
    random: Random
    shards: tuple[int, ...]
    slowdown: float = 1.0
    lost: bool = False
    reported_load: float = 0.0
    running: dict[asyncio.Future, asyncio.TimerHandle] = field(default_factory=dict)
    queue: deque = field(default_factory=deque)
    executed: int = 0

    def view(self) -> ServerView:
        """Return the server as the directory lists it."""
        layout = self.layout
        return ServerView(
            self.name,
            f"{self.name}:1",
            self.zone,
            layout.slots,
            layout.connections,
            "serving",
            (Holding(SNAPSHOT, layout.shards, self.shards),),
            0,
            self.reported_load,
        )

    def submit(self, reply: asyncio.Future) -> None:
        """Run a sub-request; `reply` gets its outcome."""
        if self.lost:
            reply.set_result(AttemptOutcome.CONNECTION_LOST)
        elif len(self.running) < self.layout.slots:
            self._start(reply)
        elif len(self.queue) < self.layout.max_queued:
            self.queue.append(reply)
        else:
            reply.set_result(AttemptOutcome.SHED)

    def cancel(self, reply: asyncio.Future) -> None:
        """Stop a sub-request and free its slot."""
        timer = self.running.pop(reply, None)
        if timer is not None:
            timer.cancel()
            self._start_queued()
        elif reply in self.queue:
            self.queue.remove(reply)

    def disconnect(self) -> None:
        """Break all connections and refuse new ones."""
        self.lost = True
        for reply in [*self.running, *self.queue]:
            if not reply.done():
                reply.set_result(AttemptOutcome.CONNECTION_LOST)
        self.running.clear()
        self.queue.clear()

    def _start(self, reply: asyncio.Future) -> None:
        self.executed += 1
        duration = MIN_SERVICE_S + self.random.expovariate(1 / MEAN_EXTRA_SERVICE_S)
        loop = asyncio.get_running_loop()
        self.running[reply] = loop.call_later(
            duration * self.slowdown, self._complete, reply
        )

    def _complete(self, reply: asyncio.Future) -> None:
        if self.running.pop(reply, None) is not None:
            if not reply.done():
                reply.set_result(AttemptOutcome.OK)
            self._start_queued()

    def _start_queued(self) -> None:
        while self.queue and len(self.running) < self.layout.slots:
            self._start(self.queue.popleft())


@dataclass
class QueryResult:
    """Outcome of one query; `complete` if all shards replied in time."""

    arrived_at: float
    priority: Priority
    duration_s: float
    complete: bool
    coverage: float
    refused: bool


class EntryHost:
    """Router, admission and a minimal query executor."""

    def __init__(
        self,
        zone: str,
        layout: ServiceLayout,
        servers: dict[str, BackendServer],
        policy: RoutingPolicy,
        random: Random,
    ) -> None:
        self.zone = zone
        self.layout = layout
        self.servers = servers
        self.router = Router("modelled", policy, random)
        self.admission = Admission(self.router)
        self.excluded_zone: int | None = None
        self.sent_attempts = 0
        self.requested_shards = 0
        self.hedged_attempts = 0
        self.retried_attempts = 0
        self.results: list[QueryResult] = []

    async def query(self, priority: Priority, deadline_s: float) -> None:
        """Run one query and append its result to `results`."""
        loop = asyncio.get_running_loop()
        arrived_at = loop.time()
        deadline = arrived_at + deadline_s
        shards = self.layout.shards
        covered = 0
        refused = False
        try:
            async with self.admission.admit(priority, deadline, shards):
                self.requested_shards += shards
                covered = sum(
                    await asyncio.gather(
                        *(
                            self._query_shard(i, priority, deadline)
                            for i in range(shards)
                        )
                    )
                )
        except Refusal:
            refused = True
        duration_s = loop.time() - arrived_at
        complete = covered == shards and duration_s <= deadline_s
        self.results.append(
            QueryResult(
                arrived_at, priority, duration_s, complete, covered / shards, refused
            )
        )

    async def _query_shard(
        self, shard: int, priority: Priority, deadline: float
    ) -> bool:
        loop = asyncio.get_running_loop()
        tried: set[str] = set()
        attempt = Attempt.FIRST
        while loop.time() < deadline - TIMER_TOLERANCE_S:
            try:
                ticket = await self.router.acquire(
                    SNAPSHOT, shard, tried, priority, deadline, self.zone, attempt
                )
            except Refusal:
                return False
            self.retried_attempts += attempt is Attempt.RETRY
            outcome = await self._send_with_hedge(ticket, shard, deadline, tried)
            if outcome is AttemptOutcome.OK:
                return True
            if not self.router.policy.limited:
                # The baseline tries each replica once; without back-off, more
                # retries would only add load to the servers' hosts.
                tried.add(ticket.server)
                if len(tried) >= self.layout.replicas:
                    return False
            elif outcome is not AttemptOutcome.SHED:
                # A server that shed a request is only full, so it stays eligible;
                # the router applies the back-off.
                tried.add(ticket.server)
            if len(tried) >= self.layout.replicas:
                tried.clear()
            attempt = Attempt.RETRY
        return False

    async def _send_with_hedge(
        self, ticket: Ticket, shard: int, deadline: float, tried: set[str]
    ) -> AttemptOutcome:
        loop = asyncio.get_running_loop()
        calls = {self._send(ticket): ticket}
        delay_ms = self.router.hedge_delay_ms(shard)
        outcome = AttemptOutcome.TIMEOUT
        while calls:
            remaining_s = deadline - loop.time()
            hedging = delay_ms is not None and len(calls) == 1
            timeout_s = min(remaining_s, delay_ms / 1_000) if hedging else remaining_s
            done, _ = await asyncio.wait(
                calls, timeout=timeout_s, return_when=asyncio.FIRST_COMPLETED
            )
            for reply in done:
                finished = calls.pop(reply)
                outcome = reply.result()
                finished.finish(outcome, (loop.time() - finished.started) * 1_000)
            if outcome is AttemptOutcome.OK or (
                loop.time() >= deadline - TIMER_TOLERANCE_S
            ):
                break
            if not done and hedging:
                exclude = tried | {ticket.server}
                hedge = self.router.choose(
                    SNAPSHOT, shard, exclude, self.zone, Attempt.HEDGE
                )
                if hedge is not None:
                    delay_ms = None
                    self.hedged_attempts += 1
                    calls[self._send(hedge)] = hedge
        for reply, unfinished in calls.items():
            self.servers[unfinished.server].cancel(reply)
            failed = outcome is not AttemptOutcome.OK
            final = AttemptOutcome.TIMEOUT if failed else AttemptOutcome.CANCELLED
            unfinished.finish(final, (loop.time() - unfinished.started) * 1_000)
        return outcome

    def _send(self, ticket: Ticket) -> asyncio.Future:
        self.sent_attempts += 1
        loop = asyncio.get_running_loop()
        reply = loop.create_future()
        server = self.servers[ticket.server]
        loop.call_later(2 * NETWORK_DELAY_S, server.submit, reply)
        return reply
