"""The table that says which requests go to which services."""

from collections.abc import Mapping
from dataclasses import dataclass, field

__all__ = ["Route", "RouteTable", "ServiceSettings", "WeightedService"]


@dataclass(frozen=True, slots=True)
class WeightedService:
    """One service of a route and its share of the route's requests."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Where requests of one host name and path prefix go.

    Attributes
    ----------
    host : str
        In lower case, without a port.
    prefix : str
        Begins and ends with a slash.
    repeatable : bool
        Whether a request may run more than once.
    services : tuple of WeightedService
        For requests that go to one server of one of them.
    shards : tuple of str
        Services of which each answers with a part; empty unless the route is a
        query over many shards.
    max_attempts : int
        Servers to which one caller attempt may be sent, for each shard.
    timeout_ms : int
        The longest time that the operator wants a caller kept waiting.
    target_ms : int
        The time within which an answer has its full worth.
    rank : int
        0 is the most urgent.
    top_records : int
        Number of records in the merged answer.
    minimum_coverage : float
        Smallest share of shards that makes an answer.
    """

    name: str
    host: str
    prefix: str
    repeatable: bool
    services: tuple[WeightedService, ...]
    shards: tuple[str, ...]
    max_attempts: int
    timeout_ms: int
    target_ms: int
    rank: int
    top_records: int = 0
    minimum_coverage: float = 1.0


@dataclass(frozen=True, slots=True)
class ServiceSettings:
    """What the operator says of one service.

    Attributes
    ----------
    connection_limit : int
        Connections that one server accepts from all hosts together.
    """

    name: str
    health_path: str
    connection_limit: int


@dataclass(frozen=True)
class RouteTable:
    """One version of the routes, the services and the limits for callers."""

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, ServiceSettings]
    max_header_bytes: int
    max_body_bytes: int
    header_timeout_ms: int
    idle_timeout_ms: int
    _by_place: dict[tuple[str, str], Route] = field(init=False, repr=False)

    def __post_init__(self) -> None:
        by_place = {(route.host, route.prefix): route for route in self.routes}
        object.__setattr__(self, "_by_place", by_place)

    def find(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix that begins `path`."""
        end = path.rfind("/")
        while end >= 0:
            route = self._by_place.get((host, path[: end + 1]))
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None
