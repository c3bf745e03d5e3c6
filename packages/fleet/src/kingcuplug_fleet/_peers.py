"""Calls to other hosts of the system: HTTP with JSON bodies."""

import asyncio
from typing import Any

import orjson
from kingcuplug_common import KingcuplugError
from kingcuplug_http import OutboundConnection, Reply, Response, connect

__all__ = ["PeerFailed", "Peers"]

_IDLE_S = 8.0  # Shorter than the idle time-out of the listeners of other hosts.
_OK = 200


class PeerFailed(KingcuplugError):
    """Another host did not answer, or refused."""


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
                response = await self._post(address, path, orjson.dumps(value))
            if response.status != _OK:
                raise ConnectionError(f"status {response.status}")
            return orjson.loads(response.body)
        except (OSError, ValueError) as error:
            reason = str(error) or type(error).__name__
            raise PeerFailed(
                f"{address}{path}: {reason}", "another host will be asked"
            ) from error

    def close(self) -> None:
        """Close all idle connections."""
        for connections in self._idle.values():
            for connection in connections:
                connection.close()
        self._idle.clear()

    async def _post(self, address: str, path: str, body: bytes) -> Response:
        connection = self._take(address)
        if connection is None:
            connection = await connect(address, timeout_s=5.0)
        head = (
            f"POST {path} HTTP/1.1\r\nHost: {address}\r\n"
            f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
        )
        reply = Reply()
        connection.send(head.encode() + body, reply)
        try:
            response = await reply.response
        except BaseException:
            # A call that got no answer may show that all connections are dead.
            connection.abandon()
            for other in self._idle.pop(address, []):
                other.close()
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
