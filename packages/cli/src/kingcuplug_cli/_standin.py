"""Stand-in backend servers for the demo, the load tool and tests.

They implement the documented backend server interface, with faults on request and
the limits of the users' servers: slots, connections and a cost per connection.
"""

import asyncio
import dataclasses
import random
from collections import Counter
from collections.abc import Callable
from typing import Any

import aiohttp
import orjson
from kingcuplug_common import TlsSettings, digest
from kingcuplug_daemon import Listener, client_context

__all__ = [
    "ExecutionCounts",
    "ServerBehaviour",
    "StandInServer",
    "StandInService",
    "expected_value",
]

_MS_PER_S = 1_000
_RENEW_INTERVAL_S = 0.5
_ANNOUNCE_RETRY_INTERVAL_S = 0.2
_REQUEST_TIMEOUT_S = 1.0
CRASH_MARKER = "crash-the-server"


@dataclasses.dataclass(slots=True)
class ServerBehaviour:
    """Service times, queue limit and faults of a stand-in; may be changed at run time.

    Attributes
    ----------
    service_time_ms : float
        Median time of one sub-request.
    spread : float
        Sigma of the lognormal distribution of service times.
    straggle_share : float
        Share of sub-requests that take `straggle_factor` times as long.
    cold_ms : float
        After a start, service times fall from `cold_factor` to 1 in this time.
    reported_load : float or None
        Load that ``/load`` reports in place of the real one.
    """

    service_time_ms: float = 2.0
    spread: float = 0.2
    straggle_share: float = 0.0
    straggle_factor: float = 10.0
    slow_factor: float = 1.0
    cold_ms: float = 0.0
    cold_factor: float = 5.0
    queue_limit: int = 8
    reported_load: float | None = None
    reply_corruption: Callable[[dict[str, Any]], Any] | None = None


@dataclasses.dataclass(slots=True)
class ExecutionCounts:
    """Ground truth: counts of the work that stand-ins executed.

    Attributes
    ----------
    orders : Counter
        Executions per idempotency key; more than one is a duplicate execution.
    received : Counter
        Sub-requests received per request id.
    started, executed : Counter
        Sub-requests started and completed, per request id.
    """

    orders: Counter[str] = dataclasses.field(default_factory=Counter)
    received: Counter[str] = dataclasses.field(default_factory=Counter)
    started: Counter[str] = dataclasses.field(default_factory=Counter)
    executed: Counter[str] = dataclasses.field(default_factory=Counter)
    totals: Counter[str] = dataclasses.field(default_factory=Counter)
    crashed_by: Counter[str] = dataclasses.field(default_factory=Counter)


@dataclasses.dataclass(frozen=True, slots=True)
class StandInService:
    """Limits of the servers of one service."""

    name: str
    slots: int
    connections: int
    connection_cost_ms: float


def expected_value(service: str, snapshot: int, shard: int, body: Any) -> str:
    """Return the only correct value of one shard of one snapshot."""
    return digest([service, snapshot, shard, body])[:16]


