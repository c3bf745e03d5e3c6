"""Speed, outstanding work and stalls of one backend server, as observed here.

Handles these load patterns: servers of unequal speed that are given requests of unequal
cost, so that a slow answer may be due to either; many hosts that each see a small part
of a server's work; a server that pauses for 100 ms every few seconds; one that is
slower for half a second; and one that misreports how many requests it runs at once.

Everything is learned from the answers of this host's own attempts. What others have at
a server shows in answers that are later than its speed and this host's work explain.
"""

import math
from typing import NamedTuple

from kingcuplug_routing._request_cost import CostEstimate

__all__ = ["ServerWork"]

# Speeds are permanent, but an estimate from few requests may be wrong: without answers
# it returns to normal with this half-life.
_SLOWNESS_HALF_LIFE_S = 20.0
_DECAY_PER_S = math.log(2) / _SLOWNESS_HALF_LIFE_S  # for short times
_SLOWNESS_WEIGHT = 0.15
# An answer delayed by a pause counts as one that took twice as long.
_MAX_SLOWNESS_STEP = 0.7
# A pause delays one answer of a host, a server that has become slow several in a row.
_MAX_STREAK = 3
_MAX_LOG_SLOWNESS = (
    1.4  # A factor of four; slower servers are found by all hosts' samples.
)
# Parts take 4 to 60 ms, so what others had at a server says little after this time.
_OTHERS_HALF_LIFE_S = 0.25
_OTHERS_WEIGHT = 0.25
_MIN_OTHERS_S = 1e-4  # Less is not worth computing.
# Work that has taken longer than expected takes at least this share of it again.
_MIN_REMAINING_SHARE = 0.3
# An attempt open for this many times its upper expected duration shows a server that
# has paused.
_OVERDUE_FACTOR = 1.3
_MIN_OVERDUE_S = 0.01  # The set-up of a connection takes this long on a busy host.
_MIN_STALL_S = 0.05  # Half of a usual pause.
# The decay of a slowness is not computed again before this time.
_REFRESH_S = 1.0
_MIN_DURATION_S = 1e-5
# A server that has not answered an abandoned attempt is avoided for as long again.
_MAX_SILENCE_S = 1.0


class _OpenAttempt(NamedTuple):
    """An attempt in progress, with what was expected when it was sent."""

    sent_at: float
    cost: CostEstimate
    slowness: float
    wait_s: float
    latest_s: float  # Upper quantile of its duration.


