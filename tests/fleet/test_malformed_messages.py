"""Malformed messages between hosts: rejected as a whole, and no task ends."""

import asyncio
import json
import os
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st
from kingcuplug_common import EventLog
from kingcuplug_fleet import (
    ControlHostPoller,
    FleetView,
    PeerClient,
    PushMessage,
    Report,
    ServerRecord,
    answer_poll,
)
from kingcuplug_http import Limits, Listener, Request, Response
from kingcuplug_testkit import run_virtual

from .conftest import FakePeerClient, make_record

_JSON = st.recursive(
    st.none() | st.booleans() | st.integers(-2, 9) | st.floats() | st.text(max_size=3),
    lambda inner: (
        st.lists(inner, max_size=9) | st.dictionaries(st.text(max_size=3), inner)
    ),
    max_leaves=12,
)
_FIELDS = make_record().to_json()


@given(st.lists(_JSON, min_size=len(_FIELDS), max_size=len(_FIELDS)))
def test_record_of_any_json_is_rejected_or_has_the_declared_types(value):
    """Guards against a field of another type that fails later, in the gateway."""
    try:
        record = ServerRecord.from_json(value)
    except ValueError:
        return
    assert isinstance(record.slots, int)
    assert isinstance(record.cold_ms, int)
    assert isinstance(record.address, str)


@pytest.mark.parametrize("position", range(len(_FIELDS)))
@pytest.mark.parametrize("wrong", [None, "x", -1, 1.5, [], {}, True])
def test_record_with_one_wrong_field_is_rejected(position, wrong):
    """Guards against one malformed record that stops all hosts."""
    value = list(_FIELDS)
    if isinstance(value[position], str) and wrong == "x" and position != 7:
        return
    value[position] = wrong
    with pytest.raises(ValueError, match=r"."):
        ServerRecord.from_json(value)


@given(_JSON)
def test_report_and_push_of_any_json_are_decoded_or_rejected(value):
    """Guards against an exception type that the callers do not expect."""
    for decode in (Report.from_json, PushMessage.from_json):
        try:
            decode(value)
        except (AttributeError, TypeError, ValueError):
            continue


def _good_reply(view: FleetView) -> dict[str, Any]:
    return {"epoch": view.epoch, "cursor": 0, "servers": [], "connected": True}


@pytest.mark.parametrize(
    "change",
    [
        {"servers": [[1]]},
        {"servers": 7},
        {"document": "{}", "routes": "9"},
        {"document": None, "routes": 9},
        {"state": [], "state_key": ""},
        {
            "state": [["a"], {"s": "fast"}, ["a"], {}, 1, 1, []],
            "state_key": "",
        },
        {"state": [[], {}, ["a"], {}, "ten", 1, []], "state_key": ""},
        {"nearer": 5},
        {"slow": {"i-1": None}},
        *({"cursor": wrong} for wrong in (None, "x", [], True, 1.5, -1)),
        {"cursor": 2**64 - 1, "epoch": 7},
        *({"epoch": wrong} for wrong in (None, 7, [], {})),
        *({"connected": wrong} for wrong in (None, "no", 1, [])),
        {"state": [[], {}, [], {}, 1, 1, [], {}, {}], "state_key": 2},
        {"document": "{}", "routes": True},
    ],
)
def test_malformed_reply_makes_the_poller_change_its_control_host(change):
    """Guards against a poll task, and with it the process, that ends."""

    async def run() -> None:
        client, own, current = FakePeerClient(), FleetView(5.0), FleetView(5.0)
        current.update_routes(2, "new")

        async def answer_malformed(path: str, value: Any) -> Any:
            await asyncio.sleep(0.01)
            return _good_reply(own) | change

        async def answer(path: str, value: Any) -> Any:
            return await answer_poll(current, lambda: True, "b", value)

        client.handlers = {"a": answer_malformed, "b": answer}
        log = EventLog(os.open(os.devnull, os.O_WRONLY), "host")
        poller = ControlHostPoller(
            "host", own, client, lambda: ("a", "b"), lambda: False, "self", "z", log
        )
        poller._random.seed(1)
        task = asyncio.ensure_future(poller.run())
        await asyncio.sleep(6.0)
        assert not task.done()
        assert own.routes_version == 2
        task.cancel()

    run_virtual(run())


@pytest.mark.parametrize("reply", [None, [], "text", 3])
def test_reply_that_is_no_object_does_not_end_the_poller(reply):
    """Guards against a reply of another program at the address of a control host."""

    async def run() -> None:
        client, own = FakePeerClient(), FleetView(5.0)

        async def answer(path: str, value: Any) -> Any:
            return reply

        client.handlers = {"a": answer}
        log = EventLog(os.open(os.devnull, os.O_WRONLY), "host")
        poller = ControlHostPoller(
            "host", own, client, lambda: ("a",), lambda: False, "self", "z", log
        )
        task = asyncio.ensure_future(poller.run())
        await asyncio.sleep(3.0)
        assert not task.done()
        task.cancel()

    run_virtual(run())


def test_late_copy_of_a_reply_does_not_answer_the_next_call():
    """Guards against a gathered answer that belongs to another query."""

    async def run() -> None:
        copies: list[Response] = []

        async def answer(request: Request) -> Response:
            call_id = request.header(b"call-id") or b""
            response = Response(200, [(b"call-id", call_id)], request.body)
            copies.append(response)
            return response

        listener = Listener(answer, Limits)
        address = await listener.start("127.0.0.1:0")
        client = PeerClient()
        assert await client.call(address, "/x", ["first"], 5.0) == ["first"]
        (connection,) = listener.connections
        late = json.dumps(["first"]).encode()
        first_id = copies[0].headers[0][1]

        async def answer_after_late_copy(request: Request) -> Response:
            connection._transport.write(
                b"HTTP/1.1 200 OK\r\ncall-id: %s\r\nContent-Length: %d\r\n\r\n%s"
                % (first_id, len(late), late)
            )
            return await answer(request)

        listener.handler = answer_after_late_copy
        assert await client.call(address, "/x", ["second"], 5.0) == ["second"]
        client.close()
        await listener.stop()

    asyncio.run(run())
