"""Periodic corrections of server statistics, outside the path of each choice."""

from collections.abc import Collection
from math import exp

from kingcuplug_routing._server import Server

__all__ = ["decay_latencies", "update_zone_factors"]


def decay_latencies(
    servers: Collection[Server], mean_ms: float, elapsed_s: float
) -> None:
    """Move the latency of unused slow servers towards the service's mean.

    A server that is avoided for its latency gives no new observation, so without the
    decay it would be avoided for ever.
    """
    for server in servers:
        if server.latency_ms > mean_ms and not server.in_flight:
            remaining = exp(-elapsed_s / server.policy.forget_s)
            server.latency_ms = mean_ms + (server.latency_ms - mean_ms) * remaining


def update_zone_factors(servers: Collection[Server]) -> None:
    """Set each server's zone factor: below 1 unless its zone has the higher load."""
    loads: dict[str, list[float]] = {}
    for server in servers:
        load = (server.in_flight / server.slots + 1) * server.latency_ms
        loads.setdefault(server.zone, []).append(load)
    means = {
        zone: sum(zone_loads) / len(zone_loads) for zone, zone_loads in loads.items()
    }
    for server in servers:
        others = [mean for zone, mean in means.items() if zone != server.zone]
        more_loaded = bool(others) and means[server.zone] > sum(others) / len(others)
        server.zone_factor = 1.0 if more_loaded else server.policy.zone_factor
