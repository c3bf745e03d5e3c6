"""Messages of other hosts with single values replaced, added or removed."""

import asyncio
import copy
import os
from typing import Any

import orjson
from hypothesis import example, given, settings
from hypothesis import strategies as st
from kingcuplug_common import EventLog
from kingcuplug_fleet import (
    INTRODUCE_PATH,
    POLL_PATH,
    PUSH_PATH,
    REPORT_PATH,
    PushMessage,
    Report,
    ServerRecord,
    ServerState,
    encode_body,
)
from kingcuplug_http import Request
from kingcuplug_node import Host
from kingcuplug_testkit import run_virtual

from .conftest import HEADER_NAMES, ROUTE_TABLE, make_settings

_EXAMPLES = int(os.environ.get("KINGCUPLUG_FUZZ_EXAMPLES", "300"))
_MAX_INPUT_S = 1.0
_WINDOW_S = 6.0
_RECORD = ServerRecord(
    id="i-1",
    start_ms=1_700_000_000_000,
    sequence=3,
    service="stock",
    address="127.0.0.1:9",
    availability_zone="z",
    slots=3,
    state=ServerState.READY,
)
_SUMMARY = [["i-1"], {"i-1": 2.0}, 3, 9, {"127.0.0.1:1": "z"}, {"i-1": 4}, {}]
_SUSPECTS = {"suspect": [3, "execution-1", "execution-2"]}
_POLL = {
    "host": "other",
    "address": "127.0.0.1:7",
    "home": "z",
    "epoch": "",
    "cursor": 0,
    "routes": 0,
    "hosts": 2,
    "servers": [_RECORD.to_json()],
    "digest": 0,
    "state_key": "",
    "zone": None,
    "wait": False,
}
_RELAYED = ["serve", "POST", "/x", [["Host", "a"]], "Ym9keQ==", 1, 4.5, 2]
_GATHER = ["begin", "g", "r", ["s0"], "GET / HTTP/1.1\r\n", "", "t", 90.0, 50, 2, 5]
_MESSAGES: list[tuple[str, Any]] = [
    (POLL_PATH, _POLL),
    (
        PUSH_PATH,
        ["a:1", "z", 5, [_RECORD.to_json()], {"i-1": [1, 2]}, ["h"], _SUMMARY],
    ),
    (
        REPORT_PATH,
        [{"i-1": [2, 3.5]}, 7, {"i-1": 4}, _SUSPECTS, ["suspect"]],
    ),
    (INTRODUCE_PATH, ["127.0.0.1:1"]),
    ("/peer/v2/hosts", {}),
    ("/peer/v2/relay", _RELAYED),
    ("/peer/v2/relay", ["probe"]),
    ("/peer/v2/gather", _GATHER),
    ("/peer/v2/gather", ["rest", "g", 50.0]),
]
_DEEP: Any = [[[[[[[[[[]]]]]]]]]]
_ODD_VALUES = st.sampled_from(
    [
        *(None, True, -1, 0, 1, 2**31, 2**63 - 1, 2**64 - 1, 1e308, -0.5, 1e-320),
        *("", "x", "\x00", "\u00e9\u20ac", "a:b:c", "127.0.0.1:99999", "1" * 5_000),
        *([], {}, _DEEP, [None], {"": None}, [["x"]]),
    ]
)


@st.composite
def _message(draw: st.DrawFn) -> tuple[str, Any]:
    path, value = draw(st.sampled_from(_MESSAGES))
    value = copy.deepcopy(value)
    for _ in range(draw(st.integers(1, 3))):
        value = _change(draw, value)
    return path, value


def _change(draw: st.DrawFn, value: Any) -> Any:
    """Replace, remove or double one value anywhere in a JSON value."""
    if not value or not isinstance(value, list | dict) or draw(st.integers(0, 3)) == 0:
        return copy.deepcopy(draw(_ODD_VALUES))
    keys = list(value) if isinstance(value, dict) else list(range(len(value)))
    key = draw(st.sampled_from(keys))
    kind = draw(st.sampled_from(("inside", "inside", "inside", "remove", "add")))
    if kind == "inside":
        value[key] = _change(draw, value[key])
    elif kind == "remove":
        del value[key]
    elif isinstance(value, dict):
        value[draw(st.sampled_from(("", "x", "\u20ac", "i-2")))] = value[key]
    else:
        value.insert(key, value[key])
    return value


async def _call(host: Host, path: str, body: bytes) -> int:
    now = asyncio.get_running_loop().time()
    request = Request(b"POST", path.encode(), [], body, True, now, False, {})
    async with asyncio.timeout(_MAX_INPUT_S):
        return (await host._answer_peer_request(request)).status


async def _check_after(
    messages: list[tuple[str, Any]], leads: bool, pause_s: float
) -> None:
    """Send messages to a new host and check that it works on."""
    settings = make_settings()
    descriptor = os.open(os.devnull, os.O_WRONLY)
    log = EventLog(descriptor, "host")
    host = Host(settings, HEADER_NAMES, lambda text: ROUTE_TABLE, lambda: None, log)
    host._gateway.install_routes(ROUTE_TABLE)
    mesh, view = host._mesh, host._fleet_view
    if leads:
        mesh._leader = lambda: settings.control_address
    try:
        for path, value in messages:
            status = await _call(host, path, orjson.dumps(value))
            assert status in (200, 400, 503), path
            # Totals are published after the window in which they are counted.
            await asyncio.sleep(pause_s)
            mesh._update_liveness(asyncio.get_running_loop().time())
            encode_body(mesh._message([]).to_json())
            view.state_digest()
        good_push = PushMessage("b:1", "z", 5, [_RECORD]).to_json()
        assert await _call(host, PUSH_PATH, orjson.dumps(good_push)) == 200
        report = orjson.dumps(Report({"i-1": (1, 1.0)}, 3).to_json())
        assert await _call(host, REPORT_PATH, report) == 200
        assert await _call(host, POLL_PATH, orjson.dumps(_POLL)) == 200
        assert await _call(host, "/peer/v2/hosts", b"{}") == 200
        request = Request(b"GET", b"/metrics", [], b"", True, 0.0, False, {})
        assert (await host._handle_metrics_request(request)).status == 200
        assert view.directory.usable()
    finally:
        host._gateway.close()
        host._peer_client.close()
        os.close(descriptor)


@settings(max_examples=_EXAMPLES, derandomize=True, deadline=None)
@given(
    st.lists(_message(), min_size=1, max_size=4),
    st.booleans(),
    st.sampled_from((0.0, _WINDOW_S)),
)
@example([(REPORT_PATH, [{}, 7, {"i-1": 2**64 - 1}])] * 2, True, _WINDOW_S)
@example([(REPORT_PATH, [{"i-1": [2**63, 1e308]}, 7])] * 2, False, 0.0)
def test_host_works_on_after_malformed_messages_of_other_hosts(
    messages, leads, pause_s
):
    """Guards against a message that is accepted, and stops tasks or replies later."""
    run_virtual(_check_after(messages, leads, pause_s))
