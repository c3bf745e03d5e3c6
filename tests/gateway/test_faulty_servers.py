"""Servers that send copies, no ids, bytes without end, or one byte at a time."""

import asyncio
import contextlib
import os
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager

import pytest

from .conftest import make_route, signed_response

RawHandler = Callable[[bytes, asyncio.StreamWriter], Awaitable[None]]


@asynccontextmanager
async def _serve_raw(harness, service: str, handler: RawHandler) -> AsyncIterator[str]:
    """Run a server whose handler gets each request's head, and register it."""
    writers = []

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writers.append(writer)
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while True:
                await handler(await reader.readuntil(b"\r\n\r\n"), writer)

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
    harness.register_server(f"raw-{service}", service, address)
    try:
        yield address
    finally:
        server.close()
        for writer in writers:
            writer.close()


def _response(body: bytes, identifier: bytes | None) -> bytes:
    lines = [b"HTTP/1.1 200 OK\r\nSeal: ", os.urandom(4).hex().encode()]
    if identifier is not None:
        lines.append(b"\r\nTry-Id: " + identifier)
    lines.append(b"\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
    return b"".join(lines)


def _field(head: bytes, name: bytes) -> bytes:
    return head.partition(name + b": ")[2].partition(b"\r\n")[0]


@pytest.mark.parametrize("with_id", [True, False])
def test_second_copy_of_an_answer_never_reaches_the_next_caller(open_gateway, with_id):
    """Guards against an answer of another request on a connection in use again.

    The copy comes with the next request, with and without the id of its request.
    """

    async def run() -> None:
        async with open_gateway() as harness:
            previous = b""

            async def answer(head: bytes, writer: asyncio.StreamWriter) -> None:
                nonlocal previous
                identifier = _field(head, b"try-id")
                writer.write(previous)
                await writer.drain()
                await asyncio.sleep(0.02)
                writer.write(_response(identifier, identifier))
                previous = _response(identifier, identifier if with_id else None)

            async with _serve_raw(harness, "stock", answer):
                harness.set_routes(make_route())
                for number in range(5):
                    response = await harness.send(try_id=f"t{number}")
                    assert (response.status, response.body) == (
                        200,
                        b"t%d" % number,
                    )

    asyncio.run(run())


def test_server_that_echoes_no_id_gets_one_request_per_connection(open_gateway):
    """Guards against refusing the answers of a server that never sends the id."""

    async def run() -> None:
        async with open_gateway() as harness:
            connections = set()

            async def answer(head: bytes, writer: asyncio.StreamWriter) -> None:
                connections.add(writer)
                writer.write(_response(_field(head, b"try-id"), None))

            async with _serve_raw(harness, "stock", answer):
                harness.set_routes(make_route())
                for number in range(3):
                    response = await harness.send(try_id=f"t{number}")
                    assert response.body == b"t%d" % number
            assert len(connections) == 3

    asyncio.run(run())


async def _send_endless_header(writer: asyncio.StreamWriter) -> None:
    writer.write(b"HTTP/1.1 200 OK\r\nX: ")
    while True:
        writer.write(b"x" * 65_536)
        await writer.drain()


async def _send_endless_body(writer: asyncio.StreamWriter) -> None:
    writer.write(b"HTTP/1.1 200 OK\r\nSeal: s\r\nTry-Id: t1\r\n\r\n")
    while True:
        writer.write(b"x" * 65_536)
        await writer.drain()


async def _send_slow_header(writer: asyncio.StreamWriter) -> None:
    writer.write(b"HTTP/1.1 200 OK\r\nX: ")
    while True:
        writer.write(b"x")
        await writer.drain()
        await asyncio.sleep(0.05)


async def _send_slow_body(writer: asyncio.StreamWriter) -> None:
    writer.write(b"HTTP/1.1 200 OK\r\nSeal: s\r\nTry-Id: t1\r\n\r\n")
    while True:
        writer.write(b"x")
        await writer.drain()
        await asyncio.sleep(0.05)


@pytest.mark.parametrize(
    "send",
    [_send_endless_header, _send_endless_body, _send_slow_header, _send_slow_body],
)
def test_answer_without_end_is_replaced_by_another_servers(open_gateway, send):
    """Guards against a caller, a slot and memory that wait for such a server."""

    async def run() -> None:
        async with open_gateway() as harness:
            ended = asyncio.Event()

            async def answer(head: bytes, writer: asyncio.StreamWriter) -> None:
                try:
                    await send(writer)
                finally:
                    ended.set()

            async def respond(request):
                return signed_response(b"whole")

            async with _serve_raw(harness, "stock", answer):
                await harness.add_server("stock", respond)
                harness.set_routes(make_route(timeout_ms=4_000))
                pool = harness.gateway.servers.pool("stock")
                faulty = pool.servers["raw-stock"]
                async with asyncio.timeout(20):
                    while not ended.is_set():
                        response = await harness.send(left_ms="4000")
                        assert (response.status, response.body) == (200, b"whole")
                        await asyncio.sleep(0.35)
                assert not faulty.state.open_attempts
                assert faulty.connections._busy_count == 0
                normal_s = pool.servers["stock-1"].state.expected_latency_s
                now = asyncio.get_running_loop().time()
                assert faulty.state.expected_latency_s(now, 0.05) > normal_s(now, 0.05)

    asyncio.run(run())
