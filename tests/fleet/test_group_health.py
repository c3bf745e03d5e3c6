"""Tests of the figures that show what the log's group can still lose."""

from dataclasses import replace

import pytest
from kingcuplug_fleet._group_health import group_health
from kingcuplug_log import LogStatus, Member, MemberRole, PeerStatus

from .conftest import make_leader_status


def _status(answered_ms_ago: list[float | None]) -> LogStatus:
    members = [Member(f"{i}/1", str(i), f"{i}:1") for i in range(4)]
    members = members[: len(answered_ms_ago) + 1]
    peers = [
        PeerStatus(member, 5, True, age_ms, age_ms or 0.0)
        for member, age_ms in zip(members[1:], answered_ms_ago, strict=True)
    ]
    return make_leader_status(members, peers, intended_size=len(members))


@pytest.mark.parametrize(
    ("answered_ms_ago", "silent", "losses_borne"),
    [
        ([10.0, 10.0], (), 1),
        ([10.0, 9_000.0], ("2/1",), 0),
        ([9_000.0, 9_000.0], ("1/1", "2/1"), -1),
        ([None, 10.0, 10.0], ("1/1",), 0),
    ],
)
def test_health_shows_voters_that_never_answered(answered_ms_ago, silent, losses_borne):
    """Guards against a group that cannot bear a loss while its figures look fine."""
    health = group_health(_status(answered_ms_ago))
    assert health.voters == len(answered_ms_ago) + 1
    assert (health.silent, health.losses_borne) == (silent, losses_borne)


def test_health_counts_disks_that_half_of_the_voters_can_lose():
    """Guards against figures that show a loss as borne, or not, against the rule."""
    status = _status([None, 10.0, 10.0])
    fields = vars(status) | {
        "members": tuple(replace(m, half_quorums=True) for m in status.members)
    }
    assert group_health(LogStatus(**fields)).losses_borne == 1


def test_observer_is_no_voter():
    """Guards against counting members that do not vote."""
    status = _status([10.0, None])
    observer = Member("2/1", "2", "2:1", MemberRole.OBSERVER)
    peers = (status.peers[0], PeerStatus(observer, 0, False, None, 0.0))
    fields = vars(status) | {"members": (*status.members[:2], observer), "peers": peers}
    assert group_health(LogStatus(**fields)).silent == ()
