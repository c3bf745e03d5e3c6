"""One soak: start everything, make trouble, calm down, judge."""

import asyncio
import os
import random as random_module
import socket
import tempfile
from dataclasses import dataclass, field
from pathlib import Path

from kingcuplug_soak._consistency import Judge
from kingcuplug_soak._fake_servers import Backends
from kingcuplug_soak._fault_injection import Troubles
from kingcuplug_soak._hosts import Hosts
from kingcuplug_soak._traffic import TOP, Callers, Operator

__all__ = ["Outcome", "SoakSettings", "soak"]

_SHARD_SETS = [("s0", "s1", "s2"), ("s1", "s2", "s3"), ("s0", "s1", "s2", "s3")]
_SERVERS_EACH = 3
_FORM_S = 15.0
# After the last trouble, service must be back within the users' recovery bound.
_RECOVERY_S = 12.0
_PROBE_S = 2.0
_BASE_PORT = 21_000
_PORTS_EACH = 5
_PORT_SETS = 1_000
_PLACES_APART = 37


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
class Outcome:
    """What one soak found."""

    seed: int
    violations: list[str]
    asked: int
    served: int
    troubles: list[str] = field(default_factory=list)


async def soak(settings: SoakSettings) -> Outcome:
    """Run one soak and return what it found."""
    if settings.folder is not None:
        return await _soak(settings, settings.folder)
    with tempfile.TemporaryDirectory() as folder:
        return await _soak(settings, Path(folder))


async def _soak(settings: SoakSettings, folder: Path) -> Outcome:
    random = random_module.Random(settings.seed)
    base_port = _free_base(settings)
    hosts = Hosts(folder, settings.hosts, settings.disks, base_port)
    backends = Backends([host.control for host in hosts.all], random)
    judge = Judge(backends, _allowed(), TOP)
    operator = Operator(hosts.all, judge, random)
    troubles = Troubles(hosts, backends, operator, _SHARD_SETS, random)
    callers = Callers(hosts.all, judge, random)
    tasks: list[asyncio.Task[None]] = []
    try:
        await hosts.start()
        await _add_servers(backends)
        if not await operator.change(_SHARD_SETS[0], _FORM_S):
            judge.violations.append("the first configuration was never acknowledged")
        await asyncio.sleep(_PROBE_S)
        tasks.append(asyncio.ensure_future(callers.run()))
        await troubles.run(settings.duration_s)
        await _check_recovery(operator, judge)
    finally:
        for task in tasks:
            task.cancel()
        await hosts.stop()
        await backends.stop()
    violations = judge.finish()
    return Outcome(
        settings.seed, violations, judge.asked, judge.served, troubles.record
    )


def _free_base(settings: SoakSettings) -> int:
    """Return the first of ports that are free at all hosts' addresses.

    Begins at a place of the process's own: two soaks that start at the same moment
    would else find the same ports free.
    """
    for attempt in range(_PORT_SETS):
        place = (os.getpid() * _PLACES_APART + settings.seed + attempt) % _PORT_SETS
        base = _BASE_PORT + place * _PORTS_EACH
        if all(
            _is_free(f"127.0.0.{number + 1}", base + port)
            for number in range(settings.hosts)
            for port in range(_PORTS_EACH)
        ):
            return base
    raise OSError(f"no {_PORTS_EACH} free ports from {_BASE_PORT} on")


def _is_free(address: str, port: int) -> bool:
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((address, port))
        except OSError:
            return False
    return True


def _allowed() -> dict[str, set[str]]:
    shards = {shard for shards in _SHARD_SETS for shard in shards}
    return {"query": shards, "read": {"reads"}, "order": {"orders"}}


async def _add_servers(backends: Backends) -> None:
    for service in sorted(set().union(*_allowed().values())):
        for number in range(_SERVERS_EACH):
            await backends.add(service, f"zone-{number}")


async def _check_recovery(operator: Operator, judge: Judge) -> None:
    """Check that nothing acknowledged is lost and that callers are served again."""
    loop = asyncio.get_running_loop()
    deadline_at = loop.time() + _RECOVERY_S
    while not await operator.read():
        if loop.time() > deadline_at:
            judge.violations.append("the configuration was not read back in time")
            return
        await asyncio.sleep(0.2)
    await asyncio.sleep(max(0.0, deadline_at - loop.time()))
    asked, served = judge.asked, judge.served
    await asyncio.sleep(_PROBE_S)
    if judge.served - served < (judge.asked - asked) / 4:
        judge.violations.append("callers were not served again in time")
