"""Factory of server records, a fake client for calls, and groups of control hosts."""

import asyncio
import contextlib
import os
from collections.abc import Awaitable, Callable, Iterable, Iterator, Sequence
from functools import partial
from pathlib import Path
from random import Random
from typing import Any

import pytest
from kingcuplug_common import EventLog, Metrics
from kingcuplug_fleet import (
    FOUND_PATH,
    WITHOUT_DISK_REPLY,
    ControlReplica,
    ControlReplicaSettings,
    CoreUnavailable,
    DisklessSeed,
    DiskTolerance,
    PeerFailed,
    RouteRegister,
    ServerRecord,
    ServerState,
)
from kingcuplug_log import LogStatus, Member, MemberRole, PeerStatus, ReplicaRole
from kingcuplug_testkit import FakeDisk

Handler = Callable[[str, Any], Awaitable[Any]]


def make_record(**fields: Any) -> ServerRecord:
    """Return the record of a ready server, with the given fields replaced."""
    defaults: dict[str, Any] = {
        "id": "i-1",
        "start_ms": 1_000,
        "sequence": 1,
        "service": "stock",
        "address": "10.0.0.1:80",
        "availability_zone": "z",
        "slots": 3,
        "state": ServerState.READY,
    }
    return ServerRecord(**(defaults | fields))


def make_leader_status(
    members: Sequence[Member], peers: Iterable[PeerStatus], intended_size: int
) -> LogStatus:
    """Return the status of a leader's replica; the first member is the leader."""
    indexes: dict[str, Any] = dict.fromkeys(
        ("term", "commit_index", "applied_index", "last_index", "snapshot_index"), 5
    )
    return LogStatus(
        member=members[0],
        role=ReplicaRole.LEADER,
        leader=members[0],
        members=tuple(members),
        intended_size=intended_size,
        peers=tuple(peers),
        lease_valid=True,
        storage_failed=False,
        safe_to_lose_one=True,
        **indexes,
    )


@pytest.fixture
def record() -> Callable[..., ServerRecord]:
    return make_record


class FakePeerClient:
    """Client that dispatches calls to a handler function per address."""

    def __init__(self) -> None:
        self.handlers: dict[str, Handler] = {}
        self.frozen: set[str] = set()

    async def call(self, address: str, path: str, value: Any, timeout_s: float) -> Any:
        """Call the handler of an address; calls to a frozen address time out."""
        try:
            async with asyncio.timeout(timeout_s):
                reply = await self.handlers[address](path, value)
                if address in self.frozen:
                    await asyncio.sleep(timeout_s)
                return reply
        except TimeoutError as error:
            raise PeerFailed("no response", "try another host") from error

    def restricted_to_partition(
        self, caller: str, sides: dict[str, str]
    ) -> "FakePeerClient":
        """Return a client for one host that reaches only its side of a partition."""
        restricted = FakePeerClient()
        restricted.handlers = self.handlers

        async def call(address: str, path: str, value: Any, timeout_s: float) -> Any:
            if address not in sides[caller]:
                await asyncio.sleep(timeout_s)
                raise PeerFailed("no response", "try another host")
            return await self.call(address, path, value, timeout_s)

        restricted.call = call
        return restricted


class ControlHost:
    """One control host on a fake disk.

    Attributes
    ----------
    replica : ControlReplica or None
        ``None`` while the host has no power.
    clock_ahead_s : float
        By how much the host's clock is ahead, as after a suspension of its machine.
    """

    def __init__(self, name: str) -> None:
        self.name = name
        self.address = f"{name}:1"
        self.disk = FakeDisk(Random(name))
        self.replica: ControlReplica | None = None
        self.register = RouteRegister(lambda: None)
        self.task: asyncio.Task[None] | None = None
        self.clock_ahead_s = 0.0
        self.starts = 0

    def clock(self) -> float:
        """Return monotonic seconds."""
        return asyncio.get_running_loop().time() + self.clock_ahead_s


