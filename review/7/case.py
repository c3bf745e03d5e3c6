"""A control host is replaced as planned; then another one loses its disk."""

import asyncio
import json
import os
import signal
import sys
import time
from pathlib import Path
from typing import Any

from calls import CallFailed, call
from casework import Operator, Record, run_case
from hosts import CannotRun, Deployment, Host, running

_ZONES = ["recife", "fortaleza", "salvador"]
_DOCUMENT = "/v1/configuration"
_SERVICE = "cartorio-laudos"
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
_CATCH_UP_S = 4.0
_GRACE_S = 6.0
_RECOVERY_S = 12.0
_STABILITY_S = 4.0
# Between the end of the host that was replaced and the loss of the disk.
_LOSS_AFTER_S = float(os.environ.get("LOSS_AFTER_S", "0.5"))
_DISK_BACK_AFTER_S = 1.0
_READ_BACK_S = 20.0


def _configuration(version: int) -> dict[str, Any]:
    return {
        "version": version,
        "routes": [
            {
                "name": "r-1",
                "host": "hufi27.example",
                "path_prefix": "/goka902/",
                "kind": "safe",
                "timeout_ms": 8000 + version,
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


async def _read_back(
    hosts: list[Host], record: Record, version: int, for_s: float
) -> int:
    """Read the configuration at all hosts again and again; count sound answers."""
    sound = 0
    until = time.monotonic() + for_s
    while time.monotonic() < until:
        for host in hosts:
            try:
                answer = await call(host.control, "GET", _DOCUMENT)
            except CallFailed as error:
                record.write(f"operator: read at {host.name}: {error}")
                continue
            held = None
            if answer.status == 200:
                held = json.loads(answer.body)["version"]
                sound += held == version
            record.write(
                f"operator: read at {host.name}, answered {answer.status}, "
                f"version {held}"
            )
        await asyncio.sleep(1.0)
    return sound


async def _case(record: Record, with_trouble: bool) -> list[str]:
    with running(Deployment(_ZONES, 3, 0, _BOUNDS, spare_disks=1)) as deployment:
        await deployment.start()
        (successor,) = deployment.spares
        first_hosts = [host for host in deployment.hosts if host is not successor]
        await Operator(first_hosts, record).order("PUT", _DOCUMENT, _configuration(3))
        await asyncio.sleep(_STABILITY_S)
        leader = await deployment.leader()
        replaced, lost = (host for host in first_hosts if host is not leader)
        record.write(f"platform: {successor.name} is added, with an empty disk")
        successor.start()
        added_at = time.monotonic()
        await asyncio.sleep(_CATCH_UP_S + 0.5)
        record.write(f"platform: SIGTERM to {replaced.name}")
        replaced.send_signal(signal.SIGTERM)
        assert replaced.process is not None
        await asyncio.to_thread(replaced.process.wait, _GRACE_S)
        ended_at = time.monotonic()
        record.write(
            f"platform: {replaced.name} has ended for good; its successor started "
            f"{ended_at - added_at:.1f} s before"
        )
        hosts = [host for host in deployment.hosts if host is not replaced]
        operator = Operator(hosts, record)
        await operator.order("PUT", _DOCUMENT, _configuration(7))
        await asyncio.sleep(max(0.0, ended_at + _LOSS_AFTER_S - time.monotonic()))
        if with_trouble:
            record.write(f"platform: {lost.name} loses power and its disk")
            lost.kill()
            lost.lose_disk()
            # The platform writes the settings file at every start.
            lost.settings["seeds"] = [host.control for host in hosts]
            await asyncio.sleep(_DISK_BACK_AFTER_S)
            record.write(f"platform: {lost.name} starts at its address, disk empty")
            lost.start()
        await asyncio.sleep(_RECOVERY_S)
        sound = await _read_back(hosts, record, 7, _READ_BACK_S)
        record.write(f"operator: {sound} reads gave version 7")
        breaks = []
        if not sound:
            breaks.append(
                f"the configuration did not come in {_READ_BACK_S:g} s, "
                f"{_RECOVERY_S:g} s after all hosts were back"
            )
        try:
            await operator.order("PUT", _DOCUMENT, _configuration(9))
        except CannotRun as error:
            record.write(f"operator: a later change: {error}")
    return breaks


if __name__ == "__main__":
    run_case(_case, Path(sys.argv[1]))
