"""Calls to other hosts of the system: HTTP with JSON bodies, long ones deflated.

Whole directories and route documents repeat their field names and addresses; deflated
they take a quarter of the bytes, which matters between availability zones and on the
links of small hosts.
"""

import asyncio
import zlib
from typing import Any

import orjson
from kingcuplug_common import KingcuplugError
from kingcuplug_http import Headers, OutboundConnection, Reply, Response, connect

__all__ = ["PeerFailed", "PeerRefused", "Peers", "decode_body", "encode_body"]

_IDLE_S = 8.0  # Shorter than the idle time-out of the listeners of other hosts.
_OK = 200
_UNAVAILABLE = 503
# Shorter bodies fit in one packet, and heartbeats are not worth the processor time.
_DEFLATED_FROM_BYTES = 400
# The fastest level: higher ones save a tenth of the bytes for twice the time.
_DEFLATE_LEVEL = 1
_GREATEST_BODY_BYTES = 64 * 1024 * 1024
_DEFLATED = (b"Content-Encoding", b"deflate")
_JSON = (b"Content-Type", b"application/json")


def encode_body(value: Any) -> tuple[Headers, bytes]:
    """Return the headers and the body of a message between hosts."""
    body = orjson.dumps(value)
    if len(body) < _DEFLATED_FROM_BYTES:
        return [_JSON], body
    return [_JSON, _DEFLATED], zlib.compress(body, _DEFLATE_LEVEL)


def decode_body(encoding: bytes | None, body: bytes) -> Any:
    """Return the value in the body of a message between hosts.

    Raises
    ------
    ValueError
        If the body is not JSON, or not what its encoding says.
    """
    if encoding == _DEFLATED[1]:
        inflater = zlib.decompressobj()
        try:
            body = inflater.decompress(body, _GREATEST_BODY_BYTES)
        except zlib.error as error:
            raise ValueError(f"the body is not deflated: {error}") from error
        if not inflater.eof:
            raise ValueError("the deflated body is cut short or too long")
    return orjson.loads(body)


class PeerFailed(KingcuplugError):
    """Another host did not answer, or refused."""


class PeerRefused(PeerFailed):
    """Another host answered that it does not serve the call."""


class Peers:
    """Keeps connections to other hosts."""

    def __init__(self) -> None:
        self._idle: dict[str, list[OutboundConnection]] = {}

    async def call(self, address: str, path: str, value: Any, timeout_s: float) -> Any:
        """Post a JSON value and return the value of the answer.

        Raises
        ------
        PeerFailed
            If there is no answer in time, or it is a refusal.
        """
        try:
            async with asyncio.timeout(timeout_s):
                response = await self._post(address, path, value)
            if response.status == _OK:
                return decode_body(response.header(b"content-encoding"), response.body)
        except (OSError, ValueError) as error:
            # A call that got no answer may show that all connections are dead.
            for connection in self._idle.pop(address, []):
                connection.close()
            reason = str(error) or type(error).__name__
            raise PeerFailed(
                f"{address}{path}: {reason}", "another host will be asked"
            ) from error
        # Other statuses do not show that nothing was done.
        failure = PeerRefused if response.status == _UNAVAILABLE else PeerFailed
        raise failure(
            f"{address}{path}: status {response.status}", "another host will be asked"
        )

    def close(self) -> None:
        """Close all idle connections."""
        for connections in self._idle.values():
            for connection in connections:
                connection.close()
        self._idle.clear()

    async def _post(self, address: str, path: str, value: Any) -> Response:
        headers, body = encode_body(value)
        connection = self._take(address)
        if connection is None:
            connection = await connect(address, timeout_s=5.0)
        lines = [f"POST {path} HTTP/1.1\r\nHost: {address}\r\n".encode()]
        lines += [b"%s: %s\r\n" % header for header in headers]
        lines += [b"Content-Length: %d\r\n\r\n" % len(body), body]
        reply = Reply()
        connection.send(b"".join(lines), reply)
        try:
            response = await reply.response
        except BaseException:
            connection.abandon()
            raise
        if connection.usable:
            self._idle.setdefault(address, []).append(connection)
        return response

    def _take(self, address: str) -> OutboundConnection | None:
        now = asyncio.get_running_loop().time()
        connections = self._idle.get(address, [])
        while connections:
            connection = connections.pop()
            if connection.usable and now - connection.idle_since < _IDLE_S:
                return connection
            connection.close()
        return None
