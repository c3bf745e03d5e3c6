"""Unit tests of the configuration history."""

import json
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from kingcuplug_common import canonical
from kingcuplug_configuration import (
    Accepted,
    ApplyConfiguration,
    CommandInvalid,
    ConfigurationHistory,
    ConfigurationText,
    Conflict,
    DigestMismatch,
    DumpInvalid,
    Rejected,
    Service,
    _history,
    apply_deltas,
    compute_delta,
    describe_changes,
    merge_deltas,
    parse,
    patch,
    render,
    result_from_json,
)


def text(*names: str, **fields: Any) -> str:
    return json.dumps({"services": {name: {} for name in names}} | fields)


def change(
    name: str, base: int, body: str, author: str = "anna", time_ms: int = 5
) -> ApplyConfiguration:
    return ApplyConfiguration(name, base, body, author, time_ms)


@pytest.fixture
def history() -> ConfigurationHistory:
    return ConfigurationHistory()


@pytest.mark.parametrize("condensed", [False, True])
def test_resend_gets_the_same_revision(
    history: ConfigurationHistory, condensed: bool
) -> None:
    # Guards against a resend that is accepted twice, or that returns a conflict after
    # other changes.
    first = change("c1", 0, text("a"))
    sent = history.condense(first) if condensed else first
    assert history.apply(sent.to_json()) == Accepted(1)
    for number in range(1, 40):
        history.apply(change(f"d{number}", number, text("a", f"b{number}")))
    assert history.apply(first) == history.apply(sent) == Accepted(1)
    assert history.apply(history.condense(first)) == Accepted(1)
    assert history.current.number == 40


def test_conflict_reports_the_accepted_change(history: ConfigurationHistory) -> None:
    # Guards against a conflict that does not tell whose change is in force.
    history.apply(change("c1", 0, text("a")))
    history.apply(change("c2", 1, text("a", "b"), "berta", 9))
    history.apply(change("c3", 2, text("a", "c", retention_days=5), "carl", 12))
    result = history.apply(change("c4", 1, text("a", "z"), "zoe"))
    assert isinstance(result, Conflict)
    assert (result.current_revision, result.winner_author) == (3, "carl")
    assert result.winner_time_ms == 12
    missed_delta = result.difference
    assert missed_delta is not None
    assert (set(missed_delta.changed), missed_delta.removed) == ({"c"}, ("b",))
    assert missed_delta.retention_days == 5
    assert render(patch(parse(text("a")), missed_delta)) == history.current.text
    assert result_from_json(json.loads(json.dumps(result.to_json()))) == result
    assert "carl" in str(result)


def test_nonexistent_base_revision_is_a_conflict(history: ConfigurationHistory) -> None:
    # Guards against a change whose base revision belongs to another cluster.
    result = history.apply(change("c1", 7, text("a")))
    assert result == Conflict(0, "", 0, None)


def test_reused_change_id_is_rejected(history: ConfigurationHistory) -> None:
    # Guards against an acceptance that belongs to another text.
    history.apply(change("c1", 0, text("a")))
    result = history.apply(change("c1", 1, text("b")))
    assert isinstance(result, Rejected)
    assert "another change, revision 1 by anna" in str(result.faults[0])
    assert result_from_json(result.to_json()) == result


def test_text_with_faults_is_rejected(history: ConfigurationHistory) -> None:
    # Guards against an exception that crashes every voter at the same log entry.
    result = history.apply(change("c1", 0, '{"services": {"A": {}, "b": 1}}'))
    assert isinstance(result, Rejected)
    assert len(result.faults) == 2
    assert history.current.number == 0


def test_delta_with_missing_dependency_is_rejected(
    history: ConfigurationHistory,
) -> None:
    # Guards against a delta that bypasses the checks of a whole text.
    both = '{"services": {"a": {}, "b": {"depends_on": ["a"]}}}'
    history.apply(change("c1", 0, both))
    services = {"b": history.configuration.services["b"]}
    delta = compute_delta(history.configuration, ConfigurationText(services))
    command = ApplyConfiguration("c2", 1, "", "anna", 5, delta)
    result = history.apply(command)
    assert isinstance(result, Rejected)
    assert "unknown service 'a'" in str(result.faults[0])
    assert history.current.number == 1


def test_delta_with_dependency_cycle_is_rejected(history: ConfigurationHistory) -> None:
    # Guards against a cycle check that is skipped although the delta changes the graph.
    both = '{"services": {"a": {}, "b": {"depends_on": ["a"]}}}'
    history.apply(change("c1", 0, both))
    services = history.configuration.services
    cycle = ConfigurationText({**services, "a": Service("a", ("b",))})
    delta = compute_delta(history.configuration, cycle)
    result = history.apply(ApplyConfiguration("c2", 1, "", "anna", 5, delta))
    assert isinstance(result, Rejected)
    assert "a -> b -> a" in str(result.faults[0])


@pytest.mark.parametrize(
    "fields",
    [
        {"change_id": ""},
        {"change_id": 5},
        {"author": "x" * 129},
        {"base_revision": -1},
        {"base_revision": True},
        {"text": ""},
        {"delta": 5},
        {"delta": {}},
        {"time_ms": None},
    ],
)
def test_malformed_commands_are_rejected(
    history: ConfigurationHistory, fields: dict[str, Any]
) -> None:
    # Guards against a log entry that crashes every voter that applies it.
    message = change("c1", 0, text("a")).to_json() | fields
    with pytest.raises(CommandInvalid):
        ApplyConfiguration.from_json(message)
    assert isinstance(history.apply(message), Rejected)
    assert history.current.number == 0


