"""A listener on loopback, and a client that sends raw bytes."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import AbstractAsyncContextManager, asynccontextmanager
from dataclasses import dataclass, field

import pytest
from kingcuplug_http import (
    Handler,
    Limits,
    Listener,
    MemoryBudget,
    Request,
    Response,
    process_budget,
)

SMALL_LIMITS = Limits(
    max_header_bytes=512,
    max_body_bytes=1_000,
    header_timeout_ms=200,
    idle_timeout_ms=400,
)


@dataclass
class RunningServer:
    """A running listener and the requests that it has received."""

    address: str
    listener: Listener
    requests: list[Request] = field(default_factory=list)


async def _echo(request: Request) -> Response:
    return Response(200, [(b"Echo", request.target)], request.body)


@asynccontextmanager
async def _serve(
    handler: Handler = _echo,
    limits: Limits = SMALL_LIMITS,
    budget: MemoryBudget = process_budget,
) -> AsyncIterator[RunningServer]:
    async def record(request: Request) -> Response:
        server.requests.append(request)
        return await handler(request)

    listener = Listener(record, lambda: limits, budget)
    server = RunningServer(await listener.start("127.0.0.1:0"), listener)
    try:
        yield server
    finally:
        await listener.stop()


async def _send_raw(address: str, data: bytes) -> bytes:
    """Send raw bytes; return all data received until the peer closes."""
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(data)
    try:
        return await asyncio.wait_for(reader.read(), timeout=10)
    finally:
        writer.close()


@pytest.fixture
def serve() -> Callable[..., AbstractAsyncContextManager[RunningServer]]:
    return _serve


@pytest.fixture
def send_raw() -> Callable[[str, bytes], Awaitable[bytes]]:
    return _send_raw
