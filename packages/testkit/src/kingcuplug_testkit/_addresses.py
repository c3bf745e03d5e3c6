"""Addresses that refuse connections for as long as a test needs them."""

import socket
from collections.abc import Iterator
from contextlib import contextmanager

__all__ = ["refusing_address"]


@contextmanager
def refusing_address() -> Iterator[str]:
    """Give an ``ip:port`` that refuses connections until the block ends.

    A socket is bound to the port and does not listen. Without one, the kernel may give
    the port to a server that starts meanwhile.
    """
    with socket.socket() as reserved:
        reserved.bind(("127.0.0.1", 0))
        yield f"127.0.0.1:{reserved.getsockname()[1]}"
