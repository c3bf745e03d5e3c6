"""Emulator of an overload: hosts, shards and callers in simulated time.

Replays a load pattern against the real admission decision of `kingcuplug_routing`, or
against a fixed limit with one queue in order of rank and arrival. Servers run requests
in their slots and queue the others; a query is answered when all shards have answered,
or at its target if enough have. Times are in seconds of simulated time.
"""

import heapq
import math
import random as random_module
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import count

from kingcuplug_routing import ConcurrencyLimiter, WaitingRequest, concurrency_limits

__all__ = [
    "LoadPattern",
    "OverloadResult",
    "QueryKind",
    "ideal_share",
    "replay_overload",
]

_LATE_CREDIT = 0.1
_RETURN_RANGE_S = (0.15, 0.45)
_MAX_WAIT_SHARE = 1 / 3  # Share of the time left for which a caller waits as told.


@dataclass(frozen=True, slots=True)
class QueryKind:
    """One kind of query.

    Attributes
    ----------
    rank : int
        Rank of the queries; 0 is the most urgent.
    rate : float
        Queries per second of all callers, outside a burst.
    work_s : float
        Mean time that one shard works on a query.
    target_s, deadline_s : float
        Times after which an answer is late, and of no use.
    min_coverage : float
        Smallest share of the shards for an answer.
    worth : float
        Credit of an answer in time.
    team, name : str
        Team of the callers, and name of the kind.
    bursts : bool
        Whether the rate rises during a burst.
    """

    rank: int
    rate: float
    work_s: float
    target_s: float
    deadline_s: float
    min_coverage: float
    worth: float
    team: str = ""
    name: str = ""
    bursts: bool = True


@dataclass(frozen=True, slots=True)
class LoadPattern:
    """Size of the service, and what happens to it.

    Attributes
    ----------
    burst : float
        Factor on the rates from `burst_from_s` to `burst_until_s`.
    slow_share, slow_factor : float
        Share of the servers that are slow during the burst, and how slow.
    abusers : float
        Share of the callers that repeat at once, twice, when they are refused.
    herd_at_s : float or None
        Time at which a second's worth of callers arrives at once.
    pause_every_s, pause_s : float
        Interval and length of each server's pauses; 0 for none.
    """

    hosts: int
    kinds: tuple[QueryKind, ...]
    shards: int = 10
    replicas: int = 3
    slots: int = 3
    length_s: float = 12.0
    burst: float = 1.0
    burst_from_s: float = 2.0
    burst_until_s: float = 10.0
    slow_share: float = 0.0
    slow_factor: float = 8.0
    abusers: float = 0.0
    herd_at_s: float | None = None
    pause_every_s: float = 0.0
    pause_s: float = 0.0


@dataclass(slots=True)
class OverloadResult:
    """Outcome of the callers' first tries during a replay, by rank.

    Attributes
    ----------
    owed, earned : dict
        Credit by rank.
    held_s : list of float
        Times for which refused requests were held.
    arrived, answered : Counter
        Callers that arrived during the burst, and those of them that got an answer, by
        team and by name of the kind.
    longest_wait_s : dict
        Longest time from an arrival to its admission, by team.
    """

    owed: dict[int, float] = field(default_factory=dict)
    earned: dict[int, float] = field(default_factory=dict)
    held_s: list[float] = field(default_factory=list)
    arrived: Counter[str] = field(default_factory=Counter)
    answered: Counter[str] = field(default_factory=Counter)
    longest_wait_s: dict[str, float] = field(default_factory=dict)

    def answered_ratio(self, *names: str) -> float:
        """Return the share of the callers in the burst that got an answer.

        Parameters
        ----------
        names : str
            Teams or kinds; all of them if none is given.
        """
        chosen = names or ("",)
        arrived = sum(self.arrived[name] for name in chosen)
        return sum(self.answered[name] for name in chosen) / max(1, arrived)

    def share(self, rank: int | None = None) -> float:
        """Return the share of the credit that was earned, in all or by one rank."""
        ranks = self.owed if rank is None else (rank,)
        owed = sum(self.owed.get(r, 0.0) for r in ranks)
        return sum(self.earned.get(r, 0.0) for r in ranks) / owed if owed else 1.0


