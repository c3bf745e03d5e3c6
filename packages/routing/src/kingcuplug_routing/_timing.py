"""How long a kind of request usually takes, and when a second attempt pays.

Answers this load pattern: each server pauses now and then for a moment, so a query
over many shards nearly always meets a pause. A second attempt at another replica
goes out when the first is later than nine in ten were, early enough to be back
within the target.
"""

__all__ = ["Timing"]

_MS_PER_S = 1_000
_TYPICAL_WEIGHT = 0.05  # About the last twenty answers count.
_QUANTILE = 0.9
_QUANTILE_STEP = 0.1  # Relative step of the quantile's estimate for each answer.
_FIRST_SHARE_OF_TARGET = 0.2  # Estimate before the first answer.
_LATE_FACTOR = 1.15
_SHORTEST_HEDGE_S = 0.008  # Below it a new connection's set-up looks like a stall.
# Later than this share of the target a second attempt would come back too late.
_LATEST_SHARE_OF_TARGET = 0.45


class Timing:
    """Durations of the attempts of one route.

    Parameters
    ----------
    target_ms : int
        Time within which callers want the answer.
    """

    def __init__(self, target_ms: int) -> None:
        self._target_s = target_ms / _MS_PER_S
        self.typical_s = self._target_s * _FIRST_SHARE_OF_TARGET
        self._late_s = self.typical_s * 2

    def record(self, duration_s: float) -> None:
        """Take the duration of a good answer."""
        bounded_s = min(duration_s, self.typical_s * 4)
        self.typical_s += (bounded_s - self.typical_s) * _TYPICAL_WEIGHT
        if duration_s > self._late_s:
            self._late_s *= 1 + _QUANTILE_STEP * _QUANTILE
        else:
            self._late_s *= 1 - _QUANTILE_STEP * (1 - _QUANTILE)

    @property
    def latest_hedge_after_s(self) -> float:
        """Greatest value of `hedge_after_s`, here and at other hosts."""
        return self._target_s * _LATEST_SHARE_OF_TARGET

    @property
    def hedge_after_s(self) -> float:
        """Age of an attempt at which a second one goes out."""
        late_s = max(self._late_s * _LATE_FACTOR, _SHORTEST_HEDGE_S)
        return min(late_s, self.latest_hedge_after_s)
