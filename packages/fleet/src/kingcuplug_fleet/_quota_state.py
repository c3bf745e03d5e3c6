"""Quotas of teams at one host: the published ratios, and the coordinator's part."""

import math
from collections.abc import Callable, Mapping

from kingcuplug_routing import (
    TeamCounts,
    TeamQuota,
    TeamQuotaController,
    TeamRatios,
)

__all__ = ["QuotaState"]

# Hundreds of hosts report several times a second.
_MIN_UPDATE_INTERVAL_S = 0.05


class QuotaState:
    """Ratios that the coordinator publishes, and the controller that decides on them.

    Parameters
    ----------
    notify : callable
        Called after each change that is propagated to other hosts.

    Attributes
    ----------
    ratios : mapping
        Ratio and waiting time of the teams near or over their quota, by team. They are
        kept without contact; hosts judge them by their age.
    known_at : float
        Event loop time at which the ratios were last known to be in force.
    on_ratios : callable
        Called after the ratios have changed, so that this host applies them at once.
    """

    def __init__(self, now: float, notify: Callable[[], None]) -> None:
        self._notify = notify
        self._quotas: Mapping[str, TeamQuota] = {}
        self._controller = TeamQuotaController(now)
        self._updated_at = -math.inf
        self._newly_held: dict[str, float] = {}
        self.ratios: TeamRatios = {}
        self.known_at = -math.inf
        self.on_ratios: Callable[[], None] = lambda: None

    def set_quotas(self, quotas: Mapping[str, TeamQuota]) -> None:
        """Set the quotas of the routes in force."""
        self._quotas = quotas
        self._controller.set_quotas(quotas)

    def set_ratios(self, ratios: TeamRatios, now: float) -> None:
        """Set the ratios that the coordinator has published."""
        is_first = self.known_at == -math.inf
        self.known_at = now
        if ratios != self.ratios or is_first:
            self.ratios = ratios
            self.on_ratios()
            self._notify()

    def held_count(self) -> int:
        """Return the number of teams that are held at their quota."""
        return sum(ratio < 1.0 for ratio, _ in self.ratios.values())

    def restart(self, now: float) -> None:
        """Begin as coordinator, from the ratios that the last one published."""
        inherited_at = self.known_at if self.known_at > -math.inf else None
        self._controller = TeamQuotaController(now, self.ratios, inherited_at)
        self._controller.set_quotas(self._quotas)

    def record(self, counts: TeamCounts, now: float) -> None:
        """Add the counts of a report, as coordinator."""
        self._controller.record(counts, now)

    def update(self, hosts: int, now: float) -> None:
        """Publish the ratios, as coordinator, unless it was done a moment ago."""
        if now < self._updated_at + _MIN_UPDATE_INTERVAL_S:
            return
        self._updated_at = now
        self._controller.set_hosts(hosts, now)
        previous = self.ratios
        self.set_ratios(self._controller.ratios(now), now)
        if self.ratios is previous:
            return
        for team, (ratio, _) in self.ratios.items():
            if ratio < 1.0 and previous.get(team, (1.0, 0.0))[0] >= 1.0:
                self._newly_held[team] = ratio

    def pop_newly_held(self) -> dict[str, float]:
        """Return the teams held since the previous call, with their ratios."""
        newly_held, self._newly_held = self._newly_held, {}
        return newly_held
