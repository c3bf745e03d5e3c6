"""Signals of servers that a host learns of by the host that sent its requests."""

import asyncio
import dataclasses
import random
from contextlib import asynccontextmanager

import pytest
from kingcuplug_common import Metrics
from kingcuplug_gateway import RECORD_BYTES, HostAddress, NotGathering, RelayPeers
from kingcuplug_gateway._passed_signals import (
    PassedSignal,
    decode_signals,
    encode_signals,
)
from kingcuplug_gateway._relay import RelayClient
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


@asynccontextmanager
async def _open_relaying(open_gateway, monkeypatch, edit_message=None, edit_reply=None):
    """Open a host cut off from its servers until `is_cut` is false, and its helper."""
    async with open_gateway() as helper, open_gateway() as host:
        host.messages, host.replies = [], []
        host.helper, host.is_cut = helper, False

        async def is_reachable(address: str) -> bool:
            return not host.is_cut

        async def call(address, value, timeout_s):
            host.messages.append(value)
            value = edit_message(value) if edit_message else value
            reply = await helper.gateway.handle_relay(value)
            host.replies.append(reply)
            return edit_reply(value, reply) if edit_reply else reply

        async def list_hosts():
            return [HostAddress("b:1", "z")]

        monkeypatch.setattr(helper.gateway._isolation, "reaches_servers", _true)
        monkeypatch.setattr(
            "kingcuplug_gateway._isolation_monitor.accepts_connections", is_reachable
        )
        host.gateway._relay = RelayClient(
            RelayPeers(call, list_hosts), "z", random.Random(1), Metrics()
        )
        for harness in (host, helper):
            harness.set_routes(make_route())
        yield host


async def _true() -> bool:
    return True


async def _cut_off(host) -> None:
    """Have the host find out that it reaches none of its servers."""
    host.is_cut = True
    for identifier in host.received:
        host.gateway._isolation.record_unconnected(identifier)
    await host.gateway._isolation.wait_for_check()
    assert host.gateway.is_isolated


async def _end_cut(host) -> None:
    host.is_cut = False
    for _ in range(250):
        if not host.gateway.is_isolated:
            return
        await asyncio.sleep(0.02)
    pytest.fail("the host does not notice the end of the cut")


async def _add_shared_server(host, handler) -> str:
    identifier = await host.add_server("stock", handler)
    host.helper.register_server(identifier, "stock", host.server_infos[-1].address)
    return identifier


async def _have_servers_tell(host) -> None:
    """Send requests until each server has told the host that sends them."""
    for _ in range(4):
        await host.send()
    assert [len(requests) for requests in host.received.values()] == [1, 1]


async def _count_further_requests(host) -> int:
    """Return how many of ten requests reach the servers other than the newest."""
    *tellers, _ = host.received.values()
    told = sum(map(len, tellers))
    for _ in range(10):
        assert (await host.send()).status == 200
    return sum(map(len, tellers)) - told


async def _relay_then_ask_directly(host, respond) -> int:
    """Return how many direct requests reach servers that have told the helper."""
    for _ in range(2):
        await _add_shared_server(host, respond)
    await _cut_off(host)
    await _have_servers_tell(host)
    await _add_shared_server(host, _respond_with())
    await _end_cut(host)
    return await _count_further_requests(host)


@pytest.mark.parametrize("respond", _SIGNALS)
def test_host_keeps_to_what_a_server_told_its_helper(
    open_gateway, monkeypatch, respond
):
    """Guards against direct requests, after a cut, to a server that wants none."""

    async def run() -> None:
        async with _open_relaying(open_gateway, monkeypatch) as host:
            assert await _relay_then_ask_directly(host, respond) == 0

    asyncio.run(run())


@pytest.mark.parametrize("respond", _SIGNALS)
def test_helper_keeps_to_what_a_server_told_the_host(
    open_gateway, monkeypatch, respond
):
    """Guards against relayed requests to a server that told their host to wait."""

    async def run() -> None:
        async with _open_relaying(open_gateway, monkeypatch) as host:
            for _ in range(2):
                await _add_shared_server(host, respond)
            await _have_servers_tell(host)
            await _add_shared_server(host, _respond_with())
            await _cut_off(host)
            assert await _count_further_requests(host) == 0

    asyncio.run(run())


@pytest.mark.parametrize("respond", _SIGNALS)
def test_old_helper_gets_requests_without_signals(open_gateway, monkeypatch, respond):
    """Guards against requests that a helper of an older build rejects."""

    def as_old_helper(message, reply):
        return [] if message == ["probe"] else reply

    async def run() -> None:
        async with _open_relaying(
            open_gateway, monkeypatch, edit_reply=as_old_helper
        ) as host:
            assert await _relay_then_ask_directly(host, respond) >= 1
            served = [m for m in host.messages if m != ["probe"]]
            assert {(m[0], len(m)) for m in served} == {("serve", 8)}

    asyncio.run(run())


@pytest.mark.parametrize("respond", _SIGNALS)
def test_old_host_gets_responses_without_signals(open_gateway, monkeypatch, respond):
    """Guards against responses of a helper that a host of an older build rejects."""

    def as_old_host(message):
        return ["serve", *message[2:]] if message != ["probe"] else message

    async def run() -> None:
        async with _open_relaying(
            open_gateway, monkeypatch, edit_message=as_old_host
        ) as host:
            assert await _relay_then_ask_directly(host, respond) >= 1
            served = zip(host.messages, host.replies, strict=True)
            lengths = {len(r) for m, r in served if m != ["probe"]}
            assert lengths == {3}

    asyncio.run(run())


@pytest.mark.parametrize("signals", [None, {}, [None, ["stock"], 3]])
def test_relayed_request_is_served_whatever_its_signals_are(
    open_gateway, monkeypatch, signals
):
    """Guards against a relayed request or answer that is lost for bad signals."""

    def edit_message(message):
        return [message[0], signals, *message[2:]] if len(message) > 1 else message

    def edit_reply(message, reply):
        return [*reply[:3], signals] if message != ["probe"] else reply

    async def run() -> None:
        async with _open_relaying(
            open_gateway, monkeypatch, edit_message, edit_reply
        ) as host:
            for _ in range(2):
                await _add_shared_server(host, _respond_with())
            await _cut_off(host)
            assert (await host.send()).status == 200
            (message,) = [m for m in host.messages if m != ["probe"]]
            assert message[0] == "serve_with_signals"

    asyncio.run(run())
