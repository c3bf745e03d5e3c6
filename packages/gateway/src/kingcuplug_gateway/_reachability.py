"""Whether a server can be reached at its address, and replies."""

import asyncio
from collections.abc import Callable
from enum import Enum

from kingcuplug_http import Reply, Response, connect

__all__ = ["ServerCondition", "accepts_connections", "check_server"]

# A running server accepts within a round trip.
_CONNECT_TIMEOUT_S = 0.3
# A health check waits for a slot of the server, like any other request.
_REPLY_TIMEOUT_S = 0.5


class ServerCondition(Enum):
    """What a health check of a server shows."""

    REPLIES = "replies"
    REFUSES = "refuses"
    CLOSES = "closes"
    SILENT = "silent"

    @property
    def is_down(self) -> bool:
        """Whether a server that was lost under a request is not back.

        One that closes the connection may have too many of them.
        """
        return self in (ServerCondition.REFUSES, ServerCondition.SILENT)


async def check_server(
    address: str,
    health_path: str,
    on_response: Callable[[Response], None] = lambda response: None,
) -> ServerCondition:
    """Send a health check to ``ip:port``.

    Parameters
    ----------
    on_response : callable
        Called with the response, if there is one.
    """
    try:
        connection = await connect(address, _CONNECT_TIMEOUT_S)
    except (ConnectionRefusedError, ConnectionResetError):
        return ServerCondition.REFUSES
    except OSError:
        return ServerCondition.SILENT
    reply = Reply()
    head = f"GET {health_path} HTTP/1.1\r\nHost: {address}\r\n\r\n"
    connection.send(head.encode(), reply)
    try:
        async with asyncio.timeout(_REPLY_TIMEOUT_S):
            on_response(await reply.response)
    except TimeoutError:
        return ServerCondition.SILENT
    except ConnectionError:
        return ServerCondition.CLOSES
    finally:
        connection.abandon()
    return ServerCondition.REPLIES


async def accepts_connections(address: str) -> bool:
    """Return whether a connection to ``ip:port`` can be made."""
    try:
        connection = await connect(address, _CONNECT_TIMEOUT_S)
    except OSError:
        return False
    connection.close()
    return True
