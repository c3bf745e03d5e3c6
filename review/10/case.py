"""The seeds of the first start are hosts without a disk."""

import asyncio
import itertools
import sys
import time
from pathlib import Path
from typing import Any

from calls import Answer, CallFailed, call
from casework import Operator, Record, run_case, stop_tasks
from hosts import CannotRun, Deployment, Host, running
from servers import Run, Server

_ZONES = ["recife", "fortaleza", "salvador"]
_DOCUMENT = "/v1/configuration"
_SERVICE = "cartorio-laudos"
_HOST_NAME = "hufi27.example"
_LEAD_S = 12.0
_TRAFFIC_S = 34.0
_REQUEST_INTERVAL_S = 0.1
_DEADLINE_S = 8.0
_BOUNDS = {
    "seed_lag_s": 3,
    "address_reuse_s": 2,
    "stability_window_ms": 4000,
    "ack_timeout_ms": 5000,
    "catch_up_s": 4,
    "drain_ms": 3000,
    "grace_s": 6,
    "loss_slack_ms": 200,
    "config_apply_ms": 3000,
    "rollback_slack_ms": 250,
    "max_stretch_ms": 12000,
    "retry_budget_ratio": 0.2,
    "retry_window_s": 10,
    "retry_budget_slack": 60,
    "recovery_s": 12,
}
_CONFIGURATION: dict[str, Any] = {
    "version": 3,
    "routes": [
        {
            "name": "r-1",
            "host": _HOST_NAME,
            "path_prefix": "/goka902/",
            "kind": "safe",
            "timeout_ms": 8000,
            "target_latency_ms": 500,
            "priority": 2,
            "service": _SERVICE,
            "max_attempts": 2,
        }
    ],
    "services": [
        {
            "name": _SERVICE,
            "health_check_path": "/health",
            "connection_limit": 38,
            "protocol": "h1",
            "tls": False,
        }
    ],
    "limits": {
        "max_header_bytes": 16384,
        "max_body_bytes": 262144,
        "header_timeout_ms": 3000,
        "idle_timeout_ms": 15000,
    },
}


async def _send_until(hosts: list[Host], record: Record, until: float) -> int:
    """Send requests to all hosts in turn; return how many were served."""
    served = 0
    pending: set[asyncio.Task[None]] = set()

    async def send(attempt_id: str, host: Host) -> None:
        nonlocal served
        headers = {
            "Host": _HOST_NAME,
            "Attempt-Id": attempt_id,
            "Deadline-Milliseconds": f"{_DEADLINE_S * 1_000:.0f}",
        }
        answer: Answer | None = None
        error = ""
        try:
            answer = await call(
                host.front, "GET", "/goka902/2f", headers, timeout_s=_DEADLINE_S
            )
            served += answer.status == 200
        except CallFailed as failure:
            error = str(failure)
        outcome = error if answer is None else f"answered {answer.status}"
        record.write(f"caller: {attempt_id} to {host.name}: {outcome}")

    for number, host in enumerate(itertools.cycle(hosts), 1):
        if time.monotonic() > until:
            break
        task = asyncio.create_task(send(f"{number:016x}", host))
        pending.add(task)
        task.add_done_callback(pending.discard)
        await asyncio.sleep(_REQUEST_INTERVAL_S)
    await asyncio.gather(*pending)
    return served


async def _keep_ordering(operator: Operator) -> None:
    """Send the first configuration until it is accepted."""
    while True:
        try:
            await operator.order("PUT", _DOCUMENT, _CONFIGURATION)
            return
        except CannotRun:
            continue


async def _case(record: Record, with_trouble: bool) -> list[str]:
    runs: list[Run] = []
    with running(Deployment(_ZONES, 3, 3, _BOUNDS)) as deployment:
        seeds = [h for h in deployment.hosts if h.has_disk is not with_trouble]
        for host in deployment.hosts:
            host.settings["seeds"] = [seed.control for seed in seeds]
        record.write(f"platform: the seeds are {', '.join(s.name for s in seeds)}")
        for host in deployment.hosts:
            host.start()
            disk = "a disk" if host.has_disk else "no disk"
            record.write(f"platform: {host.name} starts, {disk}")
        controls = [host.control for host in deployment.hosts]
        servers = [
            Server(f"i-{n}", _SERVICE, zone, "127.0.0.1", controls, runs.append)
            for n, zone in enumerate(_ZONES)
        ]
        for server in servers:
            await server.start()
        operator = Operator(deployment.hosts, record)
        ordering = asyncio.create_task(_keep_ordering(operator))
        await asyncio.sleep(_LEAD_S)
        until = time.monotonic() + _TRAFFIC_S
        served = await _send_until(deployment.hosts, record, until)
        acknowledged = ordering.done()
        await stop_tasks([ordering])
        for server in servers:
            server.stop()
        await asyncio.sleep(0.1)
    record.write(f"callers: {served} requests served; servers: {len(runs)} runs")
    if served:
        return []
    return [
        f"no request is served in {_TRAFFIC_S:g} s, from {_LEAD_S:g} s after the "
        f"start; configuration acknowledged: {acknowledged}"
    ]


if __name__ == "__main__":
    run_case(_case, Path(sys.argv[1]))
