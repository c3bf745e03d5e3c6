"""Automatic membership changes of the log's group, decided by the leader.

No operator forms the group or replaces a host, so the leader does both. A voter whose
disk was replaced or emptied can never return and is removed at once. A voter that does
not respond is removed early only if a new host has joined to replace it, because a host
that was partitioned returns with all its synced data. A host that was removed wrongly
joins again. A voter that stops as planned and was replaced leaves before its process
ends: an even number of voters bears no more losses than one voter less. Silent voters
are not removed below the size that the tolerated losses require: their disks still hold
what was acknowledged.

Where the loss of zones is to be tolerated, a host whose vote would expose the group to
such a loss is only an observer until its vote is needed.
"""

from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, replace
from typing import Any

from kingcuplug_log import LogStatus, Member, MemberRole

from kingcuplug_fleet._disk_tolerance import DiskTolerance

__all__ = [
    "JoinRequest",
    "is_formed",
    "may_leave",
    "next_membership_change",
    "voter_zones",
]

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

    @classmethod
    def from_json(cls, value: Any) -> "JoinRequest":
        """Return the request in a message.

        Raises
        ------
        LookupError, TypeError, ValueError
            If the value is malformed.
        """
        return cls(Member.from_json(value["member"]), value["fresh"], value["founding"])


def is_formed(
    zones: Sequence[str],
    seeds: int,
    tolerance: DiskTolerance,
    known_hosts: int,
    waited_s: float,
) -> bool:
    """Return whether a new group has enough voters to acknowledge its first change.

    A single voter of several seeds never has (models/formation.pml,
    ACK_WHILE_FORMING).

    Parameters
    ----------
    zones : sequence of str
        Zone of each voter.
    known_hosts : int
        Number of control hosts that are members or ask to join.
    waited_s : float
        Time since this host's replica was opened.
    """
    voters = len(zones)
    # Seeds in one zone are not all voters where the loss of a zone is to be borne.
    has_seeds = voters >= seeds or tolerance.zones > 0
    if (has_seeds and tolerance.is_met(zones)) or seeds == 1:
        return True
    if waited_s <= _FORMATION_TIMEOUT_S or voters <= seeds // 2:
        return False
    return voters >= known_hosts or waited_s > 2 * _FORMATION_TIMEOUT_S


def voter_zones(members: Iterable[Member]) -> list[str]:
    """Return the zone of each voter."""
    return [m.zone for m in members if m.role is MemberRole.VOTER]


def next_membership_change(
    status: LogStatus,
    requests: Mapping[str, JoinRequest],
    tolerance: DiskTolerance,
) -> Member | str | None:
    """Return the member to add, the id of the one to remove, or ``None``.

    Parameters
    ----------
    status : LogStatus
        Status of the leader's replica.
    requests : mapping
        Recent join requests, by member id.
    tolerance : DiskTolerance
        Losses of disks that the group is to bear.
    """
    members = {member.id: member for member in status.members}
    replaced = _member_with_replaced_disk(members.values(), requests)
    if replaced is not None and replaced != status.member.id:
        return replaced
    if tolerance.zones:
        change = _change_for_zones(status, requests, tolerance)
        return change or _unresponsive_member(status, tolerance)
    for identifier, request in requests.items():
        if identifier not in members:
            return request.member
    return _outdated_member(status, requests) or _unresponsive_member(status, tolerance)


def _outdated_member(
    status: LogStatus, requests: Mapping[str, JoinRequest]
) -> Member | None:
    """Return a member as its host describes it now, if the group lists it otherwise."""
    for member in status.members:
        request = requests.get(member.id)
        if request is None:
            continue
        updated = replace(
            member,
            zone=request.member.zone or member.zone,
            half_quorums=request.member.half_quorums,
        )
        if updated != member:
            return updated
    return None


