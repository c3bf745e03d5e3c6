"""Order of the requests that wait at one host, as a fair share among teams.

Handles these load patterns. One team sends several times its usual load: in order of
arrival, nearly every turn is its, and the others wait behind it. One team sends few
long requests and another many short ones: turns that are shared by count give the
first one most of the servers' time. A team or a kind of request always finds others
ahead of it, by rank or by its short target, and is refused each time.

The rank decides first. Within a rank, teams share the time of the servers by start-time
fair queueing (Goyal, Vin and Cheng, 1996): each admission moves its team's position on
by the expected cost of the request in milliseconds, and the team with the lowest
position is next. A team gains nothing from the time in which it sent nothing, and owes
nothing for time that no other team wanted. Within a team, callers that return after a
refusal are first, then the earliest target.

A fair share alone gives a team with several times the load of the others a small part
of what it asks for. Therefore each arrival gives its team and its kind a part of an
admission, in proportion to the share of all requests that are admitted, and a request
goes first once its team or kind is owed a whole one.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Protocol, TypeVar

__all__ = ["CostTable", "ExpectedCost", "FairQueue", "QueuedRequest"]

_MS_PER_S = 1_000
# No team and no kind of request is to be admitted less than a quarter as often as all;
# the margin covers requests that end before the turn that they are owed.
_OWED_RATIO = 0.3
# Owed admissions beyond this are dropped, so that a team that was refused for long does
# not hold all turns afterwards.
_MAX_OWED_ADMISSIONS = 2.0
# The share of admitted requests is that of the last seconds: a burst lasts about as
# long.
_RATIO_MEMORY_S = 5.0
# An estimate of nothing would let a team have any number of turns.
_MIN_COST_MS = 0.1
_MEAN_WEIGHT = 0.1
# A burst of some seconds must not displace what was seen before it.
_LEAST_WINDOW_S = 10.0
# With fewer requests of its own, a team's least duration is one of a busy moment.
_MIN_TEAM_SAMPLES = 8
# Bounds the memory with 10,000 teams. A host handles one or two requests a second, so
# it has far fewer teams among those of the last minutes.
_MAX_ENTRIES = 1_024


class QueuedRequest(Protocol):
    """What the order depends on.

    Attributes
    ----------
    rank : int
        Rank of the request; 0 is the most urgent.
    team, kind : str
        Caller's team, and kind of request by which its cost is estimated.
    target_at : float
        Event loop time by which its answer is in time.
    returning : bool
        Whether its caller has been refused before.
    held_by_start : bool
        Whether its target time had passed before it was queued.
    owed : bool
        Whether it uses an admission that its team or kind was owed.
    """

    rank: int
    team: str
    kind: str
    target_at: float
    returning: bool
    held_by_start: bool
    owed: bool


class ExpectedCost(Protocol):
    """Estimate of the time that servers work on a request."""

    def __call__(self, team: str, kind: str) -> float:
        """Return the expected cost in milliseconds; 0 if nothing is known."""
        ...


@dataclass(slots=True)
class _Durations:
    """Durations of one group of requests.

    Attributes
    ----------
    least_ms, previous_least_ms : float
        Shortest duration in the present window, and in the one before.
    """

    mean_ms: float = 0.0
    count: int = 0
    least_ms: float = math.inf
    previous_least_ms: float = math.inf
    window_ends_at: float = 0.0

    def add(self, duration_ms: float, now: float) -> None:
        if now >= self.window_ends_at:
            self.previous_least_ms, self.least_ms = self.least_ms, math.inf
            self.window_ends_at = now + _LEAST_WINDOW_S
        self.least_ms = min(self.least_ms, duration_ms)
        if self.count == 0:
            self.mean_ms = duration_ms
        self.mean_ms += (duration_ms - self.mean_ms) * _MEAN_WEIGHT
        self.count += 1


class CostTable:
    """Durations of the requests of a host, by team and kind.

    A team with few requests of a kind is expected to cost what the kind does, and a
    kind of which nothing is known what all requests do.
    """

    def __init__(self) -> None:
        self._durations: dict[tuple[str | None, str | None], _Durations] = {}

    def record(self, team: str, kind: str, duration_s: float, now: float) -> None:
        """Record the duration of a request that has ended."""
        for key in ((None, None), (None, kind), (team, kind)):
            durations = self._durations.pop(key, None) or _Durations()
            if len(self._durations) >= _MAX_ENTRIES:
                del self._durations[next(iter(self._durations))]
            # The one that was recorded last is at the end; the first is dropped first.
            self._durations[key] = durations
            durations.add(duration_s * _MS_PER_S, now)

    def expected_duration_ms(self, team: str, kind: str) -> float:
        """Return the mean duration in milliseconds; 0 if nothing is known."""
        return self._find(team, kind).mean_ms

    def expected_cost_ms(self, team: str, kind: str) -> float:
        """Return the least duration of the last 10 to 20 s; 0 if nothing is known.

        The mean contains the wait in the servers' queues, which is much the same for
        short and long requests: by the mean, a team with short requests would be
        charged for the work of others. The least one is close to the work itself.
        """
        durations = self._find(team, kind)
        least_ms = min(durations.least_ms, durations.previous_least_ms)
        return least_ms if least_ms < math.inf else 0.0

    def _find(self, team: str, kind: str) -> _Durations:
        durations = self._durations.get((team, kind))
        if durations is not None and durations.count >= _MIN_TEAM_SAMPLES:
            return durations
        durations = self._durations.get((None, kind))
        return durations or self._durations.get((None, None)) or _Durations()


_Queued = TypeVar("_Queued", bound=QueuedRequest)


@dataclass(slots=True)
class _Positions:
    """Positions of the teams of one rank, in milliseconds of expected cost.

    Attributes
    ----------
    current_ms : float
        Position of the last request that was admitted.
    next_ms : dict
        Positions of the teams' next requests, where beyond the current one.
    """

    current_ms: float = 0.0
    next_ms: dict[str, float] = field(default_factory=dict)

    def of(self, team: str) -> float:
        return max(self.current_ms, self.next_ms.get(team, 0.0))

    def move_to(self, start_ms: float) -> None:
        self.current_ms = max(self.current_ms, start_ms)
        if len(self.next_ms) > _MAX_ENTRIES:
            self.next_ms = {
                team: at for team, at in self.next_ms.items() if at > self.current_ms
            }


class FairQueue:
    """State from which the order of waiting requests follows.

    Parameters
    ----------
    expected_cost_ms : callable
        Estimates the cost of a request, by which teams share.
    expected_duration_ms : callable
        Estimates how long a request occupies a place in the limit, including its wait
        at servers.
    """

    def __init__(
        self, expected_cost_ms: ExpectedCost, expected_duration_ms: ExpectedCost
    ) -> None:
        self._expected_cost_ms = expected_cost_ms
        self._expected_duration_ms = expected_duration_ms
        self._positions: dict[int, _Positions] = {}
        self._owed: dict[tuple[str, str], float] = {}
        self._arrivals = 0.0
        self._admissions = 0.0
        self._counted_at = 0.0

    def record_arrival(self, team: str, kind: str, now: float) -> None:
        """Count an arrival, and what it adds to what its team and kind are owed."""
        self._forget(now)
        self._arrivals += 1
        ratio = min(1.0, self._admissions / self._arrivals)
        for group in _groups(team, kind):
            owed = self._owed.pop(group, 0.0) + ratio * _OWED_RATIO
            if len(self._owed) >= _MAX_ENTRIES:
                del self._owed[next(iter(self._owed))]
            self._owed[group] = min(owed, _MAX_OWED_ADMISSIONS)

    def take_owed(self, team: str, kind: str) -> bool:
        """Use an admission that a team or kind is owed; return whether there was one.

        The request goes before all others then, and its admission is not charged again.
        """
        if all(self._owed.get(group, 0.0) < 1 for group in _groups(team, kind)):
            return False
        self._reduce_owed(team, kind)
        return True

    def record_admission(
        self,
        rank: int,
        team: str,
        kind: str,
        now: float,
        waiting: Iterable[QueuedRequest] = (),
        owed: bool = False,
    ) -> None:
        """Charge a team for a request that is sent.

        Parameters
        ----------
        waiting : iterable of QueuedRequest
            Those that wait on.
        owed : bool
            Whether the request used an admission that was owed.
        """
        self._forget(now)
        self._admissions += 1
        if not owed:
            self._reduce_owed(team, kind)
        positions = self._positions.setdefault(rank, _Positions())
        start_ms = positions.of(team)
        others_ms = (positions.of(w.team) for w in waiting if w.rank == rank)
        positions.next_ms[team] = start_ms + self._cost_ms(team, kind)
        # A request that was owed its admission may start beyond other teams' positions,
        # which must not lose what they have waited for.
        positions.move_to(min(start_ms, min(others_ms, default=start_ms)))

    def record_idle(self) -> None:
        """Forget the positions once no request waits or is in flight."""
        self._positions.clear()

    def pick_owed(self, waiting: Iterable[_Queued]) -> _Queued | None:
        """Return the first of the requests that use an owed admission, if any."""
        owed = (request for request in waiting if request.owed)
        return min(owed, key=_order_in_team, default=None)

    def pick(self, waiting: Iterable[_Queued]) -> _Queued:
        """Return the next of one or more requests of one rank."""
        return min(
            waiting,
            key=lambda w: (
                w.held_by_start,
                self._positions_of(w.rank).of(w.team),
                *_order_in_team(w),
            ),
        )

    def duration_ms(self, team: str, kind: str) -> float:
        """Return the expected duration of a request once it is sent."""
        return self._expected_duration_ms(team, kind)

    def duration_ahead_ms(
        self, request: QueuedRequest, waiting: Iterable[QueuedRequest]
    ) -> float:
        """Return the expected duration of those that go before a request.

        Those that were held by the start of the host count for nothing: they wait
        behind all others.
        """
        ahead_ms = 0.0
        own_start_ms = self._positions_of(request.rank).of(request.team)
        others: dict[str, list[QueuedRequest]] = {}
        for other in waiting:
            if other.owed:
                ahead_ms += self.duration_ms(other.team, other.kind)
            elif other.held_by_start or other.rank > request.rank or request.owed:
                continue
            elif other.rank < request.rank:
                ahead_ms += self.duration_ms(other.team, other.kind)
            elif other.team != request.team:
                others.setdefault(other.team, []).append(other)
            elif _order_in_team(other) <= _order_in_team(request):
                ahead_ms += self.duration_ms(other.team, other.kind)
                own_start_ms += self._cost_ms(other.team, other.kind)
        for team, requests in others.items():
            start_ms = self._positions_of(request.rank).of(team)
            for other in requests:
                if start_ms > own_start_ms:
                    break
                ahead_ms += self.duration_ms(other.team, other.kind)
                start_ms += self._cost_ms(other.team, other.kind)
        return ahead_ms

    def _cost_ms(self, team: str, kind: str) -> float:
        return max(_MIN_COST_MS, self._expected_cost_ms(team, kind))

    def _positions_of(self, rank: int) -> _Positions:
        return self._positions.get(rank) or _Positions()

    def _reduce_owed(self, team: str, kind: str) -> None:
        for group in _groups(team, kind):
            if group in self._owed:
                self._owed[group] = max(0.0, self._owed[group] - 1)

    def _forget(self, now: float) -> None:
        kept = math.exp(min(0.0, self._counted_at - now) / _RATIO_MEMORY_S)
        self._arrivals *= kept
        self._admissions *= kept
        self._counted_at = now


def _groups(team: str, kind: str) -> tuple[tuple[str, str], tuple[str, str]]:
    return ("team", team), ("kind", kind)


def _order_in_team(request: QueuedRequest) -> tuple[bool, float]:
    return (not request.returning, request.target_at)
