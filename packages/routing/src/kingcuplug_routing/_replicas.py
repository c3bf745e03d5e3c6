"""Choice of one replica by what this host alone has seen lately.

Answers these load patterns: replicas of unequal speed, a server that pauses for
some hundred milliseconds while its queue grows, a server that fails fast and so
looks idle, cold starts, and many hosts that choose blind. Each host scores replicas
by the time at which it expects an answer; a random factor keeps the hosts from all
taking the same one.
"""

import math
import random as random_module
from collections.abc import Sequence
from dataclasses import dataclass, field

__all__ = ["ReplicaState", "choose_replica"]

# Weight of a new sample in a replica's pace: about the last three answers count,
# because a host sees each replica only about once a second.
_PACE_WEIGHT = 0.3
# One answer that met a pause must not condemn a replica for long; a replica that is
# really slow gives several such answers.
_PACE_RANGE = (0.3, 3.0)
# A pace that was not confirmed for this long counts half, so that a replica that
# was slow is tried again.
_PACE_HALF_LIFE_S = 5.0
# An attempt open for this many times its expected duration shows a stalled server.
_STALL_FACTOR = 3.0
_STALL_FLOOR_S = 0.03  # Shorter waits are within the spread of a healthy server.
_ERROR_WEIGHT = 0.3
# Expected cost of a failed attempt, as seconds that a caller loses by it.
_ERROR_COST_S = 0.5
# A server that refused a connection is tried again after this long, doubled by
# each further failure.
_FIRST_PAUSE_S = 0.2
_LONGEST_PAUSE_S = 3.0
_PAUSE_COST_S = 2.0
_SILENT_COST_S = 1.0
# Bytes between availability zones are priced, so a replica there has to be
# faster by this share.
_REMOTE_FACTOR = 1.8
_REMOTE_S = 0.002  # A round trip between availability zones.
_COLD_FACTOR = 1.6  # Servers that have just started work this much slower.
_JITTER = (0.85, 1.15)


