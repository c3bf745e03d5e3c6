"""One soak: start hosts and backend servers, inject faults, check results."""

import asyncio
import contextlib
import os
import random as random_module
import tempfile
from collections.abc import AsyncIterator
from dataclasses import dataclass, field
from pathlib import Path

from kingcuplug_soak._consistency import ConsistencyChecker
from kingcuplug_soak._evacuation_check import EvacuationCheck
from kingcuplug_soak._fake_servers import FakeServerPool
from kingcuplug_soak._fault_injection import FaultInjector
from kingcuplug_soak._hosts import HostCluster, reserved_network
from kingcuplug_soak._service_check import find_unserving_hosts
from kingcuplug_soak._start_faults import inject_start_faults
from kingcuplug_soak._traffic import TOP_RECORDS, CallerTraffic, Operator

__all__ = [
    "SoakEnvironment",
    "SoakResult",
    "SoakSettings",
    "caller_traffic",
    "soak",
    "soak_environment",
]

_SHARD_SETS = [("s0", "s1", "s2"), ("s1", "s2", "s3"), ("s0", "s1", "s2", "s3")]
_SERVERS_PER_SERVICE = 3
_MAX_ATTEMPTS = 3
_FORMATION_TIMEOUT_S = 15.0
# The users' recovery bound: callers must be served again so long after the last fault.
_RECOVERY_TIMEOUT_S = 12.0
_PROBE_DURATION_S = 2.0
# Time after which a new host counts as one that bears losses.
_CATCH_UP_S = 6.0
_FORMING_S = 0.3  # The group grows for about so long after it has accepted a change.
_NETWORK_STRIDE = 37
_SERVERS_NUMBER = 100


@dataclass(frozen=True)
class SoakSettings:
    """Settings of one soak.

    Attributes
    ----------
    disks : int
        Number of hosts with a disk, which are the control hosts.
    tolerated_losses : int
        Number of disks that may be lost at once. With more than one, some soaks lose
        them right after the first configuration was acknowledged.
    tolerated_zones : int
        Number of zones whose disks may all be lost at once.
    diskless_seeds : bool
        Whether the seeds are hosts without a disk.
    has_removal : bool
        Whether a control host is removed without SIGTERM after its successor has
        joined, beside lost disks.
    max_attempts : dict or None
        ``max_attempts`` of the routes, by the kind of request; drawn from the seed if
        not given.
    folder : Path or None
        Folder of logs and disks; a temporary folder if not given.
    """

    seed: int
    duration_s: float = 12.0
    hosts: int = 5
    disks: int = 3
    folder: Path | None = None
    tolerated_losses: int = 1
    max_attempts: dict[str, int] | None = None
    tolerated_zones: int = 0
    diskless_seeds: bool = False
    has_removal: bool = False


@dataclass
class SoakResult:
    """Result of one soak.

    Attributes
    ----------
    asked, served : int
        Number of requests that callers sent, and of those with status 200.
    troubles : list of str
        Time and description of each injected fault.
    early_ends : int
        Processes that a signal ended before the program's first line.
    resident_mib : float
        Resident memory of the largest host process at the end.
    longest_busy_s : float
        Longest time in which a host process used nearly a whole core.
    """

    seed: int
    violations: list[str]
    asked: int
    served: int
    troubles: list[str] = field(default_factory=list)
    early_ends: int = 0
    resident_mib: float = 0.0
    longest_busy_s: float = 0.0


async def soak(settings: SoakSettings) -> SoakResult:
    """Run one soak and return its result."""
    if settings.folder is not None:
        return await _run_in_folder(settings, settings.folder)
    with tempfile.TemporaryDirectory() as folder:
        return await _run_in_folder(settings, Path(folder))


@dataclass(frozen=True)
class SoakEnvironment:
    """Running hosts with their backend servers, operator and checker."""

    cluster: HostCluster
    backends: FakeServerPool
    checker: ConsistencyChecker
    operator: Operator
    random: random_module.Random


@contextlib.asynccontextmanager
async def soak_environment(
    settings: SoakSettings, folder: Path
) -> AsyncIterator[SoakEnvironment]:
    """Start hosts and backend servers with a first configuration; stop them later."""
    random = random_module.Random(settings.seed)
    with reserved_network(os.getpid() * _NETWORK_STRIDE + settings.seed) as network:
        env = _make_environment(settings, folder, network, random)
        cluster = env.cluster
        try:
            async with cluster.watched():
                await _form_group(env, settings.tolerated_losses)
                if cluster.successor is not None:
                    await cluster.start_successor()
                    await asyncio.sleep(_CATCH_UP_S)
                yield env
        finally:
            await cluster.stop()
            await env.backends.stop()


