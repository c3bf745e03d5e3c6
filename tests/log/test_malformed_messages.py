"""Malformed messages of peers: rejected as a whole, and never stored."""

import asyncio
import base64
import copy
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from kingcuplug_log._messages import decode_reply
from kingcuplug_log._records import encode_record
from kingcuplug_testkit import Host, LogGroup, run_virtual

_TERM = 50
_ODD_VALUES = st.sampled_from(
    [
        *(None, True, -1, 1.5, 1e308, 2**63, 2**64 - 1, "", "x", "\x00", "1" * 5_000),
        *([], {}, [None], {"": None}, [[[[[[[]]]]]]]),
    ]
)
_MEMBERS = {
    "cluster": "test",
    "members": [{"id": "x/1", "name": "x", "address": "x", "role": "voter"}],
    "intended_size": 1,
}


def _messages(host: Host) -> list[dict[str, Any]]:
    assert host.replica is not None
    status = host.replica.status()
    header = {
        "cluster": host.replica.cluster,
        "sender": "x/1",
        "to": host.member.id,
        "term": _TERM,
    }
    vote = {"header": header, "last_index": 99, "last_term": 49}
    append = {
        "kind": "append",
        "header": header,
        "previous_index": status.last_index,
        "previous_term": status.term,
        "commit_index": 0,
        "entries": [
            [status.last_index + 1, _TERM, "command", {"number": 2}],
            [status.last_index + 2, _TERM, "members", _MEMBERS],
        ],
    }
    install = {
        "kind": "install",
        "header": header,
        "index": 99,
        "snapshot_term": 9,
        "offset": 0,
        "total": 3,
        "data": "eHl6",
    }
    return [vote | {"kind": "pre_vote"}, vote | {"kind": "vote"}, append, install]


def _paths(value: Any, path: tuple[Any, ...] = ()) -> list[tuple[Any, ...]]:
    if isinstance(value, dict):
        children = list(value.items())
    else:
        children = list(enumerate(value)) if isinstance(value, list) else []
    return [path, *(p for key, child in children for p in _paths(child, (*path, key)))]


def _replace(value: Any, path: tuple[Any, ...], new: Any) -> Any:
    if not path:
        return new
    changed = copy.copy(value)
    changed[path[0]] = _replace(value[path[0]], path[1:], new)
    return changed


async def _follower(group: LogGroup) -> Host:
    await group.start("a", "b", "c")
    await group.propose({"number": 1})
    follower, *_ = group.followers()
    await asyncio.sleep(0.2)
    return follower


async def _check_works_on(group: LogGroup, host: Host) -> None:
    """Check that a host restarts, and that the group accepts a command."""
    host.disk.crash()
    await host.start()
    assert host.replica is not None
    async with asyncio.timeout(10.0):
        await group.propose({"number": 3})
    await group.stop()


_APPEND, _INSTALL, _VOTE = 2, 3, 1


@pytest.mark.parametrize(
    ("kind", "path", "wrong"),
    [
        *((_APPEND, ("header", "term"), w) for w in (2**64 - 1, 2**63, 50.5, "x")),
        *((_VOTE, ("header", "term"), w) for w in (2**64 - 1, True, None)),
        (_VOTE, ("header", "sender"), ["x"]),
        (_VOTE, ("last_index",), "9"),
        (_APPEND, ("entries", 0, 0), 2**40),
        (_APPEND, ("entries", 0, 0), True),
        (_APPEND, ("entries", 0, 1), _TERM + 1),
        (_APPEND, ("entries", 0, 1), "x"),
        (_APPEND, ("entries", 1, 3), None),
        (_APPEND, ("entries", 1, 3, "cluster"), 7),
        (_APPEND, ("entries", 1, 3, "members"), []),
        (_APPEND, ("entries", 1, 3, "members", 0, "address"), 7),
        (_APPEND, ("entries", 1, 3, "members", 0, "id"), []),
        (_APPEND, ("entries", 1, 3, "intended_size"), "x"),
        (_APPEND, ("previous_index",), -1),
        (_APPEND, ("commit_index",), "x"),
        (_INSTALL, ("offset",), None),
        (_INSTALL, ("data",), 3),
    ],
)
def test_malformed_request_is_rejected_and_the_replica_starts_again(kind, path, wrong):
    """Guards against a stored value that stops the replica at each start."""

    async def main() -> None:
        group = LogGroup("malformed")
        host = await _follower(group)
        message = _replace(_messages(host)[kind], path, wrong)
        reply = await host.replica.handle(message)
        assert reply == {"kind": "rejected", "reason": "malformed"}
        await _check_works_on(group, host)

    run_virtual(main())


@pytest.mark.parametrize(
    ("field", "wrong"),
    [
        *(("index", w) for w in ("x", None, 2**60, 98.5, True)),
        *(("term", w) for w in ("x", None, 2**60, True)),
        *(("cluster", w) for w in (7, None)),
        *(("members", w) for w in (None, [], [7], {})),
        *(("state", w) for w in (None, [], "x")),
        *(("intended_size", w) for w in ("x", -1, True)),
    ],
)
def test_malformed_snapshot_is_never_stored(field, wrong):
    """Guards against a stored snapshot that stops the replica at each start."""

    async def main() -> None:
        group = LogGroup("malformed")
        host = await _follower(group)
        snapshot = {
            "index": 99,
            "term": 9,
            "cluster": "test",
            "members": _MEMBERS["members"],
            "state": {"index": 99, "chain": "", "values": []},
            "intended_size": 1,
        }
        data = encode_record(snapshot | {field: wrong})
        message = _messages(host)[_INSTALL] | {
            "total": len(data),
            "data": base64.b64encode(data).decode(),
        }
        reply = await host.replica.handle(message)
        assert (reply["kind"], reply["done"], reply["offset"]) == (
            "install_reply",
            False,
            0,
        )
        assert host.replica.status().snapshot_index == 0
        await _check_works_on(group, host)

    run_virtual(main())


@pytest.mark.parametrize(
    "reply",
    [
        {"kind": "vote_reply", "term": 2**64 - 1, "granted": True},
        {"kind": "vote_reply", "term": 1, "granted": "no"},
        {"kind": "append_reply", "term": 1, "success": True, "match_index": "1"},
        {"kind": "install_reply", "term": 1.5, "offset": 0, "done": False},
        {"kind": "rejected", "reason": None},
        {"kind": []},
        [],
    ],
)
def test_malformed_reply_is_rejected(reply):
    """Guards against a reply that ends the tasks of a leader or a candidate."""
    complete = {"next_index": 1} if "match_index" in reply else {}
    value = reply | complete if isinstance(reply, dict) else reply
    with pytest.raises(ValueError, match=r"."):
        decode_reply(value)


@settings(max_examples=100, derandomize=True, deadline=None)
@given(st.integers(0, 3), st.integers(0, 10**6), _ODD_VALUES)
def test_replica_starts_again_after_a_request_with_any_wrong_value(kind, place, wrong):
    """Guards against values that no reader of the log's files can decode."""

    async def main() -> None:
        group = LogGroup("malformed")
        host = await _follower(group)
        message = _messages(host)[kind]
        paths = _paths(message)[1:]
        path = paths[place % len(paths)]
        term = host.replica.status().term
        await host.replica.handle(_replace(message, path, wrong))
        assert host.replica.status().term in (term, _TERM)
        host.disk.crash()
        await host.start()
        assert host.replica is not None
        await group.stop()

    run_virtual(main())
