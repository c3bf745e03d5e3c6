"""Fakes of the query package's dependencies: backend servers and the ledger."""

import asyncio
import dataclasses
import random
from collections import Counter
from collections.abc import Awaitable, Callable
from typing import Any

from kingcuplug_common import Metrics
from kingcuplug_configuration import Policy, Service
from kingcuplug_ledger import LedgerClient, OrderLedger, result_to_json
from kingcuplug_query import (
    BackgroundTasks,
    OrderExecutor,
    OrderRequest,
    QueryExecutor,
    QueryRequest,
    RevisionView,
    ServiceRuntime,
    SubReply,
    SubRequest,
    parse_reply,
)
from kingcuplug_routing import (
    Admission,
    CrashGuard,
    Holding,
    Priority,
    Router,
    RoutingPolicy,
    ServerView,
    Ticket,
)

__all__ = [
    "IDEMPOTENCY_KEY",
    "NOW_MS",
    "QueryHarness",
    "make_order",
    "make_query",
    "make_reply",
]

Handler = Callable[[SubRequest], Awaitable[Any]]
NOW_MS = 1_700_000_000_000
IDEMPOTENCY_KEY = f"{NOW_MS}-abcdefgh"


def make_reply(
    request: SubRequest, status: str = "ok", **fields: Any
) -> dict[str, Any]:
    """Return a backend server's reply to `request`."""
    return {
        "attempt_id": request.attempt_id,
        "snapshot": request.snapshot,
        "shard": request.shard,
        "shard_count": request.shard_count,
        "status": status,
        "value": [request.snapshot, request.shard],
    } | fields


def _no_ledger_fault(command: dict[str, Any]) -> Exception | None:
    return None


def _reply_arrives(command: dict[str, Any]) -> bool:
    return False


def _holder_is_alive(host: str, incarnation: int) -> bool:
    return False


