"""Requests of a host that is cut off from its servers, served by another host."""

import asyncio
import dataclasses
import random
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass, field
from typing import Any

import pytest
from kingcuplug_common import KingcuplugError, Metrics
from kingcuplug_gateway import (
    RECORD_BYTES,
    HostAddress,
    NotGathering,
    NotRelaying,
    RelayPeers,
    Route,
)
from kingcuplug_gateway._relay import RelayClient
from kingcuplug_testkit import refusing_address

from .conftest import GatewayHarness, make_route, signed_response

SHARDS = ("s0", "s1", "s2")
QUERY = {"services": (), "shards": SHARDS, "name": "q", "prefix": "/q/"}
ORDER = {"repeatable": False, "name": "o", "prefix": "/o/"}


class NoReply(KingcuplugError):
    """The other host did not reply."""


@dataclass
class HostPair:
    """A host whose servers accept no connections, and one that serves for it."""

    cut_off: GatewayHarness
    helper: GatewayHarness
    messages: list[Any] = field(default_factory=list)
    faults: dict[str, str] = field(default_factory=dict)

    async def call(self, address: str, value: Any, timeout_s: float) -> Any:
        """Deliver a message to the helper, or fail by the fault of the address."""
        fault = self.faults.get(address)
        if fault == "refuses":
            raise NotRelaying("stopping")
        if fault == "hangs" and value != ["probe"]:
            await asyncio.sleep(timeout_s)
            raise NoReply("no reply in time", "try another host")
        if value != ["probe"]:
            self.messages.append(value)
        try:
            async with asyncio.timeout(timeout_s):
                return await self.helper.gateway.handle_relay(value)
        except TimeoutError as error:
            raise NoReply("no reply in time", "try another host") from error

    def set_routes(self, *routes: Route, version: int = 1) -> None:
        """Install a route table at both hosts."""
        self.cut_off.set_routes(*routes, version=version)
        self.helper.set_routes(*routes, version=version)

    def received(self) -> int:
        """Return the number of requests that the helper's servers received."""
        return sum(map(len, self.helper.received.values()))


async def _respond(request):
    await asyncio.sleep(0.01)
    return signed_response(b"r" * RECORD_BYTES)


@asynccontextmanager
async def _open_pair(open_gateway):
    async with (
        open_gateway() as helper,
        open_gateway() as cut_off,
        AsyncExitStack() as refusing,
    ):
        pair = HostPair(cut_off, helper)
        addresses = [HostAddress("b:1", "z"), HostAddress("c:1", "z")]

        async def list_hosts() -> list[HostAddress]:
            return addresses

        cut_off.gateway._relay = RelayClient(
            RelayPeers(pair.call, list_hosts), "z", random.Random(1), Metrics()
        )
        pair.set_routes(make_route(), make_route(**QUERY), make_route(**ORDER))
        for service in ("stock", *SHARDS):
            for number in range(2):
                await helper.add_server(service, _respond)
                address = refusing.enter_context(refusing_address())
                cut_off.register_server(f"{service}-dead-{number}", service, address)
        yield pair


@pytest.fixture
def open_pair(open_gateway):
    return lambda: _open_pair(open_gateway)


@pytest.mark.parametrize("target", ["/x", "/q/x", "/o/x"])
def test_host_without_its_servers_serves_through_another_one(open_pair, target):
    """Guards against refusing callers although another host could serve them."""

    async def scenario():
        async with open_pair() as pair:
            # One attempt for each part, so that a slow machine leads to no hedges.
            routes = [make_route(), make_route(**QUERY), make_route(**ORDER)]
            pair.set_routes(
                *(dataclasses.replace(route, max_attempts=1) for route in routes),
                version=2,
            )
            for _ in range(5):
                response = await pair.cut_off.send(target)
                assert response.status == 200
                assert response.body == b"r" * RECORD_BYTES * (
                    len(SHARDS) if target == "/q/x" else 1
                )
            assert pair.received() == 5 * (len(SHARDS) if target == "/q/x" else 1)

    asyncio.run(scenario())


async def _hang(request):
    await asyncio.sleep(30)
    return signed_response()


@pytest.fixture
def cut(monkeypatch):
    """Let checks of servers fail, but for the addresses added to the returned set."""
    reachable: set[str] = set()

    async def is_reachable(address: str) -> bool:
        return address in reachable

    monkeypatch.setattr(
        "kingcuplug_gateway._isolation_monitor.accepts_connections", is_reachable
    )
    return reachable


