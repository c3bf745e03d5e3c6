"""Latency statistics of a service over all of its servers."""

from kingcuplug_routing._distribution import LatencyDistribution
from kingcuplug_routing._policy import RoutingPolicy
from kingcuplug_routing._types import AttemptOutcome

__all__ = ["ServiceStatistics"]

_MEAN_WEIGHT = 0.05
_OCCUPANCY_WEIGHT = 0.02
_PLAIN_MEAN_COUNT = 50
_MEDIAN_SHARE_OF_MEAN = 0.7  # of an exponential distribution
_REFUSAL_DECAY = 0.98


class ServiceStatistics:
    """Mean latency per shard, and the distribution of the ratio to that mean.

    Shards differ in cost, so with one distribution of absolute latencies the expensive
    shards would always be hedged.

    Attributes
    ----------
    mean_occupancy_ms : float
        Mean time for which an attempt occupies its server, whatever its outcome; 0
        before the first attempt.
    total_occupancy_ms : float
        Sum of these times.
    answered, answered_ms : int, float
        Number of answers and the sum of their latencies.
    """

    __slots__ = (
        "_ratios",
        "_shard_ms",
        "answered",
        "answered_ms",
        "finished",
        "mean_ms",
        "mean_occupancy_ms",
        "shed",
        "total_occupancy_ms",
    )

    def __init__(self, policy: RoutingPolicy) -> None:
        self._ratios = LatencyDistribution(policy.hedge_quantile)
        self._shard_ms: dict[int, float] = {}
        self.mean_occupancy_ms = 0.0
        self.total_occupancy_ms = 0.0
        self.mean_ms = 1.0
        self.answered = 0
        self.answered_ms = 0.0
        self.finished = 0
        self.shed = 0

    def record(self, shard: int, outcome: AttemptOutcome, latency_ms: float) -> None:
        """Record one finished attempt."""
        self.finished += 1
        self.total_occupancy_ms += latency_ms
        finished = self.finished
        # The first observations form a plain mean.
        weight = _OCCUPANCY_WEIGHT if finished > _PLAIN_MEAN_COUNT else 1.0 / finished
        self.mean_occupancy_ms += weight * (latency_ms - self.mean_occupancy_ms)
        if outcome is AttemptOutcome.OK:
            self._record_answer(shard, latency_ms)
        elif outcome is AttemptOutcome.SHED:
            self.shed += 1
        elif outcome is AttemptOutcome.CANCELLED:
            mean_ms = self._shard_ms.get(shard)
            if mean_ms and latency_ms > mean_ms:
                # The latency of a cancelled attempt is at least this long.
                self._ratios.record(latency_ms / mean_ms)

    def hedge_delay_ms(self, shard: int) -> float | None:
        """Return the hedge quantile of a shard's latency, or None if it is unknown."""
        ratio = self._ratios.value
        mean_ms = self._shard_ms.get(shard)
        return None if ratio is None or mean_ms is None else ratio * mean_ms

    def median_ms(self, shard: int) -> float:
        """Return the approximate median latency of a shard, or 0 if it is unknown."""
        return _MEDIAN_SHARE_OF_MEAN * self._shard_ms.get(shard, 0.0)

    def lower_mean(self, shard: int) -> None:
        """Lower a mean that led to a refusal.

        Otherwise a mean that once exceeds all deadlines would lead to the refusal of
        every request, and no answer would ever correct it.
        """
        if shard in self._shard_ms:
            self._shard_ms[shard] *= _REFUSAL_DECAY

    def _record_answer(self, shard: int, latency_ms: float) -> None:
        mean_ms = self._shard_ms.get(shard)
        if mean_ms is None or mean_ms <= 0:
            mean_ms = latency_ms
        self._shard_ms[shard] = mean_ms + _MEAN_WEIGHT * (latency_ms - mean_ms)
        self.answered += 1
        self.answered_ms += latency_ms
        weight = (
            _OCCUPANCY_WEIGHT
            if self.answered > _PLAIN_MEAN_COUNT
            else 1.0 / self.answered
        )
        self.mean_ms += weight * (latency_ms - self.mean_ms)
        if mean_ms > 0:
            self._ratios.record(latency_ms / mean_ms)
