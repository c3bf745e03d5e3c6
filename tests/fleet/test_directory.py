"""Which statements of servers count, whatever their order of arrival."""

from hypothesis import given
from hypothesis import strategies as st
from kingcuplug_fleet import Directory, ServerRecord, ServerState

from .conftest import make_record


def _ids(directory: Directory) -> list[str]:
    return sorted(record.id for record in directory.usable())


def test_late_statement_does_not_undo_a_drain(record):
    """Guards against new work for a leaving server after a delayed heartbeat."""
    directory = Directory(5.0)
    directory.merge(record(sequence=4, state=ServerState.DRAINING), 0.0)
    assert not directory.merge(record(sequence=3), 0.1)
    assert _ids(directory) == []


def test_statement_after_a_withdrawal_is_not_believed(record):
    """Guards against a server that withdrew and still speaks."""
    directory = Directory(5.0)
    directory.merge(record(sequence=4).ended(), 0.0)
    directory.merge(record(sequence=9), 0.1)
    assert _ids(directory) == []


def test_restart_under_the_same_id_counts_from_its_start(record):
    """Guards against ignoring a restarted server whose sequence begins anew."""
    directory = Directory(5.0)
    directory.merge(record(sequence=40).ended(), 0.0)
    assert directory.merge(record(born_ms=2_000, sequence=1), 0.1)
    assert _ids(directory) == ["i-1"]


def test_later_server_takes_over_an_address(record):
    """Guards against sending one service's requests to another's server."""
    directory = Directory(5.0)
    directory.merge(record(id="old", born_ms=1_000), 0.0)
    directory.merge(record(id="new", born_ms=2_000, service="trims"), 0.0)
    assert _ids(directory) == ["new"]
    directory.merge(record(id="old", born_ms=1_000, sequence=9), 0.1)
    assert _ids(directory) == ["new"]


def test_silent_server_is_heard_again_through_another_host(record):
    """Guards against avoiding a server that speaks to another control host."""
    directory = Directory(5.0)
    directory.merge(record(), 0.0)
    assert directory.silent(6.0) == {"i-1"}
    directory.heard("i-1", 1_000, 5, 6.0)
    assert directory.silent(6.0) == set()


def test_word_of_an_earlier_start_does_not_refresh(record):
    """Guards against keeping a server alive by statements of its former start."""
    directory = Directory(5.0)
    directory.merge(record(born_ms=2_000), 0.0)
    directory.heard("i-1", 1_000, 99, 6.0)
    assert directory.silent(6.0) == {"i-1"}


records = st.builds(
    make_record,
    id=st.sampled_from(["a", "b", "c"]),
    born_ms=st.integers(1, 3),
    sequence=st.integers(1, 4),
    address=st.sampled_from(["x:1", "y:1"]),
    state=st.sampled_from(list(ServerState)),
)


@given(st.lists(records, max_size=12), st.randoms(use_true_random=False))
def test_hosts_agree_whatever_the_order(statements: list[ServerRecord], random):
    """Guards against hosts that use different servers after the same statements."""
    greatest: dict[tuple[str, tuple[int, bool, int]], ServerRecord] = {}
    for statement in statements:
        # One start of a server says one thing under one sequence number.
        greatest.setdefault((statement.id, statement.rank), statement)
    unique = list(greatest.values())
    first, second = Directory(5.0), Directory(5.0)
    for statement in unique:
        first.merge(statement, 0.0)
    random.shuffle(unique)
    for statement in (*unique, *unique):
        second.merge(statement, 0.0)
    states = [
        {i: d.find(i) for i in "abc" if d.find(i) is not None} for d in (first, second)
    ]
    assert states[0] == states[1]


def test_changes_are_found_by_version(record):
    """Guards against a host that misses a change after its last version."""
    directory = Directory(5.0)
    directory.merge(record(id="a", address="x:1"), 0.0)
    seen = directory.version
    directory.merge(record(id="b", address="y:1"), 0.0)
    directory.merge(record(id="a", address="x:1", sequence=2), 0.0)
    assert [r.id for r in directory.since(seen)] == ["b"]
    directory.merge(
        record(id="a", address="x:1", sequence=3, state=ServerState.DRAINING), 0.0
    )
    assert {r.id for r in directory.since(seen)} == {"a", "b"}
