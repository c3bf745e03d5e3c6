"""Unit tests of the order ledger."""

import dataclasses
import json
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from kingcuplug_common import canonical
from kingcuplug_ledger import (
    Attached,
    Claim,
    Claimed,
    Dispatch,
    DispatchRecorded,
    DispatchRefused,
    DumpInvalid,
    KeyExpired,
    KeyFromFuture,
    KeyReused,
    Lookup,
    MalformedCommand,
    OrderLedger,
    Outcome,
    OutcomeRecorded,
    OutcomeRefused,
    Release,
    Released,
    ReleaseRefused,
    command_to_json,
    result_from_json,
    result_to_json,
    with_command_time,
)

DAY_MS = 86_400_000
NOW_MS = 100 * DAY_MS
SKEW_MS = 300_000
KEY = f"{NOW_MS}-abcdefgh"


def claim(token: str = "t1", **fields: Any) -> Claim:
    base = Claim(KEY, "d", "laudos", "entry-1", 1, token, NOW_MS, 7, 10 * DAY_MS)
    return dataclasses.replace(base, **fields)


def dispatch(token: str = "t1", time_ms: int = NOW_MS, attempt: str = "a1") -> Dispatch:
    return Dispatch(KEY, token, "server-1", attempt, time_ms)


def outcome(kind: Any = "done", token: str = "t1", time_ms: int = NOW_MS) -> Outcome:
    return Outcome(KEY, token, kind, "ok", {"laudo": 1}, time_ms)


def release(token: str = "t1", time_ms: int = NOW_MS) -> Release:
    return Release(KEY, token, time_ms)


@pytest.fixture
def ledger() -> OrderLedger:
    return OrderLedger()


def test_record_explains_every_step_of_an_order(ledger: OrderLedger) -> None:
    # Guards against a record that does not show an operator what happened to an order.
    for command, result in (
        (claim(), Claimed("t1")),
        (dispatch(), DispatchRecorded("a1")),
        (outcome(), OutcomeRecorded()),
    ):
        assert ledger.apply(command_to_json(command)) == result
    record = ledger.lookup(KEY)
    assert record is not None
    assert (record.host, record.host_incarnation, record.server) == (
        "entry-1",
        1,
        "server-1",
    )
    explanation = ledger.explain(KEY)
    for text in ("entry-1 (incarnation 1)", "revision 7", "server-1", "done", "1970-"):
        assert text in explanation


def test_repeated_command_gets_the_same_result(ledger: OrderLedger) -> None:
    # Guards against a resend that returns another result than the lost one.
    for command in (claim(), dispatch(), outcome()):
        assert ledger.apply(command) == ledger.apply(command)


def test_takeover_supersedes_the_previous_holder(ledger: OrderLedger) -> None:
    # Guards against two hosts that both dispatch one order.
    ledger.apply(claim())
    assert ledger.apply(claim("t2", host="entry-2")) == Attached(
        "claimed", None, "entry-1", 1
    )
    assert ledger.apply(claim("t2", host="entry-2", takeover=True)) == Claimed("t2")
    assert ledger.apply(dispatch("t1")) == DispatchRefused("superseded")
    assert ledger.apply(dispatch("t2")) == DispatchRecorded("a1")
    assert ledger.apply(claim("t3", takeover=True)) == Attached(
        "dispatched", None, "entry-2", 1
    )


def test_second_attempt_is_not_dispatched(ledger: OrderLedger) -> None:
    # Guards against a second dispatch by the holder of the claim.
    ledger.apply(claim())
    ledger.apply(dispatch(attempt="a1"))
    refused = DispatchRefused("already_dispatched")
    assert ledger.apply(dispatch(attempt="a2")) == refused
    ledger.apply(outcome())
    assert ledger.apply(dispatch(attempt="a1")) == refused


def test_delayed_claim_after_release_is_refused(ledger: OrderLedger) -> None:
    # Guards against a key that stays claimed by a live host that will not use it.
    ledger.apply(claim())
    assert ledger.apply(release()) == Released()
    assert ledger.apply(release()) == Released()
    assert ledger.apply(claim()) == Attached("released", None, "entry-1", 1)
    assert ledger.apply(dispatch()) == DispatchRefused("superseded")
    assert ledger.apply(claim("t2")) == Claimed("t2")


