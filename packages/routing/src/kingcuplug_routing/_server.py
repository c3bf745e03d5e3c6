"""What an entry host knows about one backend server from its own attempts.

The concurrency limit follows additive increase and multiplicative decrease between
1 and the server's cap. The floor of 1 keeps every entry host able to observe the
server; the share below 1 that ten entry hosts need at a server with three slots is
kept by `Admission`.
"""

import asyncio
from math import inf
from random import Random

from kingcuplug_routing._policy import RoutingPolicy
from kingcuplug_routing._types import AttemptOutcome, Priority, ServerView
from kingcuplug_routing._waiting import WaitingQueue

__all__ = ["Server"]

_INCREASE = 0.1  # per answer at the limit; it grows by 1 in about ten such answers
_DECREASE = 0.7
_LOST_BACK_OFF_S = 0.1  # a refused connection costs a round trip; leases end in 2 s
_MOST_DOUBLINGS = 6
CENSORED = 2.0  # the rest of an exponential latency is as long as what passed
_FAULTS = frozenset(
    {AttemptOutcome.FAILED, AttemptOutcome.TIMEOUT, AttemptOutcome.CONNECTION_LOST}
)


class Server:
    """Statistics, limit, back-off and ejection of one incarnation of a server.

    Parameters
    ----------
    view : ServerView
        The directory's entry.
    latency_ms : float
        Latency to assume until one is observed.
    now : float
        Time of the loop, from which the slow start counts.
    """

    __slots__ = (
        "address",
        "back_off_until",
        "cap",
        "ejected_until",
        "ejections",
        "failures",
        "in_flight",
        "incarnation",
        "latency_ms",
        "limit",
        "policy",
        "ramp_end",
        "reported_load",
        "samples",
        "server",
        "sheds",
        "slots",
        "timer",
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
        self.samples = 0
        self.failures = 0
        self.sheds = 0
        self.back_off_until = 0.0
        self.ejected_until = 0.0
        self.ejections = 0
        self.ramp_end = now + policy.slow_start_s
        self.zone_factor = 1.0
        self.waiting = WaitingQueue(policy.turn_after)
        self.timer: asyncio.TimerHandle | None = None
        self.limit = 1.0 if policy.limited else inf
        self.cap = inf

    def refresh(self, view: ServerView, live_entry_hosts: int) -> None:
        """Take over what the directory says about the same incarnation."""
        self.address = view.address
        self.zone = view.availability_zone
        self.slots = view.slots
        self.reported_load = view.reported_load
        if self.policy.limited:
            connections = view.connections // max(1, live_entry_hosts)
            self.cap = float(max(1, min(view.slots, connections)))
            self.limit = min(self.limit, self.cap)

    def observe(
        self, outcome: AttemptOutcome, latency_ms: float, now: float, random: Random
    ) -> None:
        """Learn from one finished attempt, no longer counted in flight."""
        if outcome is AttemptOutcome.OK:
            self._succeed(latency_ms)
        elif outcome is AttemptOutcome.SHED:
            self._shed(now, random)
        elif outcome in _FAULTS:
            self._fail(outcome, latency_ms, now, random)
        elif outcome is AttemptOutcome.CANCELLED and latency_ms > self.latency_ms:
            # The true latency is greater than the time until the cancellation.
            self._sample(latency_ms * CENSORED)

    def _succeed(self, latency_ms: float) -> None:
        self._sample(latency_ms)
        self.failures = 0
        self.sheds = 0
        if self.in_flight + 2 > self.limit and self.limit < self.cap:
            self.limit = min(self.cap, self.limit + _INCREASE)

    def _shed(self, now: float, random: Random) -> None:
        self.limit = max(1.0, self.limit * _DECREASE)
        doubled = self.latency_ms / 1_000 * 2.0 ** min(self.sheds, _MOST_DOUBLINGS)
        self.sheds += 1
        self._back_off(doubled / self.slots, now, random)

    def _fail(
        self, outcome: AttemptOutcome, latency_ms: float, now: float, random: Random
    ) -> None:
        self.limit = max(1.0, self.limit * _DECREASE)
        if latency_ms > self.latency_ms:
            self._sample(latency_ms)
        doubled = _LOST_BACK_OFF_S * 2.0 ** min(self.failures, _MOST_DOUBLINGS)
        self.failures += 1
        if outcome is AttemptOutcome.CONNECTION_LOST:
            self._back_off(doubled, now, random)

    def _back_off(self, duration_s: float, now: float, random: Random) -> None:
        # A random factor keeps the entry hosts from returning all at once.
        duration_s *= 0.5 + random.random()
        longest_s = self.policy.back_off_longest_s
        self.back_off_until = now + min(longest_s, duration_s)

    def _sample(self, latency_ms: float) -> None:
        self.samples += 1
        # The first samples count fully; the assumed latency is only a placeholder.
        weight = max(self.policy.latency_weight, 1.0 / self.samples)
        self.latency_ms += weight * (latency_ms - self.latency_ms)

    def expected_wait_ms(self, priority: Priority) -> float:
        """Return how long a new request would wait for a place."""
        if self.in_flight + 1 <= self.limit:
            return 0.0
        ahead = self.waiting.ahead(priority) if self.waiting.entries else 0.0
        return (ahead + 1) * self.latency_ms / self.limit

    def eject_for(self, now: float) -> float | None:
        """Return for how long the server should be ejected, if at all."""
        if self.failures < self.policy.ejection_failures or now < self.ejected_until:
            return None
        doubled = self.policy.ejection_s * 2.0 ** min(self.ejections, _MOST_DOUBLINGS)
        return float(min(self.policy.ejection_longest_s, doubled))
