"""Malformed calls to control hosts: refused, and the group works on."""

import asyncio
import contextlib
import copy
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from kingcuplug_fleet import CoreUnavailable
from kingcuplug_log import Member
from kingcuplug_testkit import run_virtual

_MEMBER = {"id": "x/1", "name": "x", "address": "x:1", "role": "voter"}
_JOIN = {"member": _MEMBER, "fresh": True, "founding": True}
_JOIN_PATH = "/peer/v2/join"
_WRONG = [None, True, 7, 1.5, [], ["x"], {}, 2**64 - 1]


async def _call_all(group, path: str, value: Any) -> None:
    """Send a call to all hosts, as the listener for other hosts does."""
    for host in group.running():
        with contextlib.suppress(CoreUnavailable, KeyError, TypeError, ValueError):
            await host.replica.handle_call(path, copy.deepcopy(value))


async def _check_works_on(group) -> None:
    await asyncio.sleep(3.0)
    assert not [host.name for host in group.hosts.values() if host.task.done()]
    await group.submit(9)
    await group.stop()


@pytest.mark.parametrize("field", ["id", "name", "address", "role"])
@pytest.mark.parametrize("wrong", _WRONG)
def test_join_of_a_malformed_member_does_not_end_the_leader(
    make_control_group, field, wrong
):
    """Guards against a member whose address no other host can use or store."""

    async def main() -> None:
        group = make_control_group()
        await group.form("a", "b", "c")
        join = _JOIN | {"member": _MEMBER | {field: wrong}}
        await _call_all(group, _JOIN_PATH, join)
        await asyncio.sleep(0.5)
        assert group.members() == {"a", "b", "c"}
        await _check_works_on(group)

    run_virtual(main())


@settings(derandomize=True, max_examples=300)
@given(
    st.fixed_dictionaries(
        {name: st.sampled_from([value, *_WRONG]) for name, value in _MEMBER.items()}
    )
)
def test_member_of_any_json_is_rejected_or_has_the_declared_types(value):
    """Guards against a member that is stored and fails later."""
    try:
        member = Member.from_json(value)
    except (LookupError, TypeError, ValueError):
        return
    assert member.to_json() == _MEMBER


@pytest.mark.parametrize(
    "command",
    [
        {"version": 5, "document": None},
        {"version": 5, "document": ["{}"]},
        {"version": 5},
        {"version": True, "document": "{}"},
        {"version": 5.5, "document": "{}"},
        {"version": 1e308, "document": "{}"},
        {"version": "5", "document": "{}"},
        {"version": None, "document": "{}"},
        [],
        None,
    ],
)
def test_malformed_document_of_another_host_is_never_held(make_control_group, command):
    """Guards against a document that no host can use, and none can replace."""

    async def main() -> None:
        group = make_control_group()
        await group.form("a", "b", "c")
        await _call_all(group, "/peer/v2/propose", command)
        await asyncio.sleep(0.5)
        assert [host.register.version for host in group.running()] == [0, 0, 0]
        await _check_works_on(group)

    run_virtual(main())
