"""Protocol steps of the fault matrix.

A step brings the group to the moment at which the faults strike, and then lets the
protocol go on.
"""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from kingcuplug_testkit._matrix import Cell

__all__ = ["STEPS", "Step"]

_BEHIND_COMMANDS = 40

Message = dict[str, Any]


@dataclass(frozen=True)
class Step:
    """One protocol step.

    Attributes
    ----------
    is_moment : callable
        Whether this message is the one at which the faults strike.
    drive : callable
        Makes the step happen and returns once it has been completed.
    """

    name: str
    is_moment: Callable[[Message], bool]
    drive: Callable[["Cell"], Awaitable[None]]


def _kind(kind: str) -> Callable[[Message], bool]:
    return lambda message: message["kind"] == kind


def _appends(kind: str) -> Callable[[Message], bool]:
    def is_moment(message: Message) -> bool:
        if message["kind"] != "append":
            return False
        return any(entry[2] == kind for entry in message["entries"])

    return is_moment


def _acknowledges(message: Message) -> bool:
    return message["kind"] == "append_reply" and bool(message["success"])


def _never(message: Message) -> bool:
    del message
    return False


async def _elect(cell: "Cell") -> None:
    leader = await cell.group.wait_leader()
    cell.arm()
    cell.group.network.isolate(leader.name, list(cell.group.hosts))
    # The old leader comes back at the moment of the faults.
    cell.before_strike = cell.group.network.heal


async def _write(cell: "Cell") -> None:
    await cell.group.wait_leader()
    cell.arm()
    await cell.write(1)


async def _install(cell: "Cell") -> None:
    await cell.group.wait_leader()
    behind = cell.group.followers()[0]
    behind.disk.crash()
    await cell.write(_BEHIND_COMMANDS)
    cell.arm()
    await behind.start()


async def _change_members(cell: "Cell") -> None:
    group = cell.group
    added = await group.add_host("d")
    cell.arm()
    await cell.join(added)
    await group.wait_leader()
    removed = next(
        host
        for host in group.followers()
        if group.is_voter(host.member.id) and host.name not in cell.victims
    )
    await group.change(remove=removed.member.id)
    await removed.retire()


async def _read(cell: "Cell") -> None:
    leader = await cell.group.wait_leader()
    cell.arm()
    cell.strike(leader, cell.group.followers()[0])
    await cell.read(leader)


_ALL = [
    Step("pre-vote", _kind("pre_vote"), _elect),
    Step("vote", _kind("vote"), _elect),
    Step("append", _appends("command"), _write),
    Step("commit", _acknowledges, _write),
    Step("snapshot install", _kind("install"), _install),
    Step("member change", _appends("members"), _change_members),
    Step("read", _never, _read),
]

STEPS = {step.name: step for step in _ALL}
