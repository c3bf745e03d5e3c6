"""Adaptive share of a service's capacity that an entry host may use.

Entry hosts share no state, so with even shares a load balancer that prefers one of them
would leave the slots of the others idle. A host whose admission is the bottleneck
raises its share while backend servers neither shed nor slow down, and lowers it as soon
as they do. It goes below its even share only if sheds are very frequent.
"""

from kingcuplug_routing._statistics import ServiceStatistics

__all__ = ["AdaptiveShare"]

_WINDOW_S = 0.25
_MIN_ATTEMPTS = 200  # in a window; fewer gave shed ratios from 0 to 0.5 by chance
_INCREASE = 1.1
_DECREASE = 0.9
_MIN_FACTOR = 0.5
_LOW_SHED_RATIO = 0.12  # an even load of 120% keeps sheds at about 0.18
_HIGH_SHED_RATIO = 0.2
_RECOVERY_SHED_RATIO = 0.25
_MAX_SHED_RATIO = 0.3  # servers without a queue cannot serve their even share
_LOW_SLOWDOWN = 1.4  # mean latency as a multiple of the best one
_HIGH_SLOWDOWN = 1.8
_BEST_DRIFT = 1.0005  # per window; a doubled service time is normal after 6 min


class AdaptiveShare:
    """Factor on the even share, adapted to sheds and latency.

    Parameters
    ----------
    max_factor : float
        Upper bound of the factor.

    Attributes
    ----------
    factor : float
        Current factor.
    was_limiting : bool
        Whether the share delayed or refused a query in this window; set by the owner.
    """

    __slots__ = (
        "_answered",
        "_answered_ms",
        "_best_ms",
        "_finished",
        "_max_factor",
        "_shed",
        "_window_end",
        "factor",
        "was_limiting",
    )

    def __init__(self, max_factor: float) -> None:
        self._max_factor = max_factor
        self.factor = 1.0
        self.was_limiting = False
        self._best_ms = 0.0
        self._window_end = 0.0
        self._answered = 0
        self._answered_ms = 0.0
        self._finished = 0
        self._shed = 0

    def adapt(self, statistics: ServiceStatistics, now: float) -> None:
        """Adapt the factor to the last window, if that has enough attempts."""
        finished = statistics.finished - self._finished
        if now < self._window_end or finished < _MIN_ATTEMPTS:
            return
        shed_ratio = (statistics.shed - self._shed) / finished
        answers = max(1, statistics.answered - self._answered)
        mean_ms = (statistics.answered_ms - self._answered_ms) / answers
        best_ms = self._best_ms * _BEST_DRIFT or mean_ms
        self._best_ms = min(best_ms, mean_ms)
        slowdown = mean_ms / self._best_ms
        factor = self.factor
        if shed_ratio > _MAX_SHED_RATIO:
            factor = max(_MIN_FACTOR, factor * _DECREASE)
        elif factor < 1.0:
            factor = (
                min(1.0, factor * _INCREASE)
                if shed_ratio < _RECOVERY_SHED_RATIO
                else factor
            )
        elif shed_ratio > _HIGH_SHED_RATIO or slowdown > _HIGH_SLOWDOWN:
            factor = max(1.0, factor * _DECREASE)
        elif (
            self.was_limiting
            and shed_ratio < _LOW_SHED_RATIO
            and slowdown < _LOW_SLOWDOWN
        ):
            factor = min(self._max_factor, factor * _INCREASE)
        self.factor = factor
        self._answered = statistics.answered
        self._answered_ms = statistics.answered_ms
        self._finished = statistics.finished
        self._shed = statistics.shed
        self._window_end = now + _WINDOW_S
        self.was_limiting = False
