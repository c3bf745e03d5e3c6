"""Observed latencies as a histogram that forgets.

Buckets grow by 5%, so a quantile is exact to 5%. Counts are halved regularly,
which gives recent observations the greater weight without keeping samples.
"""

from math import log

__all__ = ["LatencyDistribution"]

_GROWTH = 1.05
_SMALLEST = 0.01
_BUCKETS = 400  # 0.01 to 3e6 times the unit
_HALVE_AFTER = 2_000  # observations
_REFRESH_AFTER = 50  # observations between two computations of the quantile
_FEWEST = 20  # observations before a quantile is stated
_LOG_GROWTH = log(_GROWTH)
_LOG_SMALLEST = log(_SMALLEST)


class LatencyDistribution:
    """Recent latencies, or ratios of them; states one quantile.

    Parameters
    ----------
    quantile : float
        Quantile to state, 0 to 1.
    """

    __slots__ = ("_counts", "_quantile", "_since", "_total", "value")

    def __init__(self, quantile: float) -> None:
        self._quantile = quantile
        self._counts = [0.0] * _BUCKETS
        self._total = 0.0
        self._since = 0
        self.value: float | None = None

    def record(self, latency: float) -> None:
        """Add one observation."""
        place = 0
        if latency > _SMALLEST:
            place = int((log(latency) - _LOG_SMALLEST) / _LOG_GROWTH) + 1
        self._counts[place if place < _BUCKETS else _BUCKETS - 1] += 1.0
        self._total += 1.0
        self._since += 1
        if self._since >= _REFRESH_AFTER or (
            self.value is None and self._total >= _FEWEST
        ):
            self._refresh()

    def _refresh(self) -> None:
        self._since = 0
        wanted = self._quantile * self._total
        seen = 0.0
        for place, count in enumerate(self._counts):
            seen += count
            if seen >= wanted:
                self.value = _SMALLEST * _GROWTH**place
                break
        if self._total >= _HALVE_AFTER:
            self._counts = [count / 2 for count in self._counts]
            self._total /= 2
