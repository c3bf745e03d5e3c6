"""A machine that gathers parts of queries for small hosts turns slow."""

import asyncio
import collections
import random
import signal
import time
from pathlib import Path

from standins import (
    BackendServer,
    Deployment,
    HostProcess,
    Record,
    Run,
    apply_document,
    configuration,
    exchange,
    request_id,
    run_case,
)
from standins.backends import Reply

_CORE_ZONES = ("kh-a", "kh-b", "kh-c", "kh-d")
_SMALL_ZONES = ("kh-d", "kh-d", "kh-d")
_SERVER_ZONES = ("kh-a", "kh-b", "kh-c")
_SHARDS = tuple(f"counter-{number}" for number in range(10))
_MAX_ATTEMPTS = 1
# The rule allows three requests.
_ALLOWED_REQUESTS = 3
# The machine runs for a fraction 1 / 5.5 of the time.
_SLOW_FOR_S = 5.5
_STOPPED_S = 0.09
_RUNNING_S = 0.02
_CALM_S = 3.0
_SLOW_MACHINES = 3
_CALLERS = 1
_PAUSE_RANGE_S = (0.2, 0.4)


def _deploy(folder: Path) -> Deployment:
    return Deployment(
        folder,
        _CORE_ZONES,
        _SMALL_ZONES,
        core_link_mbps=70.0,
        other_link_mbps=7.0,
    )


async def _work(run: Run) -> Reply:
    await asyncio.sleep(random.uniform(0.01, 0.02))
    return Reply()


async def _call(host: HostProcess, answers: collections.Counter[str]) -> None:
    """Send queries to one host, one after the other."""
    while True:
        headers = [
            ("Host", "query.example"),
            ("Attempt-Id", request_id()),
            ("Deadline-Milliseconds", "1500"),
        ]
        try:
            answer = await exchange(host.front, "GET", "/query/bands", headers)
            answers[str(answer.status)] += 1
        except OSError as error:
            answers[type(error).__name__] += 1
        await asyncio.sleep(random.uniform(*_PAUSE_RANGE_S))


async def _slow_down(host: HostProcess) -> None:
    until = time.time() + _SLOW_FOR_S
    while time.time() < until:
        host.send(signal.SIGSTOP)
        await asyncio.sleep(_STOPPED_S)
        host.send(signal.SIGCONT)
        await asyncio.sleep(_RUNNING_S)


def _count_exceeding(servers: list[BackendServer], record: Record) -> int:
    """Return how many requests ran on more servers of a shard than allowed."""
    ran_on: dict[tuple[str, str], set[str]] = {}
    for server in servers:
        for run in server.runs:
            key = (run.request_id, run.service)
            ran_on.setdefault(key, set()).add(run.server)
    exceeding = {k: v for k, v in ran_on.items() if len(v) > _MAX_ATTEMPTS}
    for (identifier, shard), ids in sorted(exceeding.items()):
        record.write(f"{identifier} run at {shard} by {', '.join(sorted(ids))}")
    return len({identifier for identifier, _ in exceeding})


async def _check(deployment: Deployment, record: Record, trouble: bool) -> bool:
    deployment.start_all()
    addresses = deployment.control_addresses
    servers = [
        BackendServer(shard, zone, deployment.server_ip, addresses, work=_work)
        for shard in _SHARDS
        for zone in _SERVER_ZONES
    ]
    for server in servers:
        await server.start()
    document = configuration(1, shards=_SHARDS, max_attempts=_MAX_ATTEMPTS)
    await apply_document(addresses, document)
    await deployment.wait_ready()
    await asyncio.sleep(_CALM_S)
    for server in servers:
        server.runs.clear()
    answers: collections.Counter[str] = collections.Counter()
    callers = [
        asyncio.create_task(_call(host, answers))
        for host in deployment.others
        for _ in range(_CALLERS)
    ]
    for host in deployment.core[:_SLOW_MACHINES]:
        await asyncio.sleep(_CALM_S)
        record.write(f"{host.name} is {'slow' if trouble else 'left alone'}")
        if trouble:
            await _slow_down(host)
        else:
            await asyncio.sleep(_SLOW_FOR_S)
    await asyncio.sleep(_CALM_S)
    for caller in callers:
        caller.cancel()
    requests = _count_exceeding(servers, record)
    record.write(f"answers by status: {dict(answers)}")
    record.write(
        f"{requests} requests ran on more than {_MAX_ATTEMPTS} server of a shard"
    )
    return requests > _ALLOWED_REQUESTS


if __name__ == "__main__":
    run_case(Path(__file__).parent, _deploy, _check)