def _change_for_zones(
    status: LogStatus, requests: Mapping[str, JoinRequest], tolerance: DiskTolerance
) -> Member | str | None:
    """Return a change towards voters of which no zone holds too many.

    One host at a time becomes a voter, so that learners that are promoted in another
    order than they were added make no group that bears less.
    """
    outdated = _outdated_member(status, requests)
    if outdated is not None:
        return outdated
    members = {member.id: member for member in status.members}
    if any(m.role is MemberRole.LEARNER for m in members.values()):
        return None
    candidates = [
        request.member
        for identifier, request in requests.items()
        if identifier not in members or members[identifier].role is MemberRole.OBSERVER
    ]
    return (
        _next_voter(status, candidates, tolerance)
        or next(
            (
                replace(candidate, role=MemberRole.OBSERVER)
                for candidate in candidates
                if candidate.id not in members
            ),
            None,
        )
        or _surplus_voter(status, candidates, tolerance)
    )


def _next_voter(
    status: LogStatus, candidates: Sequence[Member], tolerance: DiskTolerance
) -> Member | None:
    """Return the host that is to be a voter next, of the zone with the fewest."""
    voters = voter_zones(status.members)
    lost = _lost_voter_zones(status)
    live = Counter(voters) - lost
    target = tolerance.largest_group([*live.elements(), *(m.zone for m in candidates)])
    for candidate in sorted(candidates, key=lambda member: live[member.zone]):
        zone = candidate.zone
        if target is None:
            # No choice bears the losses, so as many machines as possible are borne.
            if not tolerance.is_met(voters) or tolerance.may_add(voters, zone):
                return candidate
        # The place of a lost voter is taken although both are listed for a moment: the
        # lost one is removed next, and would otherwise stay for good.
        elif live[zone] < target[zone] and (
            tolerance.may_add(voters, zone) or lost[zone]
        ):
            return candidate
    return None


def _surplus_voter(
    status: LogStatus, candidates: Sequence[Member], tolerance: DiskTolerance
) -> str | None:
    """Return the id of a voter by which its zone holds too many, or ``None``."""
    voters = voter_zones(status.members)
    if "" in voters or tolerance.is_met(voters):
        return None
    target = tolerance.largest_group([*voters, *(m.zone for m in candidates)])
    if target is None:
        return None
    for peer in status.peers:
        zone = peer.member.zone
        is_surplus = voters.count(zone) > target[zone]
        is_voter = peer.member.role is MemberRole.VOTER
        if is_voter and is_surplus and tolerance.may_remove(voters, zone):
            return peer.member.id
    return None


def _lost_voter_zones(status: LogStatus) -> Counter[str]:
    """Return the number of voters per zone that have been silent for too long."""
    return Counter(
        peer.member.zone
        for peer in status.peers
        if peer.member.role is MemberRole.VOTER
        and peer.silent_ms > _LOST_VOTER_TIMEOUT_MS
    )


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


def may_leave(
    status: LogStatus, identifier: str, tolerance: DiskTolerance
) -> bool | None:
    """Return whether a voter that stops was replaced; ``None`` if it is no voter."""
    for member in status.members:
        if member.id == identifier and member.role is MemberRole.VOTER:
            return _has_surplus(status) and _may_remove(
                status, tolerance, member.zone, replaced=True
            )
    return None


def _has_surplus(status: LogStatus) -> bool:
    """Return whether there are more voters than the group is meant to have."""
    return 0 < status.intended_size < len(voter_zones(status.members))


def _may_remove(
    status: LogStatus, tolerance: DiskTolerance, zone: str, replaced: bool = False
) -> bool:
    """Return whether a voter in a zone may leave while its disk is intact."""
    voters = voter_zones(status.members)
    learners = [m.zone for m in status.members if m.role is MemberRole.LEARNER]
    # A learner may become a voter at any moment after the removal.
    with_learners = [*voters, *learners] if tolerance.zones else voters
    return all(
        tolerance.may_remove(group, zone, replaced) for group in (voters, with_learners)
    )


def _unresponsive_member(status: LogStatus, tolerance: DiskTolerance) -> str | None:
    """Return the id of a member that has not responded for too long."""
    replaced = _has_surplus(status)
    for peer in status.peers:
        zone = peer.member.zone
        if peer.member.role is not MemberRole.VOTER:
            limit_ms = _LEARNER_TIMEOUT_MS
        elif replaced and _may_remove(status, tolerance, zone, replaced):
            limit_ms = _REPLACED_VOTER_TIMEOUT_MS
        elif _may_remove(status, tolerance, zone):
            limit_ms = _LOST_VOTER_TIMEOUT_MS
        else:
            continue
        if peer.silent_ms > limit_ms:
            return peer.member.id
    return None
