"""One soak: start everything, make trouble, calm down, judge."""

import asyncio
import os
import random as random_module
import socket
import tempfile
from dataclasses import dataclass, field
from pathlib import Path

from kingcuplug_soak._consistency import ConsistencyChecker
from kingcuplug_soak._fake_servers import FakeServerPool
from kingcuplug_soak._fault_injection import FaultInjector
from kingcuplug_soak._hosts import HostCluster
from kingcuplug_soak._traffic import TOP_RECORDS, CallerTraffic, Operator

__all__ = ["SoakResult", "SoakSettings", "soak"]

_SHARD_SETS = [("s0", "s1", "s2"), ("s1", "s2", "s3"), ("s0", "s1", "s2", "s3")]
_SERVERS_PER_SERVICE = 3
_FORMATION_TIMEOUT_S = 15.0
# After the last trouble, service must be back within the users' recovery bound.
_RECOVERY_TIMEOUT_S = 12.0
_PROBE_DURATION_S = 2.0
_BASE_PORT = 21_000
_PORTS_PER_HOST = 5
_PORT_RANGES = 1_000
_PORT_RANGE_STRIDE = 37


@dataclass(frozen=True)
class SoakSettings:
    """What one soak runs.

    Attributes
    ----------
    disks : int
        Hosts that take part in control.
    folder : Path or None
        Where logs and disks are kept; a temporary folder if not given.
    """

    seed: int
    duration_s: float = 12.0
    hosts: int = 5
    disks: int = 3
    folder: Path | None = None


@dataclass
class SoakResult:
    """What one soak found."""

    seed: int
    violations: list[str]
    asked: int
    served: int
    troubles: list[str] = field(default_factory=list)


async def soak(settings: SoakSettings) -> SoakResult:
    """Run one soak and return what it found."""
    if settings.folder is not None:
        return await _run_in_folder(settings, settings.folder)
    with tempfile.TemporaryDirectory() as folder:
        return await _run_in_folder(settings, Path(folder))


async def _run_in_folder(settings: SoakSettings, folder: Path) -> SoakResult:
    random = random_module.Random(settings.seed)
    base_port = _find_base_port(settings)
    hosts = HostCluster(folder, settings.hosts, settings.disks, base_port)
    backends = FakeServerPool([host.control_address for host in hosts.hosts], random)
    judge = ConsistencyChecker(backends, _allowed_services(), TOP_RECORDS)
    operator = Operator(hosts.hosts, judge, random)
    troubles = FaultInjector(hosts, backends, operator, _SHARD_SETS, random)
    callers = CallerTraffic(hosts.hosts, judge, random)
    tasks: list[asyncio.Task[None]] = []
    try:
        await hosts.start()
        await _start_servers(backends)
        if not await operator.change_shards(_SHARD_SETS[0], _FORMATION_TIMEOUT_S):
            judge.violations.append("the first configuration was never acknowledged")
        await asyncio.sleep(_PROBE_DURATION_S)
        tasks.append(asyncio.ensure_future(callers.run()))
        await troubles.run(settings.duration_s)
        await _check_recovery(operator, judge)
    finally:
        for task in tasks:
            task.cancel()
        await hosts.stop()
        await backends.stop()
    violations = judge.check_executions()
    return SoakResult(
        settings.seed,
        violations,
        judge.attempt_count,
        judge.served_count,
        troubles.fault_log,
    )


def _find_base_port(settings: SoakSettings) -> int:
    """Return the first of ports that are free at all hosts' addresses.

    Begins at a place of the process's own: two soaks that start at the same moment
    would else find the same ports free.
    """
    for attempt in range(_PORT_RANGES):
        place = (
            os.getpid() * _PORT_RANGE_STRIDE + settings.seed + attempt
        ) % _PORT_RANGES
        base = _BASE_PORT + place * _PORTS_PER_HOST
        if all(
            _is_port_free(f"127.0.0.{number + 1}", base + port)
            for number in range(settings.hosts)
            for port in range(_PORTS_PER_HOST)
        ):
            return base
    raise OSError(f"no {_PORTS_PER_HOST} free ports from {_BASE_PORT} on")


def _is_port_free(address: str, port: int) -> bool:
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((address, port))
        except OSError:
            return False
    return True


def _allowed_services() -> dict[str, set[str]]:
    shards = {shard for shards in _SHARD_SETS for shard in shards}
    return {"query": shards, "read": {"reads"}, "order": {"orders"}}


async def _start_servers(servers: FakeServerPool) -> None:
    for service in sorted(set().union(*_allowed_services().values())):
        for number in range(_SERVERS_PER_SERVICE):
            await servers.add(service, f"zone-{number}")


async def _check_recovery(operator: Operator, checker: ConsistencyChecker) -> None:
    """Check that nothing acknowledged is lost and that callers are served again."""
    loop = asyncio.get_running_loop()
    deadline_at = loop.time() + _RECOVERY_TIMEOUT_S
    while not await operator.read_configuration():
        if loop.time() > deadline_at:
            checker.violations.append("the configuration was not read back in time")
            return
        await asyncio.sleep(0.2)
    await asyncio.sleep(max(0.0, deadline_at - loop.time()))
    asked, served = checker.attempt_count, checker.served_count
    await asyncio.sleep(_PROBE_DURATION_S)
    if checker.served_count - served < (checker.attempt_count - asked) / 4:
        checker.violations.append("callers were not served again in time")
