"""A frozen host executes an order to end an evacuation after a newer order."""

import asyncio
import itertools
import signal
import sys
import time
from pathlib import Path

from calls import CallFailed, Connection, call
from casework import Operator, Record, run_case, stop_tasks
from hosts import CannotRun, Deployment, Host, running
from servers import Run, Server

_ZONES = ["vz-a", "vz-b", "ck-c"]
_EVACUATED_ZONE = "ck-c"
_ORDER = f"/v1/evacuation/{_EVACUATED_ZONE}"
_DOCUMENT = "/v1/configuration"
_READS = 8
_SERVICE = "salter"
_HOST_NAME = "hefo12.example"
_STABILITY_S = 5.0
_EVACUATION_S = 5.0
_FREEZE_S = 4.0
_WATCHED_S = 12.0
_REQUEST_INTERVAL_S = 0.05
_BOUNDS = {
    "seed_lag_s": 3,
    "address_reuse_s": 2,
    "stability_window_ms": 5000,
    "ack_timeout_ms": 6000,
    "catch_up_s": 6,
    "drain_ms": 4000,
    "grace_s": 6,
    "loss_slack_ms": 200,
    "config_apply_ms": 4000,
    "rollback_slack_ms": 250,
    "max_stretch_ms": 15000,
    "retry_budget_ratio": 0.2,
    "retry_window_s": 10,
    "retry_budget_slack": 208,
    "evacuation_ms": 5000,
    "recovery_s": 15,
}
_CONFIGURATION = {
    "version": 3,
    "routes": [
        {
            "name": "r-1",
            "host": _HOST_NAME,
            "path_prefix": "/nono601/",
            "kind": "safe",
            "timeout_ms": 2500,
            "target_latency_ms": 500,
            "priority": 1,
            "service": _SERVICE,
            "max_attempts": 2,
        }
    ],
    "services": [
        {
            "name": _SERVICE,
            "health_check_path": "/health",
            "connection_limit": 74,
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


class _Callers:
    """Callers of one host, who send a request every 50 ms on a kept connection."""

    def __init__(self, hosts: list[Host]) -> None:
        self._numbers = itertools.count(1)
        self.host_of: dict[str, Host] = {}
        self.answered = 0
        self.tasks = [asyncio.create_task(self._send(host)) for host in hosts]

    async def _send(self, host: Host) -> None:
        connection = Connection()
        is_open = False
        while True:
            attempt_id = f"{next(self._numbers):016x}"
            self.host_of[attempt_id] = host
            headers = {
                "Host": _HOST_NAME,
                "Attempt-Id": attempt_id,
                "Deadline-Milliseconds": "2500",
            }
            try:
                if not is_open:
                    await connection.open(host.front)
                    is_open = True
                answer = await connection.ask(
                    "GET", "/nono601/2f", headers, timeout_s=2.5
                )
                self.answered += answer.status == 200
            except CallFailed:
                connection.close()
                is_open = False
            await asyncio.sleep(_REQUEST_INTERVAL_S)


async def _case(record: Record, with_trouble: bool) -> list[str]:
    runs: list[Run] = []
    with running(Deployment(_ZONES, 3, 0, _BOUNDS)) as deployment:
        await deployment.start()
        controls = [host.control for host in deployment.hosts]
        servers = [
            Server(f"i-{n}", _SERVICE, zone, "127.0.0.1", controls, runs.append)
            for n, zone in enumerate([*_ZONES, *_ZONES])
        ]
        for server in servers:
            await server.start()
        operator = Operator(deployment.hosts, record)
        await operator.order("PUT", _DOCUMENT, _CONFIGURATION)
        await deployment.wait_ready()
        await asyncio.sleep(_STABILITY_S)
        leader = await deployment.leader()
        followers = [host for host in deployment.hosts if host is not leader]
        frozen = next((h for h in followers if h.zone != _EVACUATED_ZONE), None)
        if leader is None or frozen is None:
            raise CannotRun("the control group has no leader")
        others = [host for host in deployment.hosts if host is not frozen]
        callers = _Callers(others)
        await operator.order("POST", _ORDER, first=frozen)
        await asyncio.sleep(_EVACUATION_S + 1.0)
        reads = [call(frozen.control, "GET", _DOCUMENT) for _ in range(_READS)]
        for answer in await asyncio.gather(*reads):
            record.write(f"operator: read at {frozen.name}, answered {answer.status}")
        thaw_at = time.monotonic() + _FREEZE_S
        if with_trouble:
            record.write(f"platform: {frozen.name} freezes")
            frozen.send_signal(signal.SIGSTOP)
        try:
            await operator.order("DELETE", _ORDER, first=frozen)
            await asyncio.sleep(0.5)
            evacuated_at = await operator.order("POST", _ORDER, excluded=frozen)
            await asyncio.sleep(thaw_at - time.monotonic())
        finally:
            if with_trouble:
                record.write(f"platform: {frozen.name} wakes")
                frozen.send_signal(signal.SIGCONT)
        judged_from = max(evacuated_at + _EVACUATION_S, thaw_at + _STABILITY_S)
        await asyncio.sleep(judged_from - time.monotonic() + _WATCHED_S)
        await stop_tasks(callers.tasks)
        for server in servers:
            server.stop()
        await asyncio.sleep(0.1)
    late = [r for r in runs if r.at > judged_from and r.zone == _EVACUATED_ZONE]
    judged = sum(run.at > judged_from for run in runs)
    record.write(
        f"callers: {callers.answered} requests answered with 200; {judged} runs in the "
        f"judged {_WATCHED_S:g} s, {len(late)} of them in zone {_EVACUATED_ZONE}"
    )
    if not judged:
        raise CannotRun("no request was run in the judged time")
    return [
        f"{run.server} in {run.zone} ran {run.attempt_id}, passed on by "
        f"{callers.host_of[run.attempt_id].name}, "
        f"{run.at - evacuated_at:.2f} s after the acknowledgement"
        for run in late
    ]


if __name__ == "__main__":
    run_case(_case, Path(sys.argv[1]))
