"""Handling of callers' requests: routing, forwarding and scatter-gather queries."""

import asyncio
import random as random_module
from collections.abc import Callable, Coroutine, Mapping, Sequence
from functools import partial
from types import MappingProxyType
from typing import Any

from kingcuplug_common import EventLog, Metrics, Signal
from kingcuplug_http import (
    Headers,
    Limits,
    Request,
    Response,
    end_to_end,
    error_response,
)
from kingcuplug_routing import (
    AnswerRule,
    Delegation,
    Timing,
    delegate,
    places,
    wait_until,
)

from kingcuplug_gateway._gather_client import (
    AskPeer,
    Gatherers,
    GatherNote,
    NotGathering,
    gather,
)
from kingcuplug_gateway._gather_server import Gatherer
from kingcuplug_gateway._request_log import Ended, RequestLog
from kingcuplug_gateway._routes import Route, RouteTable
from kingcuplug_gateway._scatter import Scatter
from kingcuplug_gateway._servers import KnownServer, ServerTable, ServicePool
from kingcuplug_gateway._service_call import Outgoing, ServiceCall
from kingcuplug_gateway._settings import GatewaySettings
from kingcuplug_gateway._weighted_round_robin import WeightedTurn

__all__ = ["Gateway"]

_MS_PER_S = 1_000
_FIRST_ERROR = 400
_LONGEST_DIGITS = 12  # A deadline header with more digits is ignored.
# One-way network trips of a request on a new connection: two for the TCP handshake,
# one each for the request and the response.
_TRIPS = 4
# The delay lets a server restart or be announced before the caller retries. It is
# drawn at random from this range, so that callers do not retry at the same time.
_RETRY_AFTER_S = (0.15, 0.45)
# Bounds the wait of requests that arrive before the first route table, and thus the
# routes' timeouts, are known.
_LONGEST_WAIT_MS = 10_000


