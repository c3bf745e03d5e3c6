"""Estimates of what a request costs a server of normal speed, before it is sent.

Handles this load pattern: requests of one route look alike but cost 4 ms, 11 ms or
60 ms and more, depending on the team, the method, the size and the shard; costs change
tenfold from one second to the next; some kinds of requests are so rare that a host sees
one in ten seconds; and a few requests of an ordinary kind are very expensive.

Costs are kept as quantiles, so that rare expensive requests move the upper one and not
the typical one. A kind of request falls back to its route while it has few samples. The
cost of a shard is a ratio to that of the kind, because a shard has the same ratio for
all of them and too few samples of each.
"""

import math
import random as random_module
from collections.abc import Hashable
from typing import NamedTuple

__all__ = ["CostEstimate", "CostEstimator", "request_kind"]

# A sample loses half of its weight in this time, but not before this many newer ones
# have come: a changed cost is known within seconds, a rare kind of request at all.
_HALF_LIFE_S = 2.0
_HALF_LIFE_SAMPLES = 8.0
# A kind with this many samples counts as much as all requests of its route.
_PRIOR_SAMPLES = 8.0
_TYPICAL_QUANTILE = 0.5
# Callers lose a query if one of 36 parts is late; hedging one part in ten is within the
# retry budget of 0.2 of the requests.
_UPPER_QUANTILE = 0.9
# The quantiles are computed anew after this share of the samples has been added.
_REFRESH_SHARE = 1 / 16
# Beyond this number of samples, decayed, only a share of the requests is recorded.
_ENOUGH_SAMPLES = 24.0
_SAMPLED_SHARE = 0.25
_BUCKETS_PER_OCTAVE = 4  # Quantiles are exact to about 9%.
_MIN_COST_S = 1e-4
_MAX_COST_S = 100.0
_MAX_GROWTH = 2.0 ** (1 / _HALF_LIFE_SAMPLES)
_MAX_WEIGHT = 1e12  # Weights grow with time and are scaled down beyond this.
# Estimate before the first sample: that of `LatencyEstimator`.
_INITIAL_SHARE_OF_TARGET = 0.2
_INITIAL_UPPER_FACTOR = 2.0
# About the last four samples of a shard count, each as at most a factor of e, so that
# a pause of its server looks like no expensive shard.
_SHARD_WEIGHT = 0.25
_MAX_SHARD_STEP = 1.0
_MAX_SHARD_RATIO = 20.0
# Bounds memory where teams send requests of many sizes.
_MAX_KINDS = 1_024


class CostEstimate(NamedTuple):
    """Cost of a request at a server of normal speed without other work.

    Attributes
    ----------
    typical_s, upper_s : float
        Median and 90th percentile.
    """

    typical_s: float
    upper_s: float


def request_kind(team: str, method: bytes, size_bytes: int) -> Hashable:
    """Return the kind of a request; sizes count by powers of two."""
    return (team, method, size_bytes.bit_length())


class _DecayingQuantiles:
    """Median and upper quantile of samples that lose weight as others come."""

    __slots__ = ("_counts", "_due", "_next_weight", "_total", "estimate", "updated_at")

    def __init__(self, estimate: CostEstimate, now: float) -> None:
        self.estimate = estimate
        self.updated_at = now
        self._counts: dict[int, float] = {}
        self._total = 0.0
        self._next_weight = 1.0
        self._due = 0.0

    @property
    def sample_count(self) -> float:
        """Number of samples, decayed."""
        return self._total / self._next_weight

    @property
    def is_sparse(self) -> bool:
        """Whether each sample counts."""
        return self._total < _ENOUGH_SAMPLES * self._next_weight

    def record(self, cost_s: float, now: float) -> None:
        """Add a sample."""
        growth = (now - self.updated_at) / _HALF_LIFE_S
        self.updated_at = now
        # In place of reducing all earlier weights.
        self._next_weight *= (
            math.exp2(growth) if growth < 1 / _HALF_LIFE_SAMPLES else _MAX_GROWTH
        )
        if not _MIN_COST_S < cost_s < _MAX_COST_S:
            cost_s = min(max(cost_s, _MIN_COST_S), _MAX_COST_S)
        bucket = math.floor(math.log2(cost_s) * _BUCKETS_PER_OCTAVE)
        self._counts[bucket] = self._counts.get(bucket, 0.0) + self._next_weight
        self._total += self._next_weight
        if self._total >= self._due:
            self._refresh()

    def _refresh(self) -> None:
        if self._next_weight > _MAX_WEIGHT:
            self._counts = {
                bucket: scaled
                for bucket, weight in self._counts.items()
                if (scaled := weight / self._next_weight) > 1 / _MAX_WEIGHT
            }
            self._total = sum(self._counts.values())
            self._next_weight = 1.0
        self._due = self._total * (1 + _REFRESH_SHARE)
        wanted = self._total * _TYPICAL_QUANTILE
        typical_s, below = 0.0, 0.0
        for bucket, weight in sorted(self._counts.items()):
            while below + weight >= wanted:
                position = bucket + (wanted - below) / weight
                value_s = math.exp2(position / _BUCKETS_PER_OCTAVE)
                if typical_s:
                    self.estimate = CostEstimate(typical_s, value_s)
                    return
                typical_s, wanted = value_s, self._total * _UPPER_QUANTILE
            below += weight
        # Rounding can leave the last quantile just above the sum.
        self.estimate = CostEstimate(typical_s, max(typical_s, self.estimate.upper_s))


