"""Choice of one replica by this host's own recent observations.

Handles these load patterns: replicas of unequal speed, a server that pauses for some
hundred milliseconds while its queue grows, a server that fails or sheds requests fast
and so looks idle, cold starts, and many hosts that choose without knowing each other's
choices. Each host scores replicas by expected latency; a random factor keeps the hosts
from all choosing the same one.
"""

import math
import random as random_module
from collections.abc import Sequence
from dataclasses import dataclass, field

__all__ = ["JITTER", "ReplicaState", "choose_replica"]

# Weight of a new sample in a replica's latency ratio: about the last three answers
# count, because a host uses each replica only about once a second.
_RATIO_WEIGHT = 0.3
# Bounds of a sample: one answer delayed by a pause must not keep a replica unused for
# long; a slow replica gives several such answers.
_RATIO_RANGE = (0.3, 3.0)
# Without new samples, estimates return to normal with this half-life, so that a replica
# that was slow is tried again.
_ESTIMATE_HALF_LIFE_S = 5.0
# An attempt open for this many times its expected duration indicates a stalled server.
_STALL_FACTOR = 3.0
_MIN_STALL_S = 0.03  # Shorter waits are within the spread of a healthy server.
_ERROR_WEIGHT = 0.3
# Expected cost of a failed attempt, as time that the caller loses.
_ERROR_COST_S = 0.5
# Rejections are frequent on a server that sheds a part of its requests whatever its
# load, and single on one that is full for a moment.
_REJECTION_WEIGHT = 0.2
# A full server has room again soon, and one that sheds keeps rejecting.
_REJECTION_HALF_LIFE_S = 2.0
# Expected cost of a rejected attempt: another one, which the retry budget may deny.
_REJECTION_COST_S = 0.25
# A server that refused a connection is avoided for this long, doubled by each further
# failure.
_FIRST_UNREACHABLE_S = 0.2
_MAX_UNREACHABLE_S = 3.0
_UNREACHABLE_COST_S = 2.0
_NO_HEARTBEAT_COST_S = 1.0
# Traffic between availability zones is billed, so a replica in another zone has to be
# faster by this factor.
_REMOTE_FACTOR = 1.8
_REMOTE_ROUND_TRIP_S = 0.002  # between availability zones
_COLD_START_FACTOR = 1.6  # slowdown of a server that has just started
# Random factor of a score, which keeps hosts from all choosing the same replica.
JITTER = (0.85, 1.15)