class Gateway:
    """Serves callers according to the newest route table of the host.

    Attributes
    ----------
    table : RouteTable or None
        Route table in force; ``None`` until the first one is installed.
    servers : ServerTable
        Backend servers by service.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        log: EventLog,
        metrics: Metrics,
        random: random_module.Random | None = None,
        ask_peer: AskPeer | None = None,
    ) -> None:
        self._settings = settings
        self._ask_peer = ask_peer if settings.narrow else None
        self._gatherers = Gatherers(log)
        self._gathers = False
        self._names = settings.names
        self._metrics = metrics
        self._request_log = RequestLog(self._names.attempt_id.lower(), log, metrics)
        self._random = random or random_module.Random()
        self._timings: dict[str, Timing] = {}
        self._turns: dict[str, WeightedTurn] = {}
        self._set_here = frozenset(
            name.lower()
            for name in (
                self._names.deadline_ms,
                self._names.expected_server,
                self._names.not_run,
                self._names.seal,
                self._names.part_seals,
                self._names.missing_parts,
            )
        )
        self._hosts = 0
        self._started_at = asyncio.get_running_loop().time()
        self._changed = Signal()
        self.table: RouteTable | None = None
        self.servers = ServerTable(
            settings.availability_zone,
            settings.allowance,
            self._random,
            delegates=self._ask_peer is not None,
        )
        self._gatherer = Gatherer(
            partial(self._call, gathered=True),
            self._timing,
            self._names.seal.lower(),
            log,
        )

    def adopt(self, table: RouteTable) -> bool:
        """Install a route table if it is newer than the one in force."""
        if self.table is not None and table.version <= self.table.version:
            return False
        self.table = table
        names = {route.name for route in table.routes}
        self._timings = {n: t for n, t in self._timings.items() if n in names}
        self._turns.clear()
        self._limit_connections()
        self._changed.notify()
        return True

    def use(
        self,
        servers: list[KnownServer],
        hosts: int,
        requests_of_all: int = 0,
        gatherers: Mapping[str, Sequence[str]] = MappingProxyType({}),
    ) -> None:
        """Update the state of the fleet.

        Parameters
        ----------
        servers : list of KnownServer
            Servers that requests may be sent to.
        hosts, requests_of_all : int
            Live hosts and their requests in the last window; 0 if unknown.
        gatherers : mapping
            Addresses of the hosts that gather parts of queries, by availability zone.
        """
        if gatherers != self._gatherers.zones:
            self._gatherers.zones = gatherers
            self._limit_connections()
        self.servers.replace(servers)
        self.servers.requests_of_all = requests_of_all
        if hosts != self._hosts:
            self._hosts = hosts
            self._limit_connections()
        self._changed.notify()

    def limits(self) -> Limits:
        """Return the size limits and timeouts of callers' requests."""
        table = self.table
        if table is None:
            return Limits()
        return Limits(
            max_header_bytes=table.max_header_bytes,
            max_body_bytes=table.max_body_bytes,
            header_timeout_ms=table.header_timeout_ms,
            idle_timeout_ms=table.idle_timeout_ms,
        )

    async def gather(self, value: Any, begins: bool = True) -> Any:
        """Handle the message of a host that has this one gather parts.

        Parameters
        ----------
        value : Any
            JSON value of the message.
        begins : bool
            Whether new gather operations are accepted; those in progress continue in
            any case.

        Returns
        -------
        Any
            JSON value of the reply.

        Raises
        ------
        NotGathering
            If no new operations are accepted, or this host's own link is narrow.
        ValueError
            If the message cannot be decoded, or its operation has ended.
        """
        if self._settings.narrow:
            raise NotGathering(f"the link has {self._settings.link_mbps} Mbit/s")
        if not self._gathers:
            self._gathers = True
            self._limit_connections()
        return await self._gatherer.answer(value, begins)

    async def handle(self, request: Request) -> Response:
        """Return the response to a caller's request."""
        await self._warm(request, _LONGEST_WAIT_MS, lambda: self.table is not None)
        table = self.table
        if table is None:
            return self._refuse(request, None, "no_routes")
        host, path = _place(request)
        if host is None or path is None:
            return self._end(request, None, error_response(400, "no host or path"))
        route = table.find(host, path)
        if route is None:
            return self._end(request, None, error_response(404, "no such route"))
        self.servers.count_request(asyncio.get_running_loop().time())
        if route.shards:
            return await self._query(request, route)
        return await self._forward(request, route)

    async def _forward(self, request: Request, route: Route) -> Response:
        """Send a request to one server of the route's service."""
        service = self._service(route)
        pool = self.servers.pool(service)
        await self._warm(request, route.timeout_ms, lambda: bool(pool.servers))
        if not pool.servers:
            return self._refuse(request, route, "no_servers")
        loop = asyncio.get_running_loop()
        finished: asyncio.Future[None] = loop.create_future()

        def on_finished(call: ServiceCall) -> None:
            if not finished.done():
                finished.set_result(None)

        outbound = self._outgoing(request, route)
        timing = self._timing(route.name, route.target_ms)
        call = self._call(service, outbound, timing, route.max_attempts, on_finished)
        if not await self._enter(pool, route, outbound):
            return self._refuse(request, route, "no_turn")
        call.start()
        try:
            async with asyncio.timeout_at(self._final_at(outbound)):
                await finished
        except TimeoutError:
            call.cancel()
            return self._end(request, route, error_response(504, "timed out"), call)
        except asyncio.CancelledError:
            call.cancel()
            self._gone(request, route, call)
            raise
        finally:
            pool.turnstile.leave(places(pool.slots, self._hosts))
        result = call.ending
        if result.response is not None:
            return self._end(request, route, _relayed(result.response), call)
        if not result.may_have_run:
            return self._refuse(request, route, "no_room", call)
        return self._end(request, route, error_response(502, "no answer"), call)

    async def _query(self, request: Request, route: Route) -> Response:
        """Send a request to one server of each shard and merge their responses."""
        outbound = self._outgoing(request, route)
        rule = self._rule(request, route, outbound)
        pools = [self.servers.pool(shard) for shard in route.shards]
        await self._warm(
            request, route.timeout_ms, lambda: all(pool.servers for pool in pools)
        )
        now = asyncio.get_running_loop().time()
        reachable = sum(pool.reachable(now) for pool in pools)
        if reachable < rule.needed:
            return self._refuse(request, route, "shards_unreachable")
        if not await self._enter(pools[0], route, outbound):
            return self._refuse(request, route, "no_turn")
        scatter = Scatter(rule, self._names.seal.lower())
        gather_records: list[GatherNote] = []
        try:
            await scatter.run(
                lambda: self._ask(route, outbound, scatter, rule, gather_records)
            )
        except asyncio.CancelledError:
            self._gone(request, route, *scatter.calls, notes=gather_records)
            raise
        finally:
            pools[0].turnstile.leave(places(pools[0].slots, self._hosts))
        merged = scatter.merged(route.top_records)
        if merged is None:
            past_deadline = asyncio.get_running_loop().time() >= rule.final_at
            status = 504 if past_deadline else 502
            response = error_response(status, "too few shards answered")
            return self._end(
                request, route, response, *scatter.calls, notes=gather_records
            )
        headers: Headers = [
            (self._names.part_seals, b", ".join(merged.seals)),
            (self._names.missing_parts, b"%d" % merged.missing),
            (b"Content-Type", b"application/octet-stream"),
        ]
        response = Response(200, headers, merged.body)
        return self._end(request, route, response, *scatter.calls, notes=gather_records)

    def _ask(
        self,
        route: Route,
        outgoing: Outgoing,
        scatter: Scatter,
        rule: AnswerRule,
        notes: list[GatherNote],
    ) -> list[Coroutine[Any, Any, None]]:
        """Start calls to shards, and return the coroutines that delegate the others."""
        delegations = self._delegations(route)
        delegated_shards = {shard for d in delegations for shard in d.shards}
        now = asyncio.get_running_loop().time()
        for shard in delegated_shards:
            self.servers.pool(shard).allowance.request(now)

        timing = self._timing(route.name, route.target_ms)

        def make_call(shard: str) -> ServiceCall:
            return self._call(
                shard, outgoing, timing, route.max_attempts, scatter.part_done
            )

        def make_fallback_call(shard: str) -> ServiceCall:
            # The gatherer may have sent a first attempt, which counts as one.
            max_attempts = max(1, route.max_attempts - 1)
            return self._call(
                shard, outgoing, timing, max_attempts, scatter.part_done, "fallback"
            )

        def call_shards_directly(shards: Sequence[str], maybe_sent: bool) -> None:
            scatter.ask_shards(make_fallback_call if maybe_sent else make_call, shards)

        scatter.ask_shards(
            make_call, [s for s in route.shards if s not in delegated_shards]
        )
        notes += [GatherNote(d.gatherer, len(d.shards), now) for d in delegations]
        if self._ask_peer is None:
            return []
        return [
            gather(
                self._ask_peer,
                self._gatherers,
                delegation,
                route,
                outgoing,
                timing,
                scatter,
                rule,
                record,
                call_shards_directly,
            )
            for delegation, record in zip(delegations, notes, strict=True)
        ]

    def _delegations(self, route: Route) -> list[Delegation]:
        now = asyncio.get_running_loop().time()
        gatherers = self._gatherers.usable(now)
        if self._ask_peer is None or not gatherers:
            return []
        zones = {s: self.servers.pool(s).good_zones(now) for s in route.shards}
        own_zone = self._settings.availability_zone
        return delegate(zones, own_zone, gatherers, self._random)

    async def _warm(
        self, request: Request, wait_ms: int, known: Callable[[], bool]
    ) -> None:
        """Wait until the host is ready, if it has only just started."""
        if known():
            return
        now = asyncio.get_running_loop().time()
        deadline_at = self._deadline_at(request, wait_ms)
        until = wait_until(request.received_at, deadline_at, self._started_at)
        if now < until:
            await self._changed.until(known, until - now)

    async def _enter(self, pool: ServicePool, route: Route, outgoing: Outgoing) -> bool:
        """Wait for admission by the limiter; return whether it came in time."""
        if pool.turnstile.enter(places(pool.slots, self._hosts)):
            return True
        admission: asyncio.Future[None] = asyncio.get_running_loop().create_future()

        def admit() -> bool:
            if admission.done():
                return False
            admission.set_result(None)
            return True

        pool.turnstile.wait(route.rank, admit)
        try:
            async with asyncio.timeout_at(self._final_at(outgoing)):
                await admission
        except TimeoutError:
            return False
        except asyncio.CancelledError:
            if admission.done() and not admission.cancelled():
                pool.turnstile.leave(places(pool.slots, self._hosts))
            raise
        return True

    def _deadline_at(self, request: Request, wait_ms: int) -> float:
        """Return the caller's deadline, bounded by the time limit `wait_ms`."""
        header_value = request.header(self._names.deadline_ms.lower())
        if (
            header_value is not None
            and header_value.isdigit()
            and len(header_value) <= _LONGEST_DIGITS
        ):
            wait_ms = min(wait_ms, int(header_value))
        return request.received_at + wait_ms / _MS_PER_S

    def _service(self, route: Route) -> str:
        if len(route.services) == 1:
            return route.services[0].service
        round_robin = self._turns.get(route.name)
        if round_robin is None:
            round_robin = self._turns[route.name] = WeightedTurn(
                route.services, self._random
            )
        return round_robin.next()

    def _call(
        self,
        service: str,
        outgoing: Outgoing,
        timing: Timing,
        max_attempts: int,
        done: Callable[[ServiceCall], None],
        first: str = "first",
        gathered: bool = False,
    ) -> ServiceCall:
        return ServiceCall(
            table=self.servers,
            pool=self.servers.pool(service),
            outgoing=outgoing,
            names=self._names,
            timing=timing,
            metrics=self._metrics,
            max_attempts=max_attempts,
            random=self._random,
            done=done,
            first=first,
            gathered=gathered,
        )

    def _timing(self, route: str, target_ms: int) -> Timing:
        timing = self._timings.get(route)
        if timing is None:
            timing = self._timings[route] = Timing(target_ms)
        return timing

    def _rule(self, request: Request, route: Route, outgoing: Outgoing) -> AnswerRule:
        # The caller measures from before it connects, so the first request on a
        # connection includes the TCP handshake.
        trips = _TRIPS if request.first else 2
        network_ms = trips * self._settings.caller_delay_ms
        target_ms = route.target_ms - network_ms - self._settings.answer_margin_ms
        final_at = self._final_at(outgoing)
        target_at = request.received_at + max(target_ms, 1.0) / _MS_PER_S
        return AnswerRule(
            total=len(route.shards),
            minimum=route.minimum_coverage,
            begun_at=request.received_at,
            target_at=min(target_at, final_at),
            final_at=final_at,
        )

    def _outgoing(self, request: Request, route: Route) -> Outgoing:
        names = self._names
        lines = [b"%s %s HTTP/1.1\r\n" % (request.method, request.target)]
        for name, value in end_to_end(request.headers, self._set_here):
            lines.append(b"%s: %s\r\n" % (name, value))
        if (
            request.body
            or b"content-length" in request.fields
            or request.method
            in (
                b"POST",
                b"PUT",
                b"PATCH",
            )
        ):
            lines.append(b"Content-Length: %d\r\n" % len(request.body))
        return Outgoing(
            head=b"".join(lines),
            body=request.body,
            attempt_id=request.header(names.attempt_id.lower()) or b"",
            deadline_at=self._deadline_at(request, route.timeout_ms),
            repeatable=route.repeatable,
            bodiless=request.method == b"HEAD",
        )

    def _final_at(self, outgoing: Outgoing) -> float:
        """Return when the response must be sent to reach the caller in time."""
        settings = self._settings
        reserved_ms = _TRIPS * settings.caller_delay_ms + settings.answer_margin_ms
        return outgoing.deadline_at - reserved_ms / _MS_PER_S

    def _limit_connections(self) -> None:
        if self.table is not None:
            services = self.table.services
            limits = {name: s.connection_limit for name, s in services.items()}
            gatherers = 0
            if self._gathers:
                gatherers = sum(map(len, self._gatherers.zones.values()))
            self.servers.limit_connections(limits, self._hosts, gatherers)

    def _refuse(
        self, request: Request, route: Route | None, reason: str, *calls: ServiceCall
    ) -> Response:
        """Refuse a request that has run at no server, and ask for a later retry."""
        retry_after_s = self._random.uniform(*_RETRY_AFTER_S)
        response = error_response(503, reason, retry_after_s=retry_after_s)
        return self._end(request, route, response, *calls)

    def _gone(
        self,
        request: Request,
        route: Route,
        *calls: ServiceCall,
        notes: Sequence[GatherNote] = (),
    ) -> None:
        self._observe(request, route, "caller_left", b"", calls, notes)

    def _end(
        self,
        request: Request,
        route: Route | None,
        response: Response,
        *calls: ServiceCall,
        notes: Sequence[GatherNote] = (),
    ) -> Response:
        is_own_response = response.header(self._names.seal.lower()) is None
        reason = (
            response.body
            if is_own_response and response.status >= _FIRST_ERROR
            else b""
        )
        self._observe(request, route, str(response.status), reason, calls, notes)
        return response

    def _observe(
        self,
        request: Request,
        route: Route | None,
        outcome: str,
        reason: bytes,
        calls: tuple[ServiceCall, ...],
        notes: Sequence[GatherNote],
    ) -> None:
        version = self.table.version if self.table else None
        result = Ended(outcome, reason, version, self._hosts, calls, notes)
        self._request_log.write(request, route, result)


def _place(request: Request) -> tuple[str | None, str | None]:
    """Return the host name and the path that select the route."""
    host = request.header(b"host")
    path = request.target.partition(b"?")[0]
    if host is None or not path.startswith(b"/"):
        return None, None
    name = host.decode("latin-1").lower().partition(":")[0]
    return name, path.decode("latin-1")


def _relayed(response: Response) -> Response:
    """Return a server's response without its hop-by-hop headers."""
    headers = end_to_end(response.headers)
    return Response(response.status, headers, response.body, response.fields)