@pytest.mark.parametrize("target", ["/x", "/q/x"])
def test_requests_in_progress_do_not_wait_for_connections_that_hang(
    open_gateway, cut, target
):
    """Guards against holding requests until their deadline when answers stop."""

    async def scenario():
        async with _open_pair(open_gateway) as pair:
            cut_off = pair.cut_off
            cut.update(info.address for info in pair.helper.server_infos)
            cut_off.server_infos.clear()
            for service in ("stock", *SHARDS):
                for _ in range(2):
                    await cut_off.add_server(service, _hang)
            started_at = asyncio.get_running_loop().time()
            response = await cut_off.send(target)
            assert response.status == 200
            assert asyncio.get_running_loop().time() - started_at < 1.5

    asyncio.run(scenario())


@pytest.mark.parametrize("target", ["/x", "/q/x"])
def test_request_whose_server_can_be_reached_is_not_sent_to_another_host(
    open_gateway, monkeypatch, target
):
    """Guards against more servers than the route allows after a mistaken check.

    A host that was suspended during a check sees no connection in time.
    """

    async def scenario():
        async with _open_pair(open_gateway) as pair:
            cut_off, helper = pair.cut_off, pair.helper
            servers = {info.address for info in helper.server_infos}

            async def is_reachable(address: str) -> bool:
                return address in servers or cut_off.gateway.is_isolated

            monkeypatch.setattr(
                "kingcuplug_gateway._isolation_monitor.accepts_connections",
                is_reachable,
            )
            routes = [make_route(), make_route(**QUERY)]
            pair.set_routes(
                *(dataclasses.replace(route, max_attempts=1) for route in routes),
                version=2,
            )
            cut_off.server_infos.clear()
            for service in ("stock", *SHARDS):
                for _ in range(2):
                    await cut_off.add_server(service, _hang)
            # Two servers that are late lead to a check.
            first, second = await asyncio.gather(
                cut_off.send(target), cut_off.send(target)
            )
            assert {first.status, second.status} == {502}
            assert pair.received() == 0

    asyncio.run(scenario())


def test_interrupted_request_is_not_said_to_have_not_run(open_gateway, cut):
    """Guards against a 503 for a request that a server behind the cut may have run."""

    async def scenario():
        async with _open_pair(open_gateway) as pair:
            pair.faults = {"b:1": "refuses", "c:1": "refuses"}
            pair.cut_off.server_infos.clear()
            for _ in range(2):
                await pair.cut_off.add_server("stock", _hang)
            assert (await pair.cut_off.send("/x")).status == 502

    asyncio.run(scenario())


def test_order_that_may_have_run_is_not_sent_to_another_host(open_gateway, cut):
    """Guards against an order that runs here behind the cut, and at another host."""

    async def scenario():
        async with _open_pair(open_gateway) as pair:
            cut_off = pair.cut_off
            cut.update(info.address for info in pair.helper.server_infos)
            cut_off.server_infos.clear()
            for _ in range(2):
                await cut_off.add_server("stock", _hang)
            order = asyncio.ensure_future(cut_off.send("/o/x"))
            await asyncio.sleep(0.1)
            reads = await asyncio.gather(cut_off.send("/x"), cut_off.send("/x"))
            assert [r.status for r in reads] == [200, 200]
            assert (await order).status == 504
            assert pair.received() == 2

    asyncio.run(scenario())


def test_order_is_not_sent_again_after_a_host_did_not_reply(open_pair):
    """Guards against an order that two hosts send to servers."""

    async def scenario():
        async with open_pair() as pair:
            pair.faults = {"b:1": "hangs", "c:1": "hangs"}
            response = await pair.cut_off.send("/o/x", left_ms="300")
            assert response.status == 502
            assert pair.messages == []

    asyncio.run(scenario())


def test_host_that_refuses_is_replaced_by_another_one(open_pair):
    """Guards against giving up because one host is stopping or is cut off, too."""

    async def scenario():
        async with open_pair() as pair:
            pair.cut_off.gateway._relay.start()
            assert (await pair.cut_off.send("/x")).status == 200
            pair.faults = {"b:1": "refuses"}
            for _ in range(4):
                assert (await pair.cut_off.send("/x")).status == 200

    asyncio.run(scenario())


def test_request_is_refused_at_once_where_no_host_can_help(open_pair):
    """Guards against holding requests that cannot be served, and relays of relays."""

    async def scenario():
        async with open_pair() as pair:
            pair.faults = {"b:1": "refuses", "c:1": "refuses"}
            await pair.cut_off.send("/x")
            started_at = asyncio.get_running_loop().time()
            response = await pair.cut_off.send("/x")
            assert response.status == 503
            assert response.header(b"retry-after") or dict(response.headers)
            assert asyncio.get_running_loop().time() - started_at < 0.1
            assert not pair.cut_off.gateway.can_serve
            with pytest.raises(NotRelaying):
                await pair.cut_off.gateway.handle_relay(["probe"])

    asyncio.run(scenario())


