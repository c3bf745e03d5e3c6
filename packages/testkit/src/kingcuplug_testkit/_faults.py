"""Faults of the fault matrix.

Each fault names its victim by its part in the protocol step at which it strikes:
the *leading* host sent the request of that step (the leader, or the candidate of an
election), the *following* host received it.
"""

import asyncio
import errno
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from kingcuplug_testkit._disk import Trap
from kingcuplug_testkit._log_group import Host
from kingcuplug_testkit._network import LinkFaults

if TYPE_CHECKING:
    from kingcuplug_testkit._matrix import Cell

__all__ = ["FAULTS", "Fault"]

_DRIFT_BOUND = 0.01
_FAR_BEHIND_COMMANDS = 60
_RESTART_S = 0.1

Strike = Callable[["Cell", Host, Host], None]
Continue = Callable[["Cell", Host, Host], Awaitable[None]]


async def _nothing(cell: "Cell", leading: Host, following: Host) -> None:
    del cell, leading, following


@dataclass(frozen=True)
class Fault:
    """One fault.

    Attributes
    ----------
    strike : callable
        Acts at the moment of the protocol step.
    follow_up : callable
        Goes on while the fault lasts.
    loses_disk : bool
        Whether a disk is lost; three voters tolerate one such loss at a time.
    """

    name: str
    strike: Strike
    follow_up: Continue = _nothing
    loses_disk: bool = False


def _links(name: str, faults: LinkFaults) -> Fault:
    def strike(cell: "Cell", leading: Host, following: Host) -> None:
        del leading, following
        cell.group.network.faults = replace(faults)

    return Fault(name, strike)


def _cut(
    name: str, *, follower: bool = False, out: bool = True, into: bool = True
) -> Fault:
    def strike(cell: "Cell", leading: Host, following: Host) -> None:
        victim = following if follower else leading
        for other in cell.group.hosts:
            if other != victim.name and out:
                cell.group.network.cut(victim.name, other)
            if other != victim.name and into:
                cell.group.network.cut(other, victim.name)

    return Fault(name, strike)


def _trap(name: str, trap: Trap, *, follower: bool) -> Fault:
    victim_name = "following" if follower else "leading"

    def strike(cell: "Cell", leading: Host, following: Host) -> None:
        cell.set_trap(following if follower else leading, replace(trap))

    async def follow_up(cell: "Cell", leading: Host, following: Host) -> None:
        del leading, following
        await cell.spring_traps()

    return Fault(f"{name}, {victim_name}", strike, follow_up)


def _replacement_crashes(file: str, follower: bool) -> list[Fault]:
    """Crash at each step of replacing a file by rename."""
    new = f"{file}.new"
    points = {
        f"crash after write of {new}": Trap("write", new, "after"),
        f"crash after sync of {new}": Trap("sync", new, "after"),
        f"crash after rename to {file}": Trap("rename", file, "after"),
        f"crash after folder sync for {file}": Trap(
            "sync_folder", "", "after", follows=("rename", file)
        ),
    }
    return [_trap(name, trap, follower=follower) for name, trap in points.items()]


def _truncate_crash(moment: str) -> Fault:
    def strike(cell: "Cell", leading: Host, following: Host) -> None:
        del leading
        following.disk.crash()
        following.disk.tear("log")
        cell.set_trap(following, Trap("truncate", "log", moment))

    async def follow_up(cell: "Cell", leading: Host, following: Host) -> None:
        del cell, leading
        await asyncio.sleep(_RESTART_S)
        await following.start()

    return Fault(f"crash {moment} truncate of a torn tail", strike, follow_up)


def _crash(name: str, *, follower: bool) -> Fault:
    def strike(cell: "Cell", leading: Host, following: Host) -> None:
        del cell
        (following if follower else leading).disk.crash()

    return Fault(name, strike)


def _power_failure() -> Fault:
    """Crash all hosts at the moment when a client is told of a commit."""

    def strike(cell: "Cell", leading: Host, following: Host) -> None:
        del leading, following

        def crash() -> None:
            cell.on_acknowledged = lambda: None
            for host in cell.group.running():
                host.disk.crash()

        cell.on_acknowledged = crash

    return Fault("crash of all hosts after a commit", strike)


def _lost_disk(name: str, *, follower: bool) -> Fault:
    def strike(cell: "Cell", leading: Host, following: Host) -> None:
        del cell
        (following if follower else leading).disk.lose()

    async def follow_up(cell: "Cell", leading: Host, following: Host) -> None:
        del cell
        await asyncio.sleep(_RESTART_S)
        await (following if follower else leading).start()

    return Fault(name, strike, follow_up, loses_disk=True)


def _far_behind() -> Fault:
    def strike(cell: "Cell", leading: Host, following: Host) -> None:
        del cell, leading
        following.disk.crash()

    async def follow_up(cell: "Cell", leading: Host, following: Host) -> None:
        del leading
        await cell.write(_FAR_BEHIND_COMMANDS)
        await following.start()

    return Fault("restart far behind", strike, follow_up)


def _second_loss() -> Fault:
    def strike(cell: "Cell", leading: Host, following: Host) -> None:
        del cell, leading
        following.disk.lose()

    async def follow_up(cell: "Cell", leading: Host, following: Host) -> None:
        await asyncio.sleep(_RESTART_S)
        await cell.repair()
        await cell.wait_safe()
        lost = leading if not leading.gone else cell.group.running()[0]
        lost.gone = True
        lost.disk.lose()

    return Fault("second loss after repair", strike, follow_up, loses_disk=True)


def _drift() -> Fault:
    cut = _cut("", follower=False)

    def strike(cell: "Cell", leading: Host, following: Host) -> None:
        # The bound is on the ratio of two hosts' clock rates.
        leading.clock.drift(1 - _DRIFT_BOUND)
        cut.strike(cell, leading, following)

    return Fault("clock drift at the bound, leading cut off", strike)


def _make() -> dict[str, Fault]:
    faults = [
        _links("drop", LinkFaults(drop=0.4)),
        _links("delay", LinkFaults(delay_s=(0.0, 0.2))),
        _links("duplicate", LinkFaults(duplicate=0.7, delay_s=(0.0, 0.01))),
        _links("reorder", LinkFaults(duplicate=0.2, delay_s=(0.0, 0.06))),
        _cut("silent partition, leading"),
        _cut("silent partition, following", follower=True),
        _cut("leading cannot send", into=False),
        _cut("leading cannot receive", out=False),
        _crash("crash, leading", follower=False),
        _crash("crash, following", follower=True),
        _power_failure(),
        *(
            _trap(f"crash {moment} fsync", Trap("sync", "*", moment), follower=follower)
            for moment in ("before", "after")
            for follower in (False, True)
        ),
        *(
            fault
            for file in ("snapshot", "log", "state")
            for follower in (False, True)
            for fault in _replacement_crashes(file, follower)
        ),
        _truncate_crash("before"),
        _truncate_crash("after"),
        _lost_disk("lost disk, leading", follower=False),
        _lost_disk("lost disk, following", follower=True),
        _far_behind(),
        _second_loss(),
        _drift(),
        *(
            _trap(f"{name}", Trap(call, "log", "before", code), follower=follower)
            for name, call, code in (
                ("fsync EIO", "sync", errno.EIO),
                ("write ENOSPC", "write", errno.ENOSPC),
            )
            for follower in (False, True)
        ),
    ]
    return {fault.name: fault for fault in faults}


FAULTS = _make()
