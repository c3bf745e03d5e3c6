"""Incoming HTTP connections of callers, backend servers, operators and other hosts."""

import asyncio
import contextlib
import math
import random
import socket
from collections import deque
from collections.abc import Awaitable, Callable, Iterator
from dataclasses import dataclass
from typing import Any

import httptools

from kingcuplug_http._descriptors import DescriptorBudget, process_descriptors
from kingcuplug_http._memory_budget import (
    Hold,
    HoldKind,
    MemoryBudget,
    process_budget,
)
from kingcuplug_http._messages import (
    HEADER_OVERHEAD_BYTES,
    MAX_BODY_PIECES,
    Headers,
    Request,
    Response,
    encode_response,
    error_response,
    has_unknown_coding,
    join_pieces,
)

__all__ = ["Handler", "InboundConnection", "Limits", "Listener"]

# Requests that a peer may send before their responses; beyond this, reading pauses.
_MAX_PIPELINED_REQUESTS = 16
# Lingering close after an error response, while the rest of the request is discarded.
# Closing with unread bytes would reset the connection before the peer has read it.
_LINGER_S = 1.0
# Received data is parsed in pieces of this size, so that a caller can't have thousands
# of short requests parsed before reading pauses.
_MAX_PARSED_BYTES = 16_384
# What a paused connection may leave unread in the receive buffer of its socket.
_PAUSED_BYTES = 65_536
_REQUEST_OVERHEAD_BYTES = 1_000
# Connections that hold less are not counted; nor is most of the traffic.
_MIN_HELD_BYTES = 8_192
# A response of a pipelined request is not begun while more than this of those before
# it has not been taken.
_MAX_UNTAKEN_BYTES = 65_536
# Drawn at random, so that callers do not retry at the same time.
_RETRY_AFTER_RANGE_S = (0.15, 0.45)
# More would use up the descriptors of a burst before any of them is counted.
_ACCEPTED_AT_ONCE = 16
# Share of all descriptors that are kept free of callers' connections.
_RESERVED_DESCRIPTORS_RATIO = 0.125
# A connection that was idle or has stalled for less may be about to bring a request.
_MIN_IDLE_S = 0.4
_MIN_STALLED_S = 1.0
_MAX_CLOSED_RATIO = 1 / 32
_ROOM_CHECK_INTERVAL_S = 0.1
_ACCEPT_BACKLOG = 1_024  # Unaccepted connections during a burst.
_TUNNEL_METHOD = b"CONNECT"
_UPGRADE = b"upgrade"
_CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"


@dataclass(frozen=True, slots=True)
class Limits:
    """Size and time limits for incoming requests.

    Attributes
    ----------
    header_timeout_ms : int
        Maximum time from the first byte of a request to the end of its headers.
    idle_timeout_ms : int
        Maximum time without received data, between requests or within a body.
    """

    max_header_bytes: int = 16_384
    max_body_bytes: int = 1_048_576
    header_timeout_ms: int = 10_000
    idle_timeout_ms: int = 60_000


Handler = Callable[[Request], Awaitable[Response]]


