"""A loopback proxy in front of one host's control address."""

import asyncio
import contextlib
from dataclasses import dataclass

__all__ = ["Proxy", "ProxyFaults"]

_READ_CHUNK_BYTES = 65_536


@dataclass
class ProxyFaults:
    """Faults that apply to all connections of one proxy.

    Attributes
    ----------
    delay_s : float
        Delay before each chunk is forwarded, in both directions.
    drop_inbound, drop_outbound : bool
        Discard all bytes to the host, or from it, without closing the connection.
    """

    delay_s: float = 0.0
    drop_inbound: bool = False
    drop_outbound: bool = False


class Proxy:
    """Forwards connections to the control listener of one host."""

    def __init__(self, target: str) -> None:
        self._target = target
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self.faults = ProxyFaults()

    async def start(self, address: str) -> None:
        """Listen on ``ip:port``."""
        host, _, port = address.rpartition(":")
        self._server = await asyncio.start_server(
            self._handle_connection, host, int(port)
        )

    def abort_connections(self) -> None:
        """Abort all connections."""
        for writer in tuple(self._writers):
            writer.transport.abort()

    def stop(self) -> None:
        """Stop listening and abort all connections."""
        if self._server is not None:
            self._server.close()
        self.abort_connections()

    async def _handle_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        host, _, port = self._target.rpartition(":")
        try:
            target_reader, target_writer = await asyncio.open_connection(
                host, int(port)
            )
        except OSError:
            self._close(writer)
            return
        self._writers.add(target_writer)
        await asyncio.gather(
            self._forward(reader, target_writer, inbound=True),
            self._forward(target_reader, writer, inbound=False),
        )

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, inbound: bool
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(_READ_CHUNK_BYTES):
                if self.faults.delay_s:
                    await asyncio.sleep(self.faults.delay_s)
                dropped = (
                    self.faults.drop_inbound if inbound else self.faults.drop_outbound
                )
                if not dropped:
                    writer.write(data)
                    await writer.drain()
        self._close(writer)

    def _close(self, writer: asyncio.StreamWriter) -> None:
        self._writers.discard(writer)
        writer.close()
