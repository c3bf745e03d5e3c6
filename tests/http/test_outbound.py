"""How responses are matched to requests when servers misbehave."""

import asyncio
import socket
import struct
from collections.abc import Awaitable, Callable

import pytest
from kingcuplug_http import Failure, OutboundConnection, Response, connect

Script = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


class Recorder:
    """An exchange that takes only responses with its id."""

    def __init__(self, identifier: bytes) -> None:
        self.identifier = identifier
        self.result: asyncio.Future[Response | Failure] = asyncio.Future()

    def accepts(self, response: Response) -> bool:
        """Take responses without an id, or with this one."""
        return response.header(b"id") in (None, self.identifier)

    def answered(self, response: Response) -> None:
        """Note the response."""
        self.result.set_result(response)

    def failed(self, failure: Failure) -> None:
        """Note the failure."""
        self.result.set_result(failure)


def _exchange(reply: bytes, reset: bool = False) -> tuple[Response | Failure, bool]:
    """Return what one request gets, and whether the connection may be used again."""

    async def script(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(reply)
        await writer.drain()
        if reset:
            linger = struct.pack("ii", 1, 0)  # Closing resets the connection.
            writer.get_extra_info("socket").setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, linger
            )
            writer.transport.abort()
        elif b"Content-Length" not in reply:
            writer.close()

    async def run() -> tuple[Response | Failure, bool]:
        server = await asyncio.start_server(script, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        connection: OutboundConnection = await connect(f"127.0.0.1:{port}", 5.0)
        recorder = Recorder(b"7")
        connection.send(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n", recorder)
        result = await asyncio.wait_for(recorder.result, timeout=5)
        await asyncio.sleep(0.02)
        usable = connection.usable
        connection.close()
        server.close()
        return result, usable

    return asyncio.run(run())


def test_late_answer_to_another_request_is_skipped():
    """Guards against an answer that belongs to the request before."""
    result, _ = _exchange(
        b"HTTP/1.1 200 OK\r\nId: 6\r\nContent-Length: 3\r\n\r\nold"
        b"HTTP/1.1 200 OK\r\nId: 7\r\nContent-Length: 3\r\n\r\nnew"
    )
    assert isinstance(result, Response)
    assert result.body == b"new"


def test_bytes_after_the_answer_end_the_connection():
    """Guards against a surplus response that the next request would get."""
    result, usable = _exchange(
        b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
        b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra"
    )
    assert isinstance(result, Response)
    assert result.body == b"ok"
    assert not usable


@pytest.mark.parametrize(
    "reply",
    [
        b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf",
        b"HTTP/1.1 200 OK\r\n\r\nno length",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
    ],
)
def test_answer_that_is_reset_is_not_whole(reply):
    """Guards against a truncated answer that looks complete."""
    result, _ = _exchange(reply, reset=True)
    assert result is Failure.LOST


def test_answer_without_length_ends_with_its_connection():
    """Guards against refusing a whole answer that has no length."""
    result, usable = _exchange(b"HTTP/1.1 200 OK\r\n\r\nwhole")
    assert isinstance(result, Response)
    assert result.body == b"whole"
    assert not usable


def test_bytes_that_are_no_answer_fail_the_request():
    """Guards against passing on what is not HTTP."""
    result, usable = _exchange(b"\x00\x01garbage\r\n\r\n")
    assert result is Failure.INVALID
    assert not usable


def test_interim_response_is_not_the_answer():
    """Guards against taking 100 Continue for the answer."""
    result, _ = _exchange(
        b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
    )
    assert isinstance(result, Response)
    assert result.status == 200
