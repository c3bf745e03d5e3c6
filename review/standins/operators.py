"""Operators, who send a configuration and read it back."""

import asyncio
import json
import random
from collections.abc import Sequence
from typing import Any

from standins.messages import exchange

__all__ = ["apply_document", "configuration", "read_document"]

_PATH = "/v1/configuration"
_MAX_REDIRECTS = 2
_RETRY_DELAY_S = 0.05
_TIMEOUT_S = 1.0


def configuration(
    version: int,
    shards: Sequence[str] = (),
    services: Sequence[tuple[str, str]] = (),
    max_attempts: int = 2,
) -> bytes:
    """Return a document with a query over shards, and a route for each service.

    Parameters
    ----------
    shards : sequence of str
        Shards of the route ``query.example/query/``; none without shards.
    services : sequence of (str, str)
        Service and kind of the routes ``orders.example/<number>/``.
    """
    routes: list[dict[str, Any]] = []
    if shards:
        routes.append(
            {
                "name": "query",
                "host": "query.example",
                "path_prefix": "/query/",
                "kind": "safe",
                "timeout_ms": 1500,
                "target_latency_ms": 186,
                "priority": 1,
                "fanout_services": list(shards),
                "max_attempts": max_attempts,
                "top_k": 5,
                "minimum": 0.89,
            }
        )
    routes += [
        {
            "name": f"orders-{number}",
            "host": "orders.example",
            "path_prefix": f"/{number}/",
            "kind": kind,
            "timeout_ms": 6000,
            "target_latency_ms": 604,
            "priority": 2,
            "service": service,
            "max_attempts": max_attempts,
        }
        for number, (service, kind) in enumerate(services)
    ]
    names = sorted({*shards, *(service for service, _ in services)})
    document = {
        "version": version,
        "routes": routes,
        "services": [
            {
                "name": name,
                "health_check_path": "/health",
                "connection_limit": 64,
                "protocol": "h1",
                "tls": False,
            }
            for name in names
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 262144,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
    }
    return json.dumps(document).encode()


async def apply_document(addresses: Sequence[str], document: bytes) -> str:
    """Send a document again and again until it is acknowledged.

    Returns
    -------
    str
        Address of the host that acknowledged it.
    """
    while True:
        address = random.choice(list(addresses))
        try:
            status, _ = await _call(address, "PUT", document)
        except OSError:
            status = 0
        if status == 200:
            return address
        await asyncio.sleep(_RETRY_DELAY_S)


async def read_document(address: str) -> tuple[int, int | None]:
    """Return the status of a read at one host, and the version if it was answered.

    The status is 0 without a response.
    """
    try:
        status, body = await _call(address, "GET", b"")
    except OSError:
        return 0, None
    return status, json.loads(body)["version"] if status == 200 else None


async def _call(address: str, method: str, body: bytes) -> tuple[int, bytes]:
    headers = [("Host", address), ("Content-Type", "application/json")]
    for _ in range(_MAX_REDIRECTS + 1):
        answer = await exchange(address, method, _PATH, headers, body, _TIMEOUT_S)
        if answer.status != 307:
            break
        address = answer.fields["location"].removeprefix("http://").split("/")[0]
    return answer.status, answer.body