class ControlGroup:
    """Control hosts that form their group by themselves, in virtual time."""

    def __init__(
        self,
        log: EventLog,
        tolerated_losses: int,
        tolerated_zones: int = 0,
        zones: dict[str, str] | None = None,
    ) -> None:
        self._log = log
        self._tolerated_zones = tolerated_zones
        self._zones = zones or {}
        self._tolerated_losses = tolerated_losses
        self._client = FakePeerClient()
        self._seeds: tuple[str, ...] = ()
        self.hosts: dict[str, ControlHost] = {}
        self._diskless_seeds: dict[str, asyncio.Task[None]] = {}

    async def form(self, *names: str) -> None:
        """Start hosts for the first time, and wait until all of them are voters."""
        self.begin(*names)
        await self.wait_until(lambda: self.voter_count() == len(names))

    def begin(self, *names: str) -> None:
        """Start hosts for the first time; the first one founds the group."""
        self._seeds = tuple(f"{name}:1" for name in names[:3])
        for name in names:
            self.start(name, first_start=True)

    def begin_without_seed_disks(self, seeds: str, names: str) -> None:
        """Start hosts for the first time, of which those with a disk are no seeds."""
        self._seeds = tuple(f"{seed}:1" for seed in seeds)
        for seed in seeds:
            self.start_diskless_seed(seed)
        for name in names:
            self.start(name, first_start=True)

    def start_diskless_seed(self, name: str, first_start: bool = True) -> None:
        """Start a seed without a disk, in place of its earlier process."""
        self.end_diskless_seed(name)
        seed = DisklessSeed(
            f"{name}:1",
            self._seeds,
            first_start,
            DiskTolerance(self._tolerated_losses, self._tolerated_zones),
            self._client,  # type: ignore[arg-type]
            lambda: self.leader() is not None,
            self._log,
            lambda: asyncio.get_running_loop().time(),
        )
        seed._random = Random(name)
        self._client.handlers[f"{name}:1"] = partial(_answer, seed)
        self._diskless_seeds[name] = asyncio.ensure_future(seed.run())

    def end_diskless_seed(self, name: str) -> None:
        """End the process of a seed without a disk; it does not answer."""
        self._client.handlers[f"{name}:1"] = _never_answer
        if name in self._diskless_seeds:
            self._diskless_seeds[name].cancel()

    def _known_addresses(self) -> set[str]:
        """Return the control hosts that a host has discovered."""
        if self._diskless_seeds and self.leader() is None:
            return set()
        return {host.address for host in self.hosts.values()}

    def start(self, name: str, first_start: bool = False) -> None:
        """Start a host, a new one with an empty disk."""
        host = self.hosts.setdefault(name, ControlHost(name))
        host.register = RouteRegister(lambda: None)
        host.replica = ControlReplica(
            ControlReplicaSettings(
                name,
                host.address,
                Path(name),
                self._seeds,
                first_start,
                self._tolerated_losses,
                self._tolerated_zones,
                self._zones.get(name, ""),
            ),
            self._client,  # type: ignore[arg-type]
            host.register,
            self._known_addresses,
            self._log,
            Metrics(),
            host.clock,
            lambda folder: host.disk.mount(),
        )
        # A test that fails must fail again with its seed.
        host.replica._random = Random(f"{name} {host.starts}")
        host.starts += 1
        self._client.handlers[host.address] = partial(_answer, host.replica)
        host.task = asyncio.ensure_future(host.replica.run())

    async def terminate(self, name: str) -> None:
        """Stop a host as planned."""
        replica = self.hosts[name].replica
        assert replica is not None
        await replica.leave()
        self.power_off(name)

    def power_off(self, name: str) -> None:
        """End a host; it does not answer until it is started again."""
        host = self.hosts[name]
        self._client.handlers[host.address] = _never_answer
        host.disk.crash()
        host.replica = None
        if host.task is not None:
            host.task.cancel()

    def answer_without_disk(self, name: str) -> None:
        """Answer the calls to a host as one that keeps no state."""
        host = self.hosts[name]
        self._client.handlers[host.address] = _answer_without_disk

    def running(self) -> list[ControlHost]:
        """Return the hosts that have power."""
        return [host for host in self.hosts.values() if host.replica is not None]

    def leader(self) -> str | None:
        """Return the name of the host that leads with a valid lease."""
        for host in self.running():
            if host.replica and host.replica.is_leader() and host.replica.connected():
                return host.name
        return None

    def members(self) -> set[str]:
        """Return the names of the voters and learners as the leader lists them."""
        replica = self._leading_replica()
        if replica is None:
            return set()
        return {address.partition(":")[0] for address in replica.members()}

    def voters(self) -> set[str]:
        """Return the names of the voters, empty without a leader."""
        replica = self._leading_replica()
        if replica is None or replica._replica is None:
            return set()
        members = replica._replica.status().members
        return {m.name for m in members if m.role is MemberRole.VOTER}

    def voter_count(self) -> int:
        """Return the number of voters, 0 without a leader."""
        replica = self._leading_replica()
        health = replica.health() if replica is not None else None
        return health.voters if health is not None else 0

    def losses_borne(self) -> int | None:
        """Return how many further voters may be lost, ``None`` without a leader."""
        replica = self._leading_replica()
        health = replica.health() if replica is not None else None
        return health.losses_borne if health is not None else None

    def _leading_replica(self) -> ControlReplica | None:
        leader = self.leader()
        return self.hosts[leader].replica if leader is not None else None

    async def submit(self, version: int, timeout_s: float = 5.0) -> None:
        """Have a document acknowledged, as an operator that tries one after another."""
        async with asyncio.timeout(timeout_s):
            while True:
                for host in self.running():
                    with contextlib.suppress(CoreUnavailable):
                        assert host.replica is not None
                        await host.replica.submit(version, f"document {version}")
                        return
                await asyncio.sleep(0.1)

    async def read_version(self, timeout_s: float = 5.0) -> int:
        """Return the newest acknowledged version as any host reads it."""
        async with asyncio.timeout(timeout_s):
            while True:
                for host in self.running():
                    with contextlib.suppress(CoreUnavailable):
                        assert host.replica is not None
                        return (await host.replica.read()).version
                await asyncio.sleep(0.1)

    async def wait_until(
        self, condition: Callable[[], bool], timeout_s: float = 10.0
    ) -> None:
        """Wait for a condition; raises `TimeoutError`."""
        async with asyncio.timeout(timeout_s):
            while True:
                if condition():
                    return
                await asyncio.sleep(0.02)

    async def stop(self) -> None:
        """End all hosts."""
        tasks = [host.task for host in self.hosts.values() if host.task is not None]
        tasks += self._diskless_seeds.values()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


async def _answer(replica: ControlReplica | DisklessSeed, path: str, value: Any) -> Any:
    try:
        return await replica.handle_call(path, value)
    except CoreUnavailable as error:
        raise PeerFailed(str(error), "try another host") from error


async def _answer_without_disk(path: str, value: Any) -> Any:
    if path == FOUND_PATH:
        return WITHOUT_DISK_REPLY
    raise PeerFailed("this host keeps no state", "try another host")


async def _never_answer(path: str, value: Any) -> Any:
    await asyncio.sleep(3_600)


@pytest.fixture
def log() -> Iterator[EventLog]:
    descriptor = os.open(os.devnull, os.O_WRONLY)
    yield EventLog(descriptor, "host")
    os.close(descriptor)


@pytest.fixture
def make_control_group(log) -> Callable[..., ControlGroup]:
    return lambda tolerated_losses=1, tolerated_zones=0, zones=None: ControlGroup(
        log, tolerated_losses, tolerated_zones, zones
    )