@dataclasses.dataclass
class QueryHarness:
    """One entry host's query path with fake backend servers and ledger.

    Attributes
    ----------
    handlers : dict
        Handler of each server with replies of its own; others return their shard.
    sent_requests : list of tuple
        Every sub-request sent, as (server, request).
    command_counts : Counter
        Number of ledger commands submitted, by type.
    ledger_fault : callable
        Exception to raise in place of applying a ledger command, or ``None``.
    is_ledger_reply_lost : callable
        Whether the reply to an applied ledger command is lost.
    is_holder_lost : callable
        Whether the entry host that holds an order's claim counts as lost.
    """

    services: dict[str, ServiceRuntime] = dataclasses.field(default_factory=dict)
    servers: dict[str, list[ServerView]] = dataclasses.field(default_factory=dict)
    handlers: dict[str, Handler] = dataclasses.field(default_factory=dict)
    sent_requests: list[tuple[str, SubRequest]] = dataclasses.field(
        default_factory=list
    )
    unreachable_servers: set[str] = dataclasses.field(default_factory=set)
    cancelled_attempts: list[str] = dataclasses.field(default_factory=list)
    metrics: Metrics = dataclasses.field(default_factory=Metrics)
    background: BackgroundTasks = dataclasses.field(default_factory=BackgroundTasks)
    crash_guard: CrashGuard = dataclasses.field(default_factory=CrashGuard)
    ledger: OrderLedger = dataclasses.field(default_factory=OrderLedger)
    command_counts: Counter[str] = dataclasses.field(default_factory=Counter)
    ledger_fault: Callable[[dict[str, Any]], Exception | None] = dataclasses.field(
        default=_no_ledger_fault
    )
    is_ledger_reply_lost: Callable[[dict[str, Any]], bool] = dataclasses.field(
        default=_reply_arrives
    )
    is_holder_lost: Callable[[str, int], bool] = dataclasses.field(
        default=_holder_is_alive
    )

    def add_service(
        self,
        name: str,
        servers: int = 3,
        shard_count: int = 4,
        snapshots: tuple[int, ...] = (1,),
        depends_on: tuple[str, ...] = (),
        **policy: Any,
    ) -> None:
        """Add a service whose servers all hold every shard."""
        service = Service(name, depends_on, Policy(**({"canary": "off"} | policy)))
        router = Router(name, RoutingPolicy(), random.Random(7))
        self.services[name] = ServiceRuntime(service, router, Admission(router))
        shards = tuple(range(shard_count))
        self.set_holdings(
            name,
            {
                f"{name}-{number}": [
                    Holding(snapshot, shard_count, shards) for snapshot in snapshots
                ]
                for number in range(servers)
            },
        )

    def set_holdings(self, name: str, holdings: dict[str, list[Holding]]) -> None:
        """Replace a service's servers and their holdings."""
        self.servers[name] = [
            ServerView(
                server=server,
                address=f"{server}:1",
                availability_zone=f"zone-{number}",
                slots=50,
                connections=50,
                state="serving",
                holdings=tuple(held),
                incarnation=1,
            )
            for number, (server, held) in enumerate(holdings.items())
        ]
        self.services[name].router.update(self.servers[name], 1)

    def revision_view(self) -> RevisionView:
        """Return the services as configuration revision 3."""
        return RevisionView(3, self.services)

    async def send(
        self, ticket: Ticket, request: SubRequest, timeout_s: float
    ) -> SubReply:
        """Pass a sub-request to the server's handler, as `SendSubRequest`."""
        self.sent_requests.append((ticket.server, request))
        async with asyncio.timeout(timeout_s):
            handler: Handler = self.handlers.get(ticket.server, _default_handler)
            return parse_reply(request, await handler(request))

    async def cancel(self, ticket: Ticket, attempt_id: str) -> None:
        """Record a cancellation, as `CancelAttempt`."""
        self.cancelled_attempts.append(attempt_id)

    async def is_reachable(self, ticket: Ticket) -> bool:
        """Return whether a server is up, as `IsReachable`."""
        await asyncio.sleep(0.0005)
        return ticket.server not in self.unreachable_servers

    async def submit(self, command: dict[str, Any]) -> dict[str, Any]:
        """Apply a command to the ledger, with the configured faults."""
        self.command_counts[command["type"]] += 1
        await asyncio.sleep(0.001)
        fault = self.ledger_fault(command)
        if fault is not None:
            raise fault
        result = result_to_json(self.ledger.apply(command))
        if self.is_ledger_reply_lost(command):
            raise TimeoutError("the reply of the ledger was lost")
        return result

    def query_executor(self) -> QueryExecutor:
        """Return a query executor that uses the fakes."""
        return QueryExecutor(
            self.send,
            self.cancel,
            self.crash_guard,
            self.metrics,
            self.background,
            "zone-0",
        )

    def order_executor(self, host: str = "entry-1") -> OrderExecutor:
        """Return the order executor of one entry host; all share the ledger."""
        return OrderExecutor(
            LedgerClient(self.submit, host, 1, lambda: NOW_MS),
            self.send,
            self.crash_guard,
            self.metrics,
            self.background,
            "zone-0",
            lambda name, incarnation: self.is_holder_lost(name, incarnation),
            self.is_reachable,
        )


async def _default_handler(request: SubRequest) -> dict[str, Any]:
    await asyncio.sleep(0.005)
    return make_reply(request)


def make_query(service: str = "stock", **fields: Any) -> QueryRequest:
    """Return a query with a deadline of 1 s from now."""
    deadline = asyncio.get_running_loop().time() + fields.pop("deadline_s", 1.0)
    return QueryRequest(
        **{
            "request_id": "r1",
            "service": service,
            "body": {"colour": "black"},
            "priority": Priority.NORMAL,
            "deadline": deadline,
            "minimum_coverage": 0.0,
        }
        | fields
    )


def make_order(service: str = "stock", **fields: Any) -> OrderRequest:
    """Return an order with a deadline of 1 s from now."""
    deadline = asyncio.get_running_loop().time() + fields.pop("deadline_s", 1.0)
    return OrderRequest(
        **{
            "request_id": "r1",
            "service": service,
            "body": {"embroider": "Maria"},
            "priority": Priority.NORMAL,
            "deadline": deadline,
            "key": IDEMPOTENCY_KEY,
            "partition_key": "4711",
        }
        | fields
    )
