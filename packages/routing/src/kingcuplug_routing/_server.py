"""State of one backend server, from the attempts of this entry host.

The concurrency limit follows additive increase and multiplicative decrease (AIMD)
between 1 and the server's maximum. The minimum of 1 lets every entry host observe the
server; `Admission` enforces the share below 1 that ten entry hosts need at a server
with three slots.
"""

import asyncio
from math import inf
from random import Random

from kingcuplug_routing._policy import RoutingPolicy
from kingcuplug_routing._types import AttemptOutcome, Priority, ServerView
from kingcuplug_routing._waiting import WaitingQueue

__all__ = ["Server"]

_LIMIT_INCREASE = 0.1  # per answer at the limit: adds 1 in about ten such answers
_LIMIT_DECREASE = 0.7
# A refused connection costs a round trip; leases expire after 2 s.
_CONNECTION_LOST_BACK_OFF_S = 0.1
_MAX_DOUBLINGS = 6
# A cancelled attempt is a censored observation. The expected remainder of an
# exponential latency is as long as the time that has passed.
CENSORED_LATENCY_FACTOR = 2.0
_FAILURE_OUTCOMES = frozenset(
    {AttemptOutcome.FAILED, AttemptOutcome.TIMEOUT, AttemptOutcome.CONNECTION_LOST}
)


class Server:
    """Statistics, limit, back-off and ejection of one incarnation of a server.

    Parameters
    ----------
    view : ServerView
        Entry of the server in the directory.
    latency_ms : float
        Latency to assume until one is observed.
    now : float
        Event loop time at which the slow start begins.
    """

    __slots__ = (
        "address",
        "back_off_timer",
        "back_off_until",
        "consecutive_failures",
        "consecutive_sheds",
        "ejected_until",
        "ejection_count",
        "in_flight",
        "incarnation",
        "latency_ms",
        "limit",
        "max_limit",
        "policy",
        "reported_load",
        "sample_count",
        "server",
        "slots",
        "slow_start_end",
        "waiting",
        "zone",
        "zone_factor",
    )

    def __init__(
        self, view: ServerView, policy: RoutingPolicy, latency_ms: float, now: float
    ) -> None:
        self.policy = policy
        self.server = view.server
        self.incarnation = view.incarnation
        self.in_flight = 0
        self.latency_ms = latency_ms
        self.sample_count = 0
        self.consecutive_failures = 0
        self.consecutive_sheds = 0
        self.back_off_until = 0.0
        self.ejected_until = 0.0
        self.ejection_count = 0
        self.slow_start_end = now + policy.slow_start_s
        self.zone_factor = 1.0
        self.waiting = WaitingQueue(policy.turn_after)
        self.back_off_timer: asyncio.TimerHandle | None = None
        self.limit = 1.0 if policy.limited else inf
        self.max_limit = inf

    def refresh(self, view: ServerView, live_entry_hosts: int) -> None:
        """Update from the directory's entry of the same incarnation."""
        self.address = view.address
        self.zone = view.availability_zone
        self.slots = view.slots
        self.reported_load = view.reported_load
        if self.policy.limited:
            connections = view.connections // max(1, live_entry_hosts)
            self.max_limit = float(max(1, min(view.slots, connections)))
            self.limit = min(self.limit, self.max_limit)

    def record_outcome(
        self, outcome: AttemptOutcome, latency_ms: float, now: float, random: Random
    ) -> None:
        """Record one finished attempt, which no longer counts as in flight."""
        if outcome is AttemptOutcome.OK:
            self._record_answer(latency_ms)
        elif outcome is AttemptOutcome.SHED:
            self._record_shed(now, random)
        elif outcome in _FAILURE_OUTCOMES:
            self._record_failure(outcome, latency_ms, now, random)
        elif outcome is AttemptOutcome.CANCELLED and latency_ms > self.latency_ms:
            # The true latency is greater than the time until the cancellation.
            self._record_latency(latency_ms * CENSORED_LATENCY_FACTOR)

    def _record_answer(self, latency_ms: float) -> None:
        self._record_latency(latency_ms)
        self.consecutive_failures = 0
        self.consecutive_sheds = 0
        if self.in_flight + 2 > self.limit and self.limit < self.max_limit:
            self.limit = min(self.max_limit, self.limit + _LIMIT_INCREASE)

    def _record_shed(self, now: float, random: Random) -> None:
        self.limit = max(1.0, self.limit * _LIMIT_DECREASE)
        doubled = (
            self.latency_ms / 1_000 * 2.0 ** min(self.consecutive_sheds, _MAX_DOUBLINGS)
        )
        self.consecutive_sheds += 1
        self._back_off(doubled / self.slots, now, random)

    def _record_failure(
        self, outcome: AttemptOutcome, latency_ms: float, now: float, random: Random
    ) -> None:
        self.limit = max(1.0, self.limit * _LIMIT_DECREASE)
        if latency_ms > self.latency_ms:
            self._record_latency(latency_ms)
        doubled = _CONNECTION_LOST_BACK_OFF_S * 2.0 ** min(
            self.consecutive_failures, _MAX_DOUBLINGS
        )
        self.consecutive_failures += 1
        if outcome is AttemptOutcome.CONNECTION_LOST:
            self._back_off(doubled, now, random)

    def _back_off(self, duration_s: float, now: float, random: Random) -> None:
        # Jitter keeps the entry hosts from retrying all at once.
        duration_s *= 0.5 + random.random()
        max_back_off_s = self.policy.back_off_longest_s
        self.back_off_until = now + min(max_back_off_s, duration_s)

    def _record_latency(self, latency_ms: float) -> None:
        self.sample_count += 1
        # The first samples form a plain mean, which drops the assumed latency.
        weight = max(self.policy.latency_weight, 1.0 / self.sample_count)
        self.latency_ms += weight * (latency_ms - self.latency_ms)

    def expected_wait_ms(self, priority: Priority) -> float:
        """Return the expected wait of a new request for capacity."""
        if self.in_flight + 1 <= self.limit:
            return 0.0
        ahead = self.waiting.cost_ahead(priority) if self.waiting.entry_count else 0.0
        return (ahead + 1) * self.latency_ms / self.limit

    def ejection_duration_s(self, now: float) -> float | None:
        """Return the duration for which to eject the server, or None."""
        if (
            self.consecutive_failures < self.policy.ejection_failures
            or now < self.ejected_until
        ):
            return None
        doubled = self.policy.ejection_s * 2.0 ** min(
            self.ejection_count, _MAX_DOUBLINGS
        )
        return float(min(self.policy.ejection_longest_s, doubled))