@dataclass(slots=True)
class ReplicaState:
    """Observations of one replica by this host.

    Attributes
    ----------
    slots : int
        Number of requests that the server runs concurrently.
    remote : bool
        Whether it is in another availability zone.
    latency_ratio : float
        Latency ratio: duration of its answers relative to the route's typical one.
    error_rate : float
        Recent share of failed attempts.
    rejection_rate : float
        Recent share of attempts that the server did not run because it was busy.
    unreachable_until : float
        Event loop time until which it counts as unreachable.
    cold_until : float
        Event loop time until which it is slow after its start.
    heartbeat_lost : bool
        Whether its heartbeats have stopped.
    shared_latency_ratio : float
        Latency ratio from the samples of all hosts; 1 unless the server is slow.
    reported_ratios : dict
        Latency ratios that were reported for attempts that are still open.
    """

    slots: int
    remote: bool = False
    latency_ratio: float = 1.0
    latency_ratio_at: float = 0.0
    error_rate: float = 0.0
    error_rate_at: float = 0.0
    rejection_rate: float = 0.0
    rejection_rate_at: float = 0.0
    consecutive_failures: int = 0
    unreachable_until: float = 0.0
    cold_until: float = 0.0
    heartbeat_lost: bool = False
    shared_latency_ratio: float = 1.0
    sample_count: int = 0
    sample_sum: float = 0.0
    open_attempts: dict[object, tuple[float, float]] = field(default_factory=dict)
    reported_ratios: dict[object, float] = field(default_factory=dict)

    def record_start(self, attempt: object, now: float, typical_s: float) -> None:
        """Record that an attempt was sent."""
        self.open_attempts[attempt] = (now, typical_s)

    def record_answer(self, attempt: object, now: float) -> float:
        """Record a successful answer and return its duration in seconds."""
        started_at, typical_s = self.open_attempts.pop(attempt, (now, 0.0))
        duration_s = now - started_at
        if typical_s > 0:
            self._add_sample(attempt, duration_s / typical_s, now)
        self.error_rate = self._current_error_rate(now) * (1 - _ERROR_WEIGHT)
        self.error_rate_at = now
        self._update_rejection_rate(0.0, now)
        self.consecutive_failures = 0
        self.unreachable_until = 0.0
        return duration_s

    def report_late(self, attempt: object, now: float) -> None:
        """Report the latency ratio of a late attempt before it has ended.

        When a server becomes slow, its answers arrive too late to warn other hosts.
        """
        started_at, typical_s = self.open_attempts.get(attempt, (now, 0.0))
        if typical_s > 0 and attempt not in self.reported_ratios:
            self._report_ratio(attempt, (now - started_at) / typical_s)

    def record_rejection(self, attempt: object, now: float) -> None:
        """Record that the server, running but busy, shed an attempt."""
        self.open_attempts.pop(attempt, None)
        self.reported_ratios.pop(attempt, None)
        self._update_rejection_rate(1.0, now)

    def record_failure(self, attempt: object, now: float, unreachable: bool) -> None:
        """Record a failure.

        Parameters
        ----------
        unreachable : bool
            Whether no connection could be made, so that every other attempt would fail
            too.
        """
        self.open_attempts.pop(attempt, None)
        self._report_ratio(attempt, _RATIO_RANGE[1])
        self.reported_ratios.pop(attempt, None)
        self.error_rate = (
            self._current_error_rate(now) * (1 - _ERROR_WEIGHT) + _ERROR_WEIGHT
        )
        self.error_rate_at = now
        if unreachable:
            unreachable_s = min(
                _FIRST_UNREACHABLE_S * 2**self.consecutive_failures, _MAX_UNREACHABLE_S
            )
            self.consecutive_failures += 1
            self.unreachable_until = max(self.unreachable_until, now + unreachable_s)

    def forget_failures(self) -> None:
        """Forget failures and late answers that were not the server's fault."""
        self.latency_ratio = 1.0
        self.error_rate = 0.0
        self.consecutive_failures = 0
        self.unreachable_until = 0.0
        self.sample_count, self.sample_sum = 0, 0.0

    def record_abandonment(self, attempt: object, now: float) -> None:
        """Record that an attempt was abandoned, with its age as a sample."""
        started_at, typical_s = self.open_attempts.pop(attempt, (now, 0.0))
        if typical_s > 0 and now - started_at > typical_s * self._current_ratio(now):
            self._add_sample(attempt, (now - started_at) / typical_s, now)
        self.reported_ratios.pop(attempt, None)

    def drain_samples(self) -> tuple[int, float]:
        """Return and reset the number and sum of the samples since the last call."""
        drained = (self.sample_count, self.sample_sum)
        self.sample_count, self.sample_sum = 0, 0.0
        return drained

    def expected_latency_s(self, now: float, typical_s: float) -> float:
        """Return the expected latency of an answer, with penalties."""
        ratio = self._current_ratio(now)
        if now < self.cold_until:
            ratio *= _COLD_START_FACTOR
        expected_s = typical_s * ratio * (1 + len(self.open_attempts) / self.slots)
        return self.penalized_s(expected_s, self._overdue_s(now, ratio), now)

    def slowness_factor(self, own: float, now: float) -> float:
        """Return the slowness of the server with what is known beyond `own`.

        Parameters
        ----------
        own : float
            Slowness as measured by this host.
        """
        known = max(own, self.shared_latency_ratio)
        return known * _COLD_START_FACTOR if now < self.cold_until else known

    def penalized_s(self, expected_s: float, stall_s: float, now: float) -> float:
        """Return an expected latency with penalties.

        Parameters
        ----------
        stall_s : float
            Penalty of a server that does not answer at the moment.
        """
        if self.remote:
            expected_s = expected_s * _REMOTE_FACTOR + _REMOTE_ROUND_TRIP_S
        expected_s += stall_s
        expected_s += self._current_error_rate(now) * _ERROR_COST_S
        expected_s += self._current_rejection_rate(now) * _REJECTION_COST_S
        if now < self.unreachable_until:
            expected_s += _UNREACHABLE_COST_S
        if self.heartbeat_lost:
            expected_s += _NO_HEARTBEAT_COST_S
        return expected_s

    def _add_sample(self, attempt: object, ratio: float, now: float) -> None:
        sample = min(max(ratio, _RATIO_RANGE[0]), _RATIO_RANGE[1])
        self.latency_ratio = (
            self._own_ratio(now) * (1 - _RATIO_WEIGHT) + sample * _RATIO_WEIGHT
        )
        self.latency_ratio_at = now
        self._report_ratio(attempt, ratio)
        self.reported_ratios.pop(attempt, None)

    def _report_ratio(self, attempt: object, ratio: float) -> None:
        """Add the sample of an attempt, or only its growth if one was added before."""
        sample = min(max(ratio, _RATIO_RANGE[0]), _RATIO_RANGE[1])
        previous = self.reported_ratios.get(attempt)
        self.sample_count += previous is None
        self.sample_sum += sample - (previous or 0.0)
        self.reported_ratios[attempt] = sample

    def _current_ratio(self, now: float) -> float:
        return max(self._own_ratio(now), self.shared_latency_ratio)

    def _own_ratio(self, now: float) -> float:
        return 1 + (self.latency_ratio - 1) * _decay_factor(now - self.latency_ratio_at)

    def _current_error_rate(self, now: float) -> float:
        return self.error_rate * _decay_factor(now - self.error_rate_at)

    def _current_rejection_rate(self, now: float) -> float:
        age_s = now - self.rejection_rate_at
        return self.rejection_rate * math.exp2(-age_s / _REJECTION_HALF_LIFE_S)

    def _update_rejection_rate(self, sample: float, now: float) -> None:
        rate = self._current_rejection_rate(now)
        self.rejection_rate = rate + (sample - rate) * _REJECTION_WEIGHT
        self.rejection_rate_at = now

    def _overdue_s(self, now: float, ratio: float) -> float:
        """Return the age of the oldest open attempt if it is overdue, else 0."""
        if not self.open_attempts:
            return 0.0
        started_at, typical_s = next(iter(self.open_attempts.values()))
        age_s = now - started_at
        if age_s < max(_STALL_FACTOR * typical_s * ratio, _MIN_STALL_S):
            return 0.0
        return age_s


def _decay_factor(age_s: float) -> float:
    return math.exp2(-age_s / _ESTIMATE_HALF_LIFE_S)


def choose_replica(
    replicas: Sequence[ReplicaState],
    now: float,
    typical_s: float,
    random: random_module.Random,
) -> int:
    """Return the index of the replica with the lowest expected latency.

    Parameters
    ----------
    typical_s : float
        Typical duration of this kind of request.
    """

    def score(index: int) -> float:
        jitter = random.uniform(*JITTER)
        return replicas[index].expected_latency_s(now, typical_s) * jitter

    return min(range(len(replicas)), key=score)
