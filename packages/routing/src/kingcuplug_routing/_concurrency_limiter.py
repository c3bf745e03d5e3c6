"""Admission of requests to a service at one host: who is sent, waits, or is refused.

Handles these load patterns. Callers wait at hosts that have just started, and then all
their requests are sent in the same millisecond: the servers' short queues overflow,
and retries of the rejected requests exhaust the retry budget. More requests arrive for
some seconds than the servers answer in time (a burst, callers that repeat at once,
slow replicas): if all are sent or held, all answers are late, and the callers that are
refused in the end have waited for nothing.

So each host sends only as many requests at once as are answered in time. The limit
starts at the host's share of the servers' slots and of a short queue; it is lowered by
a constant factor for each late answer and raised by a constant amount for a limit's
worth of answers in time (additive increase, multiplicative decrease; Chiu and Jain,
1989). A request that would wait too long is refused on arrival, with the time at which
there will be room. Among those that wait, the rank decides first; callers that return
after a refusal go before new ones, and who has waited longest before the others. Where
callers belong to teams, `FairQueue` has the order.
"""

import math
from collections.abc import Callable
from dataclasses import dataclass, field

from kingcuplug_routing._fair_queue import CostTable, ExpectedCost, FairQueue

__all__ = [
    "ConcurrencyLimiter",
    "WaitingRequest",
    "concurrency_limits",
    "is_in_time",
]

# Servers queue about six requests for each slot; the margin allows for uneven shares of
# the hosts.
_REQUESTS_PER_SLOT = 4
# A host with few callers must still handle a small burst.
_MIN_CONCURRENCY = 4

_LATE_FACTOR = 0.85
_IN_TIME_STEP = 0.2
# Several requests that were sent together are late together: they count as one.
_DECREASE_INTERVAL_S = 0.1
# Only the most urgent rank of the last seconds moves the limit: less urgent requests
# may have a target that only an idle service meets.
_RANK_MEMORY_S = 2.0
_DURATION_WEIGHT = 0.1
# A less urgent rank gets every n-th turn, so that it does not starve.
_TURNS_BEFORE_LOWER_RANK = 4
_MS_PER_S = 1_000
# Answers that are sent at their target time are in time despite the timer's delay.
_TARGET_TOLERANCE_S = 0.005


def is_in_time(now: float, target_at: float) -> bool:
    """Return whether an answer that is sent at `now` is in time."""
    return now <= target_at + _TARGET_TOLERANCE_S


def concurrency_limits(slots: int, hosts: int) -> tuple[float, float]:
    """Return the bounds of a host's limit for servers with `slots` in all.

    The lower bound is the host's share of the slots: with fewer requests in flight, a
    request would be refused that a free server could run.

    Parameters
    ----------
    hosts : int
        Live hosts; 0 if unknown.
    """
    share = slots / max(1, hosts)
    upper = max(_MIN_CONCURRENCY, math.ceil(share * _REQUESTS_PER_SLOT))
    return max(1.0, share), float(upper)


@dataclass(slots=True, eq=False)
class WaitingRequest:
    """A request that waits for admission.

    Attributes
    ----------
    rank : int
        Rank of the request; 0 is the most urgent.
    target_at, final_at : float
        Event loop times by which its answer is in time, and of any use.
    returning : bool
        Whether its caller has been refused before.
    admit : callable
        Called when it may be sent; returns ``False`` if it has been abandoned.
    refuse : callable
        Called when it can no longer be served.
    team, kind : str
        Caller's team, and kind of request; empty unless teams have fair shares.
    latest_start_at : float
        Event loop time until which it may wait.
    held_by_start : bool
        Whether its target time had passed before it was queued.
    owed : bool
        Whether it goes first because its team or kind was admitted too rarely.
    """

    rank: int
    target_at: float
    final_at: float
    returning: bool
    admit: Callable[[], bool]
    refuse: Callable[[], object]
    team: str = ""
    kind: str = ""
    latest_start_at: float = field(default=0.0, init=False)
    held_by_start: bool = field(default=False, init=False)
    owed: bool = field(default=False, init=False)


