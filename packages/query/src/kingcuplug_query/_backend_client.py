"""Transport to backend servers.

`SendSubRequest`, `IsReachable` and `CancelAttempt` are the interface that tests
replace; `HttpBackendClient` implements it over HTTP. Only the transport can tell
whether nothing was sent or something may have been sent, so that distinction is made
here.
"""

import asyncio
import ssl
from collections.abc import Awaitable, Callable
from typing import Any

import aiohttp
import orjson
from kingcuplug_common import KingcuplugError, traceparent
from kingcuplug_routing import Ticket

from kingcuplug_query._coarse_timeouts import CoarseTimer
from kingcuplug_query._messages import ReplyInvalid, SubReply, SubRequest, parse_reply

__all__ = [
    "CancelAttempt",
    "ConnectFailed",
    "HttpBackendClient",
    "IsReachable",
    "ReplyLost",
    "SendSubRequest",
]

_MAX_REPLY_BYTES = 16 * 1024 * 1024
_CONNECT_TIMEOUT_S = 1.0
_PROBE_TIMEOUT_S = 0.5
_CANCEL_TIMEOUT_S = 1.0
_KEEPALIVE_TIMEOUT_S = 60.0
_JSON_HEADERS = {"Content-Type": "application/json"}

SendSubRequest = Callable[[Ticket, SubRequest, float], Awaitable[SubReply]]
IsReachable = Callable[[Ticket], Awaitable[bool]]
CancelAttempt = Callable[[Ticket, str], Awaitable[None]]


class ConnectFailed(KingcuplugError):
    """No connection was established, so no byte of the sub-request was sent."""


class ReplyLost(KingcuplugError):
    """The connection broke after the sub-request may have been received.

    Parameters
    ----------
    server_unreachable : bool
        Whether a new connection to the server failed too, which suggests that its
        process has ended.
    """

    def __init__(self, message: str, remedy: str, server_unreachable: bool) -> None:
        super().__init__(message, remedy)
        self.server_unreachable = server_unreachable


