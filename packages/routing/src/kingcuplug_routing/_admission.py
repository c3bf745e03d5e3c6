"""Admission of whole queries, decided before any sub-request is sent.

A query fans out to every shard, so one sub-request that is shed wastes the work of
all the others. Backend servers have 2 or 3 slots for 10 entry hosts, so an entry
host's fair share is often below one query in flight, and entry hosts share no state.
The budget is therefore a token bucket of slot time: it refills at the entry host's
even share of the service's slots, times `utilisation`. Time spent queued at a server
is charged like time spent running there, so the total in flight is bounded whatever
the service time is.
"""

import asyncio
from math import inf
from types import TracebackType

from kingcuplug_routing._adaptive_share import AdaptiveShare
from kingcuplug_routing._refusals import deadline_unreachable, overloaded
from kingcuplug_routing._router import Router
from kingcuplug_routing._types import Priority
from kingcuplug_routing._waiting import Waiter, WaitingQueue

__all__ = ["Admission", "AdmissionContext"]

_MIN_BURST_QUERIES = 2.0  # burst in queries if a query costs more than the burst time
_MAX_DEBT_BURSTS = 4.0  # bounds how long one stall can block admission
_DURATION_WEIGHT = 0.05
_MEDIAN_SHARE_OF_MEAN = 0.7  # about the median of an exponential distribution
_REFUSAL_DECAY = 0.98
_MIN_TIMER_DELAY_S = 0.0005


