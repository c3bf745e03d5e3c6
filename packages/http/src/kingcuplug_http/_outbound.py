"""Outgoing HTTP connections to backend servers and other hosts."""

import asyncio
from enum import Enum
from typing import Protocol

import httptools

from kingcuplug_http._descriptors import process_descriptors
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
    Response,
    has_unknown_coding,
    is_final_status,
    is_interim_status,
    join_pieces,
)

__all__ = [
    "Exchange",
    "Failure",
    "OutboundConnection",
    "Reply",
    "connect",
]

_CLOSE_OPTION = b"close"
# Late responses to earlier requests are skipped until the expected one arrives; more
# than this many mean that the peer is not a conforming HTTP server.
_MAX_SKIPPED_RESPONSES = 4
# Bounds of what a peer can make this process buffer for one request. Interim responses
# count as head, so that an endless series of them is bounded, too.
_MAX_HEAD_BYTES = 65_536
_MAX_BODY_BYTES = 16_777_216
# Received bytes per byte of the largest body: covers chunk sizes and extensions.
_MAX_FRAMING_RATIO = 2


class Failure(Enum):
    """Reason why a request got no response."""

    CONNECT = "connection failed, so the request was not executed"
    LOST = "connection closed before the response was complete"
    INVALID = "the peer sent data that is not a valid HTTP response"


class Exchange(Protocol):
    """Receiver of the response to one request.

    Exactly one of `answered` and `failed` is called, once.
    """

    def accepts(self, response: Response) -> bool:
        """Return whether the response belongs to this request."""
        ...

    def answered(self, response: Response) -> None:
        """Handle the complete response."""
        ...

    def failed(self, failure: Failure) -> None:
        """Handle a failure to get a response."""
        ...


class Reply:
    """Exchange whose response is awaited as a future.

    Parameters
    ----------
    id_header, identifier : bytes
        Name, in lower case, and value of the header that identifies the response. A
        response without that header is accepted, because older peers do not send it.

    Attributes
    ----------
    response : Future
        The response, or `ConnectionError` if the request failed.
    """

    def __init__(self, id_header: bytes = b"", identifier: bytes = b"") -> None:
        self._id_header = id_header
        self._identifier = identifier
        loop = asyncio.get_running_loop()
        self.response: asyncio.Future[Response] = loop.create_future()

    def accepts(self, response: Response) -> bool:
        """Return whether the response is not known to belong to another request."""
        return response.header(self._id_header) in (None, self._identifier)

    def answered(self, response: Response) -> None:
        """Set the result of the future."""
        if not self.response.done():
            self.response.set_result(response)

    def failed(self, failure: Failure) -> None:
        """Set the exception of the future."""
        if not self.response.done():
            self.response.set_exception(ConnectionError(failure.value))


