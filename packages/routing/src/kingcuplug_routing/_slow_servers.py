"""Detection of slow servers from the latency samples of all hosts.

Handles this load pattern: ninety hosts share some hundred servers, so each host sends
a server a request only every few seconds, and a server that becomes slow delays a
query of every host before each has detected it. Hosts report their samples; a server
is slow by the mean of all samples of the last second or two, so that neither a pause
of 200 ms nor the samples of a single host suffice.
"""

import math
from dataclasses import dataclass

__all__ = ["LatencySamples", "SlowServerDetector"]

# Number and sum of latency ratios by server; a ratio is the duration of an attempt
# relative to the typical one.
LatencySamples = dict[str, tuple[int, float]]

_HALF_LIFE_S = 1.0
# Fewer samples than this, decayed for a second or two, may all come from one pause.
_MIN_WEIGHT = 0.8
# A pause of 200 ms in every 4.5 s raises the mean of one second to 1.4 at most; a
# server that takes three times as long is well above.
_SLOW_RATIO = 1.7
# Smaller changes are not worth sending to the hosts.
_RATIO_STEP = 0.5
_MIN_KEPT_WEIGHT = 0.2


@dataclass(slots=True)
class _DecayingMean:
    weight: float
    weighted_sum: float
    updated_at: float

    def decay(self, now: float) -> None:
        factor = math.exp2(-max(0.0, now - self.updated_at) / _HALF_LIFE_S)
        self.weight *= factor
        self.weighted_sum *= factor
        self.updated_at = now


class SlowServerDetector:
    """Exponentially decaying means of all hosts' latency ratios by server."""

    def __init__(self) -> None:
        self._means: dict[str, _DecayingMean] = {}

    def record(self, samples: LatencySamples, now: float) -> None:
        """Add the samples that a host has reported."""
        for server, (count, ratio_sum) in samples.items():
            mean = self._means.setdefault(server, _DecayingMean(0.0, 0.0, now))
            mean.decay(now)
            mean.weight += count
            mean.weighted_sum += ratio_sum

    def slow_servers(self, now: float) -> dict[str, float]:
        """Return the latency ratios of the slow servers, rounded to steps."""
        slow_servers = {}
        for server, mean in tuple(self._means.items()):
            mean.decay(now)
            if mean.weight < _MIN_KEPT_WEIGHT:
                del self._means[server]
                continue
            ratio = mean.weighted_sum / mean.weight
            # A slow server gets no requests, so it stays slow until its samples have
            # decayed below the minimum weight.
            if mean.weight >= _MIN_WEIGHT and ratio >= _SLOW_RATIO:
                slow_servers[server] = round(ratio / _RATIO_STEP) * _RATIO_STEP
        return slow_servers
