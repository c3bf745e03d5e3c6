"""HTTP/1.1 messages of the stand-ins."""

import asyncio
import contextlib
from dataclasses import dataclass, field

__all__ = ["Message", "call", "encode", "read_message"]

_LIMIT_BYTES = 1 << 20


@dataclass
class Message:
    """One request or response.

    Attributes
    ----------
    start : str
        Request line or status line.
    headers : dict
        Headers by their names in lower case.
    complete : bool
        Whether the whole body has arrived.
    """

    start: str
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    complete: bool = True

    @property
    def status(self) -> int:
        """Status of a response."""
        return int(self.start.split(" ")[1])

    @property
    def method(self) -> str:
        """Method of a request."""
        return self.start.split(" ")[0]

    @property
    def path(self) -> str:
        """Path and query of a request."""
        return self.start.split(" ")[1]


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Read one message with a length; return ``None`` if the connection ends before."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, OSError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    message = Message(lines[0])
    for line in lines[1:]:
        name, separator, value = line.partition(":")
        if separator:
            message.headers[name.strip().lower()] = value.strip()
    length_bytes = int(message.headers.get("content-length", "0"))
    try:
        message.body = await reader.readexactly(length_bytes)
    except (asyncio.IncompleteReadError, OSError):
        message.complete = False
    return message


def encode(start: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Return the bytes of a message."""
    lines = [start, *(f"{name}: {value}" for name, value in headers.items())]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


async def call(
    address: str,
    method: str,
    path: str,
    headers: dict[str, str] | None = None,
    body: bytes = b"",
    timeout_s: float = 1.0,
) -> Message | None:
    """Send one request on a new connection; return the response if there is one."""
    host, _, port = address.rpartition(":")
    writer: asyncio.StreamWriter | None = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(
                host, int(port), limit=_LIMIT_BYTES
            )
            sent = {"Host": address} | (headers or {})
            writer.write(encode(f"{method} {path} HTTP/1.1", sent, body))
            await writer.drain()
            return await read_message(reader)
    except (OSError, TimeoutError):
        return None
    finally:
        if writer is not None:
            with contextlib.suppress(OSError):
                writer.close()