class HttpBackendClient:
    """Sends sub-requests over pooled HTTP connections.

    Parameters
    ----------
    tls : ssl.SSLContext, optional
        Context for TLS towards backend servers.

    Attributes
    ----------
    local_address : str or None
        Source IP address of new pools; ``None`` lets the system choose it.
    """

    def __init__(self, tls: ssl.SSLContext | None = None) -> None:
        self.local_address: str | None = None
        self._scheme = "https" if tls is not None else "http"
        self._tls = tls
        self._timer = CoarseTimer()
        self._sessions: dict[str, aiohttp.ClientSession] = {}
        self._connection_limits: dict[str, int] = {}

    def set_connection_limit(self, address: str, max_connections: int) -> None:
        """Set the maximum number of connections from this host to one server."""
        self._connection_limits[address] = max_connections
        session = self._sessions.get(address)
        if session is not None and session.connector is not None:
            session.connector._limit = max_connections

    def close_pool(self, address: str) -> None:
        """Close the connection pool of a server that was removed."""
        self._connection_limits.pop(address, None)
        session = self._sessions.pop(address, None)
        if session is not None:
            asyncio.get_running_loop().create_task(session.close())

    async def close(self) -> None:
        """Close all connection pools."""
        for session in self._sessions.values():
            await session.close()
        self._sessions.clear()

    async def send(
        self, ticket: Ticket, request: SubRequest, timeout_s: float
    ) -> SubReply:
        """Send one sub-request and return its validated reply.

        Raises
        ------
        ConnectFailed
            If no byte of the sub-request was sent.
        ReplyLost
            If the connection broke afterwards.
        ReplyInvalid
            If the reply does not match this attempt; the connection is closed.
        TimeoutError
            If no reply arrived within `timeout_s` seconds.
        """
        url = f"{self._scheme}://{ticket.address}/sub-request"
        body = orjson.dumps(request.to_json())
        try:
            with self._timer.timeout(timeout_s):
                async with self._session(ticket.address).post(
                    url, data=body, headers=_request_headers()
                ) as response:
                    return await self._read_reply(response, request)
        except aiohttp.ClientConnectorError as error:
            raise ConnectFailed(
                f"backend server {ticket.server} at {ticket.address} "
                f"accepts no connection: {error.os_error}",
                "check that the server runs and that its announced address is right",
            ) from error
        except (aiohttp.ClientError, ConnectionError) as error:
            raise await self._reply_lost_error(ticket, error) from error

    async def is_reachable(self, ticket: Ticket) -> bool:
        """Return whether a server currently accepts connections."""
        return await self._accepts_connections(ticket.address)

    async def cancel(self, ticket: Ticket, attempt_id: str) -> None:
        """Ask a server to stop an attempt whose reply is no longer needed."""
        url = f"{self._scheme}://{ticket.address}/cancel"
        try:
            async with (
                asyncio.timeout(_CANCEL_TIMEOUT_S),
                self._session(ticket.address).post(
                    url, json={"attempt_id": attempt_id}
                ) as response,
            ):
                await response.read()
        except (aiohttp.ClientError, ConnectionError, TimeoutError):
            return  # Cancellation only saves work; the deadline ends the attempt too.

    def _session(self, address: str) -> aiohttp.ClientSession:
        session = self._sessions.get(address)
        if session is None:
            # One pool per server keeps the connection limit per server, so that a
            # slow server cannot use up the connections of the others.
            connector = aiohttp.TCPConnector(
                limit=self._connection_limits.get(address, 0),
                keepalive_timeout=_KEEPALIVE_TIMEOUT_S,
                ssl=self._tls if self._tls is not None else True,
                local_addr=(self.local_address, 0) if self.local_address else None,
            )
            session = aiohttp.ClientSession(
                connector=connector,
                timeout=aiohttp.ClientTimeout(
                    total=None, sock_connect=_CONNECT_TIMEOUT_S
                ),
                auto_decompress=False,
                cookie_jar=aiohttp.DummyCookieJar(),
            )
            self._sessions[address] = session
        return session

    async def _read_reply(
        self, response: aiohttp.ClientResponse, request: SubRequest
    ) -> SubReply:
        try:
            length = response.content_length
            if length is None or length > _MAX_REPLY_BYTES:
                raise _unreadable_reply_error(request, f"its length is {length} bytes")
            return parse_reply(request, _decode_json(request, await response.read()))
        except ReplyInvalid:
            # Later replies on this connection may belong to other requests.
            response.close()
            raise

    async def _reply_lost_error(self, ticket: Ticket, error: Exception) -> ReplyLost:
        unreachable = not await self._accepts_connections(ticket.address)
        return ReplyLost(
            f"connection to backend server {ticket.server} broke: {error!r}",
            "check the log of the backend server",
            server_unreachable=unreachable,
        )

    async def _accepts_connections(self, address: str) -> bool:
        host, _, port = address.rpartition(":")
        try:
            async with asyncio.timeout(_PROBE_TIMEOUT_S):
                _, writer = await asyncio.open_connection(host, int(port))
        except (OSError, TimeoutError):
            return False
        writer.close()
        return True


def _request_headers() -> dict[str, str]:
    trace = traceparent()
    return _JSON_HEADERS if trace is None else {**_JSON_HEADERS, "traceparent": trace}


def _decode_json(request: SubRequest, body: bytes) -> Any:
    try:
        return orjson.loads(body)
    except orjson.JSONDecodeError as error:
        raise _unreadable_reply_error(request, f"it is not JSON: {error}") from error


def _unreadable_reply_error(request: SubRequest, problem: str) -> ReplyInvalid:
    return ReplyInvalid(
        f"reply to attempt {request.attempt_id} cannot be read: {problem}",
        f"send JSON with Content-Length up to {_MAX_REPLY_BYTES} bytes",
    )
