"""Directories must converge in whatever order updates arrive."""

from dataclasses import replace

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule
from kingcuplug_membership import Directory, ServerEntry

from .conftest import make_announcement

LIVE = ServerEntry(make_announcement(), ("e0/1",))


@pytest.fixture
def clock() -> list[float]:
    return [0.0]


@pytest.fixture
def directory(clock: list[float]) -> Directory:
    return Directory(lambda: clock[0])


def make_entry(incarnation: int, sequence: int) -> ServerEntry:
    announcement = make_announcement(incarnation=incarnation, sequence=sequence)
    return ServerEntry(announcement, ("e0/1",))


def test_greater_rank_wins(directory: Directory) -> None:
    # Guards against a stale update that replaces a newer one.
    assert directory.merge(make_entry(2, 1))
    assert not directory.merge(make_entry(1, 9))
    assert not directory.merge(make_entry(2, 1))
    assert directory.merge(make_entry(2, 2))
    assert directory.servers("counter") == [make_entry(2, 2)]


def test_lease_end_applies_to_its_announcement_only(directory: Directory) -> None:
    # Guards against a delayed end of a lease that ends the next announcement's lease.
    directory.merge(make_entry(1, 2))
    directory.merge(replace(make_entry(1, 1), ended=("e0/1",)))
    assert directory.servers("counter")
    directory.merge(replace(make_entry(1, 2), ended=("e0/1",)))
    assert not directory.servers("counter")
    assert not directory.merge(make_entry(1, 2))


def test_lease_at_other_host_keeps_server(directory: Directory) -> None:
    # Guards against the loss of a server that announced through two entry hosts: the
    # one without renewals ends its lease.
    directory.merge(LIVE)
    directory.merge(replace(LIVE, held=("e1/1",)))
    directory.merge(replace(LIVE, held=("e1/1",), ended=("e1/1",)))
    assert directory.servers("counter")
    assert directory.end_leases("e0/1") == 1
    assert not directory.servers("counter")


def test_withdrawal_ends_all_leases(directory: Directory) -> None:
    # Guards against a withdrawn server that a second lease keeps listed.
    directory.merge(replace(LIVE, held=("e1/1",)))
    gone = replace(LIVE.announcement, state="withdrawn")
    directory.merge(ServerEntry(gone, ("e0/1",), ("e0/1",)))
    assert not directory.servers("counter")


def test_tombstone_rejects_stale_updates(
    directory: Directory, clock: list[float]
) -> None:
    # Guards against a stale update that restores an ended server, and against
    # tombstones that are never removed.
    directory.merge(replace(LIVE, ended=("e0/1",)))
    clock[0] = 59
    assert directory.purge_tombstones() == 0
    assert not directory.merge(LIVE)
    clock[0] = 61
    assert directory.purge_tombstones() == 1
    assert len(directory) == 0
    assert directory.changes_since(0).entries == ()


def test_changes_are_read_in_batches(directory: Directory) -> None:
    # Guards against entries that are lost between two parts of a long reply.
    entries = [ServerEntry(make_announcement(f"s{n}"), ("e0/1",)) for n in range(7)]
    for entry in entries:
        directory.merge(entry)
    received: list[ServerEntry] = []
    version, more = 0, True
    while more:
        changes = directory.changes_since(version, ("counter",), limit=3)
        received += changes.entries
        version, more = changes.version, changes.more
    assert received == entries
    assert version == directory.version


def test_changes_of_other_services_are_left_out(directory: Directory) -> None:
    # Guards against entry hosts that receive the directory of all services.
    directory.merge(LIVE)
    cutting = replace(LIVE.announcement, service="cutting")
    directory.merge(ServerEntry(cutting, ("e0/1",)))
    for version in (0, 1):
        entries = directory.changes_since(version, ("cutting",)).entries
        assert [entry.key[0] for entry in entries] == ["cutting"]
    assert directory.changes_since(1, ("counter",)).entries == ()


def test_known_entry_is_replicated_again(directory: Directory) -> None:
    # Guards against a server that is never replicated because the control host that
    # received it first was lost.
    directory.merge(LIVE)
    assert directory.changes_since(0, local=True).entries == ()
    assert not directory.merge_and_replicate(LIVE)
    assert directory.changes_since(0, local=True).entries == (LIVE,)


_HOLDERS = ("e0/1", "e1/1")
_UPDATES = st.builds(
    lambda order, state, holder, ended: ServerEntry(
        make_announcement(incarnation=order[0], sequence=order[1], state=state),
        (holder,),
        (holder,) if ended else (),
    ),
    st.tuples(st.integers(0, 2), st.integers(0, 2)),
    st.sampled_from(["serving", "serving", "draining", "withdrawn"]),
    st.sampled_from(_HOLDERS),
    st.booleans(),
)


class Convergence(RuleBasedStateMachine):
    """Updates reach three directories in any order, any number of times."""

    def __init__(self) -> None:
        super().__init__()
        self.updates: list[ServerEntry] = []
        self.directories = [Directory(lambda: 0.0) for _ in range(3)]

    @rule(update=_UPDATES, number=st.integers(0, 2))
    def merge_update(self, update: ServerEntry, number: int) -> None:
        """Merge a new update into one directory."""
        self.updates.append(update)
        self.directories[number].merge(update)

    @rule(choice=st.integers(0, 100), number=st.integers(0, 2))
    def deliver_again(self, choice: int, number: int) -> None:
        """Deliver an update late, or twice."""
        if self.updates:
            update = self.updates[choice % len(self.updates)]
            self.directories[number].merge(update)

    @rule(source=st.integers(0, 2), number=st.integers(0, 2))
    def exchange(self, source: int, number: int) -> None:
        """Merge all entries of one directory into another."""
        for entry in self.directories[source].changes_since(0).entries:
            self.directories[number].merge(entry)

    def teardown(self) -> None:
        """Deliver everything everywhere, in three orders, and compare."""
        # Guards against hosts that never converge after the same updates.
        if not self.updates:
            return
        orders = (self.updates, self.updates[::-1], sorted(self.updates, key=repr))
        final = []
        for directory, updates in zip(self.directories, orders, strict=True):
            for update in updates:
                directory.merge(update)
            final.append(directory.get("counter", "s1"))
        assert final[0] == final[1] == final[2]
        assert final[0] is not None
        assert final[0].rank == self._greatest_rank()

    def _greatest_rank(self) -> tuple[int, int, int]:
        order = max(update.announcement.rank for update in self.updates)
        last = [entry for entry in self.updates if entry.announcement.rank == order]
        withdrawn = any(entry.announcement.state == "withdrawn" for entry in last)
        running = {entry.held for entry in last} - {
            entry.held for entry in last if entry.ended
        }
        return (*order, 0 if running and not withdrawn else 1)


TestConvergence = Convergence.TestCase
TestConvergence.settings = settings(
    derandomize=True, max_examples=60, stateful_step_count=20, deadline=None
)
