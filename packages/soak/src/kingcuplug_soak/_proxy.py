"""A loopback proxy in front of one host's control address."""

import asyncio
import contextlib
from dataclasses import dataclass

__all__ = ["Proxy", "ProxyFaults"]

_CHUNK_BYTES = 65_536


@dataclass
class ProxyFaults:
    """What happens to bytes; all connections share it.

    Attributes
    ----------
    delay_s : float
        Added to every chunk, in both directions.
    mute_in, mute_out : bool
        Swallow what goes to the host, or comes from it, without a word.
    """

    delay_s: float = 0.0
    mute_in: bool = False
    mute_out: bool = False


class Proxy:
    """Forwards connections from `address` to a host's own listener."""

    def __init__(self, target: str) -> None:
        self._target = target
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self.faults = ProxyFaults()

    async def start(self, address: str) -> None:
        """Listen on ``ip:port``."""
        host, _, port = address.rpartition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))

    def reset(self) -> None:
        """Drop all connections."""
        for writer in tuple(self._writers):
            writer.transport.abort()

    def stop(self) -> None:
        """Stop listening and drop all connections."""
        if self._server is not None:
            self._server.close()
        self.reset()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        host, _, port = self._target.rpartition(":")
        try:
            to_reader, to_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            self._close(writer)
            return
        self._writers.add(to_writer)
        await asyncio.gather(
            self._copy(reader, to_writer, inward=True),
            self._copy(to_reader, writer, inward=False),
        )

    async def _copy(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, inward: bool
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(_CHUNK_BYTES):
                if self.faults.delay_s:
                    await asyncio.sleep(self.faults.delay_s)
                muted = self.faults.mute_in if inward else self.faults.mute_out
                if not muted:
                    writer.write(data)
                    await writer.drain()
        self._close(writer)

    def _close(self, writer: asyncio.StreamWriter) -> None:
        self._writers.discard(writer)
        writer.close()
