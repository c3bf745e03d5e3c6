"""Signals of servers that a host learns of by the host that sent its requests."""

import asyncio
import dataclasses
from contextlib import asynccontextmanager

import pytest
from kingcuplug_gateway import RECORD_BYTES, NotGathering
from kingcuplug_gateway._passed_signals import (
    PassedSignal,
    decode_signals,
    encode_signals,
)
from kingcuplug_http import Request, Response

from .conftest import make_route, signed_response

SHARDS = ("s0", "s1", "s2", "s3")
QUERY = {"services": (), "shards": SHARDS, "max_attempts": 2}


def _respond_with(status: int = 200, **headers: str):
    async def respond(request: Request) -> Response:
        if status == 503:
            pairs = [
                (k.replace("_", "-").encode(), v.encode()) for k, v in headers.items()
            ]
            return Response(503, [(b"Unrun", b"1"), *pairs], b"")
        return signed_response(b"r" * RECORD_BYTES, status, **headers)

    return respond


_SIGNALS = [
    pytest.param(_respond_with(503, retry_after="30"), id="pause"),
    pytest.param(_respond_with(leaving="1"), id="leaving"),
]


@asynccontextmanager
async def _open_gathering(open_gateway, edit_request=None, edit_reply=None):
    """Open a narrow host and its gatherer, whose messages are edited on the way."""
    async with open_gateway() as wide, open_gateway(link_mbps=7.0) as narrow:
        narrow.stopping = False
        narrow.replies = []

        async def call_peer(address, value, timeout_s):
            if narrow.stopping:
                raise NotGathering("stopping")
            value = edit_request(value) if edit_request else value
            reply = await wide.gateway.handle_gather(value)
            narrow.replies.append(reply)
            return edit_reply(reply) if edit_reply else reply

        narrow.gateway._call_peer = call_peer
        narrow.wide = wide
        for harness in (narrow, wide):
            harness.set_routes(make_route(**QUERY))
        yield narrow


async def _add_server(narrow, service, handler) -> str:
    identifier = await narrow.add_server(service, handler)
    narrow.wide.register_server(identifier, service, narrow.server_infos[-1].address)
    for harness in (narrow, narrow.wide):
        harness.gateway.update_fleet(
            harness.server_infos, hosts=1, gatherers={"z": ["wide"]}
        )
    return identifier


async def _gather_then_ask_directly(narrow, respond) -> int:
    """Return how many direct requests reach a server after a gathered query."""
    for shard in SHARDS[1:]:
        await _add_server(narrow, shard, _respond_with())
    signalling = await _add_server(narrow, "s0", respond)
    assert (await narrow.send()).status == 200
    told = len(narrow.received[signalling])
    assert told >= 1
    narrow.stopping = True
    for _ in range(3):
        assert (await narrow.send()).status == 200
    return len(narrow.received[signalling]) - told


@pytest.mark.parametrize("respond", _SIGNALS)
def test_host_keeps_to_what_a_server_told_its_gatherer(open_gateway, respond):
    """Guards against direct requests to a server that told the gatherer to wait."""

    async def run() -> None:
        async with _open_gathering(open_gateway) as narrow:
            assert await _gather_then_ask_directly(narrow, respond) == 0

    asyncio.run(run())


@pytest.mark.parametrize("respond", _SIGNALS)
def test_old_host_gets_replies_without_signals(open_gateway, respond):
    """Guards against replies that a host of an older build rejects."""

    def as_old_host(value):
        return [value[0], value[1].partition(";")[0], *value[2:]]

    async def run() -> None:
        async with _open_gathering(open_gateway, edit_request=as_old_host) as narrow:
            assert await _gather_then_ask_directly(narrow, respond) >= 1
            assert {len(reply) for reply in narrow.replies} == {4}

    asyncio.run(run())


def _without_signals(reply):
    return reply[:4]


