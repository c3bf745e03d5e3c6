"""Callers' keys: who is served, and what servers and other hosts get to see of them."""

import asyncio
import random
from contextlib import ExitStack
from typing import Any

import pytest
from kingcuplug_common import Metrics
from kingcuplug_gateway import (
    HostAddress,
    NotRelaying,
    RelayPeers,
    Team,
    Teams,
    key_digest,
)
from kingcuplug_gateway._relay import RelayClient
from kingcuplug_http import Request
from kingcuplug_testkit import refusing_address

from .conftest import GatewayHarness, make_route, signed_response

KEY = "k3y-of-red"
RED = Team("red", frozenset({key_digest(KEY.encode()), key_digest(b"second")}))
BLUE = Team("blue", frozenset({key_digest(b"blue-key")}), priority=0)
TEAMS = Teams((RED, BLUE))


async def _respond(request: Request) -> Any:
    return signed_response(b"ok")


async def _send(harness: GatewayHarness, *authorization: str, **headers: str) -> Any:
    """Send a request with any number of ``Authorization`` headers."""
    values = [value.encode() for value in authorization]
    pairs = [(b"Host", b"shop.example"), (b"Try-Id", b"t1")]
    pairs += [(b"AUTHORIZATION", value) for value in values]
    pairs += [(n.encode(), v.encode()) for n, v in headers.items()]
    fields: dict[bytes, bytes] = {}
    for name, value in pairs:
        fields.setdefault(name.lower(), value)
    now = asyncio.get_running_loop().time()
    request = Request(b"GET", b"/x", pairs, b"", True, now, False, fields)
    return await harness.gateway.handle(request)


@pytest.mark.parametrize(
    "authorization",
    [
        [],
        [""],
        ["Token"],
        ["Token "],
        ["Token unknown"],
        [KEY],
        [f"Bearer {KEY}"],
        [f"Token {KEY} {KEY}"],
        [f"Token {KEY}x"],
        [f"Token {KEY.upper()}"],
        ["Token " + "x" * 100_000],
        [f"Token {KEY}", f"Token {KEY}"],
        [f"Token {KEY}", "Token blue-key"],
    ],
)
def test_request_without_one_known_key_gets_401_and_reaches_no_server(
    open_gateway, authorization
):
    """Guards against work for callers that no team knows."""

    async def scenario():
        async with open_gateway() as harness:
            harness.set_routes(make_route(), teams=TEAMS)
            server = await harness.add_server("stock", _respond)
            response = await _send(harness, *authorization)
            assert response.status == 401
            assert not harness.received[server]

    asyncio.run(scenario())


@pytest.mark.parametrize("scheme", ["Token", "token", "TOKEN"])
def test_servers_get_the_team_and_never_the_key(open_gateway, scheme):
    """Guards against a forged team name, and against a key that leaves the system."""

    async def scenario():
        async with open_gateway() as harness:
            harness.set_routes(make_route(), teams=TEAMS)
            server = await harness.add_server("stock", _respond)
            response = await _send(harness, f"{scheme} {KEY}", team="blue", TEAM="x")
            assert response.status == 200
            (received,) = harness.received[server]
            sent = [v for n, v in received.headers if n.lower() == b"team"]
            assert sent == [b"red"]
            assert not any(KEY.encode() in v for _, v in received.headers)
            assert b"authorization" not in received.fields

    asyncio.run(scenario())


@pytest.mark.parametrize(
    ("authorization", "team"),
    [([], None), (["Token unknown"], None), ([f"Token {KEY}"], b"red")],
)
def test_public_route_needs_no_key_and_hides_it(open_gateway, authorization, team):
    """Guards against a key that reaches servers because its route needs none."""

    async def scenario():
        async with open_gateway() as harness:
            harness.set_routes(make_route(public=True), teams=TEAMS)
            server = await harness.add_server("stock", _respond)
            response = await _send(harness, *authorization, team="blue")
            assert response.status == 200
            (received,) = harness.received[server]
            assert received.fields.get(b"team") == team
            assert b"authorization" not in received.fields

    asyncio.run(scenario())


def test_without_teams_requests_pass_as_they_came(open_gateway):
    """Guards against a change for deployments that have no teams."""

    async def scenario():
        async with open_gateway() as harness:
            harness.set_routes(make_route())
            server = await harness.add_server("stock", _respond)
            await _send(harness, "Token any", team="mine")
            (received,) = harness.received[server]
            assert received.fields[b"authorization"] == b"Token any"
            assert received.fields[b"team"] == b"mine"

    asyncio.run(scenario())


