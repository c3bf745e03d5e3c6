"""Sound backend servers that record what they run."""

import asyncio
import contextlib
import itertools
import json
import random
import time
from collections.abc import Callable
from dataclasses import dataclass

from calls import CallFailed, call, read_message

__all__ = ["Run", "Server"]

_HEARTBEAT_INTERVAL_S = 1.2
_MS_PER_S = 1_000
_sequence_of_seals = itertools.count(1)


@dataclass(frozen=True)
class Run:
    """One request that a server has run.

    Attributes
    ----------
    at : float
        Monotonic time of its arrival.
    headers : dict
        First value of each header, by lower-case name.
    """

    at: float
    server: str
    zone: str
    attempt_id: str
    target: str
    headers: dict[str, str]


class Server:
    """One backend server: heartbeats, requests, and what it has run.

    Parameters
    ----------
    ip : str
        Loopback address; the port is a free one.
    controls : list of str
        Control addresses that the server may call.
    on_run : callable
        Called with each request that it runs.
    work_s : float
        Time that a request takes.

    Attributes
    ----------
    state : str
        What the heartbeats say, ``ready`` or ``draining``.
    """

    def __init__(
        self,
        identifier: str,
        service: str,
        zone: str,
        ip: str,
        controls: list[str],
        on_run: Callable[[Run], None],
        work_s: float = 0.01,
        slots: int = 3,
    ) -> None:
        self.id = identifier
        self.service = service
        self.zone = zone
        self.state = "ready"
        self.work_s = work_s
        self._ip = ip
        self._slots = slots
        self._controls = controls
        self._on_run = on_run
        self._sequence = 0
        self._born = int(time.time() * _MS_PER_S)
        self._listening: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._heartbeats: asyncio.Task[None] | None = None
        self._next_control = random.choice(controls)
        self.address = ""

    async def start(self) -> None:
        """Listen, and begin to send heartbeats."""
        self._listening = await asyncio.start_server(self._serve, self._ip, 0)
        port = self._listening.sockets[0].getsockname()[1]
        self.address = f"{self._ip}:{port}"
        self._heartbeats = asyncio.create_task(self._send_heartbeats())

    def stop(self) -> None:
        """End without a word."""
        if self._heartbeats is not None:
            self._heartbeats.cancel()
        if self._listening is not None:
            self._listening.close()
        for writer in self._writers:
            writer.transport.abort()

    async def send_heartbeat(self) -> bool:
        """Send one heartbeat, to further addresses if need be; return if it was taken.

        An address that the answer names is used until a heartbeat fails there.
        """
        self._sequence += 1
        body = json.dumps(
            {
                "service": self.service,
                "address": self.address,
                "zone": self.zone,
                "version": "v1",
                "slots": self._slots,
                "state": self.state,
                "cold_remaining_ms": 0,
                "sequence": self._sequence,
                "born": self._born,
            }
        ).encode()
        others = [c for c in self._controls if c != self._next_control]
        random.shuffle(others)
        for control in [self._next_control, *others]:
            with contextlib.suppress(CallFailed, ValueError):
                answer = await self._call_control(control, "PUT", body)
                if 200 <= answer.status < 300:
                    named = json.loads(answer.body or b"{}").get("heartbeat_address")
                    self._next_control = named or control
                    return True
        return False

    async def _call_control(self, control: str, method: str, body: bytes):
        target = f"/v1/instances/{self.id}"
        headers = {"Content-Type": "application/json"}
        for _ in range(3):
            answer = await call(control, method, target, headers, body)
            if answer.status != 307:
                return answer
            control = answer.headers["location"].split("/")[2]
        raise CallFailed("redirected too often")

    async def _send_heartbeats(self) -> None:
        while True:
            await self.send_heartbeat()
            await asyncio.sleep(_HEARTBEAT_INTERVAL_S)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        with contextlib.suppress(CallFailed, OSError):
            while True:
                first, headers, _ = await read_message(reader)
                _, target, _ = first.split(" ")
                answer = await self._answer(target, dict(reversed(headers)))
                writer.write(answer)
                await writer.drain()
        self._writers.discard(writer)
        writer.close()

    async def _answer(self, target: str, headers: dict[str, str]) -> bytes:
        if target == "/health":
            return _encode(200, {"Instance-Id": self.id})
        attempt_id = headers.get("attempt-id", "")
        expected = headers.get("expected-instance", self.id)
        if expected != self.id:
            return _encode(421, {"Attempt-Id": attempt_id, "Not-Executed": "1"})
        self._on_run(
            Run(time.monotonic(), self.id, self.zone, attempt_id, target, headers)
        )
        await asyncio.sleep(self.work_s)
        seal = f"{self.id}.{next(_sequence_of_seals):x}"
        names = {"Attempt-Id": attempt_id, "Server-Seal": seal}
        return _encode(200, names, random.randbytes(64))


def _encode(status: int, headers: dict[str, str], body: bytes = b"") -> bytes:
    lines = [f"HTTP/1.1 {status} Status"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode("latin-1") + body
