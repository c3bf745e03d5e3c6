"""Commands that bootstrap, change and show the group of control hosts."""

import asyncio
import dataclasses
from collections.abc import Iterator
from typing import Any

from kingcuplug_cli._connection import OperatorClient
from kingcuplug_cli._results import CommandRefused, ExitCode, Unreachable

__all__ = ["add", "bootstrap", "remove", "status"]

_ELECTION_TIMEOUT_S = 5.0
_POLL_INTERVAL_S = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class BootstrapResult:
    """A new cluster with one member."""

    cluster: str
    member: str
    exit_code: ExitCode = ExitCode.DONE

    def lines(self) -> Iterator[str]:
        """Yield the new cluster and its member."""
        yield f"cluster {self.cluster} begins with member {self.member}"


@dataclasses.dataclass(frozen=True, slots=True)
class AddResult:
    """A control host that was added as a member."""

    member: str
    role: str
    exit_code: ExitCode = ExitCode.DONE

    def lines(self) -> Iterator[str]:
        """Yield the added member."""
        yield f"added {self.member} as {self.role}"


@dataclasses.dataclass(frozen=True, slots=True)
class RemoveResult:
    """A member that was removed."""

    member: str
    exit_code: ExitCode = ExitCode.DONE

    def lines(self) -> Iterator[str]:
        """Yield the removed member."""
        yield f"removed {self.member}"


@dataclasses.dataclass(frozen=True, slots=True)
class ControlStatus:
    """Status of the group as reported by the leader or, without one, the target host.

    Attributes
    ----------
    leads : bool
        Whether a leader answered.
    """

    leads: bool
    fields: dict[str, Any]

    @property
    def exit_code(self) -> ExitCode:
        """``UNREACHABLE`` if no leader answered."""
        return ExitCode.DONE if self.leads else ExitCode.UNREACHABLE

    def lines(self) -> Iterator[str]:
        """Yield the leader, the members and whether the loss of one voter is safe."""
        fields = self.fields
        if self.leads:
            yield f"leader {fields['leader']}, term {fields['term']}"
        else:
            yield f"no leader answers; this is what {fields['member']} knows"
        yield f"committed up to {fields['commit_index']}"
        safe = "yes" if fields["safe_to_lose_one"] else "no"
        yield f"safe to lose one voter: {safe}"
        if fields["storage_failed"]:
            yield f"the storage of {fields['member']} has failed; replace its disk"
        progress = {peer["member"]: peer for peer in fields["peers"]}
        for member in fields["members"]:
            peer = progress.get(member["id"])
            yield (
                f"  {member['id']}  {member['role']}  {member['address']}"
                f"{_replication_text(peer)}"
            )


def _replication_text(peer: dict[str, Any] | None) -> str:
    if peer is None:
        return ""
    caught_up = "caught up" if peer["caught_up"] else "behind"
    return f"  {caught_up} at {peer['match_index']}"


async def bootstrap(client: OperatorClient) -> BootstrapResult:
    """Bootstrap a cluster on the target host and wait until it is the leader.

    `control add`, the next command of a first start, needs the leader.
    """
    result = BootstrapResult(**await client.call("control/bootstrap", mutating=True))
    loop = asyncio.get_running_loop()
    deadline = loop.time() + _ELECTION_TIMEOUT_S
    # Leadership is polled over HTTP, so there is no event to wait for.
    while not (await status(client)).leads and loop.time() < deadline:  # noqa: ASYNC110
        await asyncio.sleep(_POLL_INTERVAL_S)
    return result


async def add(client: OperatorClient, address: str, role: str = "voter") -> AddResult:
    """Add the control host at a peer address."""
    fields = await client.call(
        "control/add", {"address": address, "role": role}, mutating=True
    )
    return AddResult(fields["added"], fields["role"])


async def remove(client: OperatorClient, member: str) -> RemoveResult:
    """Remove a member by its id, as `control status` prints it."""
    fields = await client.call("control/remove", {"member": member}, mutating=True)
    return RemoveResult(fields["removed"])


async def status(client: OperatorClient) -> ControlStatus:
    """Return the status from the leader or, without one, from the target host."""
    try:
        return ControlStatus(True, await client.call("control/leader/show"))
    except Unreachable as error:
        try:
            return ControlStatus(False, await client.call("control/status"))
        except CommandRefused:
            raise error from None
