"""Which change of voters the leader makes next.

No operator forms the group or replaces a host, so the leader does both. A voter that
can never return (its disk is empty) is removed at once; one that does not answer is
removed early only if a new host has come in its place, because a host that was cut off
returns with everything it has synced. A host that was removed wrongly joins again.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from kingcuplug_log import LogStatus, Member, MemberRole, PeerStatus

__all__ = ["Joiner", "next_change"]

# Longer than an election and a restart of a process.
_REPLACED_AFTER_MS = 2_500.0
# A host that is away for so long is treated as lost even without a successor; it
# joins again when it returns.
_LOST_AFTER_MS = 20_000.0
_LEARNER_LOST_AFTER_MS = 4_000.0
# Fewer voters than this bear no loss.
_FEWEST_VOTERS = 3


@dataclass(frozen=True, slots=True)
class Joiner:
    """A control host that asks to be a voter.

    Attributes
    ----------
    fresh : bool
        Whether its disk held nothing of the group.
    founding : bool
        Whether it asks while the whole system starts for the first time.
    """

    member: Member
    fresh: bool
    founding: bool


def next_change(
    status: LogStatus, joiners: Mapping[str, Joiner], successors: int
) -> Member | str | None:
    """Return the member to add, the id to remove, or ``None``.

    Parameters
    ----------
    status : LogStatus
        The leader's.
    joiners : mapping
        Hosts that asked lately, by member id.
    successors : int
        New hosts that have come since the last removal of a silent voter.
    """
    members = {member.id: member for member in status.members}
    replaced = _replaced(members.values(), joiners)
    if replaced is not None and replaced != status.member.id:
        return replaced
    for identifier, joiner in joiners.items():
        if identifier not in members:
            return joiner.member
    return _lost(status.peers, successors)


def _replaced(members: Iterable[Member], joiners: Mapping[str, Joiner]) -> str | None:
    """Return a member whose host has come back with another disk."""
    addresses = {joiner.member.address: i for i, joiner in joiners.items()}
    for member in members:
        joiner = addresses.get(member.address)
        if joiner is not None and joiner != member.id:
            return member.id
    return None


def _lost(peers: Iterable[PeerStatus], successors: int) -> str | None:
    peers = tuple(peers)
    voters = 1 + sum(peer.member.role is MemberRole.VOTER for peer in peers)
    for peer in peers:
        silent_ms = peer.answered_ms_ago
        if silent_ms is None:
            continue
        if peer.member.role is not MemberRole.VOTER:
            limit_ms = _LEARNER_LOST_AFTER_MS
        elif voters <= _FEWEST_VOTERS:
            continue
        else:
            limit_ms = _REPLACED_AFTER_MS if successors > 0 else _LOST_AFTER_MS
        if silent_ms > limit_ms:
            return peer.member.id
    return None