@dataclass(slots=True, eq=False)
class _Server:
    slots: int
    factor: float = 1.0
    paused_until: float = 0.0
    running: int = 0
    queue: deque["_Part"] = field(default_factory=deque)

    def load(self) -> float:
        return (self.running + len(self.queue) + 1) * self.factor


@dataclass(slots=True)
class _Query:
    kind: QueryKind
    first_at: float
    arrived_at: float
    host: int
    tries: int
    repeats_at_once: bool
    sent_at: float = 0.0
    answered: int = 0
    done: bool = False


@dataclass(slots=True)
class _Part:
    query: _Query
    work_s: float


class _Fixed:
    """Limit of four requests and a queue by rank and arrival, as a comparison."""

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.in_flight = 0
        self.waiting: list[tuple[int, int, _Query]] = []


class _Replay:
    def __init__(
        self, pattern: LoadPattern, adaptive: bool, seed: int, fair: bool = False
    ) -> None:
        self.pattern = pattern
        self.adaptive = adaptive
        self.random = random_module.Random(seed)
        self.result = OverloadResult()
        self.now = 0.0
        self.slow: list[_Server] = []
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = count()
        bounds = concurrency_limits(pattern.replicas * pattern.slots, pattern.hosts)
        self.limiters = [ConcurrencyLimiter(bounds) for _ in range(pattern.hosts)]
        for limiter in self.limiters:
            limiter.use_fair_shares(fair)
        self.fixed = [_Fixed(int(bounds[1])) for _ in range(pattern.hosts)]
        self.servers = [
            [_Server(pattern.slots) for _ in range(pattern.replicas)]
            for _ in range(pattern.shards)
        ]

    def at(self, time_s: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (time_s, next(self._sequence), action))

    def prepare(self) -> None:
        self._schedule_troubles()
        self._schedule_arrivals()

    def run(self) -> OverloadResult:
        self.prepare()
        while self._events:
            self.now, _, action = heapq.heappop(self._events)
            action()
        return self.result

    def _schedule_arrivals(self) -> None:
        pattern = self.pattern
        for kind in pattern.kinds:
            time_s = 0.0
            while time_s < pattern.length_s:
                in_burst = pattern.burst_from_s <= time_s < pattern.burst_until_s
                rate = kind.rate * (pattern.burst if in_burst and kind.bursts else 1.0)
                time_s += self.random.expovariate(rate)
                self._schedule_query(kind, time_s)
            if pattern.herd_at_s is not None:
                for _ in range(int(kind.rate)):
                    self._schedule_query(kind, pattern.herd_at_s)

    def _schedule_query(self, kind: QueryKind, time_s: float) -> None:
        abuses = self.random.random() < self.pattern.abusers
        tries = 3 if abuses else 2
        host = self.random.randrange(self.pattern.hosts)
        self.result.owed[kind.rank] = self.result.owed.get(kind.rank, 0) + kind.worth
        query = _Query(kind, time_s, time_s, host, tries, abuses)
        self.at(time_s, lambda: self._arrive(query))

    def _schedule_troubles(self) -> None:
        pattern = self.pattern
        every_server = [server for shard in self.servers for server in shard]
        self.slow = self.random.sample(
            every_server, int(len(every_server) * pattern.slow_share)
        )

        def set_factor(factor: float) -> None:
            for server in self.slow:
                server.factor = factor

        self.at(pattern.burst_from_s, lambda: set_factor(pattern.slow_factor))
        self.at(pattern.burst_until_s, lambda: set_factor(1.0))
        if not pattern.pause_every_s:
            return
        for server in every_server:
            time_s = self.random.uniform(0, pattern.pause_every_s)
            while time_s < pattern.length_s:
                self._schedule_pause(server, time_s)
                time_s += pattern.pause_every_s

    def _schedule_pause(self, server: _Server, time_s: float) -> None:
        until = time_s + self.pattern.pause_s

        def pause() -> None:
            server.paused_until = until

        self.at(time_s, pause)
        self.at(until, lambda: self._start_parts(server))

    def _arrive(self, query: _Query) -> None:
        if self.adaptive:
            self._admit_adaptively(query)
            return
        fixed = self.fixed[query.host]
        if fixed.in_flight < fixed.limit and not fixed.waiting:
            fixed.in_flight += 1
            self._send(query)
            return
        entry = (query.kind.rank, next(self._sequence), query)
        heapq.heappush(fixed.waiting, entry)
        final_at = query.first_at + query.kind.deadline_s
        self.at(final_at, lambda: self._expire_fixed(fixed, entry))

    def _expire_fixed(self, fixed: _Fixed, entry: tuple[int, int, _Query]) -> None:
        if entry in fixed.waiting:
            fixed.waiting.remove(entry)
            heapq.heapify(fixed.waiting)
            self._refuse(entry[2], 0.0)

    def _admit_adaptively(self, query: _Query) -> None:
        limiter, kind = self.limiters[query.host], query.kind
        if query.arrived_at == query.first_at and self._in_burst(query):
            self.result.arrived.update({"", kind.team, kind.name})
        if limiter.try_acquire(kind.rank, self.now, kind.team, kind.name):
            self._send(query)
            return

        def admit() -> bool:
            self._send(query)
            return True

        request = WaitingRequest(
            kind.rank,
            query.arrived_at + kind.target_s,
            query.first_at + kind.deadline_s,
            returning=self.now - query.first_at >= _RETURN_RANGE_S[0],
            admit=admit,
            refuse=lambda: self._refuse(query, 0.0),
            team=kind.team,
            kind=kind.name,
        )
        wait_s = limiter.enqueue(request, self.now)
        if wait_s is not None:
            self._refuse(query, wait_s)
            return
        self.at(request.latest_start_at, lambda: limiter.expire(request))

    def _in_burst(self, query: _Query) -> bool:
        pattern = self.pattern
        return pattern.burst_from_s <= query.first_at < pattern.burst_until_s

    def _refuse(self, query: _Query, wait_s: float) -> None:
        self.result.held_s.append(self.now - query.arrived_at)
        left_s = query.first_at + query.kind.deadline_s - self.now
        told_s = max(wait_s, self.random.uniform(*_RETURN_RANGE_S))
        delay_s = (
            0.01 if query.repeats_at_once else min(told_s, left_s * _MAX_WAIT_SHARE)
        )
        if query.tries <= 1 or delay_s >= left_s:
            return
        back_at = self.now + delay_s
        again = _Query(
            query.kind,
            query.first_at,
            back_at,
            self.random.randrange(self.pattern.hosts),
            query.tries - 1,
            query.repeats_at_once,
        )
        self.at(back_at, lambda: self._arrive(again))

    def _send(self, query: _Query) -> None:
        query.sent_at = self.now
        longest_s = self.result.longest_wait_s
        wait_s = self.now - query.arrived_at
        longest_s[query.kind.team] = max(longest_s.get(query.kind.team, 0.0), wait_s)
        for shard in self.servers:
            server = min(
                shard, key=lambda s: s.load() * self.random.uniform(0.85, 1.15)
            )
            work_s = query.kind.work_s * self.random.uniform(0.5, 1.5)
            server.queue.append(_Part(query, work_s))
            self._start_parts(server)
        kind = query.kind
        self.at(query.arrived_at + kind.target_s, lambda: self._answer(query, False))
        self.at(query.first_at + kind.deadline_s, lambda: self._answer(query, True))

    def _start_parts(self, server: _Server) -> None:
        while server.queue and server.running < server.slots:
            if self.now < server.paused_until:
                return
            part = server.queue.popleft()
            if part.query.done:
                continue
            server.running += 1
            end_at = self.now + part.work_s * server.factor
            self.at(end_at, lambda part=part: self._end_part(server, part))  # type: ignore[misc]

    def _end_part(self, server: _Server, part: _Part) -> None:
        server.running -= 1
        self._start_parts(server)
        query = part.query
        query.answered += 1
        if query.answered == self.pattern.shards:
            self._answer(query, True)
        elif self.now >= query.arrived_at + query.kind.target_s:
            self._answer(query, False)

    def _answer(self, query: _Query, final: bool) -> None:
        """Answer a query if enough shards have answered, or end it at its deadline."""
        required = math.ceil(self.pattern.shards * query.kind.min_coverage)
        enough = query.answered >= required
        if query.done or not (enough or final):
            return
        query.done = True
        kind, took_s = query.kind, self.now - query.first_at
        if enough:
            credit = kind.worth if took_s <= kind.target_s else _LATE_CREDIT
            if took_s > kind.target_s >= self.now - query.arrived_at:
                # In time after one return: the mean of both credits.
                credit = (kind.worth + _LATE_CREDIT) / 2
            coverage = query.answered / self.pattern.shards
            earned = self.result.earned
            earned[kind.rank] = earned.get(kind.rank, 0.0) + credit * coverage**2
            if self._in_burst(query):
                self.result.answered.update({"", kind.team, kind.name})
        in_time = self.now <= query.arrived_at + kind.target_s if enough else None
        self._release(query, in_time)

    def _release(self, query: _Query, in_time: bool | None) -> None:
        if self.adaptive:
            duration_s = self.now - query.sent_at
            kind = query.kind
            self.limiters[query.host].release(
                kind.rank, self.now, duration_s, in_time, kind.team, kind.name
            )
            return
        fixed = self.fixed[query.host]
        fixed.in_flight -= 1
        while fixed.waiting and fixed.in_flight < fixed.limit:
            fixed.in_flight += 1
            self._send(heapq.heappop(fixed.waiting)[2])


