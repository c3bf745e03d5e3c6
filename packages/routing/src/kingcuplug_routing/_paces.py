"""Which servers all hosts together find slow.

Answers this load pattern: ninety hosts share some hundred servers, so each host sees
one server only every few seconds, and a server that has turned slow delays a query of
every host before all of them have learnt it. Hosts report their samples; a server
counts as slow by the mean of all samples of the last second or two, so that neither a
pause of 200 ms nor one unlucky host is enough.
"""

import math
from dataclasses import dataclass

__all__ = ["PaceBoard", "Samples"]

# Number and sum of samples by server: duration relative to the typical one.
Samples = dict[str, tuple[int, float]]

_HALF_LIFE_S = 1.0
# Fewer samples than this, faded by a second or two, may all come from one pause.
_FEWEST_SAMPLES = 0.8
# A pause of 200 ms in every 4.5 s makes at most 1.4 of a second's mean; a server
# that works three times as long is well beyond.
_SLOW_MEAN = 1.7
# Hosts need not learn of smaller changes.
_STEP = 0.5
_FORGOTTEN_WEIGHT = 0.2


@dataclass(slots=True)
class _Mean:
    weight: float
    total: float
    at: float

    def decay(self, now: float) -> None:
        factor = math.exp2(-max(0.0, now - self.at) / _HALF_LIFE_S)
        self.weight *= factor
        self.total *= factor
        self.at = now


class PaceBoard:
    """Means of all hosts' samples, recent ones counting most."""

    def __init__(self) -> None:
        self._means: dict[str, _Mean] = {}

    def add(self, samples: Samples, now: float) -> None:
        """Take samples that a host has reported."""
        for server, (count, total) in samples.items():
            mean = self._means.setdefault(server, _Mean(0.0, 0.0, now))
            mean.decay(now)
            mean.weight += count
            mean.total += total

    def slow(self, now: float) -> dict[str, float]:
        """Return the pace of the servers that are slow, in coarse steps."""
        slow = {}
        for server, mean in tuple(self._means.items()):
            mean.decay(now)
            if mean.weight < _FORGOTTEN_WEIGHT:
                del self._means[server]
                continue
            pace = mean.total / mean.weight
            # What was slow stays so while its samples fade, as nobody asks it.
            if mean.weight >= _FEWEST_SAMPLES and pace >= _SLOW_MEAN:
                slow[server] = round(pace / _STEP) * _STEP
        return slow
