"""Automatic membership changes of the log's group, decided by the leader.

No operator forms the group or replaces a host, so the leader does both. A voter whose
disk was replaced or emptied can never return and is removed at once. A voter that does
not respond is removed early only if a new host has joined to replace it, because a host
that was partitioned returns with all its synced data. A host that was removed wrongly
joins again.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from kingcuplug_log import LogStatus, Member, MemberRole

__all__ = ["JoinRequest", "next_membership_change"]

# Longer than an election and the restart of a process.
_REPLACED_VOTER_TIMEOUT_MS = 2_500.0
# A host unreachable for this long is removed even without a replacement; it joins
# again when it returns.
_LOST_VOTER_TIMEOUT_MS = 20_000.0
_LEARNER_TIMEOUT_MS = 4_000.0
# The smallest group that tolerates the loss of one voter.
_MIN_VOTERS = 3


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


def next_membership_change(
    status: LogStatus, requests: Mapping[str, JoinRequest]
) -> Member | str | None:
    """Return the member to add, the id of the one to remove, or ``None``.

    Parameters
    ----------
    status : LogStatus
        Status of the leader's replica.
    requests : mapping
        Recent join requests, by member id.
    """
    members = {member.id: member for member in status.members}
    replaced = _member_with_replaced_disk(members.values(), requests)
    if replaced is not None and replaced != status.member.id:
        return replaced
    for identifier, request in requests.items():
        if identifier not in members:
            return request.member
    return _unresponsive_member(status)


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


def _unresponsive_member(status: LogStatus) -> str | None:
    """Return the id of a member that has not responded for too long."""
    voters = status.voter_count
    for peer in status.peers:
        if peer.member.role is not MemberRole.VOTER:
            limit_ms = _LEARNER_TIMEOUT_MS
        elif voters <= _MIN_VOTERS:
            continue
        elif 0 < status.intended_size < voters:
            limit_ms = _REPLACED_VOTER_TIMEOUT_MS
        else:
            limit_ms = _LOST_VOTER_TIMEOUT_MS
        if peer.silent_ms > limit_ms:
            return peer.member.id
    return None