def ideal_share(pattern: LoadPattern, seed: int = 1) -> float:
    """Return an upper bound of the credit share of any scheduler.

    A scheduler with full knowledge keeps every slot busy with queries that are all
    answered in time, those with the most credit for their work first. A query needs
    its minimum of shards, so the weakest shards that it may miss do not limit it.
    """
    replay = _Replay(pattern, adaptive=True, seed=seed)
    replay.prepare()
    capacities = sorted(
        sum(
            server.slots / (pattern.slow_factor if server in replay.slow else 1.0)
            for server in shard
        )
        for shard in replay.servers
    )
    burst_s = pattern.burst_until_s - pattern.burst_from_s
    owed = earned = 0.0
    free_slots = min(
        capacities[int(pattern.shards * (1 - kind.min_coverage) + 1e-9)]
        for kind in pattern.kinds
    )
    for kind in sorted(pattern.kinds, key=lambda k: k.work_s / k.worth):
        calm = kind.rate * (pattern.length_s - burst_s) * kind.worth
        rate = kind.rate * (pattern.burst if kind.bursts else 1.0)
        served = min(rate, free_slots / kind.work_s)
        free_slots -= served * kind.work_s
        owed += calm + rate * burst_s * kind.worth
        earned += calm + served * burst_s * kind.worth
    return earned / owed


def replay_overload(
    pattern: LoadPattern, adaptive: bool = True, seed: int = 1, fair: bool = False
) -> OverloadResult:
    """Replay a load pattern.

    Parameters
    ----------
    adaptive : bool
        Whether `ConcurrencyLimiter` decides; otherwise a fixed limit with one queue.
    fair : bool
        Whether teams have fair shares.
    """
    return _Replay(pattern, adaptive, seed, fair).run()
