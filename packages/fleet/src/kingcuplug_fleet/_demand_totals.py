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
        Since when reports arrive. Hosts may have had demand before, so other totals
        than inherited ones are unknown for one window.
    inherited : dict
        Totals of the previous coordinator. The part of the window before `now` is
        assumed to be like them.
    """

    def __init__(self, now: float, inherited: dict[str, int] | None = None) -> None:
        self._complete_at = now + DEMAND_WINDOW_S
        self._windows: dict[str, tuple[float, SlidingWindowCounter]] = {}
        self._inherited = inherited or {}
        for server in self._inherited:
            self._windows[server] = (now, SlidingWindowCounter(DEMAND_WINDOW_S))
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
            total = window.total(now) + self._inherited_total(server, now)
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

    def _inherited_total(self, server: str, now: float) -> int:
        """Return the demand in the part of the window before the first report."""
        remaining_s = self._complete_at - now
        if remaining_s <= 0:
            return 0
        inherited = self._inherited.get(server, 0)
        return math.ceil(inherited * remaining_s / DEMAND_WINDOW_S)
