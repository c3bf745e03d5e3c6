"""Health of the log's group as its leader sees it, for logs and metrics."""

from dataclasses import dataclass

from kingcuplug_log import LogStatus, MemberRole, QuorumRule

__all__ = ["GroupHealth", "group_health"]

# Several heartbeats; a restarting process is silent for longer than this.
_SILENT_AFTER_MS = 1_000.0


@dataclass(frozen=True, slots=True)
class GroupHealth:
    """Voters of the group and what it can still lose.

    Attributes
    ----------
    silent : tuple of str
        Ids of the voters that do not answer the leader.
    losses_borne : int
        Number of further voters that may lose their disks at the same time. Of an even
        number of voters it counts on hosts that come back, with an empty disk. Negative
        if the quorum is lost already.
    """

    voters: int
    silent: tuple[str, ...]
    losses_borne: int


def group_health(status: LogStatus) -> GroupHealth:
    """Return the health of the group, from the status of its leader's replica."""
    voters = status.voter_count
    silent = tuple(
        peer.member.id
        for peer in status.peers
        if peer.member.role is MemberRole.VOTER
        and (peer.answered_ms_ago is None or peer.answered_ms_ago > _SILENT_AFTER_MS)
    )
    rule = QuorumRule.from_members(status.members)
    live = {member.id for member in status.members}.difference(silent)
    return GroupHealth(voters, silent, rule.losses_borne(live))