async def _form_group(env: SoakEnvironment, tolerated_losses: int) -> None:
    """Start all and send a first configuration; sometimes lose disks after it."""
    random = env.random
    await env.cluster.start()
    await _start_servers(env.backends)
    if not await env.operator.change_shards(_SHARD_SETS[0], _FORMATION_TIMEOUT_S):
        env.checker.violations.append(
            "the first configuration was not acknowledged in time"
        )
    loses_disks = tolerated_losses > 1 or env.cluster.tolerated_zones > 0
    has_removal = env.cluster.successor is not None
    if loses_disks and not has_removal and random.random() < 0.5:
        await asyncio.sleep(random.uniform(0.0, _FORMING_S))
        await env.cluster.lose_disks(tolerated_losses, random)
    await asyncio.sleep(_PROBE_DURATION_S)


def _make_environment(
    settings: SoakSettings, folder: Path, network: str, random: random_module.Random
) -> SoakEnvironment:
    violations: list[str] = []
    cluster = HostCluster(
        folder,
        settings.hosts,
        settings.disks,
        network,
        violations,
        settings.tolerated_losses,
        settings.tolerated_zones,
        settings.diskless_seeds,
        settings.has_removal,
    )
    backends = FakeServerPool(
        [host.control_address for host in cluster.hosts],
        random,
        f"{network}{_SERVERS_NUMBER}",
    )
    checker = ConsistencyChecker(
        backends,
        _allowed_services(),
        TOP_RECORDS,
        settings.max_attempts or _draw_attempts(settings.seed),
        violations=violations,
    )
    operator = Operator(cluster.hosts, checker, random)
    return SoakEnvironment(cluster, backends, checker, operator, random)


@contextlib.asynccontextmanager
async def caller_traffic(env: SoakEnvironment) -> AsyncIterator[None]:
    """Send callers' requests until the block ends."""
    traffic = asyncio.ensure_future(
        CallerTraffic(env.cluster.hosts, env.checker, env.random).run()
    )
    try:
        yield
    finally:
        traffic.cancel()


async def _run_in_folder(settings: SoakSettings, folder: Path) -> SoakResult:
    async with soak_environment(settings, folder) as env:
        checker, cluster = env.checker, env.cluster
        injector = FaultInjector(
            cluster,
            env.backends,
            env.operator,
            _SHARD_SETS,
            env.random,
            settings.tolerated_losses,
        )
        evacuation = EvacuationCheck(settings.seed, env.operator, cluster.hosts)
        async with caller_traffic(env):
            # A fault at a start could start the host that was removed.
            start_faults_s = 0.0 if settings.has_removal else settings.duration_s
            _, start_faults, orders = await asyncio.gather(
                injector.run(settings.duration_s),
                inject_start_faults(cluster, settings.seed, start_faults_s),
                evacuation.run(settings.duration_s),
            )
            recovered_at_s = await _check_recovery(env.operator, checker, cluster)
        checker.violations += evacuation.find_arrivals(
            env.backends.servers, recovered_at_s, asyncio.get_running_loop().time()
        )
        resident_mib = max(host.resident_mib() for host in cluster.hosts)
    violations = checker.check_executions()
    return SoakResult(
        settings.seed,
        violations,
        checker.attempt_count,
        checker.served_count,
        injector.fault_log + start_faults + orders,
        sum(host.early_end_count for host in cluster.hosts),
        round(resident_mib, 1),
        max(round(host.longest_busy_s, 1) for host in cluster.hosts),
    )


def _allowed_services() -> dict[str, set[str]]:
    shards = {shard for shards in _SHARD_SETS for shard in shards}
    return {"query": shards, "read": {"reads"}, "order": {"orders"}}


def _draw_attempts(seed: int) -> dict[str, int]:
    """Draw from a generator of its own, so that the faults of a seed stay the same."""
    random = random_module.Random(f"attempts {seed}")
    kinds = sorted(_allowed_services())
    return {kind: random.randint(1, _MAX_ATTEMPTS) for kind in kinds}


async def _start_servers(backends: FakeServerPool) -> None:
    for service in sorted(set().union(*_allowed_services().values())):
        for number in range(_SERVERS_PER_SERVICE):
            await backends.add(service, f"zone-{number}")


async def _check_recovery(
    operator: Operator, checker: ConsistencyChecker, cluster: HostCluster
) -> float:
    """Check that nothing acknowledged is lost and that all hosts are in service.

    Returns
    -------
    float
        Event loop time at which the recovery was over.
    """
    loop = asyncio.get_running_loop()
    deadline_at = loop.time() + _RECOVERY_TIMEOUT_S
    while not await operator.read_configuration():
        if loop.time() > deadline_at:
            checker.violations.append("the configuration could not be read in time")
            break
        await asyncio.sleep(0.2)
    await asyncio.sleep(max(0.0, deadline_at - loop.time()))
    recovered_at_s = loop.time()
    attempts_before, served_before = checker.attempt_count, checker.served_count
    unserving, _ = await asyncio.gather(
        find_unserving_hosts(cluster.hosts, _PROBE_DURATION_S),
        asyncio.sleep(_PROBE_DURATION_S),
    )
    checker.violations += unserving
    attempts = checker.attempt_count - attempts_before
    served = checker.served_count - served_before
    if served < attempts / 4:
        checker.violations.append(
            f"callers were not served again in time: {served} of {attempts}"
        )
    return recovered_at_s
