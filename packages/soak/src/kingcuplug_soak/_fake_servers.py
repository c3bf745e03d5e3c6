"""Stand-in backend servers that remember every request that they ran."""

import asyncio
import contextlib
import random as random_module
import time
from dataclasses import dataclass, field

from kingcuplug_fleet import PeerFailed, ServerRecord, ServerState
from kingcuplug_http import Limits, Listener, Request, Response
from kingcuplug_platform import HEADER_NAMES, SERVERS_PATH, encode_statement

from kingcuplug_soak._http_client import call

__all__ = ["Backend", "Backends", "Run"]

_HEARTBEAT_S = 0.8
_DRAIN_S = 3.0
_DRAIN_PATIENCE_S = 5.0
_MS_PER_S = 1_000


@dataclass(frozen=True, slots=True)
class Run:
    """One run of a request at a server."""

    attempt_id: str
    service: str
    server: str
    target: str
    body: bytes
    seal: str
    good: bool


@dataclass
class Backends:
    """All servers, and what they ran, by the caller's attempt id."""

    controls: list[str]
    random: random_module.Random
    runs: dict[str, list[Run]] = field(default_factory=dict)
    late_arrivals: list[str] = field(default_factory=list)
    servers: list["Backend"] = field(default_factory=list)
    _count: int = 0

    async def add(self, service: str, zone: str) -> "Backend":
        """Start a server."""
        self._count += 1
        server = Backend(self, f"{service}-{self._count}", service, zone)
        await server.start()
        self.servers.append(server)
        return server

    async def stop(self) -> None:
        """End all servers."""
        for server in self.servers:
            await server.crash()


class Backend:
    """One server: announces itself, serves, drains, crashes."""

    def __init__(self, world: Backends, name: str, service: str, zone: str) -> None:
        self._world = world
        self.service = service
        self.zone = zone
        self._listener = Listener(self._answer, Limits)
        self._address = ""
        self._task: asyncio.Task[None] | None = None
        self._born_ms = int(time.time() * _MS_PER_S)
        self._sequence = 0
        self._state = ServerState.READY
        self._told = asyncio.Event()
        self._told_at: float | None = None
        self.name = name
        self.slow_s = 0.0
        self.fault = ""

    async def start(self) -> None:
        """Listen and begin to announce."""
        self._address = await self._listener.start("127.0.0.100:0")
        self._task = asyncio.ensure_future(self._announce())

    async def crash(self) -> None:
        """End without a word."""
        if self._task is not None:
            self._task.cancel()
        await self._listener.stop()

    async def drain(self) -> None:
        """Say that it leaves, serve on for a while, withdraw and end."""
        self._state = ServerState.DRAINING
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(_DRAIN_PATIENCE_S):
                await self._told.wait()
        await asyncio.sleep(_DRAIN_S + 1)
        await self._tell("DELETE", b"")
        await self.crash()

    async def _announce(self) -> None:
        while True:
            self._sequence += 1
            state = self._state
            record = ServerRecord(
                id=self.name,
                born_ms=self._born_ms,
                sequence=self._sequence,
                service=self.service,
                address=self._address,
                availability_zone=self.zone,
                slots=3,
                state=state,
            )
            told = await self._tell("PUT", encode_statement(record))
            if told and state is ServerState.DRAINING and self._told_at is None:
                self._told_at = asyncio.get_running_loop().time()
                self._told.set()
            await asyncio.sleep(_HEARTBEAT_S if state == self._state else 0)

    async def _tell(self, method: str, body: bytes) -> bool:
        """Send a statement to one host after the other until one takes it."""
        controls = list(self._world.controls)
        self._world.random.shuffle(controls)
        for control in controls[:4]:
            with contextlib.suppress(PeerFailed):
                response = await call(
                    control, method, f"{SERVERS_PATH}{self.name}", body, follow=True
                )
                if response.status == 200:
                    return True
        return False

    async def _answer(self, request: Request) -> Response:
        names = HEADER_NAMES
        attempt_id = (request.header(names.attempt_id.lower()) or b"").decode()
        echo = [(names.attempt_id, attempt_id.encode())]
        expected = request.header(names.expected_server.lower())
        if expected != self.name.encode():
            return Response(421, echo, b"")
        now = asyncio.get_running_loop().time()
        if self._told_at is not None and now - self._told_at > _DRAIN_S + 0.5:
            self._world.late_arrivals.append(f"{attempt_id} at {self.name}")
        random = self._world.random
        if self.fault == "full":
            return Response(503, [*echo, (names.not_run, b"1")], b"")
        good = self.fault != "errors" or random.random() < 0.5
        records = [random.randbytes(16) for _ in range(3)]
        body = b"".join(records)
        seal = f"{self.name}.{random.getrandbits(48):x}"
        target = request.target.decode()
        run = Run(attempt_id, self.service, self.name, target, body, seal, good)
        self._world.runs.setdefault(attempt_id, []).append(run)
        await asyncio.sleep(random.uniform(0.002, 0.02) + self.slow_s)
        if self.fault == "lost" and random.random() < 0.3:
            for connection in tuple(self._listener.connections):
                if connection.busy:
                    connection.abort()
        return Response(
            200 if good else 500, [*echo, (names.seal, seal.encode())], body
        )
