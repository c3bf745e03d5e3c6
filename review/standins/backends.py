"""Backend servers that run requests and send heartbeats."""

import asyncio
import itertools
import json
import random
import time
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass

from standins.messages import Headers, Received, exchange, read_request

__all__ = ["BackendServer", "Reply", "Run", "Work"]

_HEARTBEAT_INTERVAL_S = 1.2
_MAX_REDIRECTS = 2
_RECORD_BYTES = 16
_RECORDS_PER_PART = 8
_numbers = itertools.count(1)


@dataclass(frozen=True, slots=True)
class Run:
    """A request that a server has begun to run."""

    at: float
    server: str
    service: str
    request: Received

    @property
    def request_id(self) -> str:
        """Return the id of the request."""
        return self.request.fields.get("attempt-id", "")


@dataclass(frozen=True, slots=True)
class Reply:
    """Answer of a server to a request that it has run."""

    status: int = 200
    body: bytes | None = None


Work = Callable[[Run], Awaitable[Reply]]


async def _work_briefly(run: Run) -> Reply:
    await asyncio.sleep(0.02)
    return Reply()


class BackendServer:
    """One server of one service.

    Parameters
    ----------
    work : callable
        Runs a request and returns the answer.

    Attributes
    ----------
    runs : list of Run
        The requests that it has begun to run.
    """

    def __init__(
        self,
        service: str,
        zone: str,
        ip: str,
        control_addresses: Sequence[str],
        slots: int = 3,
        work: Work = _work_briefly,
    ) -> None:
        self.id = f"i-{next(_numbers):04x}{random.getrandbits(24):06x}"
        self.service = service
        self.runs: list[Run] = []
        self._zone = zone
        self._ip = ip
        self._slots = slots
        self._work = work
        self._control_addresses = list(control_addresses)
        self._heartbeat_address = ""
        self._sequence = 0
        self._start_ms = int(time.time() * 1_000)
        self._address = ""
        self._free_slots = asyncio.Semaphore(slots)

    async def start(self) -> None:
        """Listen, and send heartbeats from now on."""
        listener = await asyncio.start_server(self._serve_connection, self._ip, 0)
        self._address = f"{self._ip}:{listener.sockets[0].getsockname()[1]}"
        self._heartbeats = asyncio.create_task(self._send_heartbeats())

    async def _send_heartbeats(self) -> None:
        while True:
            await self._send_heartbeat()
            await asyncio.sleep(_HEARTBEAT_INTERVAL_S)

    async def _send_heartbeat(self) -> None:
        self._sequence += 1
        body = json.dumps(
            {
                "service": self.service,
                "address": self._address,
                "zone": self._zone,
                "version": "v1",
                "slots": self._slots,
                "state": "ready",
                "cold_remaining_ms": 0,
                "sequence": self._sequence,
                "born": self._start_ms,
            }
        ).encode()
        others = random.sample(self._control_addresses, len(self._control_addresses))
        for address in filter(None, [self._heartbeat_address, *others]):
            try:
                reply = await self._call(address, body)
            except OSError:
                continue
            if reply is not None:
                self._heartbeat_address = reply.get("heartbeat_address", "")
                return

    async def _call(self, address: str, body: bytes) -> dict[str, str] | None:
        headers = [("Host", address), ("Content-Type", "application/json")]
        target = f"/v1/instances/{self.id}"
        for _ in range(_MAX_REDIRECTS + 1):
            answer = await exchange(address, "PUT", target, headers, body, 1.0)
            if answer.status != 307:
                break
            address = answer.fields["location"].removeprefix("http://").split("/")[0]
        return dict(json.loads(answer.body)) if answer.status == 200 else None

    async def _serve_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                await self._serve(await read_request(reader), writer)
        except (ConnectionError, asyncio.CancelledError):
            return
        finally:
            writer.close()

    async def _serve(self, request: Received, writer: asyncio.StreamWriter) -> None:
        if request.fields.get("expected-instance", self.id) != self.id:
            _write(writer, request, 421, [("Not-Executed", "1")], b"")
            return
        async with self._free_slots:
            run = Run(time.time(), self.id, self.service, request)
            self.runs.append(run)
            reply = await self._work(run)
        body = reply.body
        if body is None:
            body = random.randbytes(_RECORD_BYTES * _RECORDS_PER_PART)
        seal = f"{self.id}.{run.request_id}.{len(self.runs)}"
        _write(writer, request, reply.status, [("Server-Seal", seal)], body)


def _write(
    writer: asyncio.StreamWriter,
    request: Received,
    status: int,
    headers: Headers,
    body: bytes,
) -> None:
    lines = [
        f"HTTP/1.1 {status} Status",
        f"Attempt-Id: {request.fields.get('attempt-id', '')}",
        f"Content-Length: {len(body)}",
        *(f"{name}: {value}" for name, value in headers),
    ]
    writer.write("\r\n".join([*lines, "", ""]).encode("latin-1") + body)