class ServerWork:
    """Work of one incarnation of a server.

    Parameters
    ----------
    slots : int
        Number of requests that the server says it runs at once.
    """

    __slots__ = (
        "_answered_sent_at",
        "_late_streak",
        "_log_slowness",
        "_open",
        "_others_at",
        "_others_s",
        "_silent_until",
        "_slots",
        "_slowness",
        "_updated_at",
    )

    def __init__(self, slots: int) -> None:
        self._slots = slots
        self._open: dict[object, _OpenAttempt] = {}
        self._log_slowness = 0.0
        self._slowness = 1.0
        self._late_streak = 0
        self._updated_at = 0.0
        self._others_s = 0.0
        self._others_at = 0.0
        self._answered_sent_at = -math.inf
        self._silent_until = 0.0

    @property
    def open_count(self) -> int:
        """Number of this host's attempts in progress."""
        return len(self._open)

    def slowness(self, now: float) -> float:
        """Return the duration of a request relative to that at a normal server."""
        if now - self._updated_at < _REFRESH_S:
            return self._slowness
        return math.exp(self._current_log_slowness(now))

    def outstanding_s(self, now: float) -> float:
        """Return the work that the server has to do, here and expected of others."""
        outstanding_s = self._others(now) if self._others_s else 0.0
        if not self._open:
            return outstanding_s
        for sent_at, cost, slowness, _, _ in self._open.values():
            remaining_s = cost.typical_s - (now - sent_at) / slowness
            outstanding_s += max(remaining_s, cost.typical_s * _MIN_REMAINING_SHARE)
        return outstanding_s

    def stall_s(self, now: float) -> float:
        """Return the expected rest of a pause of the server; 0 if it has none.

        A server that has answered a later attempt is busy with an expensive one.
        """
        if not self._open and now >= self._silent_until:
            return 0.0
        if now < self._silent_until:
            return max(self._silent_until - now, _MIN_STALL_S)
        for known in self._open.values():
            if self._is_overdue(known, now):
                return max(now - known.sent_at, _MIN_STALL_S)
        return 0.0

    def record_start(
        self,
        attempt: object,
        now: float,
        cost: CostEstimate,
        slowness: float = 1.0,
        outstanding_s: float = 0.0,
    ) -> float:
        """Record that an attempt was sent, and return its expected wait for a slot.

        Parameters
        ----------
        cost : CostEstimate
            Expected cost of the request.
        slowness, outstanding_s : float
            Slowness and outstanding work that the choice of the server has assumed,
            also by reports.
        """
        wait_s = outstanding_s / self._slots * slowness
        self._open[attempt] = _OpenAttempt(
            now, cost, slowness, wait_s, cost.upper_s * slowness + wait_s
        )
        return wait_s

    def record_answer(self, attempt: object, now: float) -> float | None:
        """Record an answer, and return what the request has cost.

        Returns
        -------
        float or None
            Seconds that it would have taken at a server of normal speed without other
            work; ``None`` if the attempt began in another incarnation of the server.
        """
        known = self._open.pop(attempt, None)
        if known is None:
            return None
        sent_at, cost, slowness, wait_s, latest_s = known
        if sent_at > self._answered_sent_at:
            self._answered_sent_at = sent_at
        self._silent_until = 0.0
        duration_s = now - sent_at + _MIN_DURATION_S
        # An answer sooner than the expected wait shows that there was less of it.
        own_s = max(duration_s - wait_s, duration_s / 2)
        self._record_slowness(known, own_s, duration_s > latest_s, now)
        if duration_s > latest_s or self._others_s > 0.0:
            self._record_excess(duration_s - latest_s, cost.upper_s, now)
        return own_s / slowness

    def record_end(self, attempt: object, now: float, silent: bool = False) -> None:
        """Record that an attempt has ended without an answer to learn from.

        Parameters
        ----------
        silent : bool
            Whether the server has said nothing to it.
        """
        known = self._open.pop(attempt, None)
        if known is None or not silent:
            return
        if self._is_overdue(known, now):
            age_s = now - known.sent_at
            self._silent_until = now + min(age_s, _MAX_SILENCE_S)
            self._record_slowness(known, age_s - known.wait_s, True, now)

    def _record_slowness(
        self, known: _OpenAttempt, own_s: float, late: bool, now: float
    ) -> None:
        """Compare a duration with the expected one; several late ones count more."""
        streak = self._late_streak + 1 if late else 0
        self._late_streak = streak if streak <= _MAX_STREAK else _MAX_STREAK
        step = math.log(own_s / (known.cost.typical_s * known.slowness))
        if step > _MAX_SLOWNESS_STEP:
            step = _MAX_SLOWNESS_STEP
        elif step < -_MAX_SLOWNESS_STEP:
            step = -_MAX_SLOWNESS_STEP
        weight = _SLOWNESS_WEIGHT * (self._late_streak or 1)
        log_slowness = self._current_log_slowness(now) + weight * step
        if log_slowness > _MAX_LOG_SLOWNESS:
            log_slowness = _MAX_LOG_SLOWNESS
        elif log_slowness < -_MAX_LOG_SLOWNESS:
            log_slowness = -_MAX_LOG_SLOWNESS
        self._log_slowness = log_slowness
        self._slowness = math.exp(log_slowness)
        self._updated_at = now

    def _current_log_slowness(self, now: float) -> float:
        age_s = now - self._updated_at
        if age_s < _REFRESH_S:
            return self._log_slowness * (1 - age_s * _DECAY_PER_S)
        return self._log_slowness * math.exp2(-age_s / _SLOWNESS_HALF_LIFE_S)

    def _is_overdue(self, attempt: "_OpenAttempt", now: float) -> bool:
        if attempt.sent_at < self._answered_sent_at:
            return False
        age_s = now - attempt.sent_at
        return age_s > max(attempt.latest_s * _OVERDUE_FACTOR, _MIN_OVERDUE_S)

    def _others(self, now: float) -> float:
        if self._others_s == 0.0:
            return 0.0
        age_s = now - self._others_at
        return self._others_s * math.exp2(-age_s / _OTHERS_HALF_LIFE_S)

    def _record_excess(self, excess_s: float, upper_s: float, now: float) -> None:
        """Record by how much an answer was later than expected.

        One request at most: what a pause has delayed is soon worked off.
        """
        others_s = self._others(now)
        sample_s = min(max(excess_s, 0.0), upper_s) * self._slots
        others_s += _OTHERS_WEIGHT * (sample_s - others_s)
        self._others_s = others_s if others_s > _MIN_OTHERS_S else 0.0
        self._others_at = now