def test_claim_delivered_after_its_release_is_refused(ledger: OrderLedger) -> None:
    # Guards against a delayed claim that is granted after its own release.
    assert ledger.apply(release()) == Released()
    assert isinstance(ledger.apply(claim()), Attached)
    assert ledger.apply(claim("t2")) == Claimed("t2")


def test_release_after_dispatch_is_refused(ledger: OrderLedger) -> None:
    # Guards against a transition from dispatched back to claimed.
    ledger.apply(claim())
    ledger.apply(dispatch())
    assert ledger.apply(release()) == ReleaseRefused("already_dispatched")
    ledger.apply(outcome("not_run"))
    assert ledger.apply(release()) == ReleaseRefused("already_dispatched")
    assert isinstance(ledger.apply(claim("t2", takeover=True)), Attached)


def test_outcome_is_final_unless_unknown(ledger: OrderLedger) -> None:
    # Guards against not_run in place of done, and against the loss of a late done.
    ledger.apply(claim())
    assert ledger.apply(outcome()) == OutcomeRefused("not_dispatched")
    ledger.apply(dispatch())
    assert ledger.apply(outcome("unknown")) == OutcomeRecorded()
    assert ledger.apply(outcome("done")) == OutcomeRecorded()
    for kind in ("not_run", "unknown"):
        result = ledger.apply(outcome(kind))
        assert isinstance(result, OutcomeRefused)
        assert result.outcome is not None
        assert result.outcome.kind == "done"
    assert ledger.apply(outcome(token="t2")) == OutcomeRefused("superseded")


def test_key_of_another_order_is_refused(ledger: OrderLedger) -> None:
    # Guards against an outcome that belongs to another body or service.
    ledger.apply(claim())
    assert ledger.apply(claim("t2", digest="other")) == KeyReused()
    assert ledger.apply(claim("t2", service="other")) == KeyReused()


def test_issue_time_outside_the_retention_is_refused(ledger: OrderLedger) -> None:
    # Guards against keys that are too far in the future or older than the retention.
    early = NOW_MS - SKEW_MS - 1
    assert ledger.apply(claim(time_ms=early)) == KeyFromFuture(1)
    assert ledger.apply(claim(time_ms=NOW_MS + 10 * DAY_MS + 1)) == KeyExpired()
    # The ledger's time never decreases, so the key stays expired.
    assert ledger.apply(claim(time_ms=NOW_MS)) == KeyExpired()


def test_dispatch_after_the_retention_is_refused(ledger: OrderLedger) -> None:
    # Guards against a dispatch after the key of its claim has expired.
    ledger.apply(claim())
    late = dispatch(time_ms=NOW_MS + 10 * DAY_MS + 1)
    assert ledger.apply(late) == DispatchRefused("expired")


def test_purged_key_cannot_be_claimed_again(ledger: OrderLedger) -> None:
    # Guards against a purged key that becomes valid again when the retention is
    # increased, also after a release has created an entry for the key.
    for command in (claim(), dispatch(), outcome()):
        ledger.apply(command)
    later = NOW_MS + 10 * DAY_MS + SKEW_MS + 1
    ledger.apply(Release(f"{later}-trigger1", "t0", later))
    assert ledger.lookup(KEY) is None
    again = claim("t2", time_ms=later, retention_ms=90 * DAY_MS)
    assert ledger.apply(again) == KeyExpired()
    ledger.apply(release("t3", later))
    assert ledger.apply(again) == KeyExpired()
    assert "purged" in ledger.explain(KEY)


def test_record_is_kept_for_the_retention_plus_clock_skew(ledger: OrderLedger) -> None:
    # Guards against KeyExpired for an order whose record still exists.
    for command in (claim(), dispatch(), outcome()):
        ledger.apply(command)
    late = claim("t2", time_ms=NOW_MS + 10 * DAY_MS + SKEW_MS)
    assert isinstance(ledger.apply(late), Attached)


