"""Simulated backend servers that record every request that they execute."""

import asyncio
import contextlib
import random as random_module
import socket
import time
from dataclasses import dataclass, field
from enum import Enum

from kingcuplug_fleet import PeerFailed, ServerRecord, ServerState
from kingcuplug_http import Limits, Listener, Request, Response, encode_response
from kingcuplug_platform.formats import HEADER_NAMES, SERVERS_PATH, encode_heartbeat

from kingcuplug_soak._http_client import send_request
from kingcuplug_soak._signal_checks import Arrival

__all__ = ["CrashedAddress", "Execution", "FakeServer", "FakeServerPool"]

_HEARTBEAT_INTERVAL_S = 0.8
_DRAIN_DURATION_S = 3.0
_DRAIN_ACKNOWLEDGEMENT_TIMEOUT_S = 5.0
_MS_PER_S = 1_000
_ENDLESS_CHUNK_BYTES = 8_192
_ENDLESS_INTERVAL_S = 0.01
_RESTART_DELAY_S = 2.5  # of a server that crashed under a request
_MUTE_BACKLOG = 128


class CrashedAddress(Enum):
    """How the address of a server that crashed under a request behaves."""

    REFUSES = "connections are refused"
    HANGS = "connections are not established"
    MUTE = "connections are established, and nothing replies"


@dataclass(frozen=True, slots=True)
class Execution:
    """One execution of a request by a server."""

    attempt_id: str
    service: str
    server_id: str
    target: str
    body: bytes
    seal: str
    succeeded: bool


@dataclass
class FakeServerPool:
    """All simulated servers, and their executions by the caller's attempt id.

    Attributes
    ----------
    ip : str
        Address of all servers.
    crashing_target : str
        Path that crashes each server that executes a request for it, with any query
        string; empty if none does.
    crashed_address : CrashedAddress
        How the addresses of these servers behave afterwards.
    crashed_at : list of float
        Event loop times at which servers crashed under that target.
    hosts_by_attempt : dict
        Host that a caller asked, by the caller's attempt id.
    """

    control_addresses: list[str]
    random: random_module.Random
    ip: str = "127.0.0.100"
    executions: dict[str, list[Execution]] = field(default_factory=dict)
    requests_after_drain: list[str] = field(default_factory=list)
    servers: list["FakeServer"] = field(default_factory=list)
    crashing_target: str = ""
    crashed_address: CrashedAddress = CrashedAddress.REFUSES
    crashed_at: list[float] = field(default_factory=list)
    hosts_by_attempt: dict[str, str] = field(default_factory=dict)
    _occupied_addresses: list[socket.socket] = field(default_factory=list)
    _started_count: int = 0
    _restart_tasks: set[asyncio.Task[None]] = field(default_factory=set)

    async def add(self, service: str, zone: str, cold_s: float = 0.0) -> "FakeServer":
        """Start a server of a service in an availability zone."""
        self._started_count += 1
        server = FakeServer(self, f"{service}-{self._started_count}", service, zone)
        server.cold_s = cold_s
        await server.start()
        self.servers.append(server)
        return server

    async def crash_and_replace(
        self,
        server: "FakeServer",
        after_s: float,
        address: CrashedAddress = CrashedAddress.REFUSES,
    ) -> None:
        """Crash a server, and start another one in its place after some time."""
        if server not in self.servers:
            return
        self.servers.remove(server)
        await server.crash()
        if address is not CrashedAddress.REFUSES:
            hangs = address is CrashedAddress.HANGS
            self._occupied_addresses += _occupy_address(server.address, hangs)
        await asyncio.sleep(after_s)
        await self.add(server.service, server.zone)

    def run_crashing_request(self, server: "FakeServer") -> None:
        """Let a server crash under the request that it executes."""
        self.crashed_at.append(asyncio.get_running_loop().time())
        task = asyncio.ensure_future(
            self.crash_and_replace(server, _RESTART_DELAY_S, self.crashed_address)
        )
        self._restart_tasks.add(task)
        task.add_done_callback(self._restart_tasks.discard)

    async def stop(self) -> None:
        """Stop all servers."""
        for task in self._restart_tasks:
            task.cancel()
        for server in self.servers:
            await server.crash()
        for occupied in self._occupied_addresses:
            occupied.close()


