"""How much more than its even share of a service an entry host may use.

Entry hosts do not see each other, so a load balancer that prefers one of them would
leave slots idle at the others' expense. A host whose admission is the bottleneck
takes more while backend servers neither shed nor slow down, and gives it back as
soon as they do. It goes below its even share only if sheds are very frequent.
"""

from kingcuplug_routing._statistics import ServiceStatistics

__all__ = ["AdaptiveShare"]

_WINDOW_S = 0.25
_FEWEST = 200  # attempts in a window; fewer gave shed shares from 0 to 0.5 by chance
_GROWTH = 1.1
_DECAY = 0.9
_SMALLEST = 0.5
_SHED_LOW = 0.12  # an even load of 120% keeps sheds at about 0.18
_SHED_HIGH = 0.2
_SHED_LESS = 0.25
_SHED_GREATEST = 0.3  # servers without a queue cannot fill their even share
_SLOW_LOW = 1.4  # mean latency as a multiple of the best one
_SLOW_HIGH = 1.8
_BEST_DRIFT = 1.0005  # per window; a doubled service time is accepted after 6 min


class AdaptiveShare:
    """Factor on the even share.

    Parameters
    ----------
    greatest : float
        Upper bound of the factor.

    Attributes
    ----------
    factor : float
        Current factor.
    bound : bool
        Set by the owner when the share made a query wait or refused it.
    """

    __slots__ = (
        "_answered",
        "_answered_ms",
        "_best_ms",
        "_finished",
        "_greatest",
        "_shed",
        "_window_end",
        "bound",
        "factor",
    )

    def __init__(self, greatest: float) -> None:
        self._greatest = greatest
        self.factor = 1.0
        self.bound = False
        self._best_ms = 0.0
        self._window_end = 0.0
        self._answered = 0
        self._answered_ms = 0.0
        self._finished = 0
        self._shed = 0

    def adapt(self, statistics: ServiceStatistics, now: float) -> None:
        """Judge the window that has passed, if it has enough attempts."""
        finished = statistics.finished - self._finished
        if now < self._window_end or finished < _FEWEST:
            return
        shed = (statistics.shed - self._shed) / finished
        answers = max(1, statistics.answered - self._answered)
        mean_ms = (statistics.answered_ms - self._answered_ms) / answers
        best_ms = self._best_ms * _BEST_DRIFT or mean_ms
        self._best_ms = min(best_ms, mean_ms)
        slow = mean_ms / self._best_ms
        factor = self.factor
        if shed > _SHED_GREATEST:
            factor = max(_SMALLEST, factor * _DECAY)
        elif factor < 1.0:
            factor = min(1.0, factor * _GROWTH) if shed < _SHED_LESS else factor
        elif shed > _SHED_HIGH or slow > _SLOW_HIGH:
            factor = max(1.0, factor * _DECAY)
        elif self.bound and shed < _SHED_LOW and slow < _SLOW_LOW:
            factor = min(self._greatest, factor * _GROWTH)
        self.factor = factor
        self._answered = statistics.answered
        self._answered_ms = statistics.answered_ms
        self._finished = statistics.finished
        self._shed = statistics.shed
        self._window_end = now + _WINDOW_S
        self.bound = False
