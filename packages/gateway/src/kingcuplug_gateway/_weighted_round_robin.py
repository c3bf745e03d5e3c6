"""Division of a route's requests among services by weight.

Designed for an operator who moves a route to another service in steps, and needs the
share of each step to hold even over a few hundred requests. Weighted round robin from
a random start keeps the share within one request on each host.
"""

import random as random_module
from collections.abc import Sequence

from kingcuplug_gateway._routes import WeightedService

__all__ = ["WeightedRoundRobin"]


class WeightedRoundRobin:
    """Smooth weighted round robin."""

    def __init__(
        self, services: Sequence[WeightedService], random: random_module.Random
    ) -> None:
        self._services = [entry for entry in services if entry.weight > 0]
        self._total_weight = sum(entry.weight for entry in self._services)
        self._current_weights = [
            random.uniform(0, entry.weight) for entry in self._services
        ]

    def next(self) -> str:
        """Return the service for the next request."""
        for position, entry in enumerate(self._services):
            self._current_weights[position] += entry.weight
        selected = max(
            range(len(self._current_weights)), key=self._current_weights.__getitem__
        )
        self._current_weights[selected] -= self._total_weight
        return self._services[selected].service
