"""Route table, which maps requests to services."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from kingcuplug_routing import AllowedRegions

from kingcuplug_gateway._teams import Teams

__all__ = [
    "Route",
    "RouteTable",
    "ServiceSettings",
    "WeightedService",
]

# Below this target, a wrong choice of a replica alone makes an answer late.
_SHORT_TARGET_MS = 60


@dataclass(frozen=True, slots=True)
class WeightedService:
    """One service of a route and its share of the route's requests."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Destination and limits of the requests for one host name and path prefix.

    Attributes
    ----------
    host : str
        Host name in lower case, without a port.
    prefix : str
        Path prefix that begins and ends with a slash.
    repeatable : bool
        Whether a request may run more than once.
    services : tuple of WeightedService
        Services for requests that are sent to one server.
    shards : tuple of str
        Services that each return a part of the answer; empty unless the route is a
        query over several shards.
    max_attempts : int
        Maximum number of servers that one attempt of a caller is sent to, per shard.
    timeout_ms : int
        Longest time for which a caller may wait.
    target_ms : int
        Time within which the answer should reach the caller. Later answers are of
        less value.
    priority : int
        Priority of the requests under load; 0 is the highest.
    top_records : int
        Number of records in the merged answer.
    minimum_coverage : float
        Smallest share of shards for which a partial answer is returned.
    public : bool
        Whether callers need no key where the table has teams.
    allowed_regions : AllowedRegions
        Regions of the servers that its requests may be sent to, ``None`` for all.
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
    priority: int
    top_records: int = 0
    minimum_coverage: float = 1.0
    public: bool = False
    allowed_regions: AllowedRegions = None

    @property
    def all_services(self) -> tuple[str, ...]:
        """Names of the services and shards that its requests may be sent to."""
        return (*(weighted.service for weighted in self.services), *self.shards)


@dataclass(frozen=True, slots=True)
class ServiceSettings:
    """Settings of one service.

    Attributes
    ----------
    connection_limit : int
        Connections that one server accepts from all hosts together.
    cold_start_s : float
        Longest time for which a server is cold; 0 if not stated.
    cold_requests_per_s : float
        Requests a second that a cold server takes from all hosts together; 0 means no
        limit.
    """

    name: str
    health_path: str
    connection_limit: int
    cold_start_s: float = 0.0
    cold_requests_per_s: float = 0.0


@dataclass(frozen=True)
class RouteTable:
    """One version of the routes, the services and the limits of callers' requests.

    Attributes
    ----------
    teams : Teams or None
        Teams whose callers carry a key; ``None`` if callers need none.
    places_by_cost : bool
        Whether replicas are chosen by the expected cost of requests.
    """

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, ServiceSettings]
    max_header_bytes: int
    max_body_bytes: int
    header_timeout_ms: int
    idle_timeout_ms: int
    teams: Teams | None = None
    places_by_cost: bool = field(init=False)
    _by_host_and_prefix: dict[tuple[str, str], Route] = field(init=False, repr=False)

    def __post_init__(self) -> None:
        by_host_and_prefix = {
            (route.host, route.prefix): route for route in self.routes
        }
        object.__setattr__(self, "_by_host_and_prefix", by_host_and_prefix)
        places_by_cost = self.teams is not None or any(
            route.target_ms < _SHORT_TARGET_MS for route in self.routes
        )
        object.__setattr__(self, "places_by_cost", places_by_cost)

    def find(self, host: str, path: str) -> Route | None:
        """Return the route of the host name with the longest prefix of `path`."""
        end = path.rfind("/")
        while end >= 0:
            route = self._by_host_and_prefix.get((host, path[: end + 1]))
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None
