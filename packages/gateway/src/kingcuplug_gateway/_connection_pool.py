"""Connections of this host to one backend server.

Designed for servers that limit the number of connections from all hosts together,
spend time on accepting a new connection, and close idle connections.
"""

import asyncio
from collections import deque
from typing import Protocol

from kingcuplug_http import Exchange, Failure, OutboundConnection, connect

__all__ = ["ConnectionPool", "PendingRequest"]

# A running server accepts within a round trip; an unreachable one delays the caller
# by this timeout.
CONNECT_TIMEOUT_S = 0.5
# A request sent while the server closes its idle connection is lost, so this host
# closes connections this much earlier.
_KEEP_ALIVE_MARGIN_S = 0.6
_DEFAULT_KEEP_ALIVE_S = 4.0  # Below the idle timeout of common servers.


class PendingRequest(Exchange, Protocol):
    """A request that waits for a connection or is in progress on one.

    Attributes
    ----------
    active : bool
        Whether to send the request once a connection is available.
    no_response_body : bool
        Whether the response has no body regardless of its headers.
    """

    active: bool
    no_response_body: bool

    def encode(self) -> bytes:
        """Return the encoded request; called when it is sent."""
        ...

    def on_sent(self, connection: OutboundConnection) -> None:
        """Handle that the request is about to be sent on the connection."""
        ...


class ConnectionPool:
    """Idle and busy connections to one server.

    Parameters
    ----------
    address : str
        ``ip:port``.
    limit : int
        Maximum number of simultaneous connections of this host.
    """

    def __init__(self, address: str, limit: int) -> None:
        self.address = address
        self.limit = limit
        self._idle: list[OutboundConnection] = []
        self._busy_count = 0
        self._waiting: deque[tuple[PendingRequest, bool]] = deque()
        self._connect_tasks: set[asyncio.Task[None]] = set()
        self._closed = False
        self._refuses_unsent = False

    def submit(self, pending: PendingRequest, new_connection: bool) -> None:
        """Send a request as soon as a connection is available.

        Parameters
        ----------
        new_connection : bool
            Use a new connection. The server may already have closed an idle one, and
            then it is unknown whether the request ran.
        """
        connection = None if new_connection else self._pop_idle()
        if connection is not None:
            self._busy_count += 1
            self._send(connection, pending)
        elif self._busy_count < self.limit:
            self._open_connection(pending)
        else:
            self._waiting.append((pending, new_connection))

    def withdraw(self, pending: PendingRequest) -> bool:
        """Remove a waiting request; return whether it was waiting."""
        for entry in self._waiting:
            if entry[0] is pending:
                self._waiting.remove(entry)
                return True
        return False

    def release(self, connection: OutboundConnection) -> None:
        """Return the connection of a finished request to the pool."""
        self._busy_count -= 1
        if not connection.usable or self._closed:
            connection.close()
            self._send_next_waiting(None)
        else:
            self._send_next_waiting(connection)

    def close(self) -> None:
        """Close idle connections, and busy ones as they are released."""
        self._closed = True
        for connection in self._idle:
            connection.close()
        self._idle.clear()

    def refuse_unsent(self) -> None:
        """Fail the requests that are not yet sent; those in progress continue."""
        self._refuses_unsent = True
        self.fail_waiting()

    def prune(self, now: float) -> None:
        """Close unusable connections and those idle for too long."""
        kept = []
        for connection in self._idle:
            if connection.usable and now < _expires_at(connection):
                kept.append(connection)
            else:
                connection.close()
        self._idle = kept

    def _pop_idle(self) -> OutboundConnection | None:
        now = asyncio.get_running_loop().time()
        while self._idle:
            connection = self._idle.pop()
            if connection.usable and now < _expires_at(connection):
                return connection
            connection.close()
        return None

    def _send(self, connection: OutboundConnection, pending: PendingRequest) -> None:
        if not pending.active:
            self.release(connection)
            return
        pending.on_sent(connection)
        connection.send(pending.encode(), pending, pending.no_response_body)

    def _open_connection(self, pending: PendingRequest) -> None:
        self._busy_count += 1
        while self._idle and self._busy_count + len(self._idle) > self.limit:
            self._idle.pop(0).close()
        task = asyncio.ensure_future(self._connect(pending))
        self._connect_tasks.add(task)
        task.add_done_callback(self._connect_tasks.discard)

    async def _connect(self, pending: PendingRequest) -> None:
        try:
            connection = await connect(self.address, CONNECT_TIMEOUT_S)
        except OSError:
            self._busy_count -= 1
            pending.failed(Failure.CONNECT)
            self.fail_waiting()
            return
        if self._refuses_unsent:
            self._busy_count -= 1
            connection.close()
            pending.failed(Failure.CONNECT)
            return
        self._send(connection, pending)

    def fail_waiting(self) -> None:
        """Fail the requests that wait for a connection; none of them has been sent."""
        waiting, self._waiting = self._waiting, deque()
        for pending, _ in waiting:
            pending.failed(Failure.CONNECT)

    def _send_next_waiting(self, connection: OutboundConnection | None) -> None:
        if connection is not None:
            self._idle.append(connection)
        if self._waiting and self._busy_count < self.limit:
            self.submit(*self._waiting.popleft())


def _expires_at(connection: OutboundConnection) -> float:
    keep_alive_s = connection.keep_alive_s or _DEFAULT_KEEP_ALIVE_S
    return connection.idle_since + max(keep_alive_s - _KEEP_ALIVE_MARGIN_S, 0.3)
