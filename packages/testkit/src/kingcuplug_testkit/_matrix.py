"""One cell of the fault matrix: faults injected at a protocol step."""

import asyncio
import contextlib
import itertools
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Any

from kingcuplug_log import (
    LogSettings,
    LostLeadership,
    NotLeader,
    StorageFailed,
)

from kingcuplug_testkit._disk import Failpoint
from kingcuplug_testkit._faults import FAULTS, Fault
from kingcuplug_testkit._log_group import Host, LogGroup
from kingcuplug_testkit._steps import PROTOCOL_STEPS, ProtocolStep
from kingcuplug_testkit._virtual_time import run_virtual

__all__ = ["CellResult", "MatrixCell", "run_matrix_cell"]

# Small limits, so that every cell takes and installs snapshots.
_SETTINGS = LogSettings(
    heartbeat_ms=100,
    snapshot_entries=8,
    retained_entries=4,
    batch_entries=16,
    install_chunk_bytes=512,
)
_WARM_UP_COMMANDS = 5
_FAULT_DURATION_S = 0.7  # More than two election timeouts.
# A second fault can block the first one's follow-up until it is healed.
_FOLLOW_UP_TIMEOUT_S = 3.0
_RECOVERY_TIMEOUT_S = 20.0
_FAILPOINT_TIMEOUT_S = 0.3
_ISOLATION_DURATION_S = 0.7
_CLIENT_INTERVAL_S = 0.04
_REQUEST_TIMEOUT_S = 0.5

_REFUSAL_ERRORS = (NotLeader, LostLeadership, StorageFailed, TimeoutError)


@dataclass(frozen=True)
class CellResult:
    """Counts of a cell in which all invariants held.

    Attributes
    ----------
    terms : int
        Number of terms that had a leader.
    all_triggered : bool
        Whether all failpoints were triggered before the recovery began.
    """

    acknowledged_commands: int
    checked_reads: int
    terms: int
    all_triggered: bool


