"""The lease table must end leases of lost servers, not of those it cannot reach."""

from dataclasses import replace

import pytest
from kingcuplug_membership import (
    Announcement,
    AnnouncementInvalid,
    AnnouncementStale,
    HostUnconfirmed,
    LeaseTable,
    LeaseUnknown,
    ServerEntry,
)

from .conftest import make_announcement


class ControlledLeaseTable(LeaseTable):
    """Lease table whose clock, session state and directory entry the test sets."""

    def __init__(self) -> None:
        self.now = 100.0
        self.session_runs = True
        self.entry: ServerEntry | None = None
        super().__init__(
            "e0/1",
            "127.0.0.1:1",
            lambda: self.now,
            lambda: self.session_runs,
            lambda service, server: self.entry,
        )

    def entry_states(self) -> list[tuple[int, bool]]:
        """Return sequence and liveness of the entries that a new session sends."""
        return [
            (entry.announcement.sequence, entry.live)
            for entry in self.changes_since(0)[0]
        ]


@pytest.fixture
def table() -> ControlledLeaseTable:
    return ControlledLeaseTable()


@pytest.fixture
def announcement() -> Announcement:
    return make_announcement()


def test_lease_ends_without_renewal(
    table: ControlledLeaseTable, announcement: Announcement
) -> None:
    # Guards against a lost server that stays in the directory.
    granted = table.announce(announcement)
    table.now += granted.lease_ms / 1_000 - 0.01
    assert table.expire() == 0
    table.now += 0.02
    assert table.expire() == 1
    assert table.entry_states() == [(1, False)]


def test_renewal_keeps_lease(
    table: ControlledLeaseTable, announcement: Announcement
) -> None:
    # Guards against a live server that is dropped.
    granted = table.announce(announcement)
    for _ in range(10):
        table.now += granted.renew_ms / 1_000
        table.renew("s1", 1, 1)
        assert table.expire() == 0
    assert table.entry_states() == [(1, True)]


@pytest.mark.parametrize("order", [("s2", 1, 1), ("s1", 2, 1), ("s1", 1, 2)])
def test_renewal_without_lease_is_rejected(
    table: ControlledLeaseTable, announcement: Announcement, order: tuple[str, int, int]
) -> None:
    # Guards against a server that goes on renewing a lease that does not exist.
    table.announce(announcement)
    with pytest.raises(LeaseUnknown, match="greater sequence"):
        table.renew(*order)


def test_ended_lease_needs_greater_sequence(
    table: ControlledLeaseTable, announcement: Announcement
) -> None:
    # Guards against a delayed copy of an announcement that restores a lost server.
    table.announce(announcement)
    table.now += 3
    table.expire()
    with pytest.raises(AnnouncementStale):
        table.announce(announcement)
    with pytest.raises(LeaseUnknown):
        table.renew("s1", 1, 1)
    table.announce(replace(announcement, sequence=2))
    assert table.entry_states() == [(2, True)]


def test_end_known_to_directory_needs_greater_sequence(
    table: ControlledLeaseTable, announcement: Announcement
) -> None:
    # Guards against a delayed copy that arrives at another entry host.
    table.entry = ServerEntry(announcement, ("e1/1",), ("e1/1",))
    with pytest.raises(AnnouncementStale):
        table.announce(announcement)


def test_older_announcement_is_rejected(
    table: ControlledLeaseTable, announcement: Announcement
) -> None:
    # Guards against a stale announcement that replaces a newer one.
    table.announce(replace(announcement, incarnation=2))
    with pytest.raises(AnnouncementStale, match="incarnation 2"):
        table.announce(replace(announcement, sequence=9))


def test_changed_content_needs_greater_sequence(
    table: ControlledLeaseTable, announcement: Announcement
) -> None:
    # Guards against hosts that hold different content for one incarnation and sequence.
    table.announce(announcement)
    with pytest.raises(AnnouncementInvalid, match="greater sequence"):
        table.announce(replace(announcement, slots=4))


def test_withdrawal_is_final(
    table: ControlledLeaseTable, announcement: Announcement
) -> None:
    # Guards against a withdrawn server that is listed again.
    table.announce(announcement)
    table.announce(replace(announcement, state="withdrawn"))
    table.announce(replace(announcement, state="withdrawn"))
    assert table.entry_states() == [(1, False)]
    with pytest.raises(AnnouncementStale):
        table.announce(announcement)


def test_unconfirmed_host_rejects_servers(
    table: ControlledLeaseTable, announcement: Announcement
) -> None:
    # Guards against servers that stay with an entry host that is cut off.
    table.announce(announcement)
    table.session_runs = False
    with pytest.raises(HostUnconfirmed):
        table.renew("s1", 1, 1)
    with pytest.raises(HostUnconfirmed):
        table.announce(replace(announcement, sequence=2))


def test_unconfirmed_host_expires_no_lease(
    table: ControlledLeaseTable, announcement: Announcement
) -> None:
    # Guards against an entry host that is cut off and ends the leases of its servers.
    table.announce(announcement)
    table.session_runs = False
    table.now += 60
    assert table.expire() == 0
    table.session_runs = True
    assert table.expire() == 0
    table.now += 2.1
    assert table.expire() == 1


def test_change_of_service_ends_former_entry(
    table: ControlledLeaseTable, announcement: Announcement
) -> None:
    # Guards against a server that stays in the service that it left.
    table.announce(announcement)
    table.announce(replace(announcement, service="cutting", sequence=2))
    live = {entry.key[0]: entry.live for entry in table.changes_since(0)[0]}
    assert live == {"counter": False, "cutting": True}
    table.announce(replace(announcement, sequence=3))
    live = {entry.key[0]: entry.live for entry in table.changes_since(0)[0]}
    assert live == {"counter": True, "cutting": False}


def test_ended_leases_are_purged(
    table: ControlledLeaseTable, announcement: Announcement
) -> None:
    # Guards against a table that keeps every server that ever announced.
    table.announce(announcement)
    table.now += 3
    table.expire()
    table.now += 61
    table.expire()
    assert table.entry_states() == []
