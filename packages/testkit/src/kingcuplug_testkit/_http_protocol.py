"""What tests of HTTP connections need: a transport, an exchange and chunked bodies."""

import asyncio

from kingcuplug_http import Failure, Response

__all__ = ["RecordingExchange", "RecordingTransport", "encode_chunks"]


class RecordingTransport(asyncio.Transport):
    """Transport that keeps what is written."""

    def __init__(self) -> None:
        super().__init__()
        self.written = b""

    def write(self, data: bytes | bytearray | memoryview) -> None:
        """Keep data."""
        self.written += data

    def close(self) -> None:
        """Do nothing."""

    def abort(self) -> None:
        """Do nothing."""

    def get_write_buffer_size(self) -> int:
        """Return that all was sent."""
        return 0

    def set_write_buffer_limits(
        self, high: int | None = None, low: int | None = None
    ) -> None:
        """Do nothing."""

    def pause_reading(self) -> None:
        """Do nothing."""

    def resume_reading(self) -> None:
        """Do nothing."""


class RecordingExchange:
    """Exchange that accepts only responses with its id, and records the result."""

    def __init__(self, identifier: bytes) -> None:
        self.identifier = identifier
        self.result: asyncio.Future[Response | Failure] = asyncio.Future()

    def accepts(self, response: Response) -> bool:
        """Accept responses without an id, or with the id of this exchange."""
        return response.header(b"id") in (None, self.identifier)

    def answered(self, response: Response) -> None:
        """Record the response."""
        self.result.set_result(response)

    def failed(self, failure: Failure) -> None:
        """Record the failure."""
        self.result.set_result(failure)


def encode_chunks(body: bytes, size: int, extension: bytes, trailer: bytes) -> bytes:
    """Return a body in chunks of at most `size` bytes, each with the extension."""
    chunks = [body[i : i + size] for i in range(0, len(body), size)]
    encoded = b"".join(b"%x%s\r\n%s\r\n" % (len(c), extension, c) for c in chunks)
    return encoded + b"0\r\n" + trailer + b"\r\n"
