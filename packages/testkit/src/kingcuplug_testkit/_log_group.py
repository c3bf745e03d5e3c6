"""A group of log replicas on fake hosts, in virtual time."""

import asyncio
import contextlib
import hashlib
from collections.abc import Callable
from random import Random
from typing import Any

from kingcuplug_log import (
    LogSettings,
    LostLeadership,
    Member,
    MemberRole,
    NotLeader,
    Replica,
    Storage,
    StorageFailed,
    member_id,
)

from kingcuplug_testkit._disk import FakeDisk
from kingcuplug_testkit._invariants import InvariantChecker
from kingcuplug_testkit._network import FakeNetwork

__all__ = ["Host", "LogGroup", "RecordingStateMachine"]

_CLUSTER_NAME = "test"
_POLL_INTERVAL_S = 0.02


class RecordingStateMachine:
    """State machine that records the whole sequence of commands.

    Attributes
    ----------
    index : int
        Index of the last command applied.
    chain : str
        Hash chain over the whole sequence of commands.
    values : list of JSON values
        All commands in order.
    """

    def __init__(self, host: str, invariants: InvariantChecker) -> None:
        self.index = 0
        self.chain = ""
        self.values: list[Any] = []
        self._host = host
        self._invariants = invariants

    def apply(self, index: int, command: Any) -> Any:
        """Apply a command and return its index."""
        self._invariants.check_applied(self._host, index, self.index, command)
        self.index = index
        self.chain = hashlib.sha256(
            f"{self.chain}{index}{command}".encode()
        ).hexdigest()
        self.values.append(command)
        return {"index": index}

    def dump(self) -> dict[str, Any]:
        """Return the whole state."""
        return {"index": self.index, "chain": self.chain, "values": list(self.values)}

    def load(self, state: dict[str, Any]) -> None:
        """Replace the whole state."""
        self.index, self.chain = state["index"], state["chain"]
        self.values = list(state["values"])


class DriftingClock:
    """Monotonic clock of a host whose rate can be changed."""

    def __init__(self, start: float) -> None:
        self._loop = asyncio.get_running_loop()
        self._base_time = start
        self._base_loop_time = self._loop.time()
        self._rate = 1.0

    def __call__(self) -> float:
        """Return the host's time in seconds."""
        return self._base_time + (self._loop.time() - self._base_loop_time) * self._rate

    def set_rate(self, rate: float) -> None:
        """Run at `rate` times the loop's clock from now on."""
        self._base_time, self._base_loop_time = self(), self._loop.time()
        self._rate = rate