class ConcurrencyLimiter:
    """Counts the requests in flight and decides about the others.

    Parameters
    ----------
    bounds : tuple of float
        Lower and upper bound of the limit, see `concurrency_limits`.
    """

    def __init__(self, bounds: tuple[float, float] = (1.0, _MIN_CONCURRENCY)) -> None:
        self._in_flight = 0
        self._min_limit, self._max_limit = bounds
        self._limit = self._max_limit
        self._decreased_at = -math.inf
        self._duration_s = 0.0
        self._waiting: list[WaitingRequest] = []
        self._rank_seen_at: dict[int, float] = {}
        self._turns_missed: dict[int, int] = {}
        self._costs = CostTable()
        self._fair_queue: FairQueue | None = None

    @property
    def limit(self) -> float:
        """Number of requests that may be in flight."""
        return self._limit

    @property
    def in_flight(self) -> int:
        """Number of requests that are in flight."""
        return self._in_flight

    @property
    def waiting_count(self) -> int:
        """Number of requests that wait."""
        return len(self._waiting)

    @property
    def has_room(self) -> bool:
        """Whether a request that arrives now is sent at once."""
        return self._in_flight < self._limit and not self._waiting

    @property
    def saturated(self) -> bool:
        """Whether hedges would displace requests that wait or are refused."""
        return bool(self._waiting) or self._in_flight >= self._limit

    def set_bounds(self, bounds: tuple[float, float]) -> None:
        """Set the bounds; the limit follows the upper one if it was not lowered."""
        if self._limit >= self._max_limit:
            self._limit = bounds[1]
        self._min_limit, self._max_limit = bounds
        self._limit = min(max(self._limit, self._min_limit), self._max_limit)

    @property
    def shares_fairly(self) -> bool:
        """Whether teams have fair shares."""
        return self._fair_queue is not None

    def use_fair_shares(
        self, enabled: bool, expected_cost_ms: ExpectedCost | None = None
    ) -> None:
        """Share among teams by expected cost, or order by rank and target only.

        Parameters
        ----------
        expected_cost_ms : callable, optional
            Estimate of the costs; by default, from the durations seen here.
        """
        if not enabled:
            self._fair_queue = None
        elif self._fair_queue is None:
            self._fair_queue = FairQueue(
                expected_cost_ms or self._costs.expected_cost_ms,
                self._costs.expected_duration_ms,
            )

    def try_acquire(
        self, rank: int, now: float, team: str = "", kind: str = ""
    ) -> bool:
        """Return whether a request may be sent at once, and count it if so."""
        self._rank_seen_at[rank] = now
        fair_queue = self._fair_queue
        if fair_queue is not None:
            fair_queue.record_arrival(team, kind, now)
        if not self.has_room:
            return False
        self._in_flight += 1
        if fair_queue is not None:
            fair_queue.record_admission(rank, team, kind, now)
        return True

    def expected_wait_of_s(self, request: WaitingRequest) -> float:
        """Return how long a request that is not queued yet is expected to wait."""
        if self._fair_queue is None:
            return self.expected_wait_s(request.rank, request.returning)
        others = [waiting for waiting in self._waiting if waiting is not request]
        ahead_ms = self._fair_queue.duration_ahead_ms(request, others)
        return (ahead_ms / _MS_PER_S + self._duration_s) / self._limit

    def expected_wait_s(self, rank: int, returning: bool = False) -> float:
        """Return how long a request that arrives now is expected to wait.

        Teams' shares are not considered.
        """
        ahead = sum(
            waiting.rank < rank
            or (waiting.rank == rank and (waiting.returning or not returning))
            for waiting in self._waiting
            if not waiting.held_by_start
        )
        return (ahead + 1) * self._duration_s / self._limit

    def enqueue(self, request: WaitingRequest, now: float) -> float | None:
        """Queue a request, or refuse it if it would wait too long.

        Returns
        -------
        float or None
            ``None`` if it was queued, otherwise the expected wait in seconds.
        """
        if self._fair_queue is not None and now <= request.target_at:
            request.owed = self._fair_queue.take_owed(request.team, request.kind)
        wait_s = self.expected_wait_of_s(request)
        request.held_by_start = now > request.target_at
        request.latest_start_at = self.latest_start_of(request, now)
        if now + wait_s > request.latest_start_at:
            return wait_s
        self._waiting.append(request)
        return None

    def latest_start_of(self, request: WaitingRequest, now: float) -> float:
        """Return until when a request that arrives now may wait."""
        duration_s = self._duration_s
        if self._fair_queue is not None:
            duration_ms = self._fair_queue.duration_ms(request.team, request.kind)
            duration_s = duration_ms / _MS_PER_S
        if now > request.target_at:
            # A request that was held by the start of this host is late anyway, and does
            # not compete with others: it waits for room as long as an answer is of use.
            return request.final_at - duration_s
        latest_start_at = request.target_at - duration_s
        if request.owed and now + self.expected_wait_of_s(request) > latest_start_at:
            # Otherwise a kind whose target leaves no time to wait gets nothing while
            # the limit is reached. Its callers are not held for much longer than their
            # target, as they may be refused in the end.
            return min(
                request.final_at - duration_s,
                request.target_at + request.target_at - now,
            )
        return latest_start_at

    def expire(self, request: WaitingRequest) -> None:
        """Refuse a request that is still waiting when its latest start has come."""
        if request in self._waiting:
            self._waiting.remove(request)
            request.refuse()

    def withdraw(self, request: WaitingRequest) -> None:
        """Remove a request if it is waiting."""
        if request in self._waiting:
            self._waiting.remove(request)

    def release(
        self,
        rank: int,
        now: float,
        duration_s: float,
        in_time: bool | None,
        team: str = "",
        kind: str = "",
    ) -> None:
        """End one request and admit as many waiting ones as the limit allows.

        Parameters
        ----------
        duration_s : float
            Time since the request was sent.
        in_time : bool or None
            Whether it was answered in time; ``None`` if its end says nothing about the
            load, as when its caller disconnected.
        """
        self._in_flight -= 1
        if in_time is not None:
            self._record(rank, now, duration_s, in_time)
            if self._fair_queue is not None:
                self._costs.record(team, kind, duration_s, now)
        self._refuse_expired(now)
        while self._waiting and self._in_flight < self._limit:
            request = self._pop_next()
            if request.admit():
                self._in_flight += 1
                if self._fair_queue is not None:
                    self._fair_queue.record_admission(
                        request.rank,
                        request.team,
                        request.kind,
                        now,
                        self._waiting,
                        request.owed,
                    )
        if self._fair_queue is not None and self._in_flight == 0:
            self._fair_queue.record_idle()

    def _record(self, rank: int, now: float, duration_s: float, in_time: bool) -> None:
        if self._duration_s == 0:
            self._duration_s = duration_s
        self._duration_s += (duration_s - self._duration_s) * _DURATION_WEIGHT
        most_urgent = min(
            (r for r, at in self._rank_seen_at.items() if now - at < _RANK_MEMORY_S),
            default=rank,
        )
        if rank > most_urgent:
            return
        if in_time:
            raised = self._limit + _IN_TIME_STEP / self._limit
            self._limit = min(raised, self._max_limit)
        elif now - self._decreased_at >= _DECREASE_INTERVAL_S:
            self._limit = max(self._limit * _LATE_FACTOR, self._min_limit)
            self._decreased_at = now

    def _refuse_expired(self, now: float) -> None:
        expired = [
            waiting for waiting in self._waiting if now > waiting.latest_start_at
        ]
        for waiting in expired:
            self.expire(waiting)

    def _pop_next(self) -> WaitingRequest:
        """Remove and return the next request; of equal ones, the first to arrive."""
        fair_queue = self._fair_queue
        chosen = fair_queue.pick_owed(self._waiting) if fair_queue is not None else None
        if chosen is None:
            rank = self._next_rank()
            of_rank = [waiting for waiting in self._waiting if waiting.rank == rank]
            if fair_queue is not None:
                chosen = fair_queue.pick(of_rank)
            else:
                chosen = min(
                    of_rank,
                    key=lambda waiting: (
                        waiting.held_by_start,
                        not waiting.returning,
                        waiting.target_at,
                    ),
                )
        self._waiting.remove(chosen)
        return chosen

    def _next_rank(self) -> int:
        """Return the most urgent rank, or one that has missed enough turns."""
        ranks = sorted({waiting.rank for waiting in self._waiting})
        chosen = ranks[0]
        for rank in ranks[1:]:
            missed = self._turns_missed.get(rank, 0)
            if missed >= _TURNS_BEFORE_LOWER_RANK:
                chosen = rank
                break
            self._turns_missed[rank] = missed + 1
        self._turns_missed[chosen] = 0
        return chosen
