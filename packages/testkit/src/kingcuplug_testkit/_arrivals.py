"""Random arrivals of requests, and the most of them in a window."""

import random as random_module
from collections import deque
from collections.abc import Iterable

__all__ = ["most_in_window", "poisson_count"]


def poisson_count(random: random_module.Random, mean: float) -> int:
    """Return a Poisson variable with a small mean."""
    count, elapsed = 0, random.expovariate(1.0)
    while elapsed < mean:
        count, elapsed = count + 1, elapsed + random.expovariate(1.0)
    return count


def most_in_window(times_s: Iterable[float], window_s: float) -> int:
    """Return the greatest number of ascending times within any window."""
    window: deque[float] = deque()
    most = 0
    for at in times_s:
        window.append(at)
        while window[0] <= at - window_s:
            window.popleft()
        most = max(most, len(window))
    return most
