"""Route table, and the forwarding of callers' requests to backend servers."""

from kingcuplug_gateway._gateway import Gateway
from kingcuplug_gateway._gather_client import NotGathering
from kingcuplug_gateway._header_names import HeaderNames
from kingcuplug_gateway._placement_report import PlacementQuestion
from kingcuplug_gateway._relay import HostAddress, NotRelaying, RelayPeers
from kingcuplug_gateway._routes import (
    Route,
    RouteTable,
    ServiceSettings,
    WeightedService,
)
from kingcuplug_gateway._scatter import RECORD_BYTES, merge_records
from kingcuplug_gateway._servers import Server, ServerInfo, ServerTable
from kingcuplug_gateway._settings import GatewaySettings
from kingcuplug_gateway._teams import Team, Teams, key_digest

__all__ = [
    "RECORD_BYTES",
    "Gateway",
    "GatewaySettings",
    "HeaderNames",
    "HostAddress",
    "NotGathering",
    "NotRelaying",
    "PlacementQuestion",
    "RelayPeers",
    "Route",
    "RouteTable",
    "Server",
    "ServerInfo",
    "ServerTable",
    "ServiceSettings",
    "Team",
    "Teams",
    "WeightedService",
    "key_digest",
    "merge_records",
]
