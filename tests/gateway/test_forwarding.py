"""Requests to one server: what is sent, repeated, relayed and refused."""

import asyncio
import struct
from socket import SO_LINGER, SOL_SOCKET

import pytest
from kingcuplug_http import Request, Response, encode_response

from .conftest import make_route, sealed


async def _good(request: Request) -> Response:
    return sealed(b"answer")


async def _full(request: Request) -> Response:
    return Response(503, [(b"Unrun", b"1")], b"")


async def _broken(request: Request) -> Response:
    return sealed(b"oops", status=500)


async def _unsealed(request: Request) -> Response:
    return Response(200, [], b"from whom?")


async def _encoded(request: Request) -> Response:
    return sealed(b"\x1f\x8b", content_encoding="gzip")


async def _resetting_address() -> tuple[str, asyncio.Server]:
    """Return the address of a server that reads a request and resets."""

    async def reset(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        linger = struct.pack("ii", 1, 0)
        writer.get_extra_info("socket").setsockopt(SOL_SOCKET, SO_LINGER, linger)
        writer.transport.abort()

    server = await asyncio.start_server(reset, "127.0.0.1", 0)
    return f"127.0.0.1:{server.sockets[0].getsockname()[1]}", server


def test_request_and_answer_pass_unchanged(open_world):
    """Guards against a changed method, target, body or answer."""

    async def run() -> None:
        async with open_world() as world:
            server = await world.add("stock", _good)
            world.adopt(make_route())
            response = await world.ask(
                "/x?a=1&b=%20",
                "POST",
                b"body",
                left_ms="900",
                extra="kept",
                seal="forged",
            )
            assert (response.status, response.body) == (200, b"answer")
            (request,) = world.asked[server]
            assert (request.method, request.target) == (b"POST", b"/x?a=1&b=%20")
            assert request.body == b"body"
            assert request.header(b"extra") == b"kept"
            assert request.header(b"only-at") == server.encode()
            assert 0 < int(request.header(b"left-ms")) <= 900
            assert request.header(b"seal") is None

    asyncio.run(run())


def test_longest_prefix_selects_the_route_and_others_get_404(open_world):
    """Guards against a request that runs at a service of another route."""

    async def run() -> None:
        async with open_world() as world:
            outer = await world.add("stock", _good)
            inner = await world.add("trims", _good)
            services = make_route().services
            world.adopt(
                make_route(prefix="/a/"),
                make_route(
                    name="s",
                    prefix="/a/b/",
                    services=(type(services[0])("trims", 1.0),),
                ),
            )
            assert (await world.ask("/a/b/c")).status == 200
            assert (await world.ask("/a/bc")).status == 200
            assert (await world.ask("/b/c")).status == 404
            assert (await world.ask("/a/b/c", host="other.example")).status == 404
            assert len(world.asked[inner]) == len(world.asked[outer]) == 1

    asyncio.run(run())


def test_host_without_routes_answers_503_not_404(open_world):
    """Guards against a final refusal by a host that knows nothing yet."""

    async def run() -> Response:
        async with open_world() as world:
            return await world.ask()

    response = asyncio.run(run())
    assert response.status == 503
    assert any(name == b"Retry-After" for name, _ in response.headers)


def test_request_waits_for_routes_after_a_start(open_world):
    """Guards against refusing callers while the first routes are on their way."""

    async def run() -> Response:
        async with open_world(warm=False) as world:
            await world.add("stock", _good)
            asking = asyncio.ensure_future(world.ask(left_ms="5000"))
            await asyncio.sleep(0.05)
            assert not asking.done()
            world.adopt(make_route())
            return await asking

    assert asyncio.run(run()).status == 200


@pytest.mark.parametrize("bad", [_full, _broken, _unsealed, _encoded])
def test_repeatable_request_is_sent_to_a_second_server(open_world, bad):
    """Guards against failing a caller whom another server could have served."""

    async def run() -> None:
        async with open_world() as world:
            bad_server = await world.add("stock", bad)
            good_server = await world.add("stock", _good)
            world.adopt(make_route())
            for _ in range(6):
                response = await world.ask()
                assert (response.status, response.body) == (200, b"answer")
            assert world.asked[bad_server]
            assert len(world.asked[good_server]) == 6

    asyncio.run(run())


@pytest.mark.parametrize("bad", [_broken, _unsealed, _encoded])
def test_order_that_may_have_run_is_never_sent_again(open_world, bad):
    """Guards against an order that runs twice, and a refusal that says it did not."""

    async def run() -> None:
        async with open_world() as world:
            for _ in range(3):
                await world.add("stock", bad)
            world.adopt(make_route(repeatable=False))
            response = await world.ask(method="POST")
            assert sum(len(asked) for asked in world.asked.values()) == 1
            assert response.status not in (200, 408, 421, 429, 503)

    asyncio.run(run())


def test_order_whose_connection_is_reset_is_never_sent_again(open_world):
    """Guards against taking a reset for a promise that nothing ran."""

    async def run() -> None:
        async with open_world() as world:
            address, server = await _resetting_address()
            world.know("stock-r", "stock", address)
            world.adopt(make_route(repeatable=False))
            assert (await world.ask(method="POST")).status == 502
            good = await world.add("stock", _good)
            assert not world.asked[good]
            server.close()

    asyncio.run(run())


def test_order_goes_on_where_it_certainly_did_not_run(open_world):
    """Guards against giving up an order that a full or dead server never began."""

    async def run() -> None:
        async with open_world() as world:
            full = await world.add("stock", _full)
            world.know("stock-dead", "stock", "127.0.0.1:1")
            good = await world.add("stock", _good)
            world.adopt(make_route(repeatable=False, max_attempts=1))
            for _ in range(4):
                assert (await world.ask(method="POST")).status == 200
            assert len(world.asked[good]) == 4
            assert len(world.asked[full]) <= 4

    asyncio.run(run())


def test_refusal_when_all_servers_are_full_says_not_run(open_world):
    """Guards against a 502 for a request that certainly did not run."""

    async def run() -> Response:
        async with open_world() as world:
            await world.add("stock", _full)
            await world.add("stock", _full)
            world.adopt(make_route(repeatable=False))
            return await world.ask(method="POST")

    assert asyncio.run(run()).status == 503


def test_failure_of_a_server_is_relayed_with_its_seal(open_world):
    """Guards against a server's failure that loses its status or signature."""

    async def run() -> Response:
        async with open_world() as world:
            await world.add("stock", _broken)
            world.adopt(make_route(max_attempts=1))
            return await world.ask()

    response = asyncio.run(run())
    assert (response.status, response.body) == (500, b"oops")
    assert any(name == b"Seal" for name, _ in response.headers)


def test_silent_server_ends_in_504_at_the_deadline(open_world):
    """Guards against callers that are held past their time."""

    async def silent(request: Request) -> Response:
        await asyncio.sleep(60)
        return sealed()

    async def run() -> Response:
        async with open_world() as world:
            await world.add("stock", silent)
            world.adopt(make_route(timeout_ms=100))
            return await world.ask()

    assert asyncio.run(run()).status == 504


@pytest.mark.parametrize("deadline", ["", "soon", "-5", "1e3", "9" * 5_000])
def test_unreadable_deadline_is_the_routes_timeout(open_world, deadline):
    """Guards against an internal error by a caller's malformed header."""

    async def run() -> Request:
        async with open_world() as world:
            server = await world.add("stock", _good)
            world.adopt(make_route(timeout_ms=700))
            assert (await world.ask(left_ms=deadline)).status == 200
            return world.asked[server][0]

    assert 0 < int(asyncio.run(run()).header(b"left-ms")) <= 700


def test_no_more_servers_than_allowed_get_a_request(open_world):
    """Guards against retries beyond the route's number of attempts."""

    async def run() -> int:
        async with open_world() as world:
            for _ in range(4):
                await world.add("stock", _broken)
            world.adopt(make_route(max_attempts=2))
            await world.ask()
            return sum(len(asked) for asked in world.asked.values())

    assert asyncio.run(run()) == 2


def test_leaving_caller_closes_the_servers_connection(open_world):
    """Guards against a server that works on for a caller who has left."""
    begun, stopped = asyncio.Event(), asyncio.Event()

    async def long(request: Request) -> Response:
        begun.set()
        try:
            await asyncio.sleep(60)
        except asyncio.CancelledError:
            stopped.set()
            raise
        return sealed()

    async def run() -> None:
        async with open_world() as world:
            await world.add("stock", long)
            world.adopt(make_route(timeout_ms=9_000))
            asking = asyncio.ensure_future(world.ask())
            await begun.wait()
            asking.cancel()
            await asyncio.wait_for(stopped.wait(), timeout=5)

    asyncio.run(run())


def test_weights_are_kept_over_few_requests(open_world):
    """Guards against a split that strays from its weights."""

    async def run() -> list[int]:
        async with open_world() as world:
            first = await world.add("stock", _good)
            second = await world.add("trims", _good)
            weighted = type(make_route().services[0])
            services = (weighted("stock", 3.0), weighted("trims", 1.0))
            world.adopt(make_route(services=services))
            for _ in range(40):
                await world.ask()
            return [len(world.asked[first]), len(world.asked[second])]

    first, second = asyncio.run(run())
    assert abs(first - 30) <= 1
    assert abs(second - 10) <= 1


def test_answer_to_head_has_a_length_but_no_body(open_world):
    """Guards against waiting until the deadline for a body that never comes."""

    async def run() -> None:
        async with open_world() as world:

            async def stock(request: Request) -> Response:
                return sealed(b"0123456789")

            await world.add("stock", stock)
            world.adopt(make_route(timeout_ms=1_500))
            response = await world.ask(method="HEAD")
            assert response.status == 200
            assert response.body == b""
            sent = encode_response(response, close=False, head=True)
            assert b"Content-Length: 10\r\n" in sent
            assert sent.endswith(b"\r\n\r\n")

    asyncio.run(run())