class StandInServer:
    """One stand-in backend server.

    Parameters
    ----------
    name : str
        Its name, unique over all services.
    service : StandInService
        Service that it belongs to, and its limits.
    availability_zone : str
        Its availability zone.
    holdings : dict
        Shards per snapshot: snapshot → (shard count, shards).
    execution_counts : ExecutionCounts
        Counts that it shares with other stand-ins.
    entry_url : callable
        Returns the base URL of some entry host.
    seed : int
        Seed of its service times.
    announce_token : str, optional
        Bearer token for announcements.
    tls : TlsSettings, optional
        Its identity, also when it announces; without it nothing uses TLS.
    latency_of : callable, optional
        Returns the one-way network latency to a client's IP address, in
        milliseconds; it is added to every request and reply.
    """

    def __init__(
        self,
        name: str,
        service: StandInService,
        availability_zone: str,
        holdings: dict[int, tuple[int, tuple[int, ...]]],
        execution_counts: ExecutionCounts,
        entry_url: Callable[[], str],
        seed: int,
        announce_token: str | None = None,
        tls: TlsSettings | None = None,
        latency_of: Callable[[str], float] = lambda _: 0.0,
    ) -> None:
        self.name = name
        self.service = service
        self.availability_zone = availability_zone
        self.holdings = holdings
        self.behaviour = ServerBehaviour()
        self.latency_of = latency_of
        self.last_sub_request_at = 0.0
        self._execution_counts = execution_counts
        self._entry_url = entry_url
        self._random = random.Random(seed)
        self._token = announce_token
        self._tls = tls
        self._incarnation = 0
        self._sequence = 0
        self._state = "serving"
        self._slots = asyncio.Semaphore(service.slots)
        self._executing = 0
        self._queued = 0
        self._known_connections: set[tuple[str, int]] = set()
        self._attempts: dict[str, asyncio.Task[Any]] = {}
        self._listener: Listener | None = None
        self._announce_task: asyncio.Task[None] | None = None
        self._started_at = 0.0
        self._announcement_changed = asyncio.Event()
        self._address = "127.0.0.1:0"

    @property
    def address(self) -> str:
        """Where the server accepts connections, as ``ip:port``."""
        return self._address

    @property
    def running(self) -> bool:
        """Whether the server accepts connections."""
        return self._listener is not None

    async def start(self) -> None:
        """Start to serve and to announce, with a new incarnation."""
        self._incarnation += 1
        self._sequence = 0
        self._state = "serving"
        self._slots = asyncio.Semaphore(self.service.slots)
        self._executing = self._queued = 0
        self._known_connections.clear()
        self._started_at = asyncio.get_running_loop().time()
        self._listener = Listener(self._asgi_application, self._address, self._tls)
        self._address = self._listener.address
        await self._listener.start()
        self._announce_task = asyncio.create_task(self._keep_announced())

    async def stop(self) -> None:
        """Withdraw, finish the work in flight and stop."""
        await self.withdraw()
        await self._stop_announcing()
        if self._listener is not None:
            listener, self._listener = self._listener, None
            await listener.stop()

    async def crash(self) -> None:
        """Abort all connections without a withdrawal, as a killed process does."""
        if self._listener is None:
            return
        listener, self._listener = self._listener, None
        listener.abort()
        for task in list(self._attempts.values()):
            task.cancel()
        await self._stop_announcing()

    def drain(self) -> None:
        """Announce the draining state; work in flight goes on."""
        self._state = "draining"
        self._announcement_changed.set()

    async def withdraw(self) -> None:
        """Announce the withdrawal."""
        self._state = "withdrawn"
        self._announcement_changed.set()
        await asyncio.sleep(0)

    def set_holdings(self, holdings: dict[int, tuple[int, tuple[int, ...]]]) -> None:
        """Replace the held snapshots and announce them."""
        self.holdings = holdings
        self._announcement_changed.set()

    async def _stop_announcing(self) -> None:
        if self._announce_task is None:
            return
        if self._state == "withdrawn":
            await asyncio.wait({self._announce_task}, timeout=_REQUEST_TIMEOUT_S)
        self._announce_task.cancel()
        await asyncio.gather(self._announce_task, return_exceptions=True)
        self._announce_task = None

    def _announcement(self) -> dict[str, Any]:
        self._sequence += 1
        return {
            "server": self.name,
            "service": self.service.name,
            "address": self._address,
            "availability_zone": self.availability_zone,
            "incarnation": self._incarnation,
            "sequence": self._sequence,
            "slots": self.service.slots,
            "connections": self.service.connections,
            "state": self._state,
            "holdings": [
                {"snapshot": snapshot, "shard_count": count, "shards": list(shards)}
                for snapshot, (count, shards) in sorted(self.holdings.items())
            ],
        }

    async def _keep_announced(self) -> None:
        headers = {"Authorization": f"Bearer {self._token}"} if self._token else {}
        timeout = aiohttp.ClientTimeout(total=_REQUEST_TIMEOUT_S)
        async with aiohttp.ClientSession(
            headers=headers,
            timeout=timeout,
            connector=aiohttp.TCPConnector(ssl=client_context(self._tls) or True),
        ) as session:
            while True:
                self._announcement_changed.clear()
                state = self._state
                renew_address = await self._try_announce(session)
                if renew_address is None:
                    await asyncio.sleep(_ANNOUNCE_RETRY_INTERVAL_S)
                    continue
                if state == "withdrawn":
                    return
                await self._renew_lease(session, renew_address)

    async def _try_announce(self, session: aiohttp.ClientSession) -> str | None:
        url = f"{self._entry_url()}/v1/servers/announce"
        try:
            async with session.post(url, json=self._announcement()) as response:
                if response.status != 200:
                    return None
                reply = await response.json()
                return str(reply["renew_address"])
        except (aiohttp.ClientError, TimeoutError, KeyError):
            return None

    async def _renew_lease(
        self, session: aiohttp.ClientSession, renew_address: str
    ) -> None:
        """Renew until the lease is lost or the announcement changed."""
        scheme = "http" if self._tls is None else "https"
        url = f"{scheme}://{renew_address}/v1/servers/renew"
        fields = {
            "server": self.name,
            "incarnation": self._incarnation,
            "sequence": self._sequence,
        }
        while True:
            try:
                async with asyncio.timeout(_RENEW_INTERVAL_S):
                    await self._announcement_changed.wait()
                return
            except TimeoutError:
                pass
            try:
                async with session.post(url, json=fields) as response:
                    if response.status != 200:
                        return
            except (aiohttp.ClientError, TimeoutError):
                return

    async def _asgi_application(self, scope: Any, receive: Any, send: Any) -> None:
        if scope["type"] != "http":
            return
        body = await _read_body(receive)
        path = scope["path"]
        if path == "/sub-request":
            await self._delay_new_connection(scope["client"])
            latency_s = self.latency_of(scope["client"][0]) / _MS_PER_S
            reply = await self._handle_sub_request(orjson.loads(body), latency_s)
        elif path == "/cancel":
            reply = self._cancel_attempt(orjson.loads(body))
        elif path == "/load":
            reply = {"load": self._current_load()}
        else:
            reply = {"state": self._state}
        if self._listener is not None:
            await _send_response(send, reply)

    async def _delay_new_connection(self, client: tuple[str, int]) -> None:
        if client in self._known_connections:
            return
        self._known_connections.add(client)
        self._execution_counts.totals["connections"] += 1
        await asyncio.sleep(self.service.connection_cost_ms / _MS_PER_S)

    def _current_load(self) -> float:
        if self.behaviour.reported_load is not None:
            return self.behaviour.reported_load
        return self._executing / self.service.slots

    def _cancel_attempt(self, fields: dict[str, Any]) -> dict[str, Any]:
        task = self._attempts.get(fields.get("attempt_id", ""))
        if task is not None:
            task.cancel()
        return {"cancelled": task is not None}

    async def _handle_sub_request(
        self, fields: dict[str, Any], latency_s: float
    ) -> Any:
        self._execution_counts.received[fields["request_id"]] += 1
        self._execution_counts.totals["received"] += 1
        self.last_sub_request_at = asyncio.get_running_loop().time()
        await asyncio.sleep(latency_s)
        echoed_fields = {
            name: fields[name]
            for name in ("attempt_id", "snapshot", "shard", "shard_count")
        }
        holding = self.holdings.get(fields["snapshot"])
        if holding is None or holding[0] != fields["shard_count"]:
            return echoed_fields | {"status": "snapshot_gone"}
        if fields["shard"] not in holding[1]:
            return echoed_fields | {"status": "snapshot_gone"}
        if self._state == "withdrawn" or self._queued >= self.behaviour.queue_limit:
            self._execution_counts.totals["shed"] += 1
            return echoed_fields | {"status": "shed"}
        task = asyncio.ensure_future(self._execute_in_slot(fields))
        self._attempts[fields["attempt_id"]] = task
        try:
            reply = echoed_fields | await task
        except asyncio.CancelledError:
            self._execution_counts.totals["cancelled"] += 1
            reply = echoed_fields | {"status": "failed"}
        finally:
            del self._attempts[fields["attempt_id"]]
        await asyncio.sleep(latency_s)
        if self.behaviour.reply_corruption is not None:
            return self.behaviour.reply_corruption(reply)
        return reply

    async def _execute_in_slot(self, fields: dict[str, Any]) -> dict[str, Any]:
        self._queued += 1
        try:
            async with asyncio.timeout(fields["deadline_ms"] / _MS_PER_S):
                await self._slots.acquire()
        except TimeoutError:
            self._execution_counts.totals["expired"] += 1
            return {"status": "not_run"}
        finally:
            self._queued -= 1
        self._executing += 1
        try:
            return await self._execute(fields)
        finally:
            self._executing -= 1
            self._slots.release()

    async def _execute(self, fields: dict[str, Any]) -> dict[str, Any]:
        body = fields["body"]
        self._execution_counts.started[fields["request_id"]] += 1
        if isinstance(body, dict) and body.get(CRASH_MARKER):
            self._execution_counts.crashed_by[digest(body)] += 1
            asyncio.get_running_loop().create_task(self.crash())
            await asyncio.sleep(_REQUEST_TIMEOUT_S)
        if fields["kind"] == "order":
            self._execution_counts.orders[fields["idempotency_key"]] += 1
        await asyncio.sleep(self._service_time_ms() / _MS_PER_S)
        self._execution_counts.executed[fields["request_id"]] += 1
        self._execution_counts.totals["executed"] += 1
        value = expected_value(
            fields["service"], fields["snapshot"], fields["shard"], body
        )
        return {"status": "ok", "coverage": 1.0, "value": value}

    def _service_time_ms(self) -> float:
        behaviour = self.behaviour
        time_ms = behaviour.service_time_ms * self._random.lognormvariate(
            0.0, behaviour.spread
        )
        if self._random.random() < behaviour.straggle_share:
            time_ms *= behaviour.straggle_factor
        return time_ms * behaviour.slow_factor * self._cold_start_factor()

    def _cold_start_factor(self) -> float:
        if self.behaviour.cold_ms <= 0:
            return 1.0
        age_ms = (asyncio.get_running_loop().time() - self._started_at) * _MS_PER_S
        remaining_share = max(1.0 - age_ms / self.behaviour.cold_ms, 0.0)
        return 1.0 + (self.behaviour.cold_factor - 1.0) * remaining_share


async def _read_body(receive: Any) -> bytes:
    chunks = []
    while True:
        message = await receive()
        chunks.append(message.get("body", b""))
        if not message.get("more_body"):
            return b"".join(chunks)


async def _send_response(send: Any, value: Any) -> None:
    body = value if isinstance(value, bytes) else orjson.dumps(value)
    await send(
        {
            "type": "http.response.start",
            "status": 200,
            "headers": [
                (b"content-type", b"application/json"),
                (b"content-length", str(len(body)).encode()),
            ],
        }
    )
    await send({"type": "http.response.body", "body": body})
