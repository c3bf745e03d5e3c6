"""Admission of whole queries: budget, priority order, early refusal, starvation."""

import asyncio
from collections import Counter
from collections.abc import Callable

import pytest
from kingcuplug_common import Refusal, RefusalKind, RefusalReason
from kingcuplug_routing import (
    Admission,
    AttemptOutcome,
    Priority,
    Router,
    RoutingPolicy,
)
from kingcuplug_routing._adaptive_share import AdaptiveShare
from kingcuplug_routing._statistics import ServiceStatistics
from kingcuplug_testkit import run_virtual

MakeRouter = Callable[..., Router]
SERVICE_S = 0.01


async def _run_query(
    router: Router, admission: Admission, priority: Priority, deadline_s: float = 10.0
) -> float:
    """Run a query of two sub-requests and return its wait for admission in seconds."""
    loop = asyncio.get_running_loop()
    arrived = loop.time()
    async with admission.admit(priority, arrived + deadline_s, 2):
        waited = loop.time() - arrived
        for shard in range(2):
            ticket = await router.acquire(1, shard)
            outcome = AttemptOutcome.CANCELLED
            try:
                await asyncio.sleep(SERVICE_S)
                outcome = AttemptOutcome.OK
            finally:
                ticket.finish(outcome, (loop.time() - ticket.started) * 1_000)
    return waited


async def _offer_load(
    router: Router, priorities: dict[Priority, float], seconds: float
) -> tuple[Counter[Priority], Counter[Priority], list[float]]:
    """Offer queries at regular intervals per class."""
    admission = Admission(router)
    served: Counter[Priority] = Counter()
    refused: Counter[Priority] = Counter()
    waits: list[float] = []

    async def run(priority: Priority) -> None:
        try:
            wait = await _run_query(router, admission, priority)
        except Refusal as refusal:
            assert refusal.kind is RefusalKind.NOT_RUN
            refused[priority] += 1
        else:
            served[priority] += 1
            if priority is Priority.URGENT:
                waits.append(wait)

    async def generate(priority: Priority, interval_s: float) -> None:
        tasks = []
        for _ in range(int(seconds / interval_s)):
            tasks.append(asyncio.create_task(run(priority)))
            await asyncio.sleep(interval_s)
        await asyncio.gather(*tasks)

    await asyncio.gather(*(generate(p, each) for p, each in priorities.items()))
    return served, refused, waits


def test_slot_time_stays_within_the_share(make_router: MakeRouter) -> None:
    # Guards against ten entry hosts that each use the slots of a whole server.
    async def main() -> None:
        router = make_router(greatest_share=1.0)
        offered = {Priority.NORMAL: 0.005}
        await _offer_load(router, offered, 20.0)
        slots = router.statistics.total_occupancy_ms / 1_000 / 20.0
        share = router.policy.utilisation * 6 / 10
        assert 0.9 * share < slots < 1.15 * share  # the burst is used once

    run_virtual(main())


def test_share_grows_only_while_servers_do_not_shed() -> None:
    # Guards against idle slots when the load balancer prefers one entry host, and
    # against an entry host that keeps the increased share when servers shed.
    statistics = ServiceStatistics(RoutingPolicy())
    share = AdaptiveShare(10.0)
    factors = []
    for window in range(120):
        share.was_limiting = True
        for attempt in range(250):
            shed = window >= 60 and attempt % 4 == 0
            outcome = AttemptOutcome.SHED if shed else AttemptOutcome.OK
            statistics.record(0, outcome, 10.0)
        share.adapt(statistics, window * 0.3)
        factors.append(share.factor)
    assert factors[59] > 5.0
    assert factors[-1] == 1.0


def test_share_falls_when_servers_slow_down() -> None:
    # Guards against overload of servers with long queues, which never shed.
    statistics = ServiceStatistics(RoutingPolicy())
    share = AdaptiveShare(10.0)
    for window in range(120):
        share.was_limiting = True
        for _ in range(250):
            latency_ms = 10.0 if window < 60 else 25.0
            statistics.record(0, AttemptOutcome.OK, latency_ms)
        share.adapt(statistics, window * 0.3)
    assert share.factor == 1.0


