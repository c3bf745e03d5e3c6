"""SIGTERM while requests are in every stage from accept to the last byte."""

import asyncio
import os

import pytest
from kingcuplug_common import EventLog
from kingcuplug_fleet import ServerRecord, ServerState
from kingcuplug_gateway import Route, RouteTable, ServiceSettings
from kingcuplug_gateway import WeightedService as Part
from kingcuplug_http import Limits, Listener, Request, Response
from kingcuplug_node import Host

from .conftest import HEADER_NAMES, make_settings

REQUEST = b"POST /x HTTP/1.1\r\nHost: a\r\nI: 1\r\nContent-Length: 4\r\n\r\nbody"
STAGES = {
    "connected": (b"", REQUEST),
    "in the headers": (REQUEST[:30], REQUEST[30:]),
    "in the body": (REQUEST[:-2], REQUEST[-2:]),
    "at the server": (REQUEST, b""),
    "pipelined": (REQUEST * 2, b""),
}


async def _start_host(
    delay_s: float = 0.3,
) -> tuple[Host, asyncio.Task[None], Listener, str]:
    async def answer(request: Request) -> Response:
        await asyncio.sleep(delay_s)
        return Response(200, [(b"S", b"seal"), (b"I", b"1")], request.body * 500)

    server = Listener(answer, Limits)
    server_address = await server.start("127.0.0.1:0")
    settings = make_settings(termination_grace_ms=3_000)
    log = EventLog(os.open(os.devnull, os.O_WRONLY), "host")
    route = Route("r", "a", "/", False, (Part("s", 1.0),), (), 1, 5_000, 4_000, 1)
    services = {"s": ServiceSettings("s", "/", 32)}
    table = RouteTable(1, (route,), services, 8_192, 65_536, 3_000, 15_000)
    host = Host(settings, HEADER_NAMES, lambda text: table, lambda: settings, log)
    host._fleet_view.update_routes(1, "document")
    record = ServerRecord("i", 1, 1, "s", server_address, "z", 9, ServerState.READY)
    host._fleet_view.merge_servers([record])

    async def refuse(request: Request) -> Response:
        return Response(404, [], b"")

    task = asyncio.ensure_future(host.run(refuse))
    async with asyncio.timeout(10):
        while not (host._caller_listener._server and host._gateway.table):  # noqa: ASYNC110
            await asyncio.sleep(0.01)
    port = host._caller_listener._server.sockets[0].getsockname()[1]
    return host, task, server, str(port)


@pytest.mark.parametrize("kept_alive", [False, True])
def test_stop_finishes_requests_in_every_stage(kept_alive):
    """Guards against a planned stop that cuts off requests it has begun to read."""

    async def run() -> dict[str, bytes]:
        host, task, server, port = await _start_host()
        streams = {}
        for stage in STAGES:
            reader, writer = await asyncio.open_connection("127.0.0.1", int(port))
            if kept_alive:
                writer.write(REQUEST)
                head = await reader.readuntil(b"\r\n\r\n")
                assert head.startswith(b"HTTP/1.1 200")
                await reader.readexactly(2_000)
            streams[stage] = (reader, writer)
        for stage, (before, _) in STAGES.items():
            streams[stage][1].write(before)
        await asyncio.sleep(0.1)
        host._stop_requested.set()
        await asyncio.sleep(0.2)
        for stage, (_, after) in STAGES.items():
            streams[stage][1].write(after)
        answers = {}
        for stage, (reader, _) in streams.items():
            answers[stage] = await asyncio.wait_for(reader.read(), timeout=8)
        await asyncio.wait_for(task, timeout=8)
        await server.stop()
        return answers

    answers = asyncio.run(run())
    for stage, data in answers.items():
        expected = 2 if stage == "pipelined" else 1
        assert data.count(b"HTTP/1.1 200 OK") == expected, stage
        assert data.endswith(b"body" * 500), stage
        assert b"Connection: close" in data, stage


async def _stop_and_read(delay_s: float, sent_after_s: float) -> tuple[bytes, int]:
    """Return what a caller gets, and the number of requests that the server got.

    Parameters
    ----------
    delay_s : float
        Time in which the server answers.
    sent_after_s : float
        When the last bytes of the request are sent after the stop.
    """
    host, task, server, port = await _start_host(delay_s)
    received: list[Request] = []
    answer = server.handler

    async def record(request: Request) -> Response:
        received.append(request)
        return await answer(request)

    server.handler = record
    reader, writer = await asyncio.open_connection("127.0.0.1", int(port))
    writer.write(REQUEST[:-2])
    await asyncio.sleep(0.1)
    host._stop_requested.set()
    await asyncio.sleep(sent_after_s)
    writer.write(REQUEST[-2:])
    data = await asyncio.wait_for(reader.read(), timeout=8)
    await asyncio.wait_for(task, timeout=8)
    await server.stop()
    return data, len(received)


def test_request_at_a_server_at_the_end_of_the_grace_period_is_answered():
    """Guards against a connection that ends without an answer."""
    data, received_count = asyncio.run(_stop_and_read(delay_s=6, sent_after_s=0.0))
    assert received_count == 1
    assert data.startswith(b"HTTP/1.1 504 ")
    assert b"Content-Length: " in data


def test_request_too_late_to_finish_in_the_grace_period_is_not_sent_to_a_server():
    """Guards against a request that may not be repeated, and whose end is unknown."""
    data, received_count = asyncio.run(_stop_and_read(delay_s=6, sent_after_s=2.0))
    assert received_count == 0
    assert data.startswith(b"HTTP/1.1 503 ")
    assert b"Retry-After: 0" in data