class Host:
    """One host: its disk and its running process, if any.

    Attributes
    ----------
    decommissioned : bool
        The host is lost or removed and is never started again.
    member : Member
        Identity of the last process; a lost disk changes it.
    """

    def __init__(self, name: str, group: "LogGroup") -> None:
        self.name = name
        self.clock = DriftingClock(group.random.uniform(0, 1_000))
        self.decommissioned = False
        self._start_lock = asyncio.Lock()
        self.disk = FakeDisk(Random(f"{group.seed}/{name}"))
        self.disk.on_crash = self._on_process_end
        self.replica: Replica | None = None
        self.member = Member("", name, name)
        self.state_machine = RecordingStateMachine(name, group.invariants)
        self._group = group
        self._stop_tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Start the process unless it runs; a storage failure leaves it stopped."""
        async with self._start_lock:
            if self.replica is None and not self.decommissioned:
                with contextlib.suppress(StorageFailed):
                    await self._start_replica()

    async def _start_replica(self) -> None:
        group = self._group
        storage = Storage(self.disk.mount())
        await storage.open()
        identity = member_id(self.name, storage.disk_id)
        self.member = Member(identity, self.name, self.name, MemberRole.VOTER)
        self.state_machine = RecordingStateMachine(self.name, group.invariants)
        self.replica = Replica(
            self.member,
            storage,
            group.network.make_transport(self.name),
            self.state_machine,
            group.settings,
            self.clock,
            Random(group.random.random()),
        )
        await self.replica.start()
        group.network.attach(self.name, self.replica.handle)

    async def stop(self) -> None:
        """Shut the process down in an orderly way."""
        replica, self.replica = self.replica, None
        self._group.network.detach(self.name)
        if replica is not None:
            await replica.stop()
        await asyncio.gather(*self._stop_tasks)

    async def decommission(self) -> None:
        """Stop the process and never start it again."""
        self.decommissioned = True
        await self.stop()

    def _on_process_end(self) -> None:
        replica, self.replica = self.replica, None
        self._group.network.detach(self.name)
        if replica is not None:
            self._stop_tasks.append(asyncio.create_task(replica.stop()))


class LogGroup:
    """Hosts, network and invariant checker of one test.

    Parameters
    ----------
    seed : str
        Makes every delay, fault and timeout of the run repeatable.
    """

    def __init__(self, seed: str, settings: LogSettings | None = None) -> None:
        self.seed = seed
        self.random = Random(seed)
        self.settings = settings or LogSettings()
        self.invariants = InvariantChecker()
        self.network = FakeNetwork(self.random)
        self.network.observers.append(self.invariants.check_message)
        self.hosts: dict[str, Host] = {}

    async def start(self, *names: str) -> None:
        """Start hosts as voters of a new cluster, which the first one bootstraps."""
        first, *others = names
        await self.add_host(first)
        assert self.hosts[first].replica is not None
        await self.replica(first).bootstrap(_CLUSTER_NAME)
        await self.wait_for_leader()
        for name in others:
            await self.add_host(name)
            await self.join(name)

    async def add_host(self, name: str) -> Host:
        """Start a host that is not a member yet."""
        host = self.hosts[name] = Host(name, self)
        await host.start()
        return host

    async def join(self, name: str) -> None:
        """Add a running host as a voter and wait for its promotion."""
        await self.change_members(add=self.hosts[name].member)
        await self.wait_until(lambda: self.is_voter(self.hosts[name].member.id))

    async def change_members(
        self, add: Member | None = None, remove: str | None = None
    ) -> None:
        """Change the members, with retries as an operator would make."""
        while not self._is_change_applied(add, remove):
            leader = await self.wait_for_leader()
            try:
                await self.replica(leader.name).change_members(add=add, remove=remove)
            except Exception:
                await asyncio.sleep(0.02)

    def replica(self, name: str) -> Replica:
        """Return a host's running replica."""
        replica = self.hosts[name].replica
        if replica is None:
            raise RuntimeError(f"host {name} is down")
        return replica

    def running_hosts(self) -> list[Host]:
        """Return the hosts whose process runs."""
        return [host for host in self.hosts.values() if host.replica is not None]

    def leader(self) -> Host | None:
        """Return the leader of the greatest term."""
        leaders = [
            host
            for host in self.running_hosts()
            if host.replica and host.replica.leading
        ]
        if len(leaders) < 2:
            return leaders[0] if leaders else None
        return max(
            leaders,
            key=lambda host: self.replica(host.name).status().term,
        )

    def followers(self) -> list[Host]:
        """Return the running hosts that do not lead the greatest term."""
        leader = self.leader()
        return [host for host in self.running_hosts() if host is not leader]

    def is_voter(self, member_id: str) -> bool:
        """Return whether the leader lists this member as a voter."""
        leader = self.leader()
        if leader is None:
            return False
        status = self.replica(leader.name).status()
        matching = [m for m in status.members if m.id == member_id]
        return bool(matching) and matching[0].role is MemberRole.VOTER

    async def wait_for_leader(self, timeout_s: float = 10) -> Host:
        """Wait for a leader with a valid lease."""

        def has_valid_lease() -> bool:
            host = self.leader()
            return host is not None and self.replica(host.name).status().lease_valid

        await self.wait_until(has_valid_lease, timeout_s)
        leader = self.leader()
        assert leader is not None
        return leader

    async def wait_until(
        self,
        condition: Callable[[], bool],
        timeout_s: float = 10,
        poll_interval_s: float = _POLL_INTERVAL_S,
    ) -> None:
        """Wait for a condition; raises `TimeoutError`."""
        async with asyncio.timeout(timeout_s):
            while True:
                if condition():
                    return
                await asyncio.sleep(poll_interval_s)

    async def propose(self, command: dict[str, Any], timeout_s: float = 10) -> Any:
        """Propose at the leader until it succeeds.

        After an unknown outcome the command may already be in the log, so the next
        attempt is a distinct command, marked by the field ``attempt``.
        """
        attempt = 0
        async with asyncio.timeout(timeout_s):
            while True:
                leader = await self.wait_for_leader(timeout_s)
                numbered = command | {"attempt": attempt} if attempt else command
                try:
                    return await self.replica(leader.name).propose(numbered)
                except LostLeadership:
                    attempt += 1
                except (NotLeader, StorageFailed):
                    await asyncio.sleep(_POLL_INTERVAL_S)

    async def wait_until_converged(self, timeout_s: float = 10) -> None:
        """Wait until all running hosts have applied the same commands."""

        def have_converged() -> bool:
            states = {
                (host.state_machine.index, host.state_machine.chain)
                for host in self.running_hosts()
            }
            return len(states) == 1

        await self.wait_until(have_converged, timeout_s)

    async def stop(self) -> None:
        """Stop all hosts."""
        for host in self.hosts.values():
            await host.stop()
        self.network.close()

    def _is_change_applied(self, add: Member | None, remove: str | None) -> bool:
        leader = self.leader()
        if leader is None:
            return False
        ids = {m.id for m in self.replica(leader.name).status().members}
        return (add is not None and add.id in ids) or (
            remove is not None and remove not in ids
        )
