"""Tests of inbound connections: limits, time-outs and disconnects of callers."""

import asyncio
import contextlib
from collections.abc import Callable
from typing import Any

import pytest
from kingcuplug_http import Request, Response


def _status_codes(data: bytes) -> list[int]:
    return [
        int(line.split()[1])
        for line in data.split(b"\r\n")
        if line.startswith(b"HTTP/1.1 ")
    ]


def test_pipelined_requests_are_answered_in_order(serve, send_raw):
    """Guards against responses that are matched to the wrong pipelined request."""

    async def slow_first(request: Request) -> Response:
        await asyncio.sleep(0.05 if request.target == b"/1" else 0)
        return Response(200, [], request.target)

    async def run() -> bytes:
        async with serve(slow_first) as server:
            return await send_raw(
                server.address,
                b"GET /1 HTTP/1.1\r\nHost: a\r\n\r\n"
                b"GET /2 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n",
            )

    data = asyncio.run(run())
    assert data.index(b"\r\n\r\n/1") < data.index(b"\r\n\r\n/2")


def test_chunked_body_arrives_whole(serve, send_raw):
    """Guards against bodies that lose bytes at chunk boundaries."""

    async def run() -> bytes:
        async with serve() as server:
            return await send_raw(
                server.address,
                b"POST /x HTTP/1.1\r\nHost: a\r\nConnection: close\r\n"
                b"Transfer-Encoding: chunked\r\n\r\n"
                b"5\r\nhello\r\n6\r\n world\r\n0\r\n\r\n",
            )

    assert asyncio.run(run()).endswith(b"\r\n\r\nhello world")


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"GET / HTTP/1.1\r\nLong: " + b"x" * 600 + b"\r\n\r\n", 431),
        (b"GET / HTTP/1.1\r\nLong: " + b"x" * 600, 431),
        (b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1001\r\n\r\n", 413),
        (
            b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip, chunked\r\n\r\n"
            b"4\r\nbody\r\n0\r\n\r\n",
            501,
        ),
        (
            b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding:\r\n chunked\r\n\r\n"
            b"4\r\nbody\r\n0\r\n\r\n",
            400,
        ),
        (
            b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"7d0\r\n" + b"x" * 2_000 + b"\r\n",
            413,
        ),
        (b"NOT HTTP AT ALL\r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\nHost: a", 408),
        (b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nabc", 408),
    ],
)
def test_invalid_requests_are_rejected(serve, send_raw, data, status):
    """Guards against serving, or endlessly awaiting, requests that exceed limits."""

    async def run() -> tuple[bytes, int]:
        async with serve() as server:
            return await send_raw(server.address, data), len(server.requests)

    response, request_count = asyncio.run(run())
    assert _status_codes(response) == [status]
    assert request_count == 0


def test_smuggled_request_is_not_served(serve, send_raw):
    """Guards against request smuggling by conflicting body lengths."""
    data = (
        b"POST /outer HTTP/1.1\r\nHost: a\r\nContent-Length: 6\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /inner HTTP/1.1\r\n\r\n"
    )

    async def run() -> list[bytes]:
        async with serve() as server:
            await send_raw(server.address, data)
            return [request.target for request in server.requests]

    assert b"/inner" not in asyncio.run(run())


async def _leave_during_request(
    serve: Any, leave: Callable[[asyncio.StreamWriter], None]
) -> bytes:
    """Leave while a request is served; return what comes until it is cancelled."""
    started, cancelled = asyncio.Event(), asyncio.Event()

    async def endless(request: Request) -> Response:
        started.set()
        try:
            await asyncio.sleep(60)
        except asyncio.CancelledError:
            cancelled.set()
            raise
        return Response(200, [], b"")

    async with serve(endless) as server:
        host, _, port = server.address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        with contextlib.closing(writer):
            writer.write(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
            await started.wait()
            leave(writer)
            await asyncio.wait_for(cancelled.wait(), timeout=5)
            return await asyncio.wait_for(reader.read(), timeout=5)


def test_handler_is_cancelled_when_the_caller_disconnects(serve):
    """Guards against work for callers that have disconnected."""
    asyncio.run(_leave_during_request(serve, asyncio.StreamWriter.close))


def test_caller_that_shuts_down_its_sending_side_has_gone(serve):
    """Guards against work for callers that have closed their connection.

    A closed connection and one that is only shut down for sending look the same until
    an answer is sent.
    """
    data = asyncio.run(_leave_during_request(serve, asyncio.StreamWriter.write_eof))
    assert data == b""


def test_closing_listener_serves_received_requests(serve, send_raw):
    """Guards against a shutdown that drops requests that were already received."""

    async def run() -> bytes:
        async with serve() as server:
            server.listener.closing = True
            return await send_raw(
                server.address,
                b"GET /1 HTTP/1.1\r\nHost: a\r\n\r\nGET /2 HTTP/1.1\r\nHost: a\r\n\r\n",
            )

    data = asyncio.run(run())
    assert _status_codes(data) == [200, 200]
    assert data.count(b"Connection: close") == 1


def test_failing_handler_returns_status_500(serve, send_raw):
    """Guards against 503, which means not executed, if the request may have run."""

    async def fail(request: Request) -> Response:
        raise RuntimeError("handler failure")

    async def run() -> bytes:
        async with serve(fail) as server:
            asyncio.get_running_loop().set_exception_handler(lambda *_: None)
            return await send_raw(
                server.address,
                b"GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n",
            )

    assert _status_codes(asyncio.run(run())) == [500]


@pytest.mark.parametrize("framing", ["length", "chunked"])
def test_body_of_a_request_that_offers_an_upgrade_arrives_whole(
    serve, send_raw, framing
):
    """Guards against running a request without its body, and skipping the next one."""
    body = b"5\r\nhello\r\n0\r\n\r\n" if framing == "chunked" else b"hello"
    header = b"Transfer-Encoding: chunked"
    if framing == "length":
        header = b"Content-Length: 5"

    upgrade = b"Connection: Upgrade, X-Hop\r\nX-Hop: 1\r\nUpgrade: h2c\r\n"

    async def run() -> tuple[bytes, list[Request]]:
        async with serve() as server:
            data = await send_raw(
                server.address,
                b"POST /1 HTTP/1.1\r\nHost: a\r\n" + upgrade + header + b"\r\n\r\n"
                b"" + body + b"GET /2 HTTP/1.1\r\nHost: a\r\n" + upgrade + b"\r\n"
                b"GET /3 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n",
            )
            return data, server.requests

    data, requests = asyncio.run(run())
    assert data.count(b"HTTP/1.1 200 OK") == 3
    received = [(r.method, r.target, r.body) for r in requests]
    assert received == [
        (b"POST", b"/1", b"hello"),
        (b"GET", b"/2", b""),
        (b"GET", b"/3", b""),
    ]
    assert requests[0].header(b"connection") == b"X-Hop"
