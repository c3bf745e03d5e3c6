"""Demand of all hosts for each server that has named a limit."""

import math

from kingcuplug_routing import DEMAND_WINDOW_S, SlidingWindowCounter

__all__ = ["DemandTotals"]

# Hosts report several times a second, so nearly all have reported after this time.
_FIRST_TOTAL_DELAY_S = 2.0
# A total is published somewhat too high, and again when the actual one is above it or
# far below. One that is too low would let the hosts' shares add up to more than 1.
_PUBLISHED_RATIO = 1.1
_MIN_TOTAL_RATIO = 0.8
# Each publication reaches all hosts.
_PUBLISH_INTERVAL_S = 0.5


class DemandTotals:
    """Adds up reported demand in a sliding window.

    Parameters
    ----------
    now : float
        Since when reports arrive. Hosts may have had demand before, so totals are
        unknown for one window.
    """

    def __init__(self, now: float) -> None:
        self._complete_at = now + DEMAND_WINDOW_S
        self._windows: dict[str, tuple[float, SlidingWindowCounter]] = {}
        self._published: dict[str, int] = {}
        self._published_at = -math.inf

    def record(self, demand: dict[str, int], now: float) -> None:
        """Add the demand of one report, by server id."""
        for server, count in demand.items():
            if server not in self._windows:
                known_at = max(self._complete_at, now + _FIRST_TOTAL_DELAY_S)
                window = SlidingWindowCounter(DEMAND_WINDOW_S)
                self._windows[server] = (known_at, window)
            self._windows[server][1].add(now, count)

    def totals(self, now: float) -> dict[str, int]:
        """Return the known totals, which change a few times a second at most."""
        if now < self._published_at + _PUBLISH_INTERVAL_S:
            return self._published
        published = {}
        for server, (known_at, window) in list(self._windows.items()):
            total = window.total(now)
            if total == 0:
                del self._windows[server]
                continue
            if now < known_at:
                continue
            previous = self._published.get(server, 0)
            keep = previous * _MIN_TOTAL_RATIO <= total <= previous
            published[server] = (
                previous if keep else math.ceil(total * _PUBLISHED_RATIO)
            )
        self._published, self._published_at = published, now
        return published
