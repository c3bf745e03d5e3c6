"""Requests forwarded to one server: content, retries, responses and refusals."""

import asyncio
import struct
from socket import SO_LINGER, SOL_SOCKET

import pytest
from kingcuplug_gateway import ServerInfo
from kingcuplug_http import Request, Response, encode_response

from .conftest import make_route, signed_response


async def _respond_success(request: Request) -> Response:
    return signed_response(b"answer")


async def _reject_full(request: Request) -> Response:
    return Response(503, [(b"Unrun", b"1")], b"")


async def _respond_error(request: Request) -> Response:
    return signed_response(b"oops", status=500)


async def _respond_unsigned(request: Request) -> Response:
    return Response(200, [], b"from whom?")


async def _respond_gzip(request: Request) -> Response:
    return signed_response(b"\x1f\x8b", content_encoding="gzip")


async def _start_resetting_server() -> tuple[str, asyncio.Server]:
    """Start a server that resets the connection after a request's headers.

    Returns its address and the server.
    """

    async def reset(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        linger = struct.pack("ii", 1, 0)
        writer.get_extra_info("socket").setsockopt(SOL_SOCKET, SO_LINGER, linger)
        writer.transport.abort()

    server = await asyncio.start_server(reset, "127.0.0.1", 0)
    return f"127.0.0.1:{server.sockets[0].getsockname()[1]}", server


def test_request_and_response_are_forwarded_unchanged(open_gateway):
    """Guards against changes to the method, target, headers, body or response."""

    async def run() -> None:
        async with open_gateway() as harness:
            server = await harness.add_server("stock", _respond_success)
            harness.set_routes(make_route())
            response = await harness.send(
                "/x?a=1&b=%20",
                "POST",
                b"body",
                left_ms="900",
                extra="kept",
                seal="forged",
            )
            assert (response.status, response.body) == (200, b"answer")
            (request,) = harness.received[server]
            assert (request.method, request.target) == (b"POST", b"/x?a=1&b=%20")
            assert request.body == b"body"
            assert request.header(b"extra") == b"kept"
            assert request.header(b"only-at") == server.encode()
            assert 0 < int(request.header(b"left-ms")) <= 900
            assert request.header(b"seal") is None

    asyncio.run(run())


def test_longest_prefix_selects_the_route_and_unmatched_requests_get_404(open_gateway):
    """Guards against a request that is sent to the service of another route."""

    async def run() -> None:
        async with open_gateway() as harness:
            outer = await harness.add_server("stock", _respond_success)
            inner = await harness.add_server("trims", _respond_success)
            services = make_route().services
            harness.set_routes(
                make_route(prefix="/a/"),
                make_route(
                    name="s",
                    prefix="/a/b/",
                    services=(type(services[0])("trims", 1.0),),
                ),
            )
            assert (await harness.send("/a/b/c")).status == 200
            assert (await harness.send("/a/bc")).status == 200
            assert (await harness.send("/b/c")).status == 404
            assert (await harness.send("/a/b/c", host="other.example")).status == 404
            assert len(harness.received[inner]) == len(harness.received[outer]) == 1

    asyncio.run(run())


def test_host_without_routes_answers_503_not_404(open_gateway):
    """Guards against a final refusal by a host that has no route table yet."""

    async def run() -> Response:
        async with open_gateway() as harness:
            return await harness.send()

    response = asyncio.run(run())
    assert response.status == 503
    assert any(name == b"Retry-After" for name, _ in response.headers)


def test_request_waits_for_routes_after_startup(open_gateway):
    """Guards against refusing callers before the first route table arrives."""

    async def run() -> Response:
        async with open_gateway(startup_over=False) as harness:
            await harness.add_server("stock", _respond_success)
            pending_response = asyncio.ensure_future(harness.send(left_ms="5000"))
            await asyncio.sleep(0.05)
            assert not pending_response.done()
            harness.set_routes(make_route())
            return await pending_response

    assert asyncio.run(run()).status == 200


@pytest.mark.parametrize(
    "bad", [_reject_full, _respond_error, _respond_unsigned, _respond_gzip]
)
def test_repeatable_request_is_retried_on_a_second_server(open_gateway, bad):
    """Guards against failing a request that another server could have served."""

    async def run() -> None:
        async with open_gateway() as harness:
            bad_server = await harness.add_server("stock", bad)
            good_server = await harness.add_server("stock", _respond_success)
            harness.set_routes(make_route())
            for _ in range(6):
                response = await harness.send()
                assert (response.status, response.body) == (200, b"answer")
            assert harness.received[bad_server]
            assert len(harness.received[good_server]) == 6

    asyncio.run(run())


@pytest.mark.parametrize("bad", [_respond_error, _respond_unsigned, _respond_gzip])
def test_non_repeatable_request_that_may_have_run_is_not_retried(open_gateway, bad):
    """Guards against a second run, and a status that says the request did not run."""

    async def run() -> None:
        async with open_gateway() as harness:
            for _ in range(3):
                await harness.add_server("stock", bad)
            harness.set_routes(make_route(repeatable=False))
            response = await harness.send(method="POST")
            assert sum(len(requests) for requests in harness.received.values()) == 1
            assert response.status not in (200, 408, 421, 429, 503)

    asyncio.run(run())


def test_non_repeatable_request_is_not_retried_after_a_connection_reset(open_gateway):
    """Guards against treating a connection reset as proof that nothing ran."""

    async def run() -> None:
        async with open_gateway() as harness:
            address, server = await _start_resetting_server()
            harness.register_server("stock-r", "stock", address)
            harness.set_routes(make_route(repeatable=False))
            assert (await harness.send(method="POST")).status == 502
            good = await harness.add_server("stock", _respond_success)
            assert not harness.received[good]
            server.close()

    asyncio.run(run())


def test_non_repeatable_request_is_retried_if_it_did_not_run(open_gateway):
    """Guards against failing a request that a full or stopped server did not run."""

    async def run() -> None:
        async with open_gateway() as harness:
            full = await harness.add_server("stock", _reject_full)
            harness.register_server("stock-dead", "stock", "127.0.0.1:1")
            good = await harness.add_server("stock", _respond_success)
            harness.set_routes(make_route(repeatable=False, max_attempts=1))
            for _ in range(4):
                assert (await harness.send(method="POST")).status == 200
            assert len(harness.received[good]) == 4
            assert len(harness.received[full]) <= 4

    asyncio.run(run())


def test_request_rejected_by_all_servers_gets_503(open_gateway):
    """Guards against a 502 for a request that no server ran."""

    async def run() -> Response:
        async with open_gateway() as harness:
            await harness.add_server("stock", _reject_full)
            await harness.add_server("stock", _reject_full)
            harness.set_routes(make_route(repeatable=False))
            return await harness.send(method="POST")

    assert asyncio.run(run()).status == 503


def test_error_response_is_relayed_with_its_signature(open_gateway):
    """Guards against a server's error response that loses its status or signature."""

    async def run() -> Response:
        async with open_gateway() as harness:
            await harness.add_server("stock", _respond_error)
            harness.set_routes(make_route(max_attempts=1))
            return await harness.send()

    response = asyncio.run(run())
    assert (response.status, response.body) == (500, b"oops")
    assert any(name == b"Seal" for name, _ in response.headers)


def test_unresponsive_server_leads_to_504_at_the_deadline(open_gateway):
    """Guards against callers that wait beyond the route's timeout."""

    async def never_respond(request: Request) -> Response:
        await asyncio.sleep(60)
        return signed_response()

    async def run() -> Response:
        async with open_gateway() as harness:
            await harness.add_server("stock", never_respond)
            harness.set_routes(make_route(timeout_ms=100))
            return await harness.send()

    assert asyncio.run(run()).status == 504


@pytest.mark.parametrize("deadline", ["", "soon", "-5", "1e3", "9" * 5_000])
def test_malformed_deadline_falls_back_to_the_route_timeout(open_gateway, deadline):
    """Guards against an internal error due to a caller's malformed header."""

    async def run() -> Request:
        async with open_gateway() as harness:
            server = await harness.add_server("stock", _respond_success)
            harness.set_routes(make_route(timeout_ms=700))
            assert (await harness.send(left_ms=deadline)).status == 200
            return harness.received[server][0]

    assert 0 < int(asyncio.run(run()).header(b"left-ms")) <= 700


def test_attempts_do_not_exceed_the_maximum_of_the_route(open_gateway):
    """Guards against retries beyond the route's number of attempts."""

    async def run() -> int:
        async with open_gateway() as harness:
            for _ in range(4):
                await harness.add_server("stock", _respond_error)
            harness.set_routes(make_route(max_attempts=2))
            await harness.send()
            return sum(len(requests) for requests in harness.received.values())

    assert asyncio.run(run()) == 2


def test_caller_disconnect_closes_the_connection_to_the_server(open_gateway):
    """Guards against a server that continues a request after the caller left."""
    started, cancelled = asyncio.Event(), asyncio.Event()

    async def wait_until_cancelled(request: Request) -> Response:
        started.set()
        try:
            await asyncio.sleep(60)
        except asyncio.CancelledError:
            cancelled.set()
            raise
        return signed_response()

    async def run() -> None:
        async with open_gateway() as harness:
            await harness.add_server("stock", wait_until_cancelled)
            harness.set_routes(make_route(timeout_ms=9_000))
            pending_response = asyncio.ensure_future(harness.send())
            await started.wait()
            pending_response.cancel()
            await asyncio.wait_for(cancelled.wait(), timeout=5)

    asyncio.run(run())


def test_service_weights_hold_over_few_requests(open_gateway):
    """Guards against a distribution of requests that deviates from the weights."""

    async def run() -> list[int]:
        async with open_gateway() as harness:
            first = await harness.add_server("stock", _respond_success)
            second = await harness.add_server("trims", _respond_success)
            weighted = type(make_route().services[0])
            services = (weighted("stock", 3.0), weighted("trims", 1.0))
            harness.set_routes(make_route(services=services))
            for _ in range(40):
                await harness.send()
            return [len(harness.received[first]), len(harness.received[second])]

    first, second = asyncio.run(run())
    assert abs(first - 30) <= 1
    assert abs(second - 10) <= 1


def test_head_response_has_a_length_but_no_body(open_gateway):
    """Guards against waiting until the deadline for a body that is not sent."""

    async def run() -> None:
        async with open_gateway() as harness:

            async def stock(request: Request) -> Response:
                return signed_response(b"0123456789")

            await harness.add_server("stock", stock)
            harness.set_routes(make_route(timeout_ms=1_500))
            response = await harness.send(method="HEAD")
            assert response.status == 200
            assert response.body == b""
            sent = encode_response(response, close=False, head=True)
            assert b"Content-Length: 10\r\n" in sent
            assert sent.endswith(b"\r\n\r\n")

    asyncio.run(run())


def test_request_to_a_server_with_a_port_out_of_range_does_not_hang(open_gateway):
    """Guards against requests held until their deadline by an odd entry.

    The record may come from another host that did not reject it.
    """

    async def scenario():
        async with open_gateway() as harness:
            harness.set_routes(make_route())
            harness.register_server("odd", "stock", "127.0.0.1:99999")
            started_at = asyncio.get_running_loop().time()
            assert (await harness.send()).status == 503
            assert asyncio.get_running_loop().time() - started_at < 1.0

    asyncio.run(scenario())


def test_services_that_no_longer_exist_are_forgotten(open_gateway):
    """Guards against state that grows with the services that have ever existed."""

    async def run() -> None:
        async with open_gateway() as harness:
            harness.set_routes(make_route())
            for number in range(50):
                server = ServerInfo(
                    f"i-{number}", f"index-{number}", "127.0.0.1:1", "z", 3, 0, False
                )
                harness.gateway.update_fleet([server], hosts=1)
            harness.gateway.update_fleet([], hosts=1)
            assert set(harness.gateway.servers._pools) <= {"stock"}

    asyncio.run(run())
