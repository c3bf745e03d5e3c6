"""Latency estimates of a route and the delay after which to hedge.

Handles this load pattern: each server pauses for a moment now and then, so a query over
many shards is nearly always delayed by a pause. A hedge is sent to another replica when
the first attempt takes longer than nine in ten did, early enough to be answered within
the target time.
"""

from kingcuplug_routing._placement import CostPlacement

__all__ = ["LatencyEstimator"]

_MS_PER_S = 1_000
_TYPICAL_WEIGHT = 0.05  # About the last twenty answers count.
_QUANTILE = 0.9
_QUANTILE_STEP = 0.1  # Relative step of the quantile estimate for each answer.
_INITIAL_SHARE_OF_TARGET = 0.2  # Estimate before the first answer.
_HEDGE_MARGIN_FACTOR = 1.15
_MIN_HEDGE_DELAY_S = 0.008  # Below it, the set-up of a connection looks like a stall.
# A hedge sent later than this share of the target would be answered too late.
_MAX_DELAY_SHARE_OF_TARGET = 0.45


class LatencyEstimator:
    """Estimates of the typical and the 90th percentile latency of one route.

    Parameters
    ----------
    target_ms : int
        Target latency of the route.

    Attributes
    ----------
    placement : CostPlacement or None
        Expected costs of the route, where these decide in place of the estimates.
    """

    def __init__(self, target_ms: int) -> None:
        self.placement: CostPlacement | None = None
        self._target_s = target_ms / _MS_PER_S
        self.typical_s = self._target_s * _INITIAL_SHARE_OF_TARGET
        self._quantile_s = self.typical_s * 2

    def record(self, duration_s: float) -> None:
        """Record the duration of a successful answer."""
        bounded_s = min(duration_s, self.typical_s * 4)
        self.typical_s += (bounded_s - self.typical_s) * _TYPICAL_WEIGHT
        if duration_s > self._quantile_s:
            self._quantile_s *= 1 + _QUANTILE_STEP * _QUANTILE
        else:
            self._quantile_s *= 1 - _QUANTILE_STEP * (1 - _QUANTILE)

    @property
    def max_hedge_delay_s(self) -> float:
        """Upper bound of `hedge_delay_s`, here and at other hosts."""
        return self._target_s * _MAX_DELAY_SHARE_OF_TARGET

    @property
    def hedge_delay_s(self) -> float:
        """Age of an attempt at which to send a hedge."""
        delay_s = max(self._quantile_s * _HEDGE_MARGIN_FACTOR, _MIN_HEDGE_DELAY_S)
        return min(delay_s, self.max_hedge_delay_s)
