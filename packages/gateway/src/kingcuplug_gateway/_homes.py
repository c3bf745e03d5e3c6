"""Restriction of requests to the regions that their route and team allow."""

import dataclasses

from kingcuplug_routing import ZoneRegions, common_regions

from kingcuplug_gateway._routes import Route
from kingcuplug_gateway._servers import ServicePool
from kingcuplug_gateway._teams import Team

__all__ = ["has_home_server", "home_gatherers", "home_zones", "route_for_team"]


def route_for_team(route: Route, team: Team | None) -> Route:
    """Return a route with the priority and within the regions of a team."""
    if team is None:
        return route
    if team.priority is not None:
        route = dataclasses.replace(route, priority=team.priority)
    if team.allowed_regions is not None:
        allowed = common_regions(route.allowed_regions, team.allowed_regions)
        route = dataclasses.replace(route, allowed_regions=allowed)
    return route


def has_home_server(pool: ServicePool, route: Route, regions: ZoneRegions) -> bool:
    """Return whether a service has a server that may get the route's requests."""
    if route.allowed_regions is None:
        return bool(pool.servers)
    return any(
        regions.may_serve(server.info.availability_zone, route.allowed_regions)
        for server in pool.servers.values()
    )


def home_zones(zones: set[str], route: Route, regions: ZoneRegions) -> set[str]:
    """Return the zones whose servers may get the route's requests."""
    if route.allowed_regions is None:
        return zones
    return {zone for zone in zones if regions.may_serve(zone, route.allowed_regions)}


def home_gatherers(
    available: dict[str, list[str]], route: Route, regions: ZoneRegions
) -> dict[str, list[str]]:
    """Return the gatherers, by zone, that may get the body of the route's requests."""
    if route.allowed_regions is None:
        return available
    return {
        zone: addresses
        for zone, addresses in available.items()
        if regions.may_hold_body(zone, route.allowed_regions)
    }
