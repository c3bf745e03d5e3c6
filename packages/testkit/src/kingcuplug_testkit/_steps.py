"""Protocol steps of the fault matrix.

A step brings the group to the message at which the faults are injected, and then
completes.
"""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from kingcuplug_testkit._matrix import MatrixCell

__all__ = ["PROTOCOL_STEPS", "ProtocolStep"]

_SNAPSHOT_LAG_COMMANDS = 40

Message = dict[str, Any]


@dataclass(frozen=True)
class ProtocolStep:
    """A protocol step at which faults can be injected.

    Attributes
    ----------
    is_fault_point : callable
        Whether the faults are injected at this message.
    run : callable
        Performs the step and returns once it is complete.
    """

    name: str
    is_fault_point: Callable[[Message], bool]
    run: Callable[["MatrixCell"], Awaitable[None]]


def _has_kind(kind: str) -> Callable[[Message], bool]:
    return lambda message: message["kind"] == kind


def _appends_entry(entry_kind: str) -> Callable[[Message], bool]:
    def is_fault_point(message: Message) -> bool:
        if message["kind"] != "append":
            return False
        return any(entry[2] == entry_kind for entry in message["entries"])

    return is_fault_point


def _is_append_acknowledged(message: Message) -> bool:
    return message["kind"] == "append_reply" and bool(message["success"])


def _matches_no_message(message: Message) -> bool:
    del message
    return False


async def _run_election(cell: "MatrixCell") -> None:
    leader = await cell.group.wait_for_leader()
    cell.arm_faults()
    cell.group.network.isolate(leader.name, list(cell.group.hosts))
    # The old leader is reachable again when the faults are injected.
    cell.before_injection = cell.group.network.heal


async def _run_write(cell: "MatrixCell") -> None:
    await cell.group.wait_for_leader()
    cell.arm_faults()
    await cell.write(1)


async def _run_snapshot_install(cell: "MatrixCell") -> None:
    await cell.group.wait_for_leader()
    lagging = cell.group.followers()[0]
    lagging.disk.crash()
    await cell.write(_SNAPSHOT_LAG_COMMANDS)
    cell.arm_faults()
    await lagging.start()


async def _run_member_change(cell: "MatrixCell") -> None:
    group = cell.group
    added = await group.add_host("d")
    cell.arm_faults()
    await cell.join(added)
    await group.wait_for_leader()
    removed = next(
        host
        for host in group.followers()
        if group.is_voter(host.member.id) and host.name not in cell.faulty_hosts
    )
    await group.change_members(remove=removed.member.id)
    await removed.decommission()


async def _run_read(cell: "MatrixCell") -> None:
    leader = await cell.group.wait_for_leader()
    cell.arm_faults()
    cell.inject_faults(leader, cell.group.followers()[0])
    await cell.read(leader)


_STEP_LIST = [
    ProtocolStep("pre-vote", _has_kind("pre_vote"), _run_election),
    ProtocolStep("vote", _has_kind("vote"), _run_election),
    ProtocolStep("append", _appends_entry("command"), _run_write),
    ProtocolStep("commit", _is_append_acknowledged, _run_write),
    ProtocolStep("snapshot install", _has_kind("install"), _run_snapshot_install),
    ProtocolStep("member change", _appends_entry("members"), _run_member_change),
    ProtocolStep("read", _matches_no_message, _run_read),
]

PROTOCOL_STEPS = {step.name: step for step in _STEP_LIST}
