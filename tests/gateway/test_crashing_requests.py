"""Requests that crash the servers that run them, at the socket."""

import asyncio

import pytest
from kingcuplug_gateway._request_identity import request_identity

from .conftest import make_route, signed_response

_CHECK_S = 0.3  # A little longer than the check of a lost server takes.
_REPLY_TIMEOUT_S = 0.5  # How long the check waits for a server that does not reply.


async def _answer(request):
    return signed_response(b"0123456789abcdef")


async def _add_crashing_servers(
    harness, service: str, count: int, mute: bool = False
) -> list[str]:
    """Start servers that stop when they receive the path ``/crash``.

    A mute one still accepts connections, and replies to nothing.
    """

    async def add_server() -> str:
        number = len(harness.listeners)
        crashed = False

        async def handle(request):
            nonlocal crashed
            if crashed:
                await asyncio.sleep(60)
            if request.target.partition(b"?")[0] == b"/crash":
                crashed = True
                listener = harness.listeners[number]
                if not mute:
                    listener.stop_accepting()
                for connection in tuple(listener.connections):
                    connection.abort()
                await asyncio.sleep(1)
            return signed_response(b"0123456789abcdef")

        return await harness.add_server(service, handle)

    return [await add_server() for _ in range(count)]


def _arrivals(harness) -> int:
    received = [r for requests in harness.received.values() for r in requests]
    return sum(request.target == b"/crash" for request in received)


def test_request_is_refused_after_three_executions_crashed_servers(open_gateway):
    """Guards against a host that sends such a request on, to one server at a time."""

    async def scenario():
        async with open_gateway() as harness:
            harness.set_routes(make_route())
            await _add_crashing_servers(harness, "stock", 8)
            statuses = []
            for number in range(6):
                response = await harness.send("/crash", try_id=f"t{number}")
                statuses.append(response.status)
                await asyncio.sleep(_CHECK_S)
            assert statuses == [502, 502, 502, 503, 503, 503]
            # The first execution is retried; a suspect is not.
            assert _arrivals(harness) == 4
            assert (await harness.send("/fine")).status == 200

    asyncio.run(scenario())


def test_crash_is_counted_if_the_server_accepts_but_does_not_reply(open_gateway):
    """Guards against counting only servers that refuse connections as crashed."""

    async def scenario():
        async with open_gateway() as harness:
            harness.set_routes(make_route())
            await _add_crashing_servers(harness, "stock", 8, mute=True)
            await harness.add_server("other", _answer)
            statuses = []
            for number in range(4):
                response = await harness.send("/crash", try_id=f"t{number}")
                statuses.append(response.status)
                await asyncio.sleep(_CHECK_S + _REPLY_TIMEOUT_S)
            assert statuses == [502, 502, 502, 503]

    asyncio.run(scenario())


def test_query_that_crashes_servers_reaches_one_at_a_time(open_gateway):
    """Guards against losing a server of each shard whenever the query comes again."""

    async def scenario():
        async with open_gateway() as harness:
            shards = ("a", "b", "c")
            harness.set_routes(make_route(services=(), shards=shards))
            for shard in shards:
                await _add_crashing_servers(harness, shard, 4)
            await harness.send("/crash", try_id="t0")
            await asyncio.sleep(_CHECK_S)
            first = _arrivals(harness)
            for number in range(1, 5):
                await harness.send("/crash", try_id=f"t{number}")
                await asyncio.sleep(_CHECK_S)
            assert _arrivals(harness) == first + 2
            response = await harness.send("/fine")
            assert response.status == 200
            assert (
                response.header(b"Missing") is None
                or dict(response.headers)[b"Missing"] == b"0"
            )

    asyncio.run(scenario())


