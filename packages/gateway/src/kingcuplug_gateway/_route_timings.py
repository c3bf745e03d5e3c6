"""Latency statistics of each route, with expected costs where these decide."""

from kingcuplug_routing import CostPlacement, LatencyEstimator

from kingcuplug_gateway._routes import RouteTable
from kingcuplug_gateway._settings import GatewaySettings

__all__ = ["RouteTimings"]

_MS_PER_S = 1_000
# A gatherer replies this long before the response of the requesting host is due, and
# the query takes two trips between zones and as much again for busy hosts.
_GATHERING_MS = 4.0 + 6.0


class RouteTimings:
    """Latency statistics by route."""

    def __init__(self, settings: GatewaySettings) -> None:
        reserved_ms = 2 * settings.caller_delay_ms + settings.answer_margin_ms
        self._reserved_s = (reserved_ms + _GATHERING_MS) / _MS_PER_S
        self._places_by_cost = False
        self._timings: dict[str, LatencyEstimator] = {}

    def install_routes(self, table: RouteTable) -> None:
        """Forget removed routes, and start afresh if placement has changed."""
        if table.places_by_cost != self._places_by_cost:
            self._places_by_cost = table.places_by_cost
            self._timings.clear()
        names = {route.name for route in table.routes}
        self._timings = {n: t for n, t in self._timings.items() if n in names}

    def get(self, route: str, target_ms: int) -> LatencyEstimator:
        """Return the statistics of a route by its name and target."""
        timing = self._timings.get(route)
        if timing is None:
            timing = self._timings[route] = LatencyEstimator(target_ms)
            if self._places_by_cost:
                timing.placement = CostPlacement(target_ms, self._reserved_s)
        return timing
