"""Faults of the fault matrix.

Each fault names the host that it affects by its role in the protocol step at which
it is injected: the *leading* host sent the request of that step (the leader, or the
candidate of an election), the *following* host received it.
"""

import asyncio
import errno
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from kingcuplug_testkit._disk import Failpoint
from kingcuplug_testkit._log_group import Host
from kingcuplug_testkit._network import LinkFaults

if TYPE_CHECKING:
    from kingcuplug_testkit._matrix import MatrixCell

__all__ = ["FAULTS", "Fault"]

_CLOCK_DRIFT_BOUND = 0.01
_FAR_BEHIND_COMMANDS = 60
_RESTART_DELAY_S = 0.1

InjectFault = Callable[["MatrixCell", Host, Host], None]
FollowUp = Callable[["MatrixCell", Host, Host], Awaitable[None]]


async def _no_follow_up(cell: "MatrixCell", leading: Host, following: Host) -> None:
    del cell, leading, following


@dataclass(frozen=True)
class Fault:
    """A fault that a matrix cell injects at a protocol step.

    Attributes
    ----------
    inject : callable
        Called at the message at which the protocol step injects faults.
    follow_up : callable
        Coroutine that runs while the fault lasts.
    loses_disk : bool
        Whether a disk is lost; three voters tolerate only one lost disk at a time.
    """

    name: str
    inject: InjectFault
    follow_up: FollowUp = _no_follow_up
    loses_disk: bool = False


def _link_fault(name: str, faults: LinkFaults) -> Fault:
    def inject(cell: "MatrixCell", leading: Host, following: Host) -> None:
        del leading, following
        cell.group.network.faults = replace(faults)

    return Fault(name, inject)


def _partition(
    name: str, *, follower: bool = False, outgoing: bool = True, incoming: bool = True
) -> Fault:
    def inject(cell: "MatrixCell", leading: Host, following: Host) -> None:
        target = following if follower else leading
        for other in cell.group.hosts:
            if other != target.name and outgoing:
                cell.group.network.block_link(target.name, other)
            if other != target.name and incoming:
                cell.group.network.block_link(other, target.name)

    return Fault(name, inject)


def _disk_failpoint(name: str, failpoint: Failpoint, *, follower: bool) -> Fault:
    role = "following" if follower else "leading"

    def inject(cell: "MatrixCell", leading: Host, following: Host) -> None:
        cell.set_failpoint(following if follower else leading, replace(failpoint))

    async def follow_up(cell: "MatrixCell", leading: Host, following: Host) -> None:
        del leading, following
        await cell.provoke_failpoints()

    return Fault(f"{name}, {role}", inject, follow_up)


def _file_replacement_crashes(file: str, follower: bool) -> list[Fault]:
    """Crash at each step of replacing a file by rename."""
    new = f"{file}.new"
    failpoints = {
        f"crash after write of {new}": Failpoint("write", new, "after"),
        f"crash after sync of {new}": Failpoint("sync", new, "after"),
        f"crash after rename to {file}": Failpoint("rename", file, "after"),
        f"crash after folder sync for {file}": Failpoint(
            "sync_folder", "", "after", preceding_call=("rename", file)
        ),
    }
    return [
        _disk_failpoint(name, failpoint, follower=follower)
        for name, failpoint in failpoints.items()
    ]


def _torn_tail_crash(method: str, file_name: str, timing: str) -> Fault:
    """Crash while the log is replaced by one without its torn tail."""

    def inject(cell: "MatrixCell", leading: Host, following: Host) -> None:
        del leading
        following.disk.crash()
        following.disk.append_torn_record("log")
        cell.set_failpoint(following, Failpoint(method, file_name, timing))

    async def follow_up(cell: "MatrixCell", leading: Host, following: Host) -> None:
        del cell, leading
        await asyncio.sleep(_RESTART_DELAY_S)
        await following.start()

    return Fault(
        f"crash {timing} {method} of a log with a torn tail", inject, follow_up
    )


def _host_crash(name: str, *, follower: bool) -> Fault:
    def inject(cell: "MatrixCell", leading: Host, following: Host) -> None:
        del cell
        (following if follower else leading).disk.crash()

    return Fault(name, inject)