class FakeServer:
    """One simulated backend server: heartbeats, requests, draining and crashes.

    Attributes
    ----------
    fault : str
        ``full`` rejects requests as not run, ``paused`` also asks for none for some
        time, ``limited`` names a limit, ``errors`` fails half of the requests, ``lost``
        aborts connections after execution, ``copies`` sends earlier answers again on
        any connection, ``endless`` sends a header without end; empty if there is none.
    limit_per_s : float or None
        Limit that all its answers name.
    retry_after_s : float
        Time for which it asks for no requests; it then runs none. 0 if it does not.
    says_leaving : bool
        Whether all its answers say that it leaves.
    cold_s : float
        Time for which its heartbeats call it cold after its start.
    arrivals : list of Arrival
        Requests that reached it.
    """

    def __init__(
        self, pool: FakeServerPool, name: str, service: str, zone: str
    ) -> None:
        self._pool = pool
        self.service = service
        self.zone = zone
        self._listener = Listener(self._handle_request, Limits)
        self.address = ""
        self._heartbeat_task: asyncio.Task[None] | None = None
        self._start_ms = int(time.time() * _MS_PER_S)
        self._sequence = 0
        self._state = ServerState.READY
        self._drain_acknowledged = asyncio.Event()
        self._drain_acknowledged_at: float | None = None
        self.name = name
        self.delay_s = 0.0
        self.fault = ""
        self.limit_per_s: float | None = None
        self.retry_after_s = 0.0
        self.says_leaving = False
        self.cold_s = 0.0
        self.arrivals: list[Arrival] = []
        self._last_response = b""
        self._endless_tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Start listening and sending heartbeats."""
        self.address = await self._listener.start(f"{self._pool.ip}:0")
        self._heartbeat_task = asyncio.ensure_future(self._send_heartbeats())

    async def crash(self) -> None:
        """Stop without draining or deregistration."""
        if self._heartbeat_task is not None:
            self._heartbeat_task.cancel()
        await self._listener.stop()

    async def drain(self) -> None:
        """Announce draining, serve for the drain period, deregister and stop."""
        self._state = ServerState.DRAINING
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(_DRAIN_ACKNOWLEDGEMENT_TIMEOUT_S):
                await self._drain_acknowledged.wait()
        await asyncio.sleep(_DRAIN_DURATION_S + 1)
        await self._call_control("DELETE", b"")
        await self.crash()

    async def _send_heartbeats(self) -> None:
        while True:
            self._sequence += 1
            state = self._state
            record = ServerRecord(
                id=self.name,
                start_ms=self._start_ms,
                sequence=self._sequence,
                service=self.service,
                address=self.address,
                availability_zone=self.zone,
                slots=3,
                state=state,
                cold_ms=self._cold_ms(),
            )
            accepted = await self._call_control("PUT", encode_heartbeat(record))
            if (
                accepted
                and state is ServerState.DRAINING
                and self._drain_acknowledged_at is None
            ):
                self._drain_acknowledged_at = asyncio.get_running_loop().time()
                self._drain_acknowledged.set()
            await asyncio.sleep(_HEARTBEAT_INTERVAL_S if state == self._state else 0)

    def _cold_ms(self) -> int:
        cold_until_ms = self._start_ms + self.cold_s * _MS_PER_S
        return max(0, int(cold_until_ms - time.time() * _MS_PER_S))

    async def _call_control(self, method: str, body: bytes) -> bool:
        """Try up to four control addresses in random order until one accepts a call."""
        addresses = list(self._pool.control_addresses)
        self._pool.random.shuffle(addresses)
        for address in addresses[:4]:
            with contextlib.suppress(PeerFailed):
                response = await send_request(
                    address,
                    method,
                    f"{SERVERS_PATH}{self.name}",
                    body,
                    follow_redirects=True,
                )
                if response.status == 200:
                    return True
        return False

    async def _handle_request(self, request: Request) -> Response:
        header_names = HEADER_NAMES
        attempt_id = (request.header(header_names.attempt_id.lower()) or b"").decode()
        echoed_headers = [(header_names.attempt_id, attempt_id.encode())]
        expected = request.header(header_names.expected_server.lower())
        if expected != self.name.encode():
            return Response(421, echoed_headers, b"")
        now = asyncio.get_running_loop().time()
        if (
            self._drain_acknowledged_at is not None
            and now - self._drain_acknowledged_at > _DRAIN_DURATION_S + 0.5
        ):
            self._pool.requests_after_drain.append(f"{attempt_id} at {self.name}")
        self.arrivals.append(
            Arrival(
                now,
                self._pool.hosts_by_attempt.get(attempt_id, ""),
                self.retry_after_s,
                self.says_leaving,
            )
        )
        if self.limit_per_s is not None:
            limit = f"{self.limit_per_s:.1f}".encode()
            echoed_headers.append((header_names.server_limit, limit))
        if self.retry_after_s:
            seconds = f"{self.retry_after_s:.2f}".encode()
            echoed_headers += [(b"Retry-After", seconds), (header_names.not_run, b"1")]
            return Response(503, echoed_headers, b"")
        random = self._pool.random
        if self._state is ServerState.DRAINING or self.says_leaving:
            echoed_headers.append((header_names.server_leaving, b"1"))
        if self.fault == "limited":
            limit = f"{random.choice((0.0, 0.5, 4.0)):.1f}".encode()
            echoed_headers.append((header_names.server_limit, limit))
        if self.fault in ("full", "paused"):
            if self.fault == "paused":
                pause = f"{random.uniform(0.1, 2.0):.2f}".encode()
                echoed_headers.append((b"Retry-After", pause))
            return Response(503, [*echoed_headers, (header_names.not_run, b"1")], b"")
        succeeded = self.fault != "errors" or random.random() < 0.5
        records = [random.randbytes(16) for _ in range(3)]
        body = b"".join(records)
        seal = f"{self.name}.{random.getrandbits(48):x}"
        target = request.target.decode()
        execution = Execution(
            attempt_id, self.service, self.name, target, body, seal, succeeded
        )
        self._pool.executions.setdefault(attempt_id, []).append(execution)
        path = target.partition("?")[0]
        if path == self._pool.crashing_target:
            self._pool.run_crashing_request(self)
        await asyncio.sleep(random.uniform(0.002, 0.02) + self.delay_s)
        if self.fault == "lost" and random.random() < 0.3:
            for connection in tuple(self._listener.connections):
                if connection.busy:
                    connection.abort()
        if self.fault in ("copies", "endless") and random.random() < 0.3:
            self._write_unasked_bytes()
        response = Response(
            200 if succeeded else 500,
            [*echoed_headers, (header_names.signature, seal.encode())],
            body,
        )
        self._last_response = encode_response(response, close=False)
        return response

    def _write_unasked_bytes(self) -> None:
        """Write a copy of the last answer, or the start of an endless header."""
        connections = sorted(self._listener.connections, key=id)
        if not connections:
            return
        transport = self._pool.random.choice(connections).transport
        if self.fault == "copies":
            transport.write(self._last_response)
            return
        task = asyncio.ensure_future(_write_endless_header(transport))
        self._endless_tasks.add(task)
        task.add_done_callback(self._endless_tasks.discard)


async def _write_endless_header(transport: asyncio.Transport) -> None:
    transport.write(b"HTTP/1.1 200 OK\r\nX: ")
    while not transport.is_closing():
        transport.write(b"x" * _ENDLESS_CHUNK_BYTES)
        await asyncio.sleep(_ENDLESS_INTERVAL_S)


def _occupy_address(address: str, hangs: bool) -> list[socket.socket]:
    """Listen at an address without accepting; with a full backlog if it hangs."""
    host, _, port = address.rpartition(":")
    listening = socket.socket()
    listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listening.bind((host, int(port)))
    listening.listen(0 if hangs else _MUTE_BACKLOG)
    sockets = [listening]
    if hangs:
        filling = socket.socket()
        filling.connect((host, int(port)))
        sockets.append(filling)
    return sockets
