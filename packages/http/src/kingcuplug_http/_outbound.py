"""Connections to backend servers and to other hosts."""

import asyncio
from enum import Enum
from typing import Protocol

import httptools

from kingcuplug_http._messages import Headers, Response

__all__ = ["Exchange", "Failure", "OutboundConnection", "Reply", "connect"]

_CLOSE = b"close"
# A late answer to an earlier request is followed by ours; many are no HTTP peer's.
_SKIPPED_RESPONSES = 4


class Failure(Enum):
    """Why a request got no response."""

    CONNECT = "no connection was made, so the request did not run"
    LOST = "the connection ended before the whole response"
    INVALID = "the peer sent bytes that are no HTTP response"


class Exchange(Protocol):
    """One request on a connection; exactly one of the methods is called, once."""

    def accepts(self, response: Response) -> bool:
        """Return whether the response belongs to this request."""
        ...

    def answered(self, response: Response) -> None:
        """Take the whole response."""
        ...

    def failed(self, failure: Failure) -> None:
        """Take the news that there is no response."""
        ...


class Reply:
    """An exchange that is awaited.

    Attributes
    ----------
    response : Future
        The response, or `ConnectionError` if there is none.
    """

    def __init__(self) -> None:
        loop = asyncio.get_running_loop()
        self.response: asyncio.Future[Response] = loop.create_future()

    def accepts(self, response: Response) -> bool:
        """Take every response: nothing else is asked on the connection."""
        return True

    def answered(self, response: Response) -> None:
        """Give the response to whoever waits."""
        if not self.response.done():
            self.response.set_result(response)

    def failed(self, failure: Failure) -> None:
        """Give the failure to whoever waits."""
        if not self.response.done():
            self.response.set_exception(ConnectionError(failure.value))


class OutboundConnection(asyncio.Protocol):
    """Sends one request at a time and matches responses to it.

    Attributes
    ----------
    usable : bool
        Whether another request may be sent.
    idle_since : float
        Event loop time of the end of the last response.
    keep_alive_s : float or None
        How long the peer keeps the connection without a request, if it said so.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._transport: asyncio.Transport
        self._parser = httptools.HttpResponseParser(self)
        self._exchange: Exchange | None = None
        self._bodiless = False
        self._skipped = 0
        self._reading = False
        self._until_end = False
        self._dirty = False
        self.usable = False
        self.idle_since = 0.0
        self.keep_alive_s: float | None = None
        self._headers: Headers = []
        self._fields: dict[bytes, bytes] = {}
        self._body: list[bytes] = []
        self._status = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Become usable."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self.usable = True
        self.idle_since = self._loop.time()

    def send(self, data: bytes, exchange: Exchange, bodiless: bool = False) -> None:
        """Send the bytes of one request.

        Parameters
        ----------
        bodiless : bool
            The response has no body whatever its headers say (HEAD).
        """
        self._exchange = exchange
        self._bodiless = bodiless
        self._skipped = 0
        self.usable = False
        self._transport.write(data)

    def abandon(self) -> None:
        """Drop the request in progress and the connection with it."""
        self._exchange = None
        self.close()

    def close(self) -> None:
        """Close the connection."""
        self.usable = False
        self._transport.abort()

    def data_received(self, data: bytes) -> None:
        """Parse what arrived."""
        if self._exchange is None:
            # Bytes that no request asked for belong to no request.
            self.close()
            return
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._fail(Failure.INVALID)

    def eof_received(self) -> bool:
        """Complete a response that ends with its connection."""
        if self._until_end and self._reading and self._exchange is not None:
            self._dirty = True
            self._complete()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the request in progress."""
        self.usable = False
        self._fail(Failure.LOST)

    def on_message_begin(self) -> None:
        """Start a new response, or note that nobody asked for it."""
        if self._exchange is None:
            self._dirty = True
            self.usable = False
            self._transport.close()
        self._headers = []
        self._fields = {}
        self._body = []
        self._status = 0
        self._until_end = False
        self._reading = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect one header."""
        self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Find out where the body ends."""
        for name, value in self._headers:
            self._fields.setdefault(name.lower(), value)
        self._status = self._parser.get_status_code()
        framed = b"content-length" in self._fields
        framed = framed or b"transfer-encoding" in self._fields
        bodiless = self._status in (204, 304) or self._status < 200
        self._until_end = not framed and not bodiless
        if self._bodiless and self._status >= 200:
            self._dirty = True
            self._complete()

    def on_body(self, body: bytes) -> None:
        """Collect a part of the body."""
        self._body.append(body)

    def on_message_complete(self) -> None:
        """Hand the response over, unless it is an interim one."""
        if self._status >= 200 and self._reading:
            self._complete()

    def _complete(self) -> None:
        self._reading = False
        exchange = self._exchange
        if exchange is None:
            self._dirty = True
            return
        response = Response(
            self._status, self._headers, b"".join(self._body), self._fields
        )
        if not exchange.accepts(response):
            self._skipped += 1
            if self._dirty or self._skipped > _SKIPPED_RESPONSES:
                self._fail(Failure.INVALID)
            return
        self._exchange = None
        self._settle(response)
        exchange.answered(response)

    def _settle(self, response: Response) -> None:
        """Decide whether the connection can take another request."""
        self.idle_since = self._loop.time()
        self.keep_alive_s = _keep_alive_s(response)
        closes = _CLOSE in response.fields.get(b"connection", b"").lower()
        # With request bytes still unsent, the peer answered before it read all.
        unsent = self._transport.get_write_buffer_size() > 0
        if self._dirty or closes or unsent or not self._parser.should_keep_alive():
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
        If no connection is made in time.
    """
    loop = asyncio.get_running_loop()
    host, _, port = address.rpartition(":")
    async with asyncio.timeout(timeout_s):
        _, protocol = await loop.create_connection(
            lambda: OutboundConnection(loop), host, int(port)
        )
    return protocol