class OutboundConnection(asyncio.Protocol):
    """Client side of an HTTP/1.1 connection, with one request at a time.

    Parameters
    ----------
    budget : MemoryBudget
        Bounds what the connection holds, together with others of the process.

    Attributes
    ----------
    usable : bool
        Whether another request may be sent.
    request_count : int
        Number of requests that were sent.
    idle_since : float
        Event loop time at which the last response was complete.
    keep_alive_s : float or None
        Idle time-out announced by the peer, if any.
    """

    def __init__(
        self, loop: asyncio.AbstractEventLoop, budget: MemoryBudget = process_budget
    ) -> None:
        self._loop = loop
        self._hold = Hold(budget, HoldKind.ANSWER, self.give_up)
        self._transport: asyncio.Transport
        self._parser = httptools.HttpResponseParser(self)
        self._exchange: Exchange | None = None
        self._bodiless = False
        self._skipped_responses = 0
        self._in_response = False
        self._ends_at_close = False
        self._not_reusable = False
        self._in_body = False
        self._received_bytes = 0
        self._body_bytes = 0
        self.usable = False
        self.request_count = 0
        self.idle_since = 0.0
        self.keep_alive_s: float | None = None
        self._headers: Headers = []
        self._fields: dict[bytes, bytes] = {}
        self._body: list[bytes] = []
        self._status = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Mark the connection as usable."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        process_descriptors.connections.add(self)
        self.usable = True
        self.idle_since = self._loop.time()

    def send(self, data: bytes, exchange: Exchange, bodiless: bool = False) -> None:
        """Send one serialized request.

        Parameters
        ----------
        bodiless : bool
            Whether the response has no body regardless of its headers (HEAD).
        """
        self._exchange = exchange
        self._bodiless = bodiless
        self._skipped_responses = 0
        self._received_bytes = 0
        self.usable = False
        self.request_count += 1
        self._transport.write(data)

    def give_up(self) -> None:
        """Fail the request in progress because there is no memory for its response."""
        self._fail(Failure.INVALID)

    def pause_writing(self) -> None:
        """Count a request that the peer does not read at once."""
        self._update_hold()

    def resume_writing(self) -> None:
        """Count no longer what the peer has read."""
        self._update_hold()

    def abandon(self) -> None:
        """Close the connection without reporting a failure of its request."""
        self._exchange = None
        self.close()

    def close(self) -> None:
        """Close the connection."""
        self.usable = False
        self._discard_body()
        self._transport.abort()

    def data_received(self, data: bytes) -> None:
        """Parse received data."""
        if self._exchange is None:
            # Unsolicited data must not be mistaken for the next response.
            self.close()
            return
        self._received_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._fail(Failure.INVALID)
        if self._exchange is not None and self._exceeds_limits():
            self._fail(Failure.INVALID)
        if self._in_body or self._hold.size_bytes:
            self._update_hold()

    def eof_received(self) -> bool:
        """Complete a response whose body is delimited by the end of the connection."""
        if self._ends_at_close and self._in_response and self._exchange is not None:
            self._not_reusable = True
            self._complete()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the request in progress."""
        process_descriptors.connections.discard(self)
        self.usable = False
        self._fail(Failure.LOST)
        # These refer to this connection, which would otherwise be kept until the next
        # collection of old objects.
        self._hold.close()
        del self._parser

    def on_message_begin(self) -> None:
        """Start a new response, or close the connection if it is unsolicited."""
        if self._exchange is None:
            self._not_reusable = True
            self.usable = False
            self._transport.close()
        self._headers = []
        self._fields = {}
        self._discard_body()
        self._status = 0
        self._ends_at_close = False
        self._in_response = True
        self._in_body = False
        self._body_bytes = 0

    def on_header(self, name: bytes, value: bytes) -> None:
        """Append a header; trailers are ignored."""
        if not self._in_body:
            self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Determine how the end of the body is delimited."""
        for name, value in self._headers:
            self._fields.setdefault(name.lower(), value)
        self._status = self._parser.get_status_code()
        is_interim = is_interim_status(self._status)
        if not is_interim and not is_final_status(self._status):
            self._fail(Failure.INVALID)
            return
        has_length = b"content-length" in self._fields
        if b"transfer-encoding" in self._fields:
            has_length = True
            if has_unknown_coding(self._headers):
                self._fail(Failure.INVALID)
                return
        bodiless = self._status in (204, 304) or is_interim
        self._ends_at_close = not has_length and not bodiless
        self._in_body = not is_interim
        if self._bodiless and not is_interim:
            self._not_reusable = True
            self._complete()

    def on_body(self, body: bytes) -> None:
        """Append a part of the body, which only an answer has."""
        if is_interim_status(self._status):
            self._fail(Failure.INVALID)
            return
        self._body_bytes += len(body)
        if self._exchange is not None and self._body_bytes <= _MAX_BODY_BYTES:
            self._body.append(body)
            if len(self._body) > MAX_BODY_PIECES:
                self._body = join_pieces(self._body)

    def on_message_complete(self) -> None:
        """Complete the response, unless it is an interim one (1xx)."""
        if is_final_status(self._status) and self._in_response:
            self._complete()

    def _discard_body(self) -> None:
        self._body = []
        self._hold.release()

    def _update_hold(self) -> None:
        """Count the unfinished body, and what the peer has not read of the request."""
        held_bytes = self._transport.get_write_buffer_size()
        if self._body:
            held_bytes += self._body_bytes
            held_bytes += HEADER_OVERHEAD_BYTES * len(self._headers)
        self._hold.resize(held_bytes, self._loop.time())

    def _complete(self) -> None:
        self._in_response = False
        self._in_body = False
        exchange = self._exchange
        if exchange is None:
            self._not_reusable = True
            return
        if self._body_bytes > _MAX_BODY_BYTES:
            self._fail(Failure.INVALID)
            return
        body = b"".join(self._body)
        self._discard_body()
        response = Response(self._status, self._headers, body, self._fields)
        if not exchange.accepts(response):
            self._skipped_responses += 1
            self._received_bytes = 0
            if self._not_reusable or self._skipped_responses > _MAX_SKIPPED_RESPONSES:
                self._fail(Failure.INVALID)
            return
        self._exchange = None
        self._update_usable(response)
        exchange.answered(response)

    def _exceeds_limits(self) -> bool:
        """Return whether the unfinished response is larger than this host accepts."""
        if not self._in_body:
            return self._received_bytes > _MAX_HEAD_BYTES
        max_bytes = _MAX_HEAD_BYTES + _MAX_BODY_BYTES * _MAX_FRAMING_RATIO
        return self._body_bytes > _MAX_BODY_BYTES or self._received_bytes > max_bytes

    def _update_usable(self, response: Response) -> None:
        """Determine whether the connection can be reused, and close it otherwise."""
        self.idle_since = self._loop.time()
        self.keep_alive_s = _keep_alive_s(response)
        peer_closes = _CLOSE_OPTION in response.fields.get(b"connection", b"").lower()
        # Unsent request data means that the peer responded before reading all of it.
        unsent = self._transport.get_write_buffer_size() > 0
        if (
            self._not_reusable
            or peer_closes
            or unsent
            or not self._parser.should_keep_alive()
        ):
            self._transport.close()
            return
        self.usable = True

    def _fail(self, failure: Failure) -> None:
        exchange, self._exchange = self._exchange, None
        self.close()
        if exchange is not None:
            exchange.failed(failure)


def _keep_alive_s(response: Response) -> float | None:
    for option in response.fields.get(b"keep-alive", b"").split(b","):
        name, _, value = option.strip().partition(b"=")
        if name.lower() == b"timeout" and value.isdigit():
            return float(value)
    return None


async def connect(address: str, timeout_s: float) -> OutboundConnection:
    """Open a connection to ``ip:port``.

    Raises
    ------
    OSError
        If the connection is not established in time, or the address is unusable.
    """
    loop = asyncio.get_running_loop()
    host, _, port = address.rpartition(":")
    try:
        async with asyncio.timeout(timeout_s):
            _, protocol = await loop.create_connection(
                lambda: OutboundConnection(loop), host, int(port)
            )
    except (OverflowError, ValueError) as error:
        # Callers handle a server that can't be reached, whatever the reason.
        raise OSError(f"address {address!r} is unusable: {error}") from error
    return protocol
