"""HTTP calls of the stand-ins: one request at a time, on a connection of its own."""

import asyncio
from dataclasses import dataclass, field

__all__ = ["Answer", "CallFailed", "Connection", "call", "read_message"]

_MAX_HEAD_BYTES = 65_536
_STATUS_WITHOUT_BODY = (204, 304)


class CallFailed(Exception):
    """A call got no complete answer."""


@dataclass
class Answer:
    """Answer to one request.

    Attributes
    ----------
    headers : dict
        First value of each header, by lower-case name.
    """

    status: int
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""


async def read_message(
    reader: asyncio.StreamReader,
) -> tuple[str, list[tuple[str, str]], bytes]:
    """Read a message with a length, and return its first line, headers and body.

    Raises
    ------
    CallFailed
        If the connection ends before the message does.
    """
    try:
        head = await reader.readuntil(b"\r\n\r\n")
        first, *lines = head.decode("latin-1").split("\r\n")[:-2]
        headers = []
        for line in lines:
            name, _, value = line.partition(":")
            headers.append((name.lower(), value.strip()))
        length = int(dict(headers).get("content-length", 0))
        return first, headers, await reader.readexactly(length)
    except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, OSError) as error:
        raise CallFailed(repr(error)) from error


class Connection:
    """A client's connection to one address."""

    def __init__(self) -> None:
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def open(self, address: str, timeout_s: float = 1.0) -> None:
        """Connect to ``ip:port``.

        Raises
        ------
        CallFailed
            If the connection is not established in time.
        """
        host, _, port = address.rpartition(":")
        try:
            async with asyncio.timeout(timeout_s):
                self._reader, self._writer = await asyncio.open_connection(
                    host, int(port), limit=_MAX_HEAD_BYTES
                )
        except OSError as error:
            raise CallFailed(repr(error)) from error

    async def ask(
        self,
        method: str,
        target: str,
        headers: dict[str, str],
        body: bytes = b"",
        timeout_s: float = 1.0,
    ) -> Answer:
        """Send a request and return its answer.

        Raises
        ------
        CallFailed
            If no complete answer arrives in time.
        """
        assert self._reader is not None and self._writer is not None
        lines = [f"{method} {target} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        lines += [f"Content-Length: {len(body)}", "", ""]
        try:
            async with asyncio.timeout(timeout_s):
                self._writer.write("\r\n".join(lines).encode("latin-1") + body)
                await self._writer.drain()
                first, answered, content = await read_message(self._reader)
        except OSError as error:
            raise CallFailed(repr(error)) from error
        return Answer(int(first.split(" ")[1]), dict(reversed(answered)), content)

    def close(self) -> None:
        """Close the connection."""
        if self._writer is not None:
            self._writer.close()


async def call(
    address: str,
    method: str,
    target: str,
    headers: dict[str, str] | None = None,
    body: bytes = b"",
    timeout_s: float = 1.0,
) -> Answer:
    """Send a request on a new connection, and close it afterwards.

    Raises
    ------
    CallFailed
        If no complete answer arrives in time.
    """
    connection = Connection()
    try:
        await connection.open(address, timeout_s)
        return await connection.ask(
            method, target, {"Host": address, **(headers or {})}, body, timeout_s
        )
    finally:
        connection.close()
