"""Recognition of callers that return after a refusal, by the time that they have left.

Handles this load pattern: many callers are refused during an overload and return when
they were told to, among new callers. A request carries no mark of earlier tries, but
callers of one route give most of their first tries the same time limit, and a later
try has the rest of it. Callers that repeat at once, instead of waiting as told, have
nearly all of it left and count as new.
"""

from collections import Counter, deque

__all__ = ["ReturningCallers"]

_SAMPLES = 64
# With a smaller share, the most frequent limit says nothing about first tries.
_MIN_MODE_SHARE = 0.25
# The shortest time after which a refused caller is told to return.
_MIN_ABSENCE_MS = 150


class ReturningCallers:
    """Time limits of one route's recent requests."""

    def __init__(self) -> None:
        self._recent: deque[int] = deque(maxlen=_SAMPLES)
        self._counts: Counter[int] = Counter()

    def record(self, limit_ms: int) -> bool:
        """Record a request's time limit; return whether its caller returns."""
        if len(self._recent) == _SAMPLES:
            oldest = self._recent[0]
            self._counts[oldest] -= 1
            if not self._counts[oldest]:
                del self._counts[oldest]
        self._recent.append(limit_ms)
        self._counts[limit_ms] += 1
        first_try_ms, times = self._counts.most_common(1)[0]
        if times < len(self._recent) * _MIN_MODE_SHARE:
            return False
        return limit_ms <= first_try_ms - _MIN_ABSENCE_MS