def test_purge_is_bounded_and_deterministic_after_load() -> None:
    # Guards against a command that stalls a voter while it purges, and against replicas
    # that purge different records because one of them has loaded a snapshot.
    original, restored = OrderLedger(), OrderLedger()
    for number in range(200):
        key = f"{NOW_MS + number}-abcdefgh"
        original.apply(Release(key, "t0", NOW_MS + number))
        original.apply(claim(key=key, time_ms=NOW_MS + number))
    restored.load(json.loads(json.dumps(original.dump())))
    sizes = []
    for step in range(4):
        commands = (
            Lookup(KEY),
            Release(f"{NOW_MS}-{step}rigger1", "t", NOW_MS * 2 + step),
        )
        for command in commands:
            original.apply(command)
            restored.apply(command)
        assert original.dump() == restored.dump()
        sizes.append(len(original))
    assert sizes == [136, 72, 8, 0]


@pytest.mark.parametrize(
    "message",
    [
        {},
        {"type": "claim"},
        {"type": "purge"},
        {"type": ["claim"]},
        with_command_time({**command_to_json(dispatch()), "key": "1"}, 5),
        {**command_to_json(outcome()), "kind": "maybe"},
    ],
)
def test_malformed_commands_change_nothing(
    ledger: OrderLedger, message: dict[str, Any]
) -> None:
    # Guards against a log entry that crashes every voter that applies it.
    before = ledger.dump()
    assert isinstance(ledger.apply(message), MalformedCommand)
    assert ledger.dump() == before


_values = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.sampled_from(["", "x", "\ud800", 10**14, 10**15, 10**400]),
    lambda inner: (
        st.lists(inner, max_size=2)
        | st.dictionaries(st.sampled_from(["key", "type"]), inner, max_size=2)
    ),
    max_leaves=4,
)


@settings(derandomize=True, max_examples=400, deadline=None)
@given(st.data())
def test_fuzzed_commands_are_answered(data: st.DataObject) -> None:
    # Guards against a log entry that crashes every voter that applies it, and against a
    # record that cannot be shown to an operator afterwards.
    ledger = OrderLedger()
    for command in (claim(), dispatch(), outcome(), release("t2")):
        message = command_to_json(command)
        if data.draw(st.booleans()):
            field = data.draw(st.sampled_from(sorted(message.keys() - {"body"})))
            message[field] = data.draw(_values)
        canonical(result_to_json(ledger.apply(message)))
        ledger.explain(KEY).encode()
    canonical(ledger.dump())


@pytest.mark.parametrize("field", ["token", "host", "author", "key"])
def test_command_with_a_lone_surrogate_is_malformed(field: str) -> None:
    # Guards against a log entry that every voter accepts and none can encode.
    ledger = OrderLedger()
    message = command_to_json(claim())
    if field in message:
        message[field] = "\ud800"
    else:
        message["body"] = {"text": "\ud800"}
    assert isinstance(ledger.apply(message), MalformedCommand)
    canonical(ledger.dump())


def test_results_round_trip_through_json(ledger: OrderLedger) -> None:
    # Guards against results that change when they are sent to the client.
    ledger.apply(claim())
    ledger.apply(claim("t2", takeover=True))
    ledger.apply(dispatch("t2"))
    results = [
        ledger.apply(command)
        for command in (outcome(token="t2"), Lookup(KEY), claim("t3"), release("t2"))
    ]
    for result in results:
        assert result_from_json(json.loads(json.dumps(result_to_json(result)))) == (
            result
        )


@pytest.mark.parametrize("field", ["format", "time_ms", "entries"])
def test_malformed_dump_changes_nothing(ledger: OrderLedger, field: str) -> None:
    # Guards against a voter that continues with a partially loaded snapshot.
    ledger.apply(claim())
    before = ledger.dump()
    for value in ("x", [["y"]], None):
        with pytest.raises(DumpInvalid):
            ledger.load(before | {field: value})
    assert ledger.dump() == before
