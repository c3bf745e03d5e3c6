"""Tests of the automatic membership changes of the log's group."""

from kingcuplug_fleet import JoinRequest, next_membership_change
from kingcuplug_fleet._membership import is_formed, required_voters
from kingcuplug_log import LogStatus, Member, MemberRole, PeerStatus

from .conftest import make_leader_status


def _member(name: str, disk: str = "1", role: MemberRole = MemberRole.VOTER) -> Member:
    return Member(f"{name}/{disk}", name, f"{name}:1", role)


def _status(
    silent_ms: dict[str, float], intended_size: int = 3, **roles: MemberRole
) -> LogStatus:
    members = [_member("a")]
    members += [_member(n, role=roles.get(n, MemberRole.VOTER)) for n in silent_ms]
    peers = [PeerStatus(m, 5, True, None, silent_ms[m.name]) for m in members[1:]]
    return make_leader_status(members, peers, intended_size)


def _join_requests(*members: Member, empty_disk: bool = True) -> dict[str, JoinRequest]:
    return {member.id: JoinRequest(member, empty_disk, False) for member in members}


def test_new_host_is_added():
    """Guards against a group that stays too small to tolerate a loss."""
    new = _member("d")
    assert next_membership_change(_status({"b": 1, "c": 1}), _join_requests(new)) == new


def test_member_with_an_emptied_disk_is_removed_before_its_host_joins():
    """Guards against counting a voter that has lost the record of its votes."""
    status = _status({"b": 1, "c": 1, "d": 9_000})
    assert (
        next_membership_change(status, _join_requests(_member("d", disk="2"))) == "d/1"
    )


def test_unresponsive_voter_is_kept_without_a_replacement():
    """Guards against shrinking the group whenever a host is partitioned."""
    status = _status({"b": 1, "c": 1, "d": 9_000}, intended_size=4)
    assert next_membership_change(status, {}) is None
    # Logs of older versions do not have the size.
    status = _status({"b": 1, "c": 1, "d": 9_000}, intended_size=0)
    assert next_membership_change(status, {}) is None
    status = _status({"b": 1, "c": 1, "d": 21_000}, intended_size=4)
    assert next_membership_change(status, {}) == "d/1"


def test_unresponsive_voter_is_removed_once_a_replacement_has_joined():
    """Guards against a group that keeps a removed host as a voter."""
    status = _status({"b": 1, "c": 1, "d": 9_000, "e": 1}, intended_size=4)
    assert next_membership_change(status, {}) == "d/1"
    status = _status({"b": 1, "c": 1, "d": 900, "e": 1}, intended_size=4)
    assert next_membership_change(status, {}) is None


def test_group_of_three_voters_is_never_reduced():
    """Guards against a group of two, which does not tolerate a loss."""
    status = _status({"b": 1, "c": 90_000}, intended_size=2)
    assert next_membership_change(status, {}) is None


def test_unresponsive_learner_is_removed():
    """Guards against a dead learner that blocks its own next join request."""
    status = _status({"b": 1, "c": 5_000}, c=MemberRole.LEARNER)
    assert next_membership_change(status, {}) == "c/1"


def test_removed_host_may_rejoin():
    """Guards against a host that can never rejoin after a partition."""
    returning = _member("d")
    assert (
        next_membership_change(
            _status({"b": 1, "c": 1}), _join_requests(returning, empty_disk=False)
        )
        == returning
    )


def _is_formed(voters: int, waited_s: float, seeds: int = 3, **fields: int) -> bool:
    values = {"tolerated_losses": 1, "known_hosts": 3} | fields
    return is_formed(voters=voters, seeds=seeds, waited_s=waited_s, **values)


def test_single_voter_of_three_seeds_never_acknowledges():
    """Guards against losing an acknowledged document with the founder's disk.

    The model checker found this loss in a group that had waited for a long time.
    """
    assert not _is_formed(voters=1, waited_s=1_000.0)
    assert not _is_formed(voters=2, waited_s=1.0)
    assert _is_formed(voters=2, waited_s=7.0, known_hosts=2)
    assert _is_formed(voters=2, waited_s=13.0)
    assert _is_formed(voters=3, waited_s=0.0)
    assert _is_formed(voters=1, waited_s=0.0, seeds=1)


def test_group_waits_for_as_many_voters_as_tolerated_losses_require():
    """Guards against an acknowledged document that is lost with two disks."""
    for voters in (3, 4):
        assert not _is_formed(voters, 5.0, tolerated_losses=2, known_hosts=8)
        # Some control hosts that asked to join are no voters yet.
        assert not _is_formed(voters, 11.0, tolerated_losses=2, known_hosts=8)
    assert _is_formed(5, 0.0, tolerated_losses=2, known_hosts=8)
    assert _is_formed(3, 7.0, tolerated_losses=2, known_hosts=3)


def test_quorum_survives_any_tolerated_losses():
    """Guards against a formula that leaves too few voters for a majority."""
    for losses in range(1, 6):
        smallest = required_voters(losses)
        for voters in range(smallest, smallest + 6):
            assert voters - losses >= voters // 2 + 1
        assert smallest - 1 - losses < (smallest - 1) // 2 + 1


def test_silent_voters_are_kept_if_their_disks_are_needed():
    """Guards against losing a document with two disks after silent voters left."""
    silent = {"b": 1, "c": 1, "d": 1, "e": 30_000, "f": 30_000}
    status = _status(silent, intended_size=6)
    assert next_membership_change(status, {}, tolerated_losses=2) == "e/1"
    del silent["e"]
    status = _status(silent, intended_size=6)
    assert next_membership_change(status, {}, tolerated_losses=2) is None
    assert next_membership_change(status, {}, tolerated_losses=1) == "f/1"
    # A replacement has joined.
    status = _status(silent | {"g": 1}, intended_size=5)
    assert next_membership_change(status, {}, tolerated_losses=2) == "f/1"