class Admission:
    """Admission control for one service at one entry host.

    Parameters
    ----------
    router : Router
        Router of the same service; its attempts are charged to the budget.
    """

    def __init__(self, router: Router) -> None:
        self._router = router
        self._policy = router.policy
        self._waiting = WaitingQueue(router.policy.turn_after)
        self._budget_s = inf
        self._refilled_at = 0.0
        self._accounted_ms = 0.0
        self._mean_duration_s = 0.0
        self._share = AdaptiveShare(router.policy.greatest_share)
        self._timer: asyncio.TimerHandle | None = None

    def admit(
        self, priority: Priority, deadline: float = inf, sub_requests: int = 1
    ) -> "AdmissionContext":
        """Return a context manager that admits one query or order.

        Entering it waits in priority order and raises `Refusal` with ``NOT_RUN`` as
        soon as the expected wait exceeds the limit.

        Parameters
        ----------
        deadline : float
            Event loop time by which the whole answer is needed.
        sub_requests : int
            Number of sub-requests that the query will send.
        """
        return AdmissionContext(self, Priority(priority), deadline, sub_requests)

    async def acquire(
        self, priority: Priority, deadline: float, sub_requests: int
    ) -> float:
        """Admit a query and return the slot time in seconds that it was charged."""
        if self._policy.utilisation == inf:
            return 0.0
        cost = sub_requests * self._router.statistics.mean_occupancy_ms / 1_000
        now = _now()
        self._refill(now)
        self._check_deadline(deadline, now)
        if not self._waiting.cost_ahead(priority) and self._has_budget(priority, cost):
            self._budget_s -= cost
            return cost
        await self._wait(priority, deadline, cost, now)
        return cost

    def release(self, cost: float, duration_s: float) -> None:
        """Correct the charged slot time of a query by the observed one."""
        self._mean_duration_s += _DURATION_WEIGHT * (duration_s - self._mean_duration_s)
        occupied_ms = self._router.statistics.total_occupancy_ms
        observed_s = (occupied_ms - self._accounted_ms) / 1_000
        self._accounted_ms = occupied_ms
        self._budget_s += cost - observed_s
        if self._waiting.entry_count:
            self._admit_waiting()

    def _check_deadline(self, deadline: float, now: float) -> None:
        median_s = _MEDIAN_SHARE_OF_MEAN * self._mean_duration_s
        if now + median_s >= deadline:
            # Lower the estimate on each refusal: no answer would correct it otherwise,
            # and one slow period would refuse such deadlines for ever.
            self._mean_duration_s *= _REFUSAL_DECAY
            raise deadline_unreachable(
                self._router.service, (deadline - now) * 1_000, median_s * 1_000
            )

    async def _wait(
        self, priority: Priority, deadline: float, cost: float, now: float
    ) -> None:
        self._share.was_limiting = True
        expected_s = self._expected_wait_s(priority, cost)
        max_wait_s = min(
            self._max_wait_s(priority),
            deadline - now - _MEDIAN_SHARE_OF_MEAN * self._mean_duration_s,
        )
        if expected_s > max_wait_s:
            raise overloaded(self._router.service, expected_s * 1_000)
        loop = asyncio.get_running_loop()
        future: asyncio.Future[bool] = loop.create_future()
        self._waiting.push(Waiter(future, priority, cost))
        timer = None
        if max_wait_s < inf:
            timer = loop.call_at(now + max_wait_s, _time_out, future)
        self._admit_waiting()
        try:
            if not await future:
                raise overloaded(self._router.service, max_wait_s * 1_000)
        except asyncio.CancelledError:
            if future.done() and not future.cancelled() and future.result():
                self._budget_s += cost
            raise
        finally:
            future.cancel()
            if timer is not None:
                timer.cancel()

    def _admit_waiting(self) -> None:
        """Admit waiting queries within the budget and schedule the next pass."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        self._refill(_now())
        while (head := self._waiting.peek()) is not None:
            if not self._has_budget(head.priority, head.cost):
                self._schedule_admission(head)
                return
            self._waiting.pop()
            self._budget_s -= head.cost
            head.future.set_result(True)

    def _schedule_admission(self, head: Waiter) -> None:
        deficit_s = self._threshold(head.priority, head.cost) - self._budget_s
        delay = max(_MIN_TIMER_DELAY_S, deficit_s / self._rate())
        self._timer = asyncio.get_running_loop().call_later(delay, self._admit_waiting)

    def _refill(self, now: float) -> None:
        self._share.adapt(self._router.statistics, now)
        rate = self._rate()
        depth = self._depth(rate)
        level = self._budget_s + rate * (now - self._refilled_at)
        self._budget_s = max(-_MAX_DEBT_BURSTS * depth, min(depth, level))
        self._refilled_at = now

    def _rate(self) -> float:
        """Return this entry host's share of slot time, in seconds per second."""
        share = self._share.factor * self._router.slot_share()
        return max(1e-6, self._policy.utilisation * share)

    def _depth(self, rate: float) -> float:
        return self._policy.burst_s * rate

    def _threshold(self, priority: Priority, cost: float) -> float:
        """Return the bucket level from which a query is admitted."""
        depth = self._depth(self._rate())
        if priority is Priority.URGENT:
            return -max(depth, _MIN_BURST_QUERIES * cost)
        return self._policy.urgent_reserve * depth

    def _has_budget(self, priority: Priority, cost: float) -> bool:
        return self._budget_s >= self._threshold(priority, cost)

    def _expected_wait_s(self, priority: Priority, cost: float) -> float:
        deficit_s = self._threshold(priority, cost) - self._budget_s
        return max(0.0, deficit_s + self._waiting.cost_ahead(priority)) / self._rate()

    def _max_wait_s(self, priority: Priority) -> float:
        if priority is Priority.URGENT:
            return inf
        if priority is Priority.BULK:
            return self._policy.longest_wait_s * self._policy.bulk_wait_factor
        return self._policy.longest_wait_s


class AdmissionContext:
    """Context manager that holds the admission of one query."""

    __slots__ = ("_admission", "_admitted_at", "_arguments", "_cost")

    def __init__(
        self,
        admission: Admission,
        priority: Priority,
        deadline: float,
        sub_requests: int,
    ) -> None:
        self._admission = admission
        self._arguments = (priority, deadline, sub_requests)

    async def __aenter__(self) -> None:
        self._cost = await self._admission.acquire(*self._arguments)
        self._admitted_at = _now()

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self._admission.release(self._cost, _now() - self._admitted_at)


def _time_out(future: asyncio.Future[bool]) -> None:
    if not future.done():
        future.set_result(False)


def _now() -> float:
    return asyncio.get_running_loop().time()
