"""A graceful shutdown interrupts no request in flight."""

import asyncio
import time
import uuid
from typing import Any

from kingcuplug_daemon import Host


async def _shut_down_under_load(local: Any) -> dict[str, Any]:
    """Stop a host with a query and an order in flight; note all that is seen."""
    like = local.hosts[1].settings
    host = Host(like.model_copy(update={"host": "host-09"}))
    await host.start()
    base = f"http://{host.caller_address}"
    while (await _get_json(local, f"{base}/readyz"))[0] != 200:  # noqa: ASYNC110
        await asyncio.sleep(0.02)
    for server in local.servers:
        server.behaviour.service_time_ms = 300.0
    key = f"{time.time_ns() // 1_000_000}-{uuid.uuid4().hex}"
    # The whole answer is asked for, so that patience with slow shards is no cause.
    query = {"body": key, "minimum_coverage": 1.0, "partition_key": "4711"}
    order = {"body": 1, "idempotency_key": key, "partition_key": "4711"}
    running = [
        asyncio.create_task(local.call("stock", "query", query, base)),
        asyncio.create_task(local.call("stock", "order", order, base)),
    ]
    while host.lifecycle.in_flight < 2 or not local.journal.orders[key]:  # noqa: ASYNC110
        await asyncio.sleep(0.01)
    stopping = asyncio.create_task(host.stop(grace_ms=150))
    while not host.lifecycle.draining:  # noqa: ASYNC110
        await asyncio.sleep(0)
    seen: dict[str, Any] = {"ready": await _get_json(local, f"{base}/readyz")}
    late = asyncio.create_task(local.call("trims", "query", {"body": key}, base))
    while not host.lifecycle.closed:  # noqa: ASYNC110
        await asyncio.sleep(0.01)
    seen["closed"] = await local.call("trims", "query", {"body": 2}, base)
    seen["in_flight"] = [task.done() for task in running]
    seen["query"], seen["order"] = await asyncio.gather(*running)
    seen["late"] = await late
    await stopping
    seen["runs"] = local.journal.orders[key]
    for server in local.servers:
        server.behaviour.service_time_ms = 2.0
    return seen


async def _get_json(local: Any, url: str) -> tuple[int, Any]:
    async with local.http.get(url) as response:
        return response.status, await response.json()


def test_shutdown_finishes_requests_in_flight(deployment: Any):
    """Guards against a deployment of a new version that loses answers."""
    seen = deployment.run(_shut_down_under_load(deployment.local))
    # First the load balancer is told; work that still comes is served.
    assert seen["ready"] == (503, {"ready": False})
    assert seen["late"][0] == 200
    # Then new work is refused as not run, while the rest goes on.
    assert seen["closed"][0] == 503
    refusal = seen["closed"][1]["refusal"]
    assert (refusal["kind"], refusal["reason"]) == ("not_run", "shutting_down")
    assert seen["in_flight"] == [False, False]
    assert (seen["query"][0], seen["query"][1]["coverage"]) == (200, 1.0)
    assert (seen["order"][0], seen["runs"]) == (200, 1)