def _power_failure() -> Fault:
    """Crash all hosts as soon as a client is told of a commit."""

    def inject(cell: "MatrixCell", leading: Host, following: Host) -> None:
        del leading, following

        def crash() -> None:
            cell.on_acknowledged = lambda: None
            for host in cell.group.running_hosts():
                host.disk.crash()

        cell.on_acknowledged = crash

    return Fault("crash of all hosts after a commit", inject)


def _lost_disk(name: str, *, follower: bool) -> Fault:
    def inject(cell: "MatrixCell", leading: Host, following: Host) -> None:
        del cell
        (following if follower else leading).disk.wipe()

    async def follow_up(cell: "MatrixCell", leading: Host, following: Host) -> None:
        del cell
        await asyncio.sleep(_RESTART_DELAY_S)
        await (following if follower else leading).start()

    return Fault(name, inject, follow_up, loses_disk=True)


def _restart_far_behind() -> Fault:
    def inject(cell: "MatrixCell", leading: Host, following: Host) -> None:
        del cell, leading
        following.disk.crash()

    async def follow_up(cell: "MatrixCell", leading: Host, following: Host) -> None:
        del leading
        await cell.write(_FAR_BEHIND_COMMANDS)
        await following.start()

    return Fault("restart far behind", inject, follow_up)


def _second_disk_loss() -> Fault:
    def inject(cell: "MatrixCell", leading: Host, following: Host) -> None:
        del cell, leading
        following.disk.wipe()

    async def follow_up(cell: "MatrixCell", leading: Host, following: Host) -> None:
        await asyncio.sleep(_RESTART_DELAY_S)
        await cell.repair()
        await cell.wait_until_safe_to_lose_one()
        second = (
            leading if not leading.decommissioned else cell.group.running_hosts()[0]
        )
        second.decommissioned = True
        second.disk.wipe()

    return Fault("second loss after repair", inject, follow_up, loses_disk=True)


def _clock_drift() -> Fault:
    partition = _partition("", follower=False)

    def inject(cell: "MatrixCell", leading: Host, following: Host) -> None:
        # The bound applies to the ratio of two hosts' clock rates.
        leading.clock.set_rate(1 - _CLOCK_DRIFT_BOUND)
        partition.inject(cell, leading, following)

    return Fault("clock drift at the bound, leading cut off", inject)


def _make_faults() -> dict[str, Fault]:
    faults = [
        _link_fault("drop", LinkFaults(drop_probability=0.4)),
        _link_fault("delay", LinkFaults(delay_s=(0.0, 0.2))),
        _link_fault(
            "duplicate", LinkFaults(duplicate_probability=0.7, delay_s=(0.0, 0.01))
        ),
        _link_fault(
            "reorder", LinkFaults(duplicate_probability=0.2, delay_s=(0.0, 0.06))
        ),
        _partition("silent partition, leading"),
        _partition("silent partition, following", follower=True),
        _partition("leading cannot send", incoming=False),
        _partition("leading cannot receive", outgoing=False),
        _host_crash("crash, leading", follower=False),
        _host_crash("crash, following", follower=True),
        _power_failure(),
        *(
            _disk_failpoint(
                f"crash {timing} fsync",
                Failpoint("sync", "*", timing),
                follower=follower,
            )
            for timing in ("before", "after")
            for follower in (False, True)
        ),
        *(
            fault
            for file in ("snapshot", "log", "state")
            for follower in (False, True)
            for fault in _file_replacement_crashes(file, follower)
        ),
        *(
            _torn_tail_crash(method, file_name, timing)
            for method, file_name in (("sync", "log.new"), ("rename", "log"))
            for timing in ("before", "after")
        ),
        _lost_disk("lost disk, leading", follower=False),
        _lost_disk("lost disk, following", follower=True),
        _restart_far_behind(),
        _second_disk_loss(),
        _clock_drift(),
        *(
            _disk_failpoint(
                f"{name}", Failpoint(call, "log", "before", code), follower=follower
            )
            for name, call, code in (
                ("fsync EIO", "sync", errno.EIO),
                ("write ENOSPC", "write", errno.ENOSPC),
            )
            for follower in (False, True)
        ),
    ]
    return {fault.name: fault for fault in faults}


FAULTS = _make_faults()