class MatrixCell:
    """A log group under load into which faults are injected at a protocol step.

    Attributes
    ----------
    before_injection : callable
        Called directly before the faults are injected.
    on_acknowledged : callable
        Called directly after a client was told that its command is committed.
    faulty_hosts : set of str
        Leading and following host of the faults.
    """

    def __init__(self, faults: Sequence[Fault], step: ProtocolStep, seed: str) -> None:
        self.group = LogGroup(seed, _SETTINGS)
        self.before_injection: Callable[[], None] = lambda: None
        self.on_acknowledged: Callable[[], None] = lambda: None
        self._faults = faults
        self._step = step
        self._is_armed = False
        self._injected: asyncio.Future[tuple[Host, Host]] | None = None
        self._failpoints: list[tuple[Host, Failpoint]] = []
        self.faulty_hosts: set[str] = set()
        self._command_numbers = itertools.count()
        self._all_failpoints_triggered = True
        self.group.network.observers.append(self._observe_message)

    async def run(self) -> CellResult:
        """Run the cell; raises `InvariantViolated` or `TimeoutError`."""
        self._injected = asyncio.get_running_loop().create_future()
        await self.group.start("a", "b", "c")
        await self.write(_WARM_UP_COMMANDS)
        clients = [
            asyncio.create_task(client())
            for client in (self._propose_repeatedly, self._read_repeatedly)
        ]
        step_run = asyncio.create_task(self._run_step())
        follow_ups: list[asyncio.Task[None]] = []
        try:
            async with asyncio.timeout(_RECOVERY_TIMEOUT_S):
                leading, following = await self._injected
                follow_ups = self._start_follow_ups(leading, following)
                await asyncio.wait(follow_ups, timeout=_FOLLOW_UP_TIMEOUT_S)
                await self._recover([*follow_ups, step_run])
        finally:
            tasks = (step_run, *clients, *follow_ups)
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
        return await self._finish()

    def arm_faults(self) -> None:
        """Inject the faults at the next message of the step."""
        self._is_armed = True

    def inject_faults(self, leading: Host, following: Host) -> None:
        """Inject the faults now, if armed and not yet injected."""
        if not self._is_armed or self._injected is None or self._injected.done():
            return
        self._injected.set_result((leading, following))
        self.faulty_hosts = {leading.name, following.name}
        self.before_injection()
        for fault in self._faults:
            fault.inject(self, leading, following)

    def set_failpoint(self, host: Host, failpoint: Failpoint) -> None:
        """Set a failpoint that must be triggered while the fault lasts."""
        host.disk.failpoints.append(failpoint)
        self._failpoints.append((host, failpoint))

    async def provoke_failpoints(self) -> None:
        """Wait until all failpoints are triggered; force elections after a timeout."""
        with contextlib.suppress(TimeoutError):
            await self.group.wait_until(self._are_all_triggered, _FAILPOINT_TIMEOUT_S)
            return
        for _ in range(3):
            if self._are_all_triggered():
                return
            await self._force_election()

    async def write(self, count: int) -> None:
        """Write commands until `count` have been acknowledged."""
        for _ in range(count):
            while True:
                if await self._propose_once():
                    break
                await asyncio.sleep(_CLIENT_INTERVAL_S)

    async def read(self, host: Host) -> None:
        """Read at a host and check the result; a refusal is ignored."""
        if host.replica is None:
            return
        min_index = self.group.invariants.newest_acknowledged_index
        state_machine = host.state_machine
        with contextlib.suppress(*_REFUSAL_ERRORS):
            async with asyncio.timeout(_REQUEST_TIMEOUT_S):
                await host.replica.read_barrier()
            self.group.invariants.check_read(host.name, min_index, state_machine.index)

    async def join(self, host: Host) -> None:
        """Make a host a voter, with retries after timeouts of its promotion."""
        while not self.group.is_voter(host.member.id):
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(1):
                    await self.group.join(host.name)

    async def repair(self) -> None:
        """Start stopped hosts, make them voters and remove the ids of lost disks."""
        for host in self.group.hosts.values():
            await self._ensure_running(host)
        for host in list(self.group.hosts.values()):
            if not host.decommissioned and not self._is_spare_host(host):
                await self.join(host)
        current = {host.member.id for host in self.group.hosts.values()}
        leader = await self.group.wait_for_leader()
        for member in self.group.replica(leader.name).status().members:
            if member.id not in current:
                await self.group.change_members(remove=member.id)

    async def wait_until_safe_to_lose_one(self) -> None:
        """Wait until the group tolerates the loss of any one voter."""

        def is_safe() -> bool:
            leader = self.group.leader()
            if leader is None:
                return False
            return self.group.replica(leader.name).status().safe_to_lose_one

        await self.group.wait_until(is_safe)

    def _observe_message(
        self, source: str, destination: str, message: dict[str, Any]
    ) -> None:
        if not self._is_armed or not self._step.is_fault_point(message):
            return
        hosts = self.group.hosts
        if message["kind"].endswith("_reply"):
            source, destination = destination, source
        self.inject_faults(hosts[source], hosts[destination])

    async def _run_step(self) -> None:
        await self._step.run(self)

    def _start_follow_ups(
        self, leading: Host, following: Host
    ) -> list[asyncio.Task[None]]:
        """Start the follow-ups of the faults, and a timer for their duration."""
        actions = [
            asyncio.sleep(_FAULT_DURATION_S),
            *(fault.follow_up(self, leading, following) for fault in self._faults),
        ]
        return [asyncio.ensure_future(action) for action in actions]

    async def _recover(self, unfinished: list[asyncio.Task[None]]) -> None:
        """End the faults and wait until the group makes progress again."""
        self._all_failpoints_triggered = self._are_all_triggered()
        for host in self.group.hosts.values():
            host.disk.failpoints.clear()
        self.on_acknowledged = lambda: None
        self.group.network.heal()
        for host in list(self.group.hosts.values()):
            await self._ensure_running(host)
        await asyncio.gather(*unfinished)
        await self.repair()
        await self.write(3)

    async def _finish(self) -> CellResult:
        await self.group.wait_until_converged()
        invariants = self.group.invariants
        for host in self.group.running_hosts():
            invariants.check_acknowledged_kept(host.name, host.state_machine.values)
        await self.group.stop()
        invariants.raise_if_violated()
        return CellResult(
            acknowledged_commands=len(invariants.acknowledged),
            checked_reads=invariants.checked_reads,
            terms=len(invariants.leader_by_term),
            all_triggered=self._all_failpoints_triggered,
        )

    def _are_all_triggered(self) -> bool:
        return all(
            failpoint in host.disk.triggered for host, failpoint in self._failpoints
        )

    def _is_spare_host(self, host: Host) -> bool:
        return host.name == "d" and self._step.name != "member change"

    async def _ensure_running(self, host: Host) -> None:
        failed = host.replica is not None and host.replica.status().storage_failed
        if failed:
            await host.stop()
        while True:
            if host.replica is not None or host.decommissioned:
                return
            await host.start()

    async def _force_election(self) -> None:
        leader = self.group.leader()
        if leader is not None:
            self.group.network.isolate(leader.name, list(self.group.hosts))
            await asyncio.sleep(_ISOLATION_DURATION_S)
            self.group.network.heal()
        await asyncio.sleep(_FAILPOINT_TIMEOUT_S)

    async def _propose_repeatedly(self) -> None:
        while True:
            await self._propose_once()
            await asyncio.sleep(_CLIENT_INTERVAL_S)

    async def _propose_once(self) -> bool:
        leaders = self._presumed_leaders()
        if not leaders:
            return False
        replica = self.group.random.choice(leaders).replica
        assert replica is not None
        command = {"number": next(self._command_numbers)}
        with contextlib.suppress(*_REFUSAL_ERRORS):
            async with asyncio.timeout(_REQUEST_TIMEOUT_S):
                result = await replica.propose(command)
            self.group.invariants.record_acknowledged(result["index"], command)
            self.on_acknowledged()
            return True
        return False

    async def _read_repeatedly(self) -> None:
        while True:
            await asyncio.gather(*map(self.read, self._presumed_leaders()))
            await asyncio.sleep(_CLIENT_INTERVAL_S)

    def _presumed_leaders(self) -> list[Host]:
        """Return all hosts that believe they are the leader."""
        running = self.group.running_hosts()
        return [host for host in running if host.replica and host.replica.leading]


def run_matrix_cell(faults: Sequence[str], step: str, seed: str = "0") -> CellResult:
    """Run the named faults at the named step in virtual time.

    Raises
    ------
    InvariantViolated
        If a safety property was violated.
    TimeoutError
        If the group made no progress after the faults ended.
    """
    cell = MatrixCell(
        [FAULTS[name] for name in faults],
        PROTOCOL_STEPS[step],
        f"{seed}/{step}/{'+'.join(faults)}",
    )
    return run_virtual(cell.run())
