"""Decaying histogram of observed latencies.

Bucket bounds grow by 5%, so a quantile is exact to 5%. Counts are halved regularly,
which weights recent observations more without keeping samples.
"""

from math import log

__all__ = ["LatencyDistribution"]

_BUCKET_GROWTH = 1.05
_FIRST_BUCKET_BOUND = 0.01
_BUCKET_COUNT = 400  # covers 0.01 to 3e6 times the unit
_HALVE_AFTER = 2_000  # observations
_REFRESH_AFTER = 50  # observations between two computations of the quantile
_MIN_OBSERVATIONS = 20  # before a quantile is estimated
_LOG_GROWTH = log(_BUCKET_GROWTH)
_LOG_FIRST_BUCKET_BOUND = log(_FIRST_BUCKET_BOUND)


class LatencyDistribution:
    """Estimate of one quantile of recent latencies or of ratios of them.

    Parameters
    ----------
    quantile : float
        Quantile to estimate, 0 to 1.
    """

    __slots__ = ("_counts", "_quantile", "_since_refresh", "_total", "value")

    def __init__(self, quantile: float) -> None:
        self._quantile = quantile
        self._counts = [0.0] * _BUCKET_COUNT
        self._total = 0.0
        self._since_refresh = 0
        self.value: float | None = None

    def record(self, latency: float) -> None:
        """Add one observation."""
        bucket = 0
        if latency > _FIRST_BUCKET_BOUND:
            bucket = int((log(latency) - _LOG_FIRST_BUCKET_BOUND) / _LOG_GROWTH) + 1
        self._counts[bucket if bucket < _BUCKET_COUNT else _BUCKET_COUNT - 1] += 1.0
        self._total += 1.0
        self._since_refresh += 1
        if self._since_refresh >= _REFRESH_AFTER or (
            self.value is None and self._total >= _MIN_OBSERVATIONS
        ):
            self._refresh()

    def _refresh(self) -> None:
        self._since_refresh = 0
        rank = self._quantile * self._total
        cumulative = 0.0
        for bucket, count in enumerate(self._counts):
            cumulative += count
            if cumulative >= rank:
                self.value = _FIRST_BUCKET_BOUND * _BUCKET_GROWTH**bucket
                break
        if self._total >= _HALVE_AFTER:
            self._counts = [count / 2 for count in self._counts]
            self._total /= 2
