"""Automatic membership changes of the log's group, decided by the leader.

No operator forms the group or replaces a host, so the leader does both. A voter whose
disk was replaced or emptied can never return and is removed at once. A voter that does
not respond is removed early only if a new host has joined to replace it, because a host
that was partitioned returns with all its synced data. A host that was removed wrongly
joins again. Silent voters are not removed below the size that the tolerated losses
require: their disks still hold what was acknowledged.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from kingcuplug_log import LogStatus, Member, MemberRole

__all__ = ["JoinRequest", "is_formed", "next_membership_change", "required_voters"]

# Longer than an election and the restart of a process.
_REPLACED_VOTER_TIMEOUT_MS = 2_500.0
# A host unreachable for this long is removed even without a replacement; it joins
# again when it returns.
_LOST_VOTER_TIMEOUT_MS = 20_000.0
_LEARNER_TIMEOUT_MS = 4_000.0
# A new group accepts fewer voters than the tolerated losses require after this time if
# no other control hosts are known, and a majority of the seeds after twice this time.
_FORMATION_TIMEOUT_S = 6.0


@dataclass(frozen=True, slots=True)
class JoinRequest:
    """A control host's request to become a voter.

    Attributes
    ----------
    empty_disk : bool
        Whether its disk held no entries of the log when it was opened.
    first_start : bool
        Whether the host joins during the first start of the whole system.
    """

    member: Member
    empty_disk: bool
    first_start: bool


def required_voters(tolerated_losses: int) -> int:
    """Return the size of the smallest group that bears the loss of so many disks.

    An acknowledged entry is on the disks of a majority of the voters. If any
    `tolerated_losses` of these are lost, the others must still be a majority of the
    voters listed in the log: ``voters - losses >= voters // 2 + 1``.
    """
    return 2 * max(tolerated_losses, 1) + 1


def is_formed(
    voters: int, seeds: int, tolerated_losses: int, known_hosts: int, waited_s: float
) -> bool:
    """Return whether a new group has enough voters to acknowledge its first change.

    A single voter of several seeds never has (models/formation.pml,
    ACK_WHILE_FORMING).

    Parameters
    ----------
    known_hosts : int
        Number of control hosts that are members or ask to join.
    waited_s : float
        Time since this host's replica was opened.
    """
    required = max(seeds, required_voters(tolerated_losses))
    if voters >= required or seeds == 1:
        return True
    if waited_s <= _FORMATION_TIMEOUT_S or voters <= seeds // 2:
        return False
    return voters >= known_hosts or waited_s > 2 * _FORMATION_TIMEOUT_S


def next_membership_change(
    status: LogStatus,
    requests: Mapping[str, JoinRequest],
    tolerated_losses: int = 1,
) -> Member | str | None:
    """Return the member to add, the id of the one to remove, or ``None``.

    Parameters
    ----------
    status : LogStatus
        Status of the leader's replica.
    requests : mapping
        Recent join requests, by member id.
    tolerated_losses : int
        Number of disks that may be lost at the same time.
    """
    members = {member.id: member for member in status.members}
    replaced = _member_with_replaced_disk(members.values(), requests)
    if replaced is not None and replaced != status.member.id:
        return replaced
    for identifier, request in requests.items():
        if identifier not in members:
            return request.member
    return _unresponsive_member(status, required_voters(tolerated_losses))


def _member_with_replaced_disk(
    members: Iterable[Member], requests: Mapping[str, JoinRequest]
) -> str | None:
    """Return the id of a member whose host asks to join with another disk."""
    ids_by_address = {request.member.address: i for i, request in requests.items()}
    for member in members:
        new_id = ids_by_address.get(member.address)
        if new_id is not None and new_id != member.id:
            return member.id
    return None


def _unresponsive_member(status: LogStatus, min_voters: int) -> str | None:
    """Return the id of a member that has not responded for too long."""
    voters = status.voter_count
    replaced = 0 < status.intended_size < voters
    for peer in status.peers:
        if peer.member.role is not MemberRole.VOTER:
            limit_ms = _LEARNER_TIMEOUT_MS
        elif replaced and voters > required_voters(1):
            limit_ms = _REPLACED_VOTER_TIMEOUT_MS
        elif voters > min_voters:
            limit_ms = _LOST_VOTER_TIMEOUT_MS
        else:
            continue
        if peer.silent_ms > limit_ms:
            return peer.member.id
    return None
