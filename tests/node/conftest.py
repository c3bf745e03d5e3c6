"""Settings and names of a host under test."""

from typing import Any

from kingcuplug_gateway import HeaderNames, RouteTable
from kingcuplug_node import NodeSettings
from kingcuplug_routing import RetryBudgetSettings

HEADER_NAMES = HeaderNames(b"I", b"D", b"E", b"S", b"N", b"P", b"M", b"L", b"G")
ROUTE_TABLE = RouteTable(1, (), {}, 8_192, 65_536, 3_000, 15_000)


def make_settings(**fields: Any) -> NodeSettings:
    """Return the settings of a host without a disk, with the given fields replaced."""
    defaults: dict[str, Any] = {
        "host": "host",
        "availability_zone": "z",
        "caller_address": "127.0.0.1:0",
        "ready_address": "127.0.0.1:0",
        "control_address": "127.0.0.1:0",
        "metrics_address": "127.0.0.1:0",
        "seeds": ("127.0.0.1:1",),
        "first_start": False,
        "data_folder": None,
        "heartbeat_interval_ms": 1_000,
        "termination_grace_ms": 6_000,
        "retry_budget": RetryBudgetSettings(),
    }
    return NodeSettings(**(defaults | fields))