@dataclass(slots=True)
class ReplicaState:
    """What this host has seen of one replica.

    Attributes
    ----------
    slots : int
        Requests that the server runs at once.
    remote : bool
        Whether it is in another availability zone.
    pace : float
        Duration of its answers relative to the route's typical one.
    errors : float
        Recent share of failed attempts.
    paused_until : float
        Until when it is taken for unreachable, in event loop time.
    cold_until : float
        Until when it is slow after its start.
    silent : bool
        Whether its heartbeats have stopped.
    shared_pace : float
        The pace that all hosts together find, 1 unless it is slow.
    shared : dict
        The sample that was counted of an attempt that is still open.
    """

    slots: int
    remote: bool = False
    pace: float = 1.0
    pace_at: float = 0.0
    errors: float = 0.0
    errors_at: float = 0.0
    failures_in_row: int = 0
    paused_until: float = 0.0
    cold_until: float = 0.0
    silent: bool = False
    shared_pace: float = 1.0
    samples: int = 0
    samples_total: float = 0.0
    open: dict[object, tuple[float, float]] = field(default_factory=dict)
    shared: dict[object, float] = field(default_factory=dict)

    def begin(self, attempt: object, now: float, typical_s: float) -> None:
        """Record that an attempt was sent."""
        self.open[attempt] = (now, typical_s)

    def answer(self, attempt: object, now: float) -> float:
        """Record a good answer and return its duration in seconds."""
        begun_at, typical_s = self.open.pop(attempt, (now, 0.0))
        duration_s = now - begun_at
        if typical_s > 0:
            self._sample(attempt, duration_s / typical_s, now)
        self.errors = self._errors(now) * (1 - _ERROR_WEIGHT)
        self.errors_at = now
        self.failures_in_row = 0
        self.paused_until = 0.0
        return duration_s

    def late(self, attempt: object, now: float) -> None:
        """Share at once that an attempt is late, before it has ended.

        When a server turns slow its answers come too late to warn other hosts.
        """
        begun_at, typical_s = self.open.get(attempt, (now, 0.0))
        if typical_s > 0 and attempt not in self.shared:
            self._share(attempt, (now - begun_at) / typical_s)

    def reject(self, attempt: object, now: float) -> None:
        """Record that the server had no room; it is alive, but busy."""
        self.open.pop(attempt, None)
        self.shared.pop(attempt, None)
        self.pace = min(self._own_pace(now) + 1.0, _PACE_RANGE[1])
        self.pace_at = now

    def fail(self, attempt: object, now: float, unreachable: bool) -> None:
        """Record a failure.

        Parameters
        ----------
        unreachable : bool
            No connection could be made, so every other attempt would fail too.
        """
        self.open.pop(attempt, None)
        self._share(attempt, _PACE_RANGE[1])
        self.shared.pop(attempt, None)
        self.errors = self._errors(now) * (1 - _ERROR_WEIGHT) + _ERROR_WEIGHT
        self.errors_at = now
        if unreachable:
            pause_s = min(_FIRST_PAUSE_S * 2**self.failures_in_row, _LONGEST_PAUSE_S)
            self.failures_in_row += 1
            self.paused_until = max(self.paused_until, now + pause_s)

    def forget(self, attempt: object, now: float) -> None:
        """Record that an attempt was abandoned; its age so far is a sample."""
        begun_at, typical_s = self.open.pop(attempt, (now, 0.0))
        if typical_s > 0 and now - begun_at > typical_s * self._pace(now):
            self._sample(attempt, (now - begun_at) / typical_s, now)
        self.shared.pop(attempt, None)

    def take_samples(self) -> tuple[int, float]:
        """Return number and sum of the samples since the last call."""
        taken = (self.samples, self.samples_total)
        self.samples, self.samples_total = 0, 0.0
        return taken

    def expected_s(self, now: float, typical_s: float) -> float:
        """Return the time in which an answer is expected, penalties included."""
        pace = self._pace(now)
        if now < self.cold_until:
            pace *= _COLD_FACTOR
        expected_s = typical_s * pace * (1 + len(self.open) / self.slots)
        if self.remote:
            expected_s = expected_s * _REMOTE_FACTOR + _REMOTE_S
        expected_s += self._stalled_s(now, pace)
        expected_s += self._errors(now) * _ERROR_COST_S
        if now < self.paused_until:
            expected_s += _PAUSE_COST_S
        if self.silent:
            expected_s += _SILENT_COST_S
        return expected_s

    def _sample(self, attempt: object, ratio: float, now: float) -> None:
        sample = min(max(ratio, _PACE_RANGE[0]), _PACE_RANGE[1])
        self.pace = self._own_pace(now) * (1 - _PACE_WEIGHT) + sample * _PACE_WEIGHT
        self.pace_at = now
        self._share(attempt, ratio)
        self.shared.pop(attempt, None)

    def _share(self, attempt: object, ratio: float) -> None:
        """Count an attempt once, and later only by what it has become slower."""
        sample = min(max(ratio, _PACE_RANGE[0]), _PACE_RANGE[1])
        before = self.shared.get(attempt)
        self.samples += before is None
        self.samples_total += sample - (before or 0.0)
        self.shared[attempt] = sample

    def _pace(self, now: float) -> float:
        return max(self._own_pace(now), self.shared_pace)

    def _own_pace(self, now: float) -> float:
        return 1 + (self.pace - 1) * _decay(now - self.pace_at)

    def _errors(self, now: float) -> float:
        return self.errors * _decay(now - self.errors_at)

    def _stalled_s(self, now: float, pace: float) -> float:
        """Return how long the oldest open attempt is overdue."""
        if not self.open:
            return 0.0
        begun_at, typical_s = next(iter(self.open.values()))
        age_s = now - begun_at
        if age_s < max(_STALL_FACTOR * typical_s * pace, _STALL_FLOOR_S):
            return 0.0
        return age_s


def _decay(age_s: float) -> float:
    return math.exp2(-age_s / _PACE_HALF_LIFE_S)


def choose_replica(
    replicas: Sequence[ReplicaState],
    now: float,
    typical_s: float,
    random: random_module.Random,
) -> int:
    """Return the position of the replica that is expected to answer first.

    Parameters
    ----------
    typical_s : float
        Usual duration of this kind of request.
    """

    def score(position: int) -> float:
        jitter = random.uniform(*_JITTER)
        return replicas[position].expected_s(now, typical_s) * jitter

    return min(range(len(replicas)), key=score)