class Listener:
    """Listening socket and its open connections.

    Parameters
    ----------
    handler : callable
        Coroutine function that returns the response to a request; it is cancelled when
        the peer disconnects.
    limits : callable
        Return the limits currently in force.
    budget : MemoryBudget
        Bounds what the connections hold, together with others of the process.
    descriptors : DescriptorBudget
        Counts the connections, together with others of the process.
    reserved_ratio : float
        Share of all descriptors that these connections leave free.

    Attributes
    ----------
    closing : bool
        Whether each response announces that its connection is closed.
    """

    def __init__(
        self,
        handler: Handler,
        limits: Callable[[], Limits],
        budget: MemoryBudget = process_budget,
        descriptors: DescriptorBudget = process_descriptors,
        reserved_ratio: float = _RESERVED_DESCRIPTORS_RATIO,
    ) -> None:
        self.handler = handler
        self.limits = limits
        self.budget = budget
        self.descriptors = descriptors
        self._reserved_ratio = reserved_ratio
        self._room_checked_at = -math.inf
        self.closing = False
        self.connections: set[InboundConnection] = set()
        self._server: asyncio.Server | None = None
        self._accept_tasks: set[asyncio.Task[Any]] = set()

    async def start(self, address: str) -> str:
        """Listen on ``ip:port`` and return the address with the port in use.

        Raises
        ------
        OSError
            If the address cannot be used; nothing listens there then.
        """
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        server = await loop.create_server(
            lambda: InboundConnection(self, loop),
            host,
            int(port),
            backlog=_ACCEPTED_AT_ONCE,
        )
        try:
            for listening in server.sockets:
                with _share(listening) as shared:
                    shared.listen(_ACCEPT_BACKLOG)
            used_port = server.sockets[0].getsockname()[1]
        except BaseException:
            # It would keep the address from the next attempt.
            server.close()
            raise
        self._server = server
        return f"{host}:{used_port}"

    @property
    def is_listening(self) -> bool:
        """Whether new connections are accepted."""
        return self._server is not None and self._server.is_serving()

    def stop_accepting(self) -> None:
        """Accept the connections that are already established, and no further ones.

        Closing the listening socket resets connections that it has not accepted yet;
        their callers may have sent a request.
        """
        if self._server is None or not self._server.is_serving():
            return
        for listening in self._server.sockets:
            with _share(listening) as shared:
                self._accept_established(shared)
        self._server.close()

    def close_idle(self, min_idle_s: float = 0.0) -> None:
        """Close connections without a request or activity for at least `min_idle_s`."""
        for connection in tuple(self.connections):
            connection.close_if_idle(min_idle_s)

    def add(self, connection: "InboundConnection") -> None:
        """Add a new connection; close others, or this one, if descriptors run short."""
        self.connections.add(connection)
        self.descriptors.connections.add(connection)
        if not self.descriptors.has_room(self._reserved_ratio):
            self._make_room(connection)

    def remove(self, connection: "InboundConnection") -> None:
        """Remove a connection that was closed."""
        self.connections.discard(connection)
        self.descriptors.connections.discard(connection)

    def _make_room(self, connection: "InboundConnection") -> None:
        now = asyncio.get_running_loop().time()
        if now >= self._room_checked_at + _ROOM_CHECK_INTERVAL_S:
            count = int(len(self.connections) * _MAX_CLOSED_RATIO) + 1
            least_active = sorted(
                (c for c in self.connections if c.may_make_room(now)),
                key=lambda c: c.last_activity_at,
            )
            for least in least_active[:count]:
                least.make_room()
            self.descriptors.closed += len(least_active[:count])
            if least_active:
                return
            self._room_checked_at = now
        self.descriptors.refused += 1
        connection.abort()

    def expire_requests(self, in_progress: Response, waiting: Response) -> None:
        """End all requests with a response, and close their connections.

        Parameters
        ----------
        in_progress, waiting : Response
            Response to the requests that the handler has begun, and that wait behind
            one of them.
        """
        for connection in tuple(self.connections):
            connection.expire(in_progress, waiting)

    @property
    def busy_connections(self) -> int:
        """Number of connections with a request in progress."""
        return sum(connection.busy for connection in self.connections)

    @property
    def buffered_request_bytes(self) -> int:
        """Size of the bodies of requests that have not begun to be served."""
        return sum(c.buffered_request_bytes for c in self.connections)

    @property
    def buffered_response_bytes(self) -> int:
        """Size of the responses that the peers have not taken yet."""
        return sum(c.buffered_response_bytes for c in self.connections)

    def _accept_established(self, listening: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        while True:
            try:
                accepted, _ = listening.accept()
            except OSError:  # None is left.
                return
            accepted.setblocking(False)
            task = loop.create_task(
                loop.connect_accepted_socket(
                    lambda: InboundConnection(self, loop), accepted
                )
            )
            self._accept_tasks.add(task)
            task.add_done_callback(self._accept_tasks.discard)

    async def stop(self) -> None:
        """Stop listening and abort all connections."""
        self.stop_accepting()
        for connection in tuple(self.connections):
            connection.abort()


@contextlib.contextmanager
def _share(listening: socket.socket) -> Iterator[socket.socket]:
    """Give access to a socket of a server without another descriptor.

    None may be free.
    """
    shared = socket.socket(fileno=listening.fileno())
    try:
        shared.setblocking(False)
        yield shared
    finally:
        shared.detach()


class InboundConnection(asyncio.Protocol):
    """Server side of an HTTP/1.1 connection; serves pipelined requests in order.

    Attributes
    ----------
    last_activity_at : float
        Event loop time at which data was last received, or a response sent.
    """

    def __init__(self, listener: Listener, loop: asyncio.AbstractEventLoop) -> None:
        self._listener = listener
        self._loop = loop
        self._transport: asyncio.Transport
        self._parser = httptools.HttpRequestParser(self)
        self._queue: deque[Request] = deque()
        self._handler_task: asyncio.Task[None] | None = None
        self._response_count = 0
        self._header_bytes = 0
        self._in_headers = False
        self._in_body = False
        self._closed = False
        self._input_closed = False
        self._unparsed = b""
        self._paused = False
        budget = listener.budget
        self._received = Hold(budget, HoldKind.REQUEST, self._give_up_requests)
        self._untaken = Hold(budget, HoldKind.RESPONSE, self.abort)
        self._error_response: Response | None = None
        self._error_sent = False
        self._expired: tuple[Response, Response] | None = None
        self.last_activity_at = loop.time()
        self._headers_started_at = 0.0
        self._timer: asyncio.TimerHandle | None = None
        self._body: list[bytes]
        self._body_bytes: int
        self._reset_request()

    # asyncio.Protocol callbacks

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection and start its time-outs."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        transport.set_write_buffer_limits(high=0)
        self._listener.add(self)
        self.last_activity_at = self._loop.time()
        self._check_timeouts()

    def data_received(self, data: bytes) -> None:
        """Parse received data and start to serve complete requests."""
        self.last_activity_at = self._loop.time()
        if self._input_closed:
            return
        self._read(self._unparsed + data if self._unparsed else data)
        self._start_next()
        if (
            self._in_headers
            or self._in_body
            or self._queue
            or self._received.size_bytes
        ):
            self._update_received()

    def _read(self, data: bytes) -> None:
        """Parse as much of the data as there may be requests, and keep the rest."""
        position = 0
        while position < len(data) and not self._input_closed:
            if len(self._queue) > _MAX_PIPELINED_REQUESTS:
                break
            if position or len(data) > _MAX_PARSED_BYTES:
                self._read_piece(data[position : position + _MAX_PARSED_BYTES])
            else:
                self._read_piece(data)
            position += _MAX_PARSED_BYTES
        self._unparsed = b"" if self._input_closed else data[position:]
        paused = len(self._queue) > _MAX_PIPELINED_REQUESTS or bool(self._unparsed)
        if paused is not self._paused:
            self._set_paused(paused)

    def _read_piece(self, data: bytes) -> None:
        if self._in_headers or not self._in_body:
            self._header_bytes += len(data)
        try:
            self._parse(data)
        except httptools.HttpParserError:
            self._reject(error_response(400, "the request is not valid HTTP/1.1"))
        if (
            self._in_headers
            and self._header_bytes > self._listener.limits().max_header_bytes
        ):
            self._reject(error_response(431, "the headers are too large"))

    def _set_paused(self, paused: bool) -> None:
        self._paused = paused
        with contextlib.suppress(RuntimeError):
            if paused:
                self._transport.pause_reading()
            else:
                self._transport.resume_reading()

    def _parse(self, data: bytes) -> None:
        while True:
            try:
                self._parser.feed_data(data)
            except httptools.HttpParserUpgrade as error:
                unread = data[error.args[0] :]
                if not self._offers_upgrade():
                    # What follows CONNECT is not HTTP/1.1.
                    self._input_closed = True
                    return
                # The parser ends the request after its headers. It is read again as
                # one without the offer, because its body follows as usual.
                data = self._head_without_upgrade() + unread
                self._parser = httptools.HttpRequestParser(self)
                continue
            return

    def _offers_upgrade(self) -> bool:
        """Return whether the request just read offers another protocol."""
        return (
            self._parser.should_upgrade()
            and self._parser.get_method() != _TUNNEL_METHOD
        )

    def _head_without_upgrade(self) -> bytes:
        """Return the head of the request just read, without its offer."""
        version = self._parser.get_http_version().encode()
        lines = [self._parser.get_method(), b" ", bytes(self._target), b" HTTP/"]
        lines += [version, b"\r\n"]
        for name, value in self._headers:
            lower = name.lower()
            if lower == b"connection":
                value = _without_option(value, _UPGRADE)
            if lower != _UPGRADE:
                # Folded values may hold line breaks, which stand for spaces.
                value = value.replace(b"\r", b" ").replace(b"\n", b" ")
                lines += [name, b": ", value, b"\r\n"]
        return b"".join([*lines, b"\r\n"])

    def eof_received(self) -> bool:
        """Close the connection when the peer has shut down its sending side."""
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the request in progress and the time-outs."""
        self._closed = True
        self._listener.remove(self)
        if self._timer is not None:
            self._timer.cancel()
        if self._handler_task is not None:
            self._handler_task.cancel()
            self._handler_task = None
        # These refer to this connection; what it holds would otherwise be kept until
        # the next collection of old objects.
        self._received.close()
        self._untaken.close()
        del self._parser
        self._queue.clear()
        self._unparsed = b""
        self._reset_request()

    def pause_writing(self) -> None:
        """Count a response that the peer does not take at once."""
        self._untaken.measure = self._transport.get_write_buffer_size
        self._untaken.resize(self.buffered_response_bytes, self._loop.time())

    def resume_writing(self) -> None:
        """Go on with the requests that wait until the peer has taken a response."""
        self._untaken.release()
        self._start_next()

    # httptools parser callbacks

    def on_message_begin(self) -> None:
        """Start a new request."""
        self._reset_request()
        self._in_headers = True
        self._headers_started_at = self._loop.time()

    def on_url(self, url: bytes) -> None:
        """Append a part of the request target."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Append a header; trailers are ignored."""
        if self._in_headers:
            self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Check the limits and handle ``Expect`` before the body is read."""
        if self._offers_upgrade():
            return
        self._in_headers = False
        self._in_body = True
        limits = self._listener.limits()
        if self._header_bytes > limits.max_header_bytes:
            size = len(self._target) + sum(
                len(name) + len(value) + 4 for name, value in self._headers
            )
            if size > limits.max_header_bytes:
                self._reject(error_response(431, "the headers are too large"))
                return
        for name, value in self._headers:
            self._fields.setdefault(name.lower(), value)
        length = self._fields.get(b"content-length")
        if length is not None and int(length) > limits.max_body_bytes:
            self._reject(error_response(413, "the body is too large"))
        elif b"transfer-encoding" in self._fields and has_unknown_coding(self._headers):
            self._reject(
                error_response(501, "only the transfer coding chunked is read")
            )
        elif self._fields.get(b"expect", b"").lower() == b"100-continue":
            self._transport.write(_CONTINUE_RESPONSE)

    def on_body(self, body: bytes) -> None:
        """Append a part of the body, and check its size limit."""
        self._body.append(body)
        if len(self._body) > MAX_BODY_PIECES:
            self._body = join_pieces(self._body)
        self._body_bytes += len(body)
        if self._body_bytes > self._listener.limits().max_body_bytes:
            self._reject(error_response(413, "the body is too large"))

    def on_message_complete(self) -> None:
        """Queue the complete request, unless it is read again without an offer."""
        if self._in_headers:
            return
        self._in_body = False
        self._header_bytes = 0
        if self._input_closed:
            return
        request = Request(
            method=self._parser.get_method(),
            target=bytes(self._target),
            headers=self._headers,
            body=b"".join(self._body),
            keep_alive=self._parser.should_keep_alive(),
            received_at=self._loop.time(),
            first_on_connection=self._response_count == 0 and not self._queue,
            fields=self._fields,
        )
        self._input_closed = not request.keep_alive
        self._queue.append(request)

    @property
    def transport(self) -> asyncio.Transport:
        """The connection's transport, on which fake servers send faulty data."""
        return self._transport

    @property
    def buffered_request_bytes(self) -> int:
        """Size of the bodies of requests that have not begun to be served."""
        unfinished = self._body_bytes if self._in_body else 0
        return unfinished + sum(len(request.body) for request in self._queue)

    @property
    def buffered_response_bytes(self) -> int:
        """Size of the responses that the peer has not taken yet."""
        return self._transport.get_write_buffer_size()

    @property
    def busy(self) -> bool:
        """Whether a request is in progress or queued."""
        return self._handler_task is not None or bool(self._queue)

    def close_if_idle(self, min_idle_s: float) -> None:
        """Close unless a request is being received, in progress, or was recently."""
        idle_s = self._loop.time() - self.last_activity_at
        if self.busy or self._in_headers or self._in_body or idle_s < min_idle_s:
            return
        self._transport.close()

    def may_make_room(self, now: float) -> bool:
        """Return whether the connection has been idle, or its request has stalled."""
        idle_s = now - self.last_activity_at
        if self.busy:
            return False
        if self._in_headers or self._in_body:
            return idle_s >= _MIN_STALLED_S
        return idle_s >= _MIN_IDLE_S

    def make_room(self) -> None:
        """Close, after a refusal if a request has begun."""
        if self._in_headers or self._in_body:
            self._give_up_requests()
        else:
            self._transport.close()

    def expire(self, in_progress: Response, waiting: Response) -> None:
        """End the request in progress, and those that wait, with a response each."""
        self._expired = (in_progress, waiting)
        if self._handler_task is not None:
            self._handler_task.cancel()

    def abort(self) -> None:
        """Close the connection without sending buffered data."""
        self._transport.abort()

    def _reset_request(self) -> None:
        self._target = bytearray()
        self._headers: Headers = []
        self._fields: dict[bytes, bytes] = {}
        self._body = []
        self._body_bytes = 0

    def _reject(self, response: Response) -> None:
        """Send an error response and close, after the responses to queued requests."""
        if self._error_response is None:
            self._error_response = response
            self._input_closed = True

    def _give_up_requests(self) -> None:
        """Refuse the requests that have not begun to be served, and free them."""
        self._queue.clear()
        self._unparsed = b""
        self._reset_request()
        self._reject(self._no_room())
        # What else arrives is discarded, until the peer has read the response.
        self._set_paused(False)
        self._start_next()

    def _no_room(self) -> Response:
        return error_response(
            503, "no room", retry_after_s=random.uniform(*_RETRY_AFTER_RANGE_S)
        )

    def _update_received(self) -> None:
        """Count what has been received and has not begun to be served."""
        size_bytes = len(self._unparsed) + sum(map(_held_bytes, self._queue))
        if self._in_headers or self._in_body:
            size_bytes += self._body_bytes
            size_bytes += HEADER_OVERHEAD_BYTES * len(self._headers)
        if self._paused:
            size_bytes += _PAUSED_BYTES
        if size_bytes < _MIN_HELD_BYTES:
            self._received.release()
        else:
            self._received.resize(size_bytes, self._loop.time())

    def _start_next(self) -> None:
        if self._handler_task is not None or self._closed:
            return
        if self._queue:
            if self._untaken.size_bytes > _MAX_UNTAKEN_BYTES:
                return
            request = self._queue.popleft()
            self._handler_task = self._loop.create_task(self._serve(request))
        elif self._error_response is not None and not self._error_sent:
            self._error_sent = True
            self._transport.write(encode_response(self._error_response, close=True))
            self._loop.call_later(_LINGER_S, self._transport.close)

    async def _serve(self, request: Request) -> None:
        hold = None
        try:
            if self._expired is not None:
                response = self._expired[1]
            elif (size_bytes := _held_bytes(request)) < _MIN_HELD_BYTES:
                response = await self._listener.handler(request)
            elif not self._listener.budget.may_serve(size_bytes):
                response = self._no_room()
            else:
                hold = Hold(self._listener.budget, HoldKind.SERVING)
                hold.resize(size_bytes, self._loop.time())
                response = await self._listener.handler(request)
        except asyncio.CancelledError:
            if self._closed or self._expired is None:
                raise
            response = self._expired[0]
        except Exception as error:
            # The request may have been executed, so the status must not be one that
            # marks it as not executed, such as 503.
            response = error_response(500, f"internal error: {type(error).__name__}")
            self._loop.call_exception_handler(
                {"message": "request handler raised an exception", "exception": error}
            )
        finally:
            if hold is not None:
                hold.release()
        if self._closed:
            return
        self._response_count += 1
        # Queued requests are served before the connection is closed.
        close = (self._input_closed or self._listener.closing) and not self._queue
        close = close and self._error_response is None
        head = request.method == b"HEAD"
        self._transport.write(encode_response(response, close, head))
        if self._untaken.size_bytes:
            self._untaken.resize(self.buffered_response_bytes, self._loop.time())
        self._handler_task = None
        self.last_activity_at = self._loop.time()
        if close:
            self._input_closed = True  # Data received from now on is ignored.
            self._transport.close()
            return
        if self._paused:
            self._read(self._unparsed)
        self._start_next()
        if self._received.size_bytes:
            self._update_received()

    def _check_timeouts(self) -> None:
        """Check the time-outs, and schedule the next check."""
        limits, now = self._listener.limits(), self._loop.time()
        deadline = self.last_activity_at + limits.idle_timeout_ms / 1_000
        if self._untaken.size_bytes:
            self._untaken.remeasure(now)
            deadline = self._untaken.changed_at + limits.idle_timeout_ms / 1_000
            if now >= deadline:
                self.abort()
                return
        elif self._in_headers:
            deadline = self._headers_started_at + limits.header_timeout_ms / 1_000
        if self.busy:
            deadline = max(deadline, now + limits.header_timeout_ms / 1_000)
        elif now >= deadline:
            self._on_timeout()
            deadline = now + limits.header_timeout_ms / 1_000
        delay = min(deadline - now, limits.header_timeout_ms / 1_000)
        self._timer = self._loop.call_later(max(delay, 0.01), self._check_timeouts)

    def _on_timeout(self) -> None:
        if self._in_headers or self._in_body:
            self._reject(error_response(408, "the request did not arrive in time"))
            self._start_next()
        else:
            self._transport.close()


def _held_bytes(request: Request) -> int:
    """Return about how much memory a request occupies."""
    return (
        len(request.body)
        + HEADER_OVERHEAD_BYTES * len(request.headers)
        + _REQUEST_OVERHEAD_BYTES
    )


def _without_option(value: bytes, option: bytes) -> bytes:
    """Return the value of a header that lists options without one of them."""
    options = [item.strip() for item in value.split(b",")]
    return b", ".join(item for item in options if item.lower() != option)