@pytest.mark.parametrize(
    "edit_reply",
    [
        _without_signals,
        lambda reply: [*reply[:4], None],
        lambda reply: [*reply[:4], [["s0"], 3, None, ["s1", "x", 0, 1, "soon"]]],
    ],
)
def test_answer_counts_whatever_its_signals_are(open_gateway, edit_reply):
    """Guards against losing the answer of an older build, or one with bad signals."""

    async def run() -> None:
        async with _open_gathering(open_gateway, edit_reply=edit_reply) as narrow:
            for shard in SHARDS:
                await _add_server(narrow, shard, _respond_with())
            response = await narrow.send()
            assert response.status == 200
            assert dict(response.headers)[b"Missing"] == b"0"
            assert all(len(requests) == 1 for requests in narrow.received.values())

    asyncio.run(run())


def test_malformed_entries_do_not_hide_good_ones():
    """Guards against a signal that is lost, or misread, because of another entry."""
    good = ["s", "a", 7, 0, 250.0]
    bad = [
        None,
        {},
        [],
        ["s", "a", 7, 0],
        ["s", "a", 7, 2, 1.0],
        ["s", "a", 7, True, 1.0],
        ["s", "a", -1, 0, 1.0],
        ["s", "a", 7, 0, -1.0],
        ["s", "a", 7, 0, float("nan")],
        ["s", "a", 7, 0, 10**400],
        ["s", "a", 7, 0, 1e15],
        ["s", 3, 7, 0, 1.0],
    ]
    expected = PassedSignal("s", "a", 7, leaving=False, pause_ms=250.0)
    for entry in bad:
        assert decode_signals([entry, good]) == (expected,)
    assert decode_signals([[*good, "of a later build"]]) == (expected,)
    assert decode_signals({"s": good}) == decode_signals(None) == ()


def test_passed_signals_are_bounded():
    """Guards against answers that grow with the number of servers that leave."""
    pauses = [PassedSignal("s", f"p{n}", 0, False, float(n)) for n in range(1_000)]
    leaving = PassedSignal("s", "l", 0, True, 0.0)
    too_long = PassedSignal("s", "x" * 1_000, 0, True, 0.0)
    sent = encode_signals([*pauses, leaving, too_long])
    assert len(sent) <= 64
    assert decode_signals(sent)[:2] == (leaving, pauses[-1])
    assert len(decode_signals(sent * 2)) <= 64


def test_only_what_was_asked_for_and_meant_is_recorded(open_gateway):
    """Guards against signals of other services, or of an earlier incarnation."""

    async def run() -> None:
        async with open_gateway() as harness:
            identifier = await harness.add_server("stock", _respond_with())
            record = harness.gateway._signals.record_passed_on
            signals = harness.gateway.servers.pool("stock").servers[identifier].signals
            told = PassedSignal("stock", identifier, 0, True, 30_000.0)
            record([told], ("other",))
            record([dataclasses.replace(told, start_ms=5)], ("stock",))
            record([dataclasses.replace(told, server_id="unknown")], ("stock",))
            assert signals.is_empty
            record([told], ("stock",))
            assert signals.leaving
            assert signals.not_before > asyncio.get_running_loop().time() + 29

    asyncio.run(run())


def test_what_was_passed_on_is_not_passed_on_again(open_gateway):
    """Guards against pauses that two hosts make longer by passing them to and fro."""

    async def run() -> None:
        async with open_gateway() as harness:
            identifier = await harness.add_server("stock", _respond_with())
            servers = harness.gateway.servers
            server = servers.pool("stock").servers[identifier]
            now = asyncio.get_running_loop().time()
            told = PassedSignal("stock", identifier, 0, True, 30_000.0)
            harness.gateway._signals.record_passed_on([told], ("stock",))
            assert servers.signals_to_pass_on(["stock"], now) == []
            servers.pause_until(server, now + 10.0)
            servers.set_leaving(server)
            (passed,) = servers.signals_to_pass_on(["stock"], now)
            assert passed == PassedSignal("stock", identifier, 0, True, 10_000.0)
            assert server.signals.not_before > now + 29

    asyncio.run(run())
