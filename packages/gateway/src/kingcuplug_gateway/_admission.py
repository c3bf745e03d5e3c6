"""Admission of requests by the limiter of their service, and what refused ones hear."""

import asyncio
import math
import random as random_module
from collections.abc import Sequence
from dataclasses import dataclass
from functools import partial

from kingcuplug_common import EventLog, Metrics
from kingcuplug_routing import ConcurrencyLimiter, WaitingRequest, concurrency_limits

from kingcuplug_gateway._routes import Route
from kingcuplug_gateway._servers import ServicePool
from kingcuplug_gateway._service_call import OutboundRequest

__all__ = ["Overloaded", "RequestAdmission"]

_MS_PER_S = 1_000
# The delay lets a server restart or be announced before the caller retries. It is
# drawn at random from this range, so that callers do not retry at the same time.
_RETRY_AFTER_RANGE_S = (0.15, 0.45)
# Callers that are refused during a wait of some length return over half that length
# more: with a constant spread, the callers of a long burst return as another burst.
_RETRY_SPREAD = 0.5
# Bounds the number of metrics; a deployment has up to 10,000 teams.
_MAX_TEAM_METRICS = 100


@dataclass(frozen=True, slots=True)
class Overloaded:
    """Refusal by the limiter: the expected wait, in seconds, was too long."""

    wait_s: float


class RequestAdmission:
    """Admits the requests of a host's callers.

    Attributes
    ----------
    shares_fairly : bool
        Whether callers belong to teams, which have fair shares.
    """

    def __init__(
        self, random: random_module.Random, log: EventLog, metrics: Metrics
    ) -> None:
        self._random = random
        self._log = log
        self._metrics = metrics
        self._counted_teams: set[str] = set()
        self.shares_fairly = False

    def deciding_pool(self, pools: Sequence[ServicePool]) -> ServicePool:
        """Return the pool of whose limiter a request to several services needs room."""
        if not self.shares_fairly:
            return pools[0]
        # Routes that list the same shards in another order use the same slots.
        return min(pools, key=lambda pool: pool.name)

    async def wait(
        self,
        pool: ServicePool,
        hosts: int,
        route: Route,
        outbound: OutboundRequest,
        target_at: float,
        answer_due_at: float,
    ) -> Overloaded | None:
        """Wait for admission; return why it was refused, if it was.

        Parameters
        ----------
        pool : ServicePool
            Service whose limiter decides, see `deciding_pool`.
        hosts : int
            Number of live hosts; 0 if unknown.
        target_at, answer_due_at : float
            Event loop times by which its answer is in time, and of any use.
        """
        limiter = pool.limiter
        limiter.set_bounds(concurrency_limits(pool.slots, hosts))
        limiter.use_fair_shares(self.shares_fairly)
        refusal = await _wait(limiter, route, outbound, target_at, answer_due_at)
        if refusal is not None and self.shares_fairly:
            self._record_refusal(limiter, route, outbound, refusal)
        return refusal

    def release(
        self,
        pool: ServicePool,
        route: Route,
        outbound: OutboundRequest,
        started_at: float,
        in_time: bool | None,
    ) -> None:
        """End an admitted request.

        Parameters
        ----------
        pool : ServicePool
            The one that was passed to `wait`.
        started_at : float
            Event loop time at which it was sent.
        in_time : bool or None
            Whether it was answered in time; ``None`` if its end says nothing about the
            load.
        """
        now = asyncio.get_running_loop().time()
        pool.limiter.release(
            route.priority, now, now - started_at, in_time, outbound.team, route.name
        )

    def retry_after_s(self, wait_s: float) -> float:
        """Return when a refused caller is to come again, in seconds.

        Parameters
        ----------
        wait_s : float
            Time after which there is expected to be room for it; ``inf`` if unknown.
        """
        drawn_s = self._random.uniform(*_RETRY_AFTER_RANGE_S)
        if wait_s == math.inf:
            return drawn_s
        if not self.shares_fairly:
            return max(wait_s, drawn_s)
        least_s, most_s = _RETRY_AFTER_RANGE_S
        spread = (drawn_s - least_s) / (most_s - least_s)
        from_s = max(wait_s, least_s)
        return from_s + spread * max(most_s - least_s, from_s * _RETRY_SPREAD)

    def _record_refusal(
        self,
        limiter: ConcurrencyLimiter,
        route: Route,
        outbound: OutboundRequest,
        refusal: Overloaded,
    ) -> None:
        team = outbound.team
        if team not in self._counted_teams:
            if len(self._counted_teams) < _MAX_TEAM_METRICS:
                self._counted_teams.add(team)
            else:
                team = "other"
        self._metrics.count("admission.refused")
        self._metrics.count(f"admission.refused.{team or 'none'}")
        if not self._log.try_acquire("admission.refused"):
            return
        self._log.write(
            "admission.refused",
            {
                "id": outbound.attempt_id.decode("latin-1"),
                "route": route.name,
                "team": outbound.team,
                "rank": route.priority,
                "wait_ms": round(refusal.wait_s * _MS_PER_S, 1),
                "limit": round(limiter.limit, 1),
                "in_flight": limiter.in_flight,
                "waiting": limiter.waiting_count,
            },
            bypass_rate_limit=True,
        )


async def _wait(
    limiter: ConcurrencyLimiter,
    route: Route,
    outbound: OutboundRequest,
    target_at: float,
    answer_due_at: float,
) -> Overloaded | None:
    loop = asyncio.get_running_loop()
    if limiter.try_acquire(route.priority, loop.time(), outbound.team, route.name):
        return None
    admission: asyncio.Future[bool] = loop.create_future()

    def settle(admitted: bool) -> bool:
        if admission.done():
            return False
        admission.set_result(admitted)
        return True

    waiting = WaitingRequest(
        route.priority,
        target_at,
        answer_due_at,
        outbound.returning,
        admit=partial(settle, True),
        refuse=partial(settle, False),
        team=outbound.team,
        kind=route.name,
    )
    wait_s = limiter.enqueue(waiting, loop.time())
    if wait_s is not None:
        return Overloaded(wait_s)
    timer = loop.call_at(waiting.latest_start_at, limiter.expire, waiting)
    try:
        admitted = await admission
    except asyncio.CancelledError:
        limiter.withdraw(waiting)
        if admission.done() and not admission.cancelled() and admission.result():
            limiter.release(route.priority, loop.time(), 0.0, in_time=None)
        raise
    finally:
        timer.cancel()
    if admitted:
        return None
    if limiter.shares_fairly:
        return Overloaded(limiter.expected_wait_of_s(waiting))
    return Overloaded(limiter.expected_wait_s(route.priority))
