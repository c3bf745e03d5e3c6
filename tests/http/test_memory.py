"""What connections of callers may hold together, and what they get beyond that."""

import asyncio
import gc
import socket
import weakref

import pytest
from kingcuplug_http import Limits, MemoryBudget, Reply, Request, Response, connect

_KIB = 1_024
_LARGE = b"x" * (16_384 * _KIB)  # More than the buffers of a pair of sockets.
_LIMITS = Limits(
    max_body_bytes=1_024 * _KIB, header_timeout_ms=500, idle_timeout_ms=1_000
)
_PATIENT = Limits(max_body_bytes=1_024 * _KIB)
_GET = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"


async def _answer_with_much(request: Request) -> Response:
    return Response(200, [], _LARGE)


async def _connect(
    address: str, receive_bytes: int = 65_536
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Connect with a small receive buffer and a reader that stops when it is full."""
    host, _, port = address.rpartition(":")
    connection = socket.socket()
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes)
    connection.setblocking(False)
    await asyncio.get_running_loop().sock_connect(connection, (host, int(port)))
    return await asyncio.open_connection(sock=connection, limit=receive_bytes)


def _upload(sent_bytes: int, length: int) -> bytes:
    return (
        b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n" % length
        + b"x" * sent_bytes
    )


def test_caller_that_reads_nothing_has_no_further_requests_served(serve):
    """Guards against responses that pile up for a caller that pipelines requests."""

    async def run() -> None:
        async with serve(_answer_with_much, _LIMITS) as server:
            reader, writer = await _connect(server.address)
            writer.write(_GET * 16)
            await asyncio.sleep(0.3)
            assert len(server.requests) == 1
            assert server.listener.buffered_response_bytes <= len(_LARGE)
            for _ in range(16):
                head = await reader.readuntil(b"\r\n\r\n")
                assert head.startswith(b"HTTP/1.1 200 ")
                assert await reader.readexactly(len(_LARGE)) == _LARGE
            assert len(server.requests) == 16
            writer.close()

    asyncio.run(run())


def test_short_pipelined_requests_are_read_a_few_at_a_time(serve):
    """Guards against thousands of requests parsed from what arrives at once."""
    count = 20_000

    async def run() -> None:
        first = asyncio.Event()

        async def wait(request: Request) -> Response:
            await first.wait()
            return Response(200, [], b"")

        async with serve(wait, _LIMITS) as server:
            reader, writer = await _connect(server.address)
            writer.write(_GET * count)
            await asyncio.sleep(0.2)
            (connection,) = server.listener.connections
            assert len(connection._queue) < 1_000
            first.set()
            writer.write(b"GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
            data = await asyncio.wait_for(reader.read(-1), timeout=30)
            assert data.count(b"HTTP/1.1 200 ") == count + 1
            writer.close()

    asyncio.run(run())


def test_caller_that_takes_nothing_of_a_response_is_disconnected(serve):
    """Guards against responses kept for ever for callers that don't read them."""

    async def run() -> None:
        async with serve(_answer_with_much, _LIMITS) as server:
            _, writer = await _connect(server.address)
            writer.write(b"GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
            async with asyncio.timeout(10):
                while not server.requests or server.listener.connections:  # noqa: ASYNC110
                    await asyncio.sleep(0.02)
            writer.close()

    asyncio.run(run())


def test_responses_that_are_not_taken_are_bounded_over_all_connections(serve):
    """Guards against running out of memory when many callers don't read."""
    budget = MemoryBudget(2 * len(_LARGE))

    async def run() -> None:
        async with serve(_answer_with_much, _LIMITS, budget) as server:
            writers = []
            for _ in range(8):
                _, writer = await _connect(server.address)
                writer.write(_GET)
                writers.append(writer)
                await asyncio.sleep(0.05)
                assert server.listener.buffered_response_bytes <= budget.max_bytes
            assert len(server.requests) == 8
            assert 0 < len(server.listener.connections) < 8
            for writer in writers:
                writer.close()

    asyncio.run(run())
    assert budget.total_bytes == 0


def test_upload_without_room_is_refused_and_never_runs(serve):
    """Guards against uploads that use all memory, and against refusing small ones."""
    budget = MemoryBudget(512 * _KIB)

    async def run() -> None:
        async with serve(limits=_PATIENT, budget=budget) as server:
            uploads = []
            for _ in range(4):
                reader, writer = await _connect(server.address)
                writer.write(_upload(200 * _KIB, 300 * _KIB))
                uploads.append((reader, writer))
                await asyncio.sleep(0.05)
                assert budget.total_bytes <= budget.max_bytes
            reader, writer = await _connect(server.address)
            writer.write(_upload(5, 5))
            assert (await reader.readline()).startswith(b"HTTP/1.1 200 ")
            writer.close()
            statuses = []
            for reader, writer in uploads:
                writer.write(b"x" * 100 * _KIB)
                writer.write(
                    _GET.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n")
                )
                data = await asyncio.wait_for(reader.read(-1), timeout=5)
                statuses.append(data.split()[1])
                if statuses[-1] == b"503":
                    assert b"\r\nRetry-After: 0." in data
                    assert b"\r\nConnection: close\r\n" in data
                writer.close()
            served = statuses.count(b"200")
            assert statuses[0] == b"200"
            assert served + statuses.count(b"503") == len(statuses)
            assert served < len(statuses)
            sizes = [len(r.body) for r in server.requests if r.method == b"POST"]
            assert sizes == [5] + [300 * _KIB] * served

    asyncio.run(run())
    assert budget.total_bytes == 0


@pytest.mark.parametrize("leave", [False, True])
def test_requests_in_progress_leave_room_for_small_ones(serve, leave):
    """Guards against large bodies in progress that shut out every other caller."""
    budget = MemoryBudget(512 * _KIB)

    async def run() -> None:
        done = asyncio.Event()

        async def wait(request: Request) -> Response:
            if request.body != b"small":
                await done.wait()
            return Response(200, [], b"")

        async with serve(wait, _PATIENT, budget) as server:
            uploads = []
            for _ in range(4):
                reader, writer = await _connect(server.address)
                writer.write(_upload(150 * _KIB, 150 * _KIB))
                uploads.append((reader, writer))
                await asyncio.sleep(0.05)
            assert len(server.requests) == 2
            for reader, _ in uploads[2:]:
                assert (await reader.readline()).startswith(b"HTTP/1.1 503 ")
            reader, writer = await _connect(server.address)
            writer.write(_upload(0, 5) + b"small")
            assert (await reader.readline()).startswith(b"HTTP/1.1 200 ")
            writer.close()
            if leave:
                for _, writer in uploads:
                    writer.close()
            else:
                done.set()
                for reader, writer in uploads[:2]:
                    assert (await reader.readline()).startswith(b"HTTP/1.1 200 ")
                    writer.close()
            await asyncio.sleep(0.05)
            assert budget.total_bytes == 0

    asyncio.run(run())


@pytest.mark.parametrize(
    "data",
    [
        b"",
        _GET,
        _upload(5, 9),
        _upload(200 * _KIB, 300 * _KIB),
        b"GET /slow HTTP/1.1\r\nHost: a\r\n\r\n" * 2,
        b"no request\r\n\r\n",
        b"GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n",
    ],
)
def test_connection_is_freed_as_soon_as_it_is_closed(serve, data):
    """Guards against bodies of callers that have left, kept until a full collection."""

    async def answer(request: Request) -> Response:
        await asyncio.sleep(60 if request.target == b"/slow" else 0)
        return Response(200, [], b"")

    async def run() -> None:
        async with serve(answer, _PATIENT) as server:
            _, writer = await _connect(server.address)
            writer.write(data)
            await asyncio.sleep(0.1)
            references = [weakref.ref(c) for c in server.listener.connections]
            writer.close()
            await asyncio.sleep(1.2)  # An error response is followed by a delay.
            assert not server.listener.connections
            assert [reference() for reference in references] == [None] * len(references)

    gc.collect()
    gc.disable()
    try:
        asyncio.run(run())
    finally:
        gc.enable()


def test_connection_to_a_server_is_freed_as_soon_as_it_is_closed(serve):
    """Guards against answers of servers kept until a full collection."""

    async def run() -> None:
        async with serve(limits=_PATIENT) as server:
            connection = await connect(server.address, 5.0)
            reply = Reply()
            connection.send(_upload(9, 9), reply)
            assert (await reply.response).body == b"x" * 9
            reference = weakref.ref(connection)
            connection.close()
            del connection
            await asyncio.sleep(0.1)
            assert reference() is None

    gc.collect()
    gc.disable()
    try:
        asyncio.run(run())
    finally:
        gc.enable()