class CostEstimator:
    """Costs of one route's requests by kind and shard.

    Parameters
    ----------
    target_ms : int
        Target latency of the route.
    """

    def __init__(self, target_ms: int) -> None:
        typical_s = target_ms / 1_000 * _INITIAL_SHARE_OF_TARGET
        initial = CostEstimate(typical_s, typical_s * _INITIAL_UPPER_FACTOR)
        self._route = _DecayingQuantiles(initial, 0.0)
        self._kinds: dict[Hashable, _DecayingQuantiles] = {}
        self._shard_ratios: dict[str, float] = {}

    def estimate(self, kind: Hashable, shard: str) -> CostEstimate:
        """Return the expected cost of a request of a kind at a shard."""
        estimate = self._kind_estimate(kind)
        ratio = self._shard_ratios.get(shard)
        if ratio is None:
            return estimate
        return CostEstimate(estimate.typical_s * ratio, estimate.upper_s * ratio)

    def record(self, kind: Hashable, shard: str, cost_s: float, now: float) -> None:
        """Record what a request has cost, as if its server had normal speed."""
        expected_s = self._kind_estimate(kind).typical_s
        ratio = self._shard_ratios.get(shard, 1.0)
        step = math.log((cost_s + _MIN_COST_S) / (expected_s * ratio))
        if step > _MAX_SHARD_STEP:
            step = _MAX_SHARD_STEP
        elif step < -_MAX_SHARD_STEP:
            step = -_MAX_SHARD_STEP
        ratio *= math.exp(_SHARD_WEIGHT * step)
        if 1 / _MAX_SHARD_RATIO < ratio < _MAX_SHARD_RATIO:
            self._shard_ratios[shard] = ratio
        self._route.record(cost_s, now)
        known = self._kinds.get(kind)
        if known is None:
            if len(self._kinds) >= _MAX_KINDS:
                del self._kinds[min(self._kinds, key=self._last_use)]
            known = self._kinds[kind] = _DecayingQuantiles(self._route.estimate, now)
        known.record(cost_s, now)

    def wants_sample(self, random: random_module.Random) -> bool:
        """Return whether to record the cost of one more request.

        A query has 36 parts, and a few of them say as much: the others would cost more
        processor time than they are worth. They are drawn at random, because in a fixed
        order the same shards would always be left out.
        """
        return random.random() < _SAMPLED_SHARE or self._route.is_sparse

    def _last_use(self, kind: Hashable) -> float:
        return self._kinds[kind].updated_at

    def _kind_estimate(self, kind: Hashable) -> CostEstimate:
        of_route = self._route.estimate
        if len(self._kinds) <= 1:
            return of_route
        known = self._kinds.get(kind)
        if known is None:
            return of_route
        count = known.sample_count
        share = count / (count + _PRIOR_SAMPLES)
        of_kind = known.estimate
        return CostEstimate(
            _blend(of_route.typical_s, of_kind.typical_s, share),
            _blend(of_route.upper_s, of_kind.upper_s, share),
        )


def _blend(general: float, specific: float, share: float) -> float:
    """Return the geometric mean, in which costs that differ tenfold weigh alike."""
    return general * math.pow(specific / general, share)
