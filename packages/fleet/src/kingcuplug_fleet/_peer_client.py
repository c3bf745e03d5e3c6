"""Calls to other hosts of the system: HTTP with JSON bodies, long ones compressed.

Whole directories and route documents repeat field names and addresses. Compression
reduces them to a quarter of their size, which matters between availability zones and
on the network links of small hosts.
"""

import asyncio
import zlib
from itertools import count
from typing import Any

import orjson
from kingcuplug_common import KingcuplugError, estimate_decoded_bytes
from kingcuplug_http import (
    Headers,
    OutboundConnection,
    Reply,
    Response,
    connect,
    process_budget,
)

__all__ = [
    "CALL_ID_HEADER",
    "PeerClient",
    "PeerFailed",
    "PeerRefused",
    "PeerUnreachable",
    "decode_body",
    "encode_body",
]

# Echoed in the response, so that a late response cannot answer the next call.
CALL_ID_HEADER = b"call-id"

# Shorter than the idle time-out of the listeners of other hosts.
_IDLE_TIMEOUT_S = 8.0
_STATUS_OK = 200
_STATUS_UNAVAILABLE = 503
# A running host accepts within a round trip, also while its process is busy. One that
# has no power yet does not even refuse, and may have started before a longer time-out.
_CONNECT_TIMEOUT_S = 0.2
# Shorter bodies, such as heartbeats, fit in one packet anyway; compressing them would
# only cost processor time.
_COMPRESSION_THRESHOLD_BYTES = 400
# The fastest level; higher ones save a tenth of the bytes but take twice the time.
_DEFLATE_LEVEL = 1
_MAX_BODY_BYTES = 64 * 1024 * 1024
_DEFLATE_HEADER = (b"Content-Encoding", b"deflate")
_JSON_HEADER = (b"Content-Type", b"application/json")


def encode_body(value: Any) -> tuple[Headers, bytes]:
    """Return the headers and the body of a message between hosts."""
    body = orjson.dumps(value)
    if len(body) < _COMPRESSION_THRESHOLD_BYTES:
        return [_JSON_HEADER], body
    return [_JSON_HEADER, _DEFLATE_HEADER], zlib.compress(body, _DEFLATE_LEVEL)


def decode_body(encoding: bytes | None, body: bytes) -> Any:
    """Return the value in the body of a message between hosts.

    Raises
    ------
    ValueError
        If the body is not JSON, does not match its content encoding, or would take more
        memory than all connections of the process may.
    """
    max_bytes = process_budget.max_bytes
    if encoding == _DEFLATE_HEADER[1]:
        decompressor = zlib.decompressobj()
        try:
            body = decompressor.decompress(body, min(_MAX_BODY_BYTES, max_bytes // 2))
        except zlib.error as error:
            raise ValueError(f"invalid deflate data in the body: {error}") from error
        if not decompressor.eof:
            raise ValueError("the compressed body is truncated or too long")
    if estimate_decoded_bytes(body) > max_bytes:
        raise ValueError("the body would take too much memory")
    return orjson.loads(body)


class PeerFailed(KingcuplugError):
    """Another host did not respond, or responded with an error status."""


class PeerRefused(PeerFailed):
    """Another host responded that it did not execute the call."""


class PeerUnreachable(PeerFailed):
    """No connection to another host could be made, so it did not get the call."""


class PeerClient:
    """Client for calls to other hosts, with a pool of idle connections."""

    def __init__(self) -> None:
        self._idle: dict[str, list[OutboundConnection]] = {}
        self._call_ids = count(1)

    async def call(self, address: str, path: str, value: Any, timeout_s: float) -> Any:
        """Send a JSON value in a POST request and return the value of the response.

        Raises
        ------
        PeerFailed
            If there is no response in time, or its status is an error.
        PeerUnreachable
            If no connection could be made.
        """
        try:
            async with asyncio.timeout(timeout_s):
                response = await self._post(address, path, value)
            if response.status == _STATUS_OK:
                return decode_body(response.header(b"content-encoding"), response.body)
        except (OSError, ValueError) as error:
            # After a failed call the idle connections may be dead, too.
            for connection in self._idle.pop(address, []):
                connection.close()
            reason = str(error) or type(error).__name__
            raise PeerFailed(
                f"{address}{path}: {reason}", "another host will be tried"
            ) from error
        # Only 503 guarantees that the call was not executed.
        failure = PeerRefused if response.status == _STATUS_UNAVAILABLE else PeerFailed
        raise failure(
            f"{address}{path}: status {response.status}", "another host will be tried"
        )

    def close(self) -> None:
        """Close all idle connections."""
        for connections in self._idle.values():
            for connection in connections:
                connection.close()
        self._idle.clear()

    def prune(self, now: float) -> None:
        """Close connections that have been idle for too long.

        Parameters
        ----------
        now : float
            In event loop time.
        """
        for address, connections in tuple(self._idle.items()):
            # The one that was used last is at the end.
            expired = 0
            while expired < len(connections) and not _is_usable(
                connections[expired], now
            ):
                connections[expired].close()
                expired += 1
            del connections[:expired]
            if not connections:
                del self._idle[address]

    async def _post(self, address: str, path: str, value: Any) -> Response:
        headers, body = encode_body(value)
        connection = self._pop_idle(address)
        if connection is None:
            try:
                connection = await connect(address, _CONNECT_TIMEOUT_S)
            except OSError as error:
                raise PeerUnreachable(
                    f"{address}: {error!r}", "another host will be tried"
                ) from error
        lines = [f"POST {path} HTTP/1.1\r\nHost: {address}\r\n".encode()]
        call_id = b"%d" % next(self._call_ids)
        lines += [b"%s: %s\r\n" % header for header in headers]
        lines.append(b"%s: %s\r\n" % (CALL_ID_HEADER, call_id))
        lines += [b"Content-Length: %d\r\n\r\n" % len(body), body]
        pending = Reply(CALL_ID_HEADER, call_id)
        connection.send(b"".join(lines), pending)
        try:
            response = await pending.response
        except BaseException:
            connection.abandon()
            raise
        if connection.usable:
            self._idle.setdefault(address, []).append(connection)
        return response

    def _pop_idle(self, address: str) -> OutboundConnection | None:
        now = asyncio.get_running_loop().time()
        connections = self._idle.get(address, [])
        while connections:
            connection = connections.pop()
            if _is_usable(connection, now):
                return connection
            connection.close()
        return None


def _is_usable(connection: OutboundConnection, now: float) -> bool:
    return connection.usable and now - connection.idle_since < _IDLE_TIMEOUT_S
