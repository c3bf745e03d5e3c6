"""A graceful shutdown does not interrupt requests in flight."""

import asyncio
import time
import uuid
from typing import Any

from kingcuplug_daemon import Host


async def _shut_down_under_load(local: Any) -> dict[str, Any]:
    """Stop a host with a query and an order in flight; return the observed results."""
    template = local.hosts[1].settings
    host = Host(template.model_copy(update={"host": "host-09"}))
    await host.start()
    base = f"http://{host.caller_address}"
    while (await _get_json(local, f"{base}/readyz"))[0] != 200:  # noqa: ASYNC110
        await asyncio.sleep(0.02)
    for server in local.servers:
        server.behaviour.service_time_ms = 300.0
    key = f"{time.time_ns() // 1_000_000}-{uuid.uuid4().hex}"
    # Full coverage is required, so that no slow shard may be left out of the answer.
    query = {"body": key, "minimum_coverage": 1.0, "partition_key": "4711"}
    order = {"body": 1, "idempotency_key": key, "partition_key": "4711"}
    in_flight = [
        asyncio.create_task(local.call("stock", "query", query, base)),
        asyncio.create_task(local.call("stock", "order", order, base)),
    ]
    while host.lifecycle.in_flight < 2 or not local.execution_counts.orders[key]:  # noqa: ASYNC110
        await asyncio.sleep(0.01)
    stopping = asyncio.create_task(host.stop(grace_ms=150))
    while not host.lifecycle.draining:  # noqa: ASYNC110
        await asyncio.sleep(0)
    results: dict[str, Any] = {"ready": await _get_json(local, f"{base}/readyz")}
    late = asyncio.create_task(local.call("trims", "query", {"body": key}, base))
    while not host.lifecycle.closed:  # noqa: ASYNC110
        await asyncio.sleep(0.01)
    results["closed"] = await local.call("trims", "query", {"body": 2}, base)
    results["in_flight"] = [task.done() for task in in_flight]
    results["query"], results["order"] = await asyncio.gather(*in_flight)
    results["late"] = await late
    await stopping
    results["runs"] = local.execution_counts.orders[key]
    for server in local.servers:
        server.behaviour.service_time_ms = 2.0
    return results


async def _get_json(local: Any, url: str) -> tuple[int, Any]:
    async with local.http.get(url) as response:
        return response.status, await response.json()


def test_shutdown_finishes_requests_in_flight(deployment: Any):
    """Guards against a rolling upgrade that loses answers."""
    results = deployment.run(_shut_down_under_load(deployment.local))
    # First the readiness check fails; requests that still arrive are served.
    assert results["ready"] == (503, {"ready": False})
    assert results["late"][0] == 200, results
    # Then new requests are refused as not run; those in flight go on.
    assert results["closed"][0] == 503, results
    refusal = results["closed"][1]["refusal"]
    assert (refusal["kind"], refusal["reason"]) == ("not_run", "shutting_down")
    assert results["in_flight"] == [False, False], results
    assert results["query"][0] == 200, results
    assert results["query"][1]["coverage"] == 1.0
    assert (results["order"][0], results["runs"]) == (200, 1), results


async def _send_before_a_stall(local: Any) -> tuple[int, Any]:
    """Send a query during a drain; then the process stalls for twice the grace."""
    host = Host(local.hosts[1].settings.model_copy(update={"host": "host-09"}))
    await host.start()
    base = f"http://{host.caller_address}"
    while (await _get_json(local, f"{base}/readyz"))[0] != 200:  # noqa: ASYNC110
        await asyncio.sleep(0.02)
    stopping = asyncio.create_task(host.stop(grace_ms=150))
    while not host.lifecycle.draining:  # noqa: ASYNC110
        await asyncio.sleep(0)
    late = asyncio.create_task(local.call("trims", "query", {"body": 1}, base))
    asyncio.get_running_loop().call_soon(time.sleep, 0.3)
    result = await late
    await stopping
    return result


def test_request_that_waits_out_a_stall_of_the_drain_is_served(deployment: Any):
    """Guards against refusing what arrived in time but could not be read."""
    status, answer = deployment.run(_send_before_a_stall(deployment.local))
    assert status == 200, answer