_values = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.sampled_from(["", "x", "\ud800", "{}", 10**400]),
    lambda inner: (
        st.lists(inner, max_size=2)
        | st.dictionaries(
            st.sampled_from(["a", "policy", "changed"]), inner, max_size=2
        )
    ),
    max_leaves=4,
)


@settings(derandomize=True, max_examples=300, deadline=None)
@given(st.data())
def test_fuzzed_commands_are_answered(data: st.DataObject) -> None:
    # Guards against a log entry that crashes every voter that applies it.
    history = ConfigurationHistory()
    message = history.condense(change("c1", 0, text("a"))).to_json()
    if data.draw(st.booleans()):
        message = change("c1", 0, text("a")).to_json()
    place = message
    if message["delta"] and data.draw(st.booleans()):
        place = message["delta"]
    place[data.draw(st.sampled_from(sorted(place)))] = data.draw(_values)
    json.dumps(history.apply(message).to_json(), allow_nan=False).encode()
    canonical(history.dump())


@pytest.mark.parametrize("field", ["author", "change_id", "removed"])
def test_command_with_a_lone_surrogate_is_rejected(field: str) -> None:
    # Guards against a log entry that every voter accepts and none can encode.
    history = ConfigurationHistory()
    message = history.condense(change("c1", 0, text("a"))).to_json()
    if field == "removed":
        message["delta"]["removed"] = ["\ud800"]
    else:
        message[field] = "\ud800"
    assert isinstance(history.apply(message), Rejected)
    canonical(history.dump())


def test_stored_changes_and_deltas_are_bounded(
    history: ConfigurationHistory, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against unbounded memory, and against an evicted change that is accepted a
    # second time.
    monkeypatch.setattr(_history, "MAX_STORED_CHANGES", 3)
    monkeypatch.setattr(_history, "MAX_STORED_DELTAS", 4)
    for number in range(6):
        history.apply(change(f"c{number}", number, text(f"s{number}")))
    assert [history.find_change(f"c{n}") is None for n in range(6)] == [True] * 3 + [
        False
    ] * 3
    assert history.deltas_since(2) is not None
    assert history.deltas_since(1) is None
    assert history.deltas_since(7) is None
    assert history.deltas_since(6) == []
    assert isinstance(history.apply(change("c0", 0, text("s0"))), Conflict)
    assert history.current.number == 6


def test_services_in_stored_deltas_are_bounded(
    history: ConfigurationHistory, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against unbounded memory when each delta changes many services.
    monkeypatch.setattr(_history, "MAX_SERVICES_IN_STORED_DELTAS", 6)
    for number in range(6):
        history.apply(change(f"c{number}", number, text(f"s{number}")))
    assert history.deltas_since(3) is not None
    assert history.deltas_since(2) is None


def test_missed_deltas_lead_to_the_current_text(history: ConfigurationHistory) -> None:
    # Guards against a host that missed hundreds of changes and gets another text.
    for number in range(300):
        history.apply(change(f"c{number}", number, text("a", f"s{number % 7}")))
    missed = history.deltas_since(0)
    assert missed is not None
    new = apply_deltas(parse(text()), missed)
    assert render(new) == history.current.text
    assert patch(parse(text()), merge_deltas(missed)) == new
    with pytest.raises(DigestMismatch, match="revision 3"):
        apply_deltas(parse(text()), [missed[0], *missed[2:]])
    with pytest.raises(DigestMismatch):
        patch(parse(text("other")), missed[0])


def test_patch_verifies_the_digest() -> None:
    # Guards against a delta that was altered in transit.
    old, new = parse(text("a")), parse(text("a", "b"))
    message = compute_delta(old, new).to_json()
    message["changed"]["c"] = {}
    altered = type(compute_delta(old, new)).from_json(message)
    with pytest.raises(DigestMismatch, match="fetch the whole text"):
        patch(old, altered)


def test_damaged_dump_is_rejected(history: ConfigurationHistory) -> None:
    # Guards against a voter that continues with a damaged snapshot.
    history.apply(change("c1", 0, text("a")))
    before = history.dump()
    number, _, *other_fields = before["current"]
    for damage in (
        {"format": 2},
        {"current": [number, text("b"), *other_fields]},
        {"current": [number, "{", *other_fields]},
        {"deltas": [{}]},
        {"changes": 5},
    ):
        with pytest.raises(DumpInvalid):
            history.load(before | damage)
        assert history.dump() == before


def test_describe_changes_lists_every_field() -> None:
    # Guards against a description that omits a changed field.
    old = parse(
        '{"services": {"a": {}, "b": {"depends_on": ["a"]}, "gone": {},'
        ' "c": {"depends_on": ["a", "b"]}}}'
    )
    new = parse(
        '{"retention_days": 30, "services": {"a": {"policy": {"deadline_ms": 50}},'
        ' "b": {}, "c": {"depends_on": ["b", "a"]}, "new": {"depends_on": ["a"]}}}'
    )
    assert describe_changes(old, new).splitlines() == [
        "retention_days: 90 -> 30",
        "~ service a",
        "    policy.deadline_ms: 1000 -> 50",
        "~ service b",
        "    depends_on: - a",
        "~ service c",
        "    depends_on: order is now b, a",
        "- service gone",
        "+ service new",
        "    depends_on: + a",
    ]
    assert describe_changes(old, old) == ""
