"""Selection functions that choose one of several replicas.

Each returns the index of the chosen candidate.
"""

from collections.abc import Callable, Sequence
from random import Random
from typing import Protocol

__all__ = [
    "Candidate",
    "ReplicaSelector",
    "least_expected_time",
    "least_in_flight",
    "power_of_two_choices",
    "random_replica",
]


class Candidate(Protocol):
    """Attributes of a server that a selection function may read."""

    in_flight: int
    latency_ms: float
    zone: str
    zone_factor: float
    reported_load: float


ReplicaSelector = Callable[[Sequence[Candidate], str, Random], int]


def power_of_two_choices(
    candidates: Sequence[Candidate], zone: str, random: Random
) -> int:
    """Return the one of two random candidates with the lower expected latency."""
    count = len(candidates)
    first = int(random.random() * count)
    second = int(random.random() * (count - 1))
    if second >= first:
        second += 1
    return _faster(candidates, first, second, zone)


def least_expected_time(
    candidates: Sequence[Candidate], zone: str, random: Random
) -> int:
    """Return the candidate with the lowest expected latency."""
    best = int(random.random() * len(candidates))
    for other in range(len(candidates)):
        if other != best:
            best = _faster(candidates, best, other, zone)
    return best


def least_in_flight(candidates: Sequence[Candidate], zone: str, random: Random) -> int:
    """Return a random one of the candidates with the fewest requests in flight."""
    fewest = min(candidate.in_flight for candidate in candidates)
    best = [i for i, each in enumerate(candidates) if each.in_flight == fewest]
    return best[int(random.random() * len(best))]


def random_replica(candidates: Sequence[Candidate], zone: str, random: Random) -> int:
    """Return a random candidate."""
    return int(random.random() * len(candidates))


def _faster(
    candidates: Sequence[Candidate], first_index: int, second_index: int, zone: str
) -> int:
    first, second = candidates[first_index], candidates[second_index]
    first_ms = (first.in_flight + 1) * first.latency_ms
    second_ms = (second.in_flight + 1) * second.latency_ms
    if first.zone == zone:
        first_ms *= first.zone_factor
    if second.zone == zone:
        second_ms *= second.zone_factor
    if first_ms == second_ms:
        return (
            first_index if first.reported_load <= second.reported_load else second_index
        )
    return first_index if first_ms < second_ms else second_index
