"""Planned stops of a listener: requests of connections that are just established."""

import asyncio
import contextlib
import errno
import os
import resource
import socket
from collections.abc import Iterator

import pytest
from kingcuplug_http import Limits, Listener, Request, Response


async def _echo(request: Request) -> Response:
    return Response(200, [], request.target)


def _connect(address: str) -> socket.socket:
    host, _, port = address.rpartition(":")
    return socket.create_connection((host, int(port)), timeout=5)


@contextlib.contextmanager
def _without_free_descriptors() -> Iterator[None]:
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    highest = os.open(os.devnull, os.O_RDONLY)
    opened = [highest]
    resource.setrlimit(resource.RLIMIT_NOFILE, (highest + 8, hard))
    try:
        with contextlib.suppress(OSError):
            while True:
                opened.append(os.open(os.devnull, os.O_RDONLY))
        yield
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
        for descriptor in opened:
            os.close(descriptor)


async def _read_response(client: socket.socket) -> bytes:
    client.setblocking(False)
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(5):
        return await loop.sock_recv(client, 65_536)


def test_established_connections_are_served_after_the_listener_stops_accepting():
    """Guards against a reset of callers whose connection waits to be accepted."""

    async def run() -> list[bytes]:
        listener = Listener(_echo, Limits)
        address = await listener.start("127.0.0.1:0")
        # Without a turn of the event loop the listener cannot accept them.
        clients = [_connect(address) for _ in range(20)]
        for client in clients:
            client.sendall(b"GET /early HTTP/1.1\r\nHost: a\r\n\r\n")
        listener.closing = True
        listener.stop_accepting()
        responses = [await _read_response(client) for client in clients]
        await listener.stop()
        return responses

    responses = asyncio.run(run())
    assert all(r.startswith(b"HTTP/1.1 200") for r in responses)
    assert all(b"Connection: close" in r for r in responses)


def test_connection_accepted_just_before_the_stop_may_still_send_its_request():
    """Guards against cutting off a request that is on its way."""

    async def run() -> tuple[bytes, int]:
        listener = Listener(_echo, Limits)
        address = await listener.start("127.0.0.1:0")
        client = _connect(address)
        await asyncio.sleep(0.05)
        assert len(listener.connections) == 1
        listener.closing = True
        listener.stop_accepting()
        listener.close_idle(0.4)
        client.sendall(b"GET /late HTTP/1.1\r\nHost: a\r\n\r\n")
        response = await _read_response(client)
        await asyncio.sleep(0.05)
        open_connections = len(listener.connections)
        await listener.stop()
        return response, open_connections

    response, open_connections = asyncio.run(run())
    assert response.startswith(b"HTTP/1.1 200")
    assert open_connections == 0


def test_idle_connection_is_closed_in_the_end():
    """Guards against a stop that waits for callers without a request."""

    async def run() -> int:
        listener = Listener(_echo, Limits)
        client = _connect(await listener.start("127.0.0.1:0"))
        await asyncio.sleep(0.1)
        listener.close_idle(0.05)
        await asyncio.sleep(0.05)
        client.close()
        remaining = len(listener.connections)
        await listener.stop()
        return remaining

    assert asyncio.run(run()) == 0


def test_listener_stops_accepting_while_no_descriptor_is_free():
    """Guards against a planned stop that ends with an error in a burst of callers."""

    async def run() -> bool:
        listener = Listener(_echo, Limits)
        await listener.start("127.0.0.1:0")
        with _without_free_descriptors():
            listener.stop_accepting()
        return listener.is_listening

    assert not asyncio.run(run())


def test_address_is_free_after_a_start_that_failed(monkeypatch):
    """Guards against a listener that finds its address in use by itself, for ever."""
    with socket.create_server(("127.0.0.1", 0)) as free:
        address = f"127.0.0.1:{free.getsockname()[1]}"
    listen, backlogs = socket.socket.listen, []

    def fail_once(self: socket.socket, backlog: int) -> None:
        backlogs.append(backlog)
        if len(backlogs) == 2:  # The first one is of the event loop.
            raise OSError(errno.ENOBUFS, "no buffer space")
        listen(self, backlog)

    async def run() -> str:
        listener = Listener(_echo, Limits)
        with pytest.raises(OSError, match="no buffer space"):
            await listener.start(address)
        assert not listener.is_listening
        used = await listener.start(address)
        await listener.stop()
        return used

    monkeypatch.setattr(socket.socket, "listen", fail_once)
    assert asyncio.run(run()) == address