def test_removed_key_is_refused_and_moved_key_has_its_new_team(open_gateway):
    """Guards against keys that stay valid, or with their old team, in newer routes."""

    async def scenario():
        async with open_gateway() as harness:
            server = await harness.add_server("stock", _respond)
            harness.set_routes(make_route(), teams=TEAMS)
            assert (await _send(harness, f"Token {KEY}")).status == 200
            moved = Team("green", RED.key_digests)
            harness.set_routes(make_route(), version=2, teams=Teams((BLUE, moved)))
            assert (await _send(harness, f"Token {KEY}")).status == 200
            harness.set_routes(make_route(), version=3, teams=Teams(()))
            assert (await _send(harness, f"Token {KEY}")).status == 401
            teams = [r.fields[b"team"] for r in harness.received[server]]
            assert teams == [b"red", b"green"]

    asyncio.run(scenario())


def test_two_teams_cannot_share_a_key():
    """Guards against requests that may belong to either team."""
    with pytest.raises(ValueError, match="share a key"):
        Teams((RED, Team("blue", frozenset({key_digest(KEY.encode())}))))


@pytest.mark.parametrize(
    ("helper_version", "status"),
    [(1, 503), (2, 200), (3, 401)],
    ids=["older", "same", "newer without the key"],
)
def test_relayed_request_carries_the_team_and_its_version(
    open_gateway, helper_version, status
):
    """Guards against a key sent to other hosts, and against outdated ones of these."""
    messages = []

    async def scenario():
        async with open_gateway() as helper, open_gateway() as cut_off:

            async def call(to: str, value: Any, timeout_s: float) -> Any:
                messages.append(value)
                return await helper.gateway.handle_relay(value)

            async def list_hosts() -> list[HostAddress]:
                return [HostAddress("10.0.0.1:1", "z")]

            cut_off.gateway._relay = RelayClient(
                RelayPeers(call, list_hosts), "z", random.Random(1), Metrics()
            )
            cut_off.set_routes(make_route(), version=2, teams=TEAMS)
            teams = Teams(()) if helper_version == 3 else TEAMS
            helper.set_routes(make_route(), version=helper_version, teams=teams)
            server = await helper.add_server("stock", _respond)
            with ExitStack() as refusing:
                for number, service in enumerate(("stock", "stock", "a", "b", "c")):
                    address = refusing.enter_context(refusing_address())
                    cut_off.register_server(f"gone-{number}", service, address)
                response = await _send(cut_off, f"Token {KEY}")
            assert response.status == status
            teams_sent = {r.fields[b"team"] for r in helper.received[server]}
            assert teams_sent == ({b"red"} if status == 200 else set())
            assert KEY not in repr(messages)

    asyncio.run(scenario())


def test_relay_message_of_a_host_with_teams_is_refused_without_routes(open_gateway):
    """Guards against a host that serves by an older version than the one in use."""

    async def scenario():
        async with open_gateway() as harness:
            harness.set_routes(make_route(), version=4, teams=TEAMS)
            message = ["serve_for_team", ["red", 5], [], "GET", "/x", [], "", 0, 1.0, 1]
            with pytest.raises(NotRelaying):
                await harness.gateway.handle_relay(message)

    asyncio.run(scenario())


@pytest.mark.parametrize(
    "options", ["keep-alive, Team", "TEAM", "team,Host,Try-Id", "close, team , x"]
)
def test_caller_cannot_have_headers_dropped_that_servers_must_get(
    open_gateway, options
):
    """Guards against a request whose team a server does not get to know."""

    async def scenario() -> None:
        async with open_gateway() as harness:
            harness.set_routes(make_route(), teams=TEAMS)
            await harness.add_server("stock", _respond)
            headers = {"Connection": options, "X": "dropped"}
            response = await _send(harness, f"Token {KEY}", **headers)
            assert response.status == 200
            (request,) = [r for rs in harness.received.values() for r in rs]
            assert request.header(b"team") == b"red"
            assert request.header(b"host") == b"shop.example"
            assert request.header(b"try-id") == b"t1"
            assert (request.header(b"x") is None) is ("x" in options)

    asyncio.run(scenario())


def test_key_is_checked_where_another_host_had_no_teams_yet(open_gateway):
    """Guards against callers refused by hosts that have newer routes than others."""
    headers = [["Host", "shop.example"], ["Authorization", f"Token {KEY}"]]
    message = ["serve", "GET", "/x", headers, "", 1, 0.0, 1, 1]

    async def scenario() -> None:
        async with open_gateway() as harness:
            harness.set_routes(make_route(), version=2, teams=TEAMS)
            await harness.add_server("stock", _respond)
            assert (await harness.gateway.handle_relay(message))[0] == 200
            headers.pop()
            assert (await harness.gateway.handle_relay(message))[0] == 401

    asyncio.run(scenario())