def test_helper_keeps_to_the_attempts_and_the_time_that_are_left(open_pair):
    """Guards against more servers than the route allows, and against extra time."""

    async def scenario():
        async with open_pair() as pair:
            pair.set_routes(make_route(max_attempts=1), version=2)
            pair.helper.server_infos.clear()
            for _ in range(3):
                await pair.helper.add_server("stock", _fail)
            response = await pair.cut_off.send("/x", left_ms="800")
            assert response.status == 500
            assert pair.received() == 1
            *_, elapsed_ms, max_attempts, routes_version = pair.messages[0]
            assert (max_attempts, routes_version) == (1, 2)
            (request,) = [r for rs in pair.helper.received.values() for r in rs]
            assert int(request.header(b"left-ms")) <= 800 - elapsed_ms + 1

    asyncio.run(scenario())


@pytest.mark.parametrize("target", ["/x", "/q/x", "/o/x"])
def test_host_with_older_routes_serves_no_request_of_another_one(open_pair, target):
    """Guards against a request that is handled by routes older than those in force."""

    async def scenario():
        async with open_pair() as pair:
            routes = [make_route(), make_route(**QUERY), make_route(**ORDER)]
            pair.cut_off.set_routes(*routes, version=2)
            response = await pair.cut_off.send(target)
            assert response.status in (502, 503)
            assert pair.received() == 0
            pair.helper.set_routes(*routes, version=3)
            await asyncio.sleep(1.2)  # Longer than until helpers are looked for again.
            assert (await pair.cut_off.send(target)).status == 200

    asyncio.run(scenario())


def test_host_of_an_earlier_build_gets_requests_that_it_understands(
    open_pair, monkeypatch
):
    """Guards against messages that a host rejects during an upgrade."""
    monkeypatch.setattr("kingcuplug_gateway._gateway.PROBE_REPLY", ["signals"])

    async def scenario():
        async with open_pair() as pair:
            assert (await pair.cut_off.send("/x")).status == 200
            kind, *_, max_attempts = pair.messages[0]
            assert (kind, len(pair.messages[0])) == ("serve_with_signals", 9)
            assert max_attempts == 2

    asyncio.run(scenario())


async def _fail(request):
    return signed_response(status=500)


def test_host_serves_by_itself_again_after_the_cut(open_gateway, monkeypatch):
    """Guards against relaying for longer than needed, and stale failures of servers."""

    async def scenario():
        async with _open_pair(open_gateway) as pair:
            assert (await pair.cut_off.send("/x")).status == 200
            assert pair.cut_off.gateway.is_isolated
            pair.cut_off.server_infos.clear()
            for service in ("stock", *SHARDS):
                await pair.cut_off.add_server(service, _respond)
            await asyncio.sleep(0.6)
            assert not pair.cut_off.gateway.is_isolated
            before = len(pair.messages)
            assert (await pair.cut_off.send("/x")).status == 200
            assert len(pair.messages) == before

    asyncio.run(scenario())


@pytest.mark.parametrize(
    "message",
    [
        None,
        [],
        ["serve"],
        ["other", "GET", "/", [], "", 1, 0.0, 1],
        ["serve", "GET", "/", [["a"]], "", 1, 0.0, 1],
        ["serve", "GET", "/", [], "", 1, "soon", 1],
        ["serve", "GET", "/", [], "", 1, 0.0, 0],
        ["serve", 1, "/", [], "", 1, 0.0, 1],
    ],
)
def test_malformed_relay_messages_are_rejected(open_pair, message):
    """Guards against a message that ends a task, or is served with wrong fields."""

    async def scenario():
        async with open_pair() as pair:
            with pytest.raises((TypeError, ValueError)):
                await pair.helper.gateway.handle_relay(message)
            assert pair.received() == 0

    asyncio.run(scenario())


@pytest.mark.parametrize("refuses", [False, True])
def test_query_that_a_gatherer_may_have_sent_is_not_relayed(open_gateway, refuses):
    """Guards against a query that a gatherer and another host both send to servers.

    One that refused has sent nothing, so its query may be relayed.
    """

    async def scenario():
        async with (
            _open_pair(open_gateway) as pair,
            open_gateway(link_mbps=7.0) as narrow,
        ):
            narrow.set_routes(make_route(**QUERY))

            async def call_peer(address, value, timeout_s):
                if refuses:
                    raise NotGathering("stopping")
                raise NoReply("no reply in time", "ask the shards")

            narrow.gateway._call_peer = call_peer
            narrow.gateway._relay = pair.cut_off.gateway._relay
            infos = pair.cut_off.server_infos
            narrow.gateway.update_fleet(infos, 2, gatherers={"z": ["g:1", "g:2"]})
            response = await narrow.send("/q/x", left_ms="900")
            assert response.status == (200 if refuses else 502)
            assert len(pair.messages) == int(refuses)

    asyncio.run(scenario())