def test_suspected_query_is_answered_whole(open_gateway):
    """Guards against a partial answer to a query that was suspected by mistake."""

    async def scenario():
        async with open_gateway() as harness:
            shards = ("a", "b", "c")
            harness.set_routes(make_route(services=(), shards=shards))
            for shard in shards:
                await _add_crashing_servers(harness, shard, 1)
            fingerprint = request_identity(
                b"GET /x HTTP/1.1\r\nhost: shop.example\r\n", b""
            ).fingerprint
            now = asyncio.get_running_loop().time()
            harness.gateway.quarantine.record_crash(fingerprint, "earlier", now)
            response = await harness.send("/x")
            assert response.status == 200
            assert dict(response.headers)[b"Missing"] == b"0"
            assert harness.gateway.quarantine.is_empty

    asyncio.run(scenario())


@pytest.mark.parametrize("differing", ["query string", "cookie"])
def test_repeat_is_recognised_by_path_caller_and_body(open_gateway, differing):
    """Guards against an identity that differs each time such a request comes again."""

    async def scenario():
        async with open_gateway() as harness:
            harness.set_routes(make_route(repeatable=False))
            await _add_crashing_servers(harness, "stock", 8)
            statuses = []
            for number in range(5):
                target, cookie = "/crash", ""
                if differing == "cookie":
                    cookie = f"visit={number}"
                else:
                    target = f"/crash?page={number}"
                response = await harness.send(
                    target, "POST", b"order", try_id=f"t{number}", cookie=cookie
                )
                statuses.append(response.status)
                await asyncio.sleep(_CHECK_S)
            assert statuses == [502, 502, 502, 503, 503]
            response = await harness.send("/crash?page=1", "POST", b"other")
            assert response.status == 502

    asyncio.run(scenario())


@pytest.mark.parametrize("cut", ["connections", "all servers"])
def test_lost_connections_alone_are_no_crash(open_gateway, cut):
    """Guards against suspecting requests under resets, or when the host is cut off.

    The servers go on listening in the first case; in the second one no server accepts
    a connection of this host.
    """

    async def scenario():
        async with open_gateway() as harness:
            harness.set_routes(make_route())

            async def reset(request):
                for listener in harness.listeners:
                    for connection in tuple(listener.connections):
                        connection.abort()
                    if cut == "all servers":
                        listener.stop_accepting()
                await asyncio.sleep(1)

            for _ in range(3):
                await harness.add_server("stock", reset)
            for number in range(4):
                response = await harness.send("/x", try_id=f"t{number}")
                assert response.status in (502, 503)
                await asyncio.sleep(_CHECK_S)
            assert harness.gateway.quarantine.is_empty

    asyncio.run(scenario())


def test_fingerprint_is_that_of_what_comes_again():
    """Guards against an identity that differs by attempt, or ignores the caller."""
    head = (
        b"GET /a?b=1 HTTP/1.1\r\nHost: h\r\nAuthorization: me\r\n"
        b"Attempt-Id: 1\r\nUser-Agent: x\r\n"
    )
    fingerprint = request_identity(head, b"body").fingerprint
    again = head.replace(b"Attempt-Id: 1", b"Attempt-Id: 2").replace(b"x\r\n", b"y\r\n")
    assert request_identity(again, b"body").fingerprint == fingerprint
    for old, new in ((b"b=1", b"b=2"), (b"me", b"you"), (b"GET", b"PUT")):
        other = request_identity(head.replace(old, new), b"body")
        assert other.fingerprint != fingerprint
    assert request_identity(head, b"bodx").fingerprint != fingerprint


def test_path_fingerprint_leaves_out_what_a_caller_may_vary():
    """Guards against identities that differ with query string or cookie only."""
    head = b"GET /a HTTP/1.1\r\nHost: h\r\nAuthorization: me\r\n"
    expected = request_identity(head, b"body").path_fingerprint
    with_query = head.replace(b"/a", b"/a?b=1")
    for same in (with_query, head + b"Cookie: c=1\r\n"):
        assert request_identity(same, b"body").path_fingerprint == expected
    for old, new in ((b"/a", b"/b"), (b"me", b"you"), (b"GET", b"PUT")):
        other = request_identity(head.replace(old, new), b"body")
        assert other.path_fingerprint != expected
    assert request_identity(head, b"bodx").path_fingerprint != expected
