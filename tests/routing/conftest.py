"""Fixtures for servers and routers of the routing tests."""

from collections.abc import Callable
from dataclasses import replace
from random import Random

import pytest
from kingcuplug_routing import Holding, Router, RoutingPolicy, ServerView

MakeRouter = Callable[..., Router]


def _server_view(
    index: int, shards: tuple[int, ...] = (0, 1), **fields: object
) -> ServerView:
    """Return a server with 2 slots in one of three zones."""
    view = ServerView(
        f"server-{index}",
        f"127.0.0.1:{9_000 + index}",
        f"zone-{index % 3}",
        2,
        120,
        "serving",
        (Holding(1, 2, shards),),
    )
    return replace(view, **fields)  # type: ignore[arg-type]


@pytest.fixture
def make_view() -> Callable[..., ServerView]:
    return _server_view


@pytest.fixture
def make_router() -> MakeRouter:
    def make(servers: int = 3, hosts: int = 10, **fields: object) -> Router:
        """Return a router without slow start; call this inside the event loop."""
        policy = RoutingPolicy(**({"slow_start_s": 0.0} | fields))  # type: ignore[arg-type]
        router = Router("stock", policy, Random(7))
        router.update([_server_view(i) for i in range(servers)], hosts)
        return router

    return make