def test_urgent_is_served_first_and_bulk_does_not_starve(
    make_router: MakeRouter,
) -> None:
    # Guards against urgent requests that wait behind others, and against bulk requests
    # that never run while normal load exceeds the capacity.
    async def main() -> None:
        router = make_router()
        offered = {
            Priority.URGENT: 0.2,
            Priority.NORMAL: 0.01,
            Priority.BULK: 0.02,
        }
        served, refused, waits = await _offer_load(router, offered, 20.0)
        assert refused[Priority.URGENT] == 0
        assert max(waits) < 0.1
        assert served[Priority.BULK] >= served[Priority.NORMAL] / 20
        assert served[Priority.BULK] <= served[Priority.NORMAL] / 5
        assert refused[Priority.NORMAL] > 0

    run_virtual(main())


def test_overload_is_refused_early(make_router: MakeRouter) -> None:
    # Guards against refusals that are sent only at the deadline of a request.
    async def main() -> None:
        router = make_router(greatest_share=1.0)
        admission = Admission(router)
        loop = asyncio.get_running_loop()
        tasks = []
        for _ in range(2_000):
            tasks.append(
                asyncio.create_task(_run_query(router, admission, Priority.NORMAL))
            )
            await asyncio.sleep(0.005)
        refusals = 0
        for _ in range(20):
            started = loop.time()
            try:
                await _run_query(router, admission, Priority.NORMAL)
            except Refusal as refusal:
                refusals += loop.time() == started
                assert refusal.reason is RefusalReason.OVERLOADED
                assert refusal.retry_after_ms is not None
                assert loop.time() - started <= router.policy.longest_wait_s + 0.001
            tasks += [
                asyncio.create_task(_run_query(router, admission, Priority.NORMAL))
                for _ in range(20)
            ]
            await asyncio.sleep(0)
        assert refusals >= 10, "most refusals come at once"
        await asyncio.gather(*tasks, return_exceptions=True)

    run_virtual(main())


def test_query_that_cannot_meet_its_deadline_is_refused(
    make_router: MakeRouter,
) -> None:
    # Guards against work that is discarded at its deadline, and against a past slow
    # period because of which such queries are refused for ever.
    async def main() -> None:
        router = make_router()
        admission = Admission(router)
        for _ in range(100):
            await _run_query(router, admission, Priority.URGENT)
        with pytest.raises(Refusal) as caught:
            await _run_query(router, admission, Priority.URGENT, deadline_s=0.01)
        assert caught.value.reason is RefusalReason.DEADLINE_EXCEEDED
        for _ in range(100):
            try:
                await _run_query(router, admission, Priority.URGENT, deadline_s=0.01)
            except Refusal:
                continue
            return
        pytest.fail("nothing was tried again")

    run_virtual(main())


def test_cancelled_wait_consumes_no_budget(make_router: MakeRouter) -> None:
    # Guards against budget that leaks when callers disconnect while they wait.
    async def main() -> None:
        router = make_router(burst_s=0.05, longest_wait_s=5.0)
        admission = Admission(router)
        await _run_query(router, admission, Priority.NORMAL)
        for _ in range(200):
            tasks = [
                asyncio.create_task(_run_query(router, admission, Priority.NORMAL))
                for _ in range(5)
            ]
            await asyncio.sleep(0.001)
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
        await asyncio.sleep(1.0)
        assert await _run_query(router, admission, Priority.NORMAL) == 0.0

    run_virtual(main())


def test_budget_of_a_cancelled_admission_is_released(make_router: MakeRouter) -> None:
    # Guards against budget that leaks when a query is cancelled in the same event
    # loop iteration in which it is admitted.
    async def main() -> None:
        router = make_router(greatest_share=1.0, longest_wait_s=10.0)
        admission = Admission(router)
        await _run_query(router, admission, Priority.NORMAL)
        large = admission.admit(Priority.NORMAL, sub_requests=100)
        await large.__aenter__()
        waiting = asyncio.create_task(
            admission.acquire(Priority.NORMAL, float("inf"), sub_requests=1)
        )
        await asyncio.sleep(0)
        await large.__aexit__(None, None, None)
        granted_level_s = admission._budget_s
        waiting.cancel()
        await asyncio.gather(waiting, return_exceptions=True)
        assert admission._budget_s > granted_level_s

    run_virtual(main())
