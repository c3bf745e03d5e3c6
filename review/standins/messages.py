"""HTTP/1.1 messages of callers, operators and backend servers."""

import asyncio
import random
from collections.abc import Sequence
from dataclasses import dataclass, field

__all__ = [
    "Answer",
    "Headers",
    "Received",
    "encode_request",
    "exchange",
    "read_answer",
    "read_request",
    "request_id",
]

Headers = Sequence[tuple[str, str]]


@dataclass(frozen=True, slots=True)
class Answer:
    """An answer as the caller received it."""

    status: int
    fields: dict[str, str]
    body: bytes


@dataclass(frozen=True, slots=True)
class Received:
    """A request as a backend server received it."""

    method: str
    target: str
    fields: dict[str, str]
    body: bytes = field(default=b"")


def request_id() -> str:
    """Return a new id of a request."""
    return f"{random.getrandbits(64):016x}"


def encode_request(method: str, target: str, headers: Headers, body: bytes) -> bytes:
    """Return the bytes of a request with the length of its body."""
    lines = [f"{method} {target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


async def exchange(
    address: str,
    method: str,
    target: str,
    headers: Headers = (),
    body: bytes = b"",
    timeout_s: float = 3.0,
) -> Answer:
    """Send a request on a new connection and return its answer.

    Raises
    ------
    OSError
        If there is no complete answer in time.
    """
    ip, _, port = address.rpartition(":")
    async with asyncio.timeout(timeout_s):
        reader, writer = await asyncio.open_connection(ip, int(port))
        try:
            writer.write(encode_request(method, target, headers, body))
            return await read_answer(reader)
        finally:
            writer.close()


async def read_answer(reader: asyncio.StreamReader) -> Answer:
    """Read one final answer; interim ones are skipped.

    Raises
    ------
    ConnectionError
        If the connection ends before the answer is complete.
    """
    while True:
        first = await _read_line(reader)
        status = int(first.split()[1])
        fields = await _read_fields(reader)
        if status >= 200:
            return Answer(status, fields, await _read_body(reader, fields))


async def read_request(reader: asyncio.StreamReader) -> Received:
    """Read one request.

    Raises
    ------
    ConnectionError
        If the connection ends before the request is complete.
    """
    method, target, _ = (await _read_line(reader)).split()
    fields = await _read_fields(reader)
    return Received(method, target, fields, await _read_body(reader, fields))


async def _read_line(reader: asyncio.StreamReader) -> str:
    line = await reader.readline()
    if not line.endswith(b"\n"):
        raise ConnectionResetError("the connection has ended")
    return line.decode("latin-1").strip()


async def _read_fields(reader: asyncio.StreamReader) -> dict[str, str]:
    fields: dict[str, str] = {}
    while line := await _read_line(reader):
        name, _, value = line.partition(":")
        fields.setdefault(name.lower(), value.strip())
    return fields


async def _read_body(reader: asyncio.StreamReader, fields: dict[str, str]) -> bytes:
    try:
        return await reader.readexactly(int(fields.get("content-length", "0")))
    except asyncio.IncompleteReadError as error:
        raise ConnectionResetError("the body is not complete") from error
