"""Whether something listens at a server's address."""

from enum import Enum

from kingcuplug_http import connect

__all__ = ["AddressCondition", "accepts_connections", "check_address"]

# A running server accepts within a round trip.
_CONNECT_TIMEOUT_S = 0.3


class AddressCondition(Enum):
    """What an attempt to connect to a server's address shows."""

    ACCEPTS = "accepts"
    REFUSES = "refuses"
    SILENT = "silent"


async def check_address(address: str) -> AddressCondition:
    """Try to connect to ``ip:port``."""
    try:
        connection = await connect(address, _CONNECT_TIMEOUT_S)
    except (ConnectionRefusedError, ConnectionResetError):
        return AddressCondition.REFUSES
    except OSError:
        return AddressCondition.SILENT
    connection.close()
    return AddressCondition.ACCEPTS


async def accepts_connections(address: str) -> bool:
    """Return whether a connection to ``ip:port`` can be made."""
    return await check_address(address) is AddressCondition.ACCEPTS
