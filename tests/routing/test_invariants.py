"""Stateful test of a router: capacity, ejection, hedge budget and waiting."""

import asyncio
from random import Random

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)
from kingcuplug_routing import (
    Attempt,
    AttemptOutcome,
    Holding,
    Priority,
    Router,
    RoutingPolicy,
    ServerView,
    Ticket,
)
from kingcuplug_testkit import VirtualTimeLoop

SLOTS = 2
SERVERS = 4


class RouterMachine(RuleBasedStateMachine):
    """Any order of attempts, outcomes, updates, waits and cancellations."""

    def __init__(self) -> None:
        super().__init__()
        self.loop = VirtualTimeLoop()
        self.held: list[Ticket] = []
        self.waiting: list[asyncio.Task[Ticket]] = []
        self.first = 0
        self.hedges = 0
        self.live = range(SERVERS)

    def teardown(self) -> None:
        """Cancel what still waits."""

        async def close() -> None:
            for task in self.waiting:
                task.cancel()
            await asyncio.gather(*self.waiting, return_exceptions=True)

        self.loop.run_until_complete(close())
        self.loop.close()

    def step(self, seconds: float = 0.0) -> None:
        """Run the loop and collect granted tickets."""
        self.loop.run_until_complete(asyncio.sleep(seconds))
        for task in [task for task in self.waiting if task.done()]:
            self.waiting.remove(task)
            if not task.cancelled() and task.exception() is None:
                self.held.append(task.result())
                self.first += 1

    @initialize()
    def start(self) -> None:
        """Make a router with all servers."""
        self.router = Router("stock", RoutingPolicy(slow_start_s=1.0), Random(5))
        self.update(set(range(SERVERS)), 0)

    @rule(
        live=st.sets(st.integers(0, SERVERS - 1), min_size=1),
        incarnation=st.integers(0, 2),
    )
    def update(self, live: set[int], incarnation: int) -> None:
        """Replace the servers."""

        async def change() -> None:
            self.router.update([_view(i, incarnation) for i in sorted(live)], 10)

        self.live = sorted(live)
        self.loop.run_until_complete(change())
        self.step()

    @rule(hedge=st.booleans(), exclude=st.sets(st.integers(0, SERVERS - 1), max_size=2))
    def choose(self, hedge: bool, exclude: set[int]) -> None:
        """Try a first attempt or a hedge."""

        async def one() -> Ticket | None:
            attempt = Attempt.HEDGE if hedge else Attempt.FIRST
            names = {f"server-{i}" for i in exclude}
            ticket = self.router.choose(1, 0, names, "zone-0", attempt)
            assert ticket is None or ticket.server not in names
            return ticket

        ticket = self.loop.run_until_complete(one())
        if ticket is not None:
            self.held.append(ticket)
            self.hedges += hedge
            self.first += not hedge

    @rule(priority=st.sampled_from(Priority), seconds=st.floats(0.001, 5.0))
    def wait(self, priority: Priority, seconds: float) -> None:
        """Let a request wait in the queue."""
        deadline = self.loop.time() + seconds
        self.waiting.append(
            self.loop.create_task(
                self.router.acquire(1, 0, priority=priority, deadline=deadline)
            )
        )
        self.step()

    @precondition(lambda self: self.held)
    @rule(
        which=st.integers(0, 99),
        outcome=st.sampled_from(AttemptOutcome),
        latency_ms=st.floats(0.1, 500.0),
    )
    def finish(self, which: int, outcome: AttemptOutcome, latency_ms: float) -> None:
        """End an attempt, twice."""

        async def one() -> None:
            ticket = self.held.pop(which % len(self.held))
            ticket.finish(outcome, latency_ms)
            ticket.finish(outcome, latency_ms)

        self.loop.run_until_complete(one())
        self.step()

    @precondition(lambda self: self.waiting)
    @rule(which=st.integers(0, 99), granted=st.booleans())
    def cancel(self, which: int, granted: bool) -> None:
        """Cancel a waiting request."""

        async def one() -> None:
            if granted and self.held:
                # Cancel a request whose grant has not been delivered yet.
                self.held.pop().finish(AttemptOutcome.OK, 5.0)
            self.waiting[which % len(self.waiting)].cancel()

        self.loop.run_until_complete(one())
        self.step()

    @rule(seconds=st.floats(0.001, 40.0))
    def pass_time(self, seconds: float) -> None:
        """Let back-offs, ejections and deadlines end."""
        self.step(seconds)

    @rule()
    def drain(self) -> None:
        """Nothing leaks: once all is finished, every server has room again."""

        async def all_done() -> None:
            while self.held:
                self.held.pop().finish(AttemptOutcome.OK, 5.0)

        # Back-offs and lost holdings last less than 6 s; a request that waits may be
        # granted in any step.
        for _ in range(len(self.held) + len(self.waiting) + 1):
            self.loop.run_until_complete(all_done())
            self.step(6.0)
        self.loop.run_until_complete(all_done())
        assert not self.waiting, "a waiting request starves though servers are idle"
        for server in self.live:
            others = {f"server-{i}" for i in range(SERVERS)} - {f"server-{server}"}
            self.choose_only(others)

    def choose_only(self, others: set[str]) -> None:
        """Choose the one server that is left."""

        async def one() -> None:
            ticket = self.router.choose(1, 0, others)
            assert ticket is not None, "capacity leaked"
            ticket.finish(AttemptOutcome.CANCELLED, 0.0)

        self.loop.run_until_complete(one())
        self.first += 1

    @invariant()
    def capacity(self) -> None:
        """No server has more attempts than slots."""
        held: dict[tuple[str, int], int] = {}
        for ticket in self.held:
            key = (ticket.server, ticket.incarnation)
            held[key] = held.get(key, 0) + 1
        assert all(count <= SLOTS for count in held.values())

    @invariant()
    def hedge_budget(self) -> None:
        """Hedges stay within 5% and the first token."""
        assert self.hedges <= 1 + 0.05 * self.first

    @invariant()
    def a_replica_is_left(self) -> None:
        """Ejection alone never leaves a shard without a usable replica."""
        fleet = self.router._fleet
        for usable, every in zip(
            fleet.table.usable.get(1, []), fleet.table.every.get(1, []), strict=True
        ):
            assert len(every) - len(usable) <= max(1, len(every) // 3)
            assert usable or not every


def _view(index: int, incarnation: int) -> ServerView:
    return ServerView(
        f"server-{index}",
        f"127.0.0.1:{9_000 + index}",
        f"zone-{index % 3}",
        SLOTS,
        120,
        "serving",
        (Holding(1, 1, (0,)),),
        incarnation,
    )


TestRouterMachine = RouterMachine.TestCase
TestRouterMachine.settings = settings(
    derandomize=True, max_examples=80, stateful_step_count=30, deadline=None
)
