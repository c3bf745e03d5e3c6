"""Whether something listens at a server's address."""

from kingcuplug_http import connect

__all__ = ["accepts_connections", "refuses_connections"]

# A running server accepts within a round trip.
_CONNECT_TIMEOUT_S = 0.3


async def accepts_connections(address: str) -> bool:
    """Return whether a connection to ``ip:port`` can be made."""
    try:
        connection = await connect(address, _CONNECT_TIMEOUT_S)
    except OSError:
        return False
    connection.close()
    return True


async def refuses_connections(address: str) -> bool:
    """Return whether nothing listens at ``ip:port``; not known without any reply."""
    try:
        connection = await connect(address, _CONNECT_TIMEOUT_S)
    except (ConnectionRefusedError, ConnectionResetError):
        return True
    except OSError:
        return False
    connection.close()
    return False
