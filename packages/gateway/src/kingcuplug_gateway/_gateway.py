"""Handling of callers' requests: routing, forwarding and scatter-gather queries."""

import asyncio
import dataclasses
import math
import random as random_module
from collections.abc import Callable, Coroutine, Mapping, Sequence
from functools import partial
from types import MappingProxyType
from typing import Any

from kingcuplug_common import Condition, EventLog, Metrics
from kingcuplug_http import (
    Headers,
    Limits,
    Request,
    Response,
    error_response,
)
from kingcuplug_routing import (
    ConcurrencyLimiter,
    Delegation,
    LatencyEstimator,
    PartialAnswerPolicy,
    RequestQuarantine,
    ReturningCallers,
    TeamQuotaGate,
    delegate,
    is_in_time,
    startup_wait_until,
)

from kingcuplug_gateway._admission import RequestAdmission
from kingcuplug_gateway._answer_times import AnswerTimes
from kingcuplug_gateway._attempt_allowance import attempts_left
from kingcuplug_gateway._gather_client import (
    CallPeer,
    GathererDirectory,
    GatherRecord,
    NotGathering,
    gather_from_peer,
    probe_gatherers,
)
from kingcuplug_gateway._gather_messages import PROBE as GATHER_PROBE
from kingcuplug_gateway._gather_server import GatherServer
from kingcuplug_gateway._homes import (
    has_home_server,
    home_gatherers,
    home_zones,
    route_for_team,
)
from kingcuplug_gateway._isolation_monitor import IsolationMonitor
from kingcuplug_gateway._outcome import callers_response
from kingcuplug_gateway._passed_signals import PassedSignal
from kingcuplug_gateway._placement_report import (
    PlacementQuestion,
    PlacementSources,
    report_placement,
)
from kingcuplug_gateway._quota_check import QuotaCheck
from kingcuplug_gateway._relay import (
    PROBE,
    PROBE_REPLY,
    NotRelaying,
    RelayClient,
    RelayedIdentity,
    RelayedRequest,
    RelayPeers,
    encode_relayed_response,
    identify_team,
)
from kingcuplug_gateway._request_guard import RequestGuard
from kingcuplug_gateway._request_head import encode_head, host_and_path
from kingcuplug_gateway._request_log import RequestLog, RequestResult
from kingcuplug_gateway._route_timings import RouteTimings
from kingcuplug_gateway._routes import Route, RouteTable
from kingcuplug_gateway._scatter import ScatterQuery
from kingcuplug_gateway._servers import (
    ServerInfo,
    ServerTable,
    ServicePool,
    why_unserved,
)
from kingcuplug_gateway._service_call import OutboundRequest, ServiceCall
from kingcuplug_gateway._settings import GatewaySettings
from kingcuplug_gateway._signal_reader import SignalReader
from kingcuplug_gateway._suspect_query import call_shards_in_turn
from kingcuplug_gateway._teams import (
    KeyUnknown,
    Team,
    identified_request,
    unauthorized_response,
)
from kingcuplug_gateway._weighted_round_robin import WeightedRoundRobin

__all__ = ["Gateway"]

_MS_PER_S = 1_000
_MIN_ERROR_STATUS = 400
# Bounds the wait of requests that arrive before the first route table, and thus the
# routes' timeouts, are known.
_MAX_STARTUP_WAIT_MS = 10_000


class Gateway:
    """Serves callers according to the newest route table of the host.

    Attributes
    ----------
    table : RouteTable or None
        Route table in force; ``None`` until the first one is installed.
    servers : ServerTable
        Backend servers by service.
    stops_at : float
        Event loop time at which the host ends the requests in progress. Requests that
        may take longer are refused, so that their callers send them to another host.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        log: EventLog,
        metrics: Metrics,
        random: random_module.Random | None = None,
        call_peer: CallPeer | None = None,
        relay_peers: RelayPeers | None = None,
    ) -> None:
        self._settings = settings
        self._call_peer = call_peer if settings.has_narrow_link else None
        self._gatherer_directory = GathererDirectory(log)
        self._is_gatherer = False
        self._header_names = settings.names
        self._times = AnswerTimes(settings)
        self._metrics = metrics
        self._request_log = RequestLog(
            self._header_names.attempt_id.lower(), log, metrics
        )
        self._random = random or random_module.Random()
        self._timings = RouteTimings(settings)
        self._admission = RequestAdmission(self._random, log, metrics)
        self._round_robins: dict[str, WeightedRoundRobin] = {}
        self._returning_callers: dict[str, ReturningCallers] = {}
        self._reserved_headers = frozenset(
            name.lower()
            for name in (
                self._header_names.deadline_ms,
                self._header_names.expected_server,
                self._header_names.not_run,
                self._header_names.signature,
                self._header_names.part_signatures,
                self._header_names.missing_parts,
            )
        )
        self._host_count = 0
        self._started_at = asyncio.get_running_loop().time()
        self._state_changed = Condition()
        self.table: RouteTable | None = None
        self.stops_at = math.inf
        self.servers = ServerTable(
            settings.availability_zone,
            settings.retry_budget,
            self._random,
            uses_gatherers=self._call_peer is not None,
            silent_gatherer_ratio=self._gatherer_directory.excluded_ratio,
            regions=settings.regions,
        )
        self._signals = SignalReader(self.servers, self._header_names, log, metrics)
        self._relay = (
            RelayClient(relay_peers, settings.availability_zone, self._random, metrics)
            if relay_peers is not None
            else None
        )
        self._interrupts: set[Callable[[], None]] = set()
        self._isolation = IsolationMonitor(
            self.servers, self._on_isolation_changed, log, metrics
        )
        self._guard = RequestGuard(
            self._signals, self._health_path, settings.names.team.lower(), log, metrics
        )
        self._quotas = QuotaCheck(self._random, log, metrics)
        self._gather_server = GatherServer(
            partial(self._make_call, for_peer=True),
            self._timings.get,
            self._header_names.signature.lower(),
            self._header_names.team,
            lambda shard: bool(self.servers.pool(shard).servers),
            self._guard.review,
            self._guard.quarantined_s,
            self._signals_to_pass_on,
            log,
        )

    def _signals_to_pass_on(self, services: Sequence[str]) -> tuple[PassedSignal, ...]:
        now = asyncio.get_running_loop().time()
        return tuple(self.servers.signals_to_pass_on(services, now))

    def install_routes(self, table: RouteTable) -> bool:
        """Install a route table if it is newer than the one in force."""
        if self.table is not None and table.version <= self.table.version:
            return False
        self.table = table
        self._admission.shares_fairly = table.teams is not None
        self.servers.withdraws_unstarted = table.teams is not None
        names = {route.name for route in table.routes}
        self._timings.install_routes(table)
        self._returning_callers = {
            n: c for n, c in self._returning_callers.items() if n in names
        }
        self._round_robins.clear()
        self._update_connection_limits()
        self._state_changed.notify()
        return True

    def update_fleet(
        self,
        servers: list[ServerInfo],
        hosts: int,
        fleet_requests: int = 0,
        gatherers: Mapping[str, Sequence[str]] = MappingProxyType({}),
    ) -> None:
        """Update the state of the fleet.

        Parameters
        ----------
        servers : list of ServerInfo
            Servers that requests may be sent to.
        hosts, fleet_requests : int
            Number of live hosts, and of their requests in the last window; 0 if
            unknown.
        gatherers : mapping
            Addresses of the hosts that gather parts of queries, by availability zone.
        """
        if gatherers != self._gatherer_directory.addresses_by_zone:
            self._gatherer_directory.addresses_by_zone = gatherers
            self._update_connection_limits()
        self.servers.replace_servers(servers)
        if hosts != self._host_count:
            self._host_count = hosts
            self._update_connection_limits()
        self.servers.set_fleet_requests(
            fleet_requests, asyncio.get_running_loop().time()
        )
        self._state_changed.notify()

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

    async def handle_gather(self, message: Any, accept_new: bool = True) -> Any:
        """Handle the message of a host that has this one gather parts.

        Parameters
        ----------
        message : Any
            JSON value of the message.
        accept_new : bool
            Whether new gather operations are accepted; those in progress continue in
            any case.

        Returns
        -------
        Any
            JSON value of the reply.

        Raises
        ------
        NotGathering
            If no new operations are accepted, this host's own link is narrow, or it
            reaches no servers.
        ValueError
            If the message cannot be decoded, or its operation has ended.
        """
        if self._settings.has_narrow_link:
            raise NotGathering(f"the link has {self._settings.link_mbps} Mbit/s")
        is_probe = message == GATHER_PROBE
        if self._isolation.isolated or (
            is_probe and not await self._isolation.reaches_servers()
        ):
            raise NotGathering("the host reaches no servers")
        if not self._is_gatherer:
            self._is_gatherer = True
            self._update_connection_limits()
        return await self._gather_server.handle(message, accept_new)

    @property
    def quotas(self) -> TeamQuotaGate:
        """Decides on requests of teams with a quota."""
        return self._quotas.gate

    @property
    def quarantine(self) -> RequestQuarantine:
        """Requests under which servers crashed."""
        return self._guard.quarantine

    @property
    def is_isolated(self) -> bool:
        """Whether this host is cut off from all servers."""
        return self._isolation.isolated

    @property
    def can_serve(self) -> bool:
        """Whether this host, or another one for it, reaches servers."""
        return not self._isolation.isolated or (
            self._relay is not None and self._relay.has_helper
        )

    async def handle_relay(self, message: Any, accept_new: bool = True) -> Any:
        """Serve a request for a host that is cut off from all servers.

        Parameters
        ----------
        message : Any
            JSON value of the message.
        accept_new : bool
            Whether requests of other hosts are accepted.

        Returns
        -------
        Any
            JSON value of the reply.

        Raises
        ------
        NotRelaying
            If this host cannot serve requests either.
        TypeError, ValueError
            If the message cannot be decoded.
        """
        if not accept_new or self.table is None or self._isolation.isolated:
            raise NotRelaying("the host is stopping, or cannot serve requests itself")
        if message == PROBE:
            if not await self._isolation.reaches_servers():
                raise NotRelaying("the host reaches no servers itself")
            return PROBE_REPLY
        relayed = RelayedRequest.from_json(message)
        identity = relayed.identity
        if identity is not None and self.table.version < identity.routes_version:
            raise NotRelaying("the routes of this host are older than those in use")
        request = relayed.to_request(asyncio.get_running_loop().time())
        self._metrics.count("relays_served")
        services = self._services_of(request)
        self._signals.record_passed_on(relayed.signals or (), services)
        response = await self.handle(request, relayed)
        told = None
        if relayed.signals is not None:
            told = self._signals_to_pass_on(services)
        return encode_relayed_response(response, told)

    def _services_of(self, request: Request) -> tuple[str, ...]:
        """Return the services or shards of the route of a request."""
        host, path = host_and_path(request)
        if self.table is None or host is None or path is None:
            return ()
        route = self.table.find(host, path)
        return route.all_services if route is not None else ()

    def report_placement(self, question: PlacementQuestion) -> dict[str, Any]:
        """Return where a request would go now, and why, without sending it."""
        directory = self._gatherer_directory
        sources = PlacementSources(
            self.table,
            self.servers,
            self._admission,
            self._timings.get,
            self._host_count,
            self._isolation.isolated,
            self.stops_at,
            self._times.answer_times,
            directory.available() if self._call_peer is not None else {},
        )
        now = asyncio.get_running_loop().time()
        return report_placement(question, sources, now)

    def close(self) -> None:
        """Close the connections to servers."""
        self._isolation.close()
        if self._relay is not None:
            self._relay.stop()
        self.servers.close()

    async def probe_gatherers(self) -> None:
        """Probe gatherers that did not answer, to use them again when they do."""
        if self._call_peer is not None:
            await probe_gatherers(self._call_peer, self._gatherer_directory)

    async def handle(
        self, request: Request, relayed: RelayedRequest | None = None
    ) -> Response:
        """Return the response to a caller's request.

        Parameters
        ----------
        relayed : RelayedRequest or None
            Message of another host that has relayed the request; otherwise ``None``.
        """
        await self._wait_for_startup(
            request, _MAX_STARTUP_WAIT_MS, lambda: self.table is not None
        )
        table = self.table
        if table is None:
            return self._refuse(request, None, "no_routes")
        host, path = host_and_path(request)
        if host is None or path is None:
            return self._finish(request, None, error_response(400, "no host or path"))
        route = table.find(host, path)
        if route is None:
            return self._finish(request, None, error_response(404, "no such route"))
        team = None
        if table.teams is not None:
            key_scheme = self._header_names.key_scheme
            try:
                team = identify_team(
                    request, table.teams, key_scheme, not route.public, relayed
                )
            except KeyUnknown:
                response = unauthorized_response(key_scheme)
                return self._finish(request, route, response)
            request = identified_request(request, team, self._header_names.team)
            route = route_for_team(route, team)
        if relayed is not None and relayed.max_attempts < route.max_attempts:
            route = dataclasses.replace(route, max_attempts=relayed.max_attempts)
        if self._times.deadline_at(request, route.timeout_ms) > self.stops_at:
            response = error_response(503, "stopping", retry_after_s=0.0)
            return self._finish(request, route, response)
        if relayed is not None:
            return await self._serve(request, route, team, for_peer=True)
        is_returning = partial(self._is_returning, request, route)
        refusal = self._quotas.refuse(team, route, is_returning)
        if refusal is not None:
            return self._finish(request, route, refusal)
        response = await self._serve(request, route, team, for_peer=False)
        if not self._is_signed(response):
            self._quotas.review(team, route, response)
        return response

    async def _serve(
        self, request: Request, route: Route, team: Team | None, for_peer: bool
    ) -> Response:
        """Have a request served by servers, or by another host."""
        if self._isolation.isolated and not for_peer and not self._can_delegate(route):
            elsewhere = await self._serve_elsewhere(request, route, team)
            return elsewhere or self._refuse(request, route, "no_reachable_server")
        self.servers.count_request(asyncio.get_running_loop().time())
        if route.shards:
            return await self._scatter_query(request, route, team, for_peer)
        return await self._forward(request, route, team, for_peer)

    def _can_delegate(self, route: Route) -> bool:
        """Return whether other hosts gather the parts of the route's queries."""
        return bool(
            route.shards
            and self._call_peer is not None
            and self._available_gatherers(route)
        )

    def _available_gatherers(self, route: Route) -> dict[str, list[str]]:
        available = self._gatherer_directory.available()
        return home_gatherers(available, route, self._settings.regions)

    def _may_serve(self, route: Route) -> Callable[[str], bool] | None:
        """Return whether servers in a zone may get the route's requests, if some."""
        allowed = route.allowed_regions
        if allowed is None:
            return None
        return partial(self._settings.regions.may_serve, allowed=allowed)

    def _is_quickly_merged(self, route: Route) -> bool:
        """Return whether the short merge of a gathered query is accounted for."""
        has_costs = self.table is not None and self.table.places_by_cost
        return has_costs and self._can_delegate(route)

    async def _serve_elsewhere(
        self, request: Request, route: Route, team: Team | None, *calls: ServiceCall
    ) -> Response | None:
        """Have another host serve a request while this one reaches no server.

        Parameters
        ----------
        calls : ServiceCall
            What this host has tried itself.

        Returns
        -------
        Response or None
            ``None`` if this host reaches servers, the request may have run and must
            not be repeated, or no other host serves it.
        """
        await self._isolation.wait_for_check()
        may_have_run = any(call.possible_runs for call in calls)
        if (
            self._relay is None
            or not self._isolation.isolated
            or (may_have_run and not route.repeatable)
        ):
            return None
        until = self._times.deadline_at(request, route.timeout_ms)
        until -= self._times.reserved_s
        max_attempts = await attempts_left(route.max_attempts, calls, self._isolation)
        if max_attempts < 1:
            return None
        told = partial(self._signals_to_pass_on, route.all_services)
        identity = None
        if self.table is not None:
            name = team.name if team is not None else ""
            checked = self.table.teams is not None or route.allowed_regions is not None
            identity = RelayedIdentity(name, self.table.version, checked)
        may_hold_body = partial(
            self._settings.regions.may_hold_body, allowed=route.allowed_regions
        )
        result = await self._relay.send(
            request, max_attempts, until, told, identity, may_hold_body
        )
        self._signals.record_passed_on(result.signals, route.all_services)
        if result.response is not None:
            response = result.response
            if self._is_signed(response):
                response = callers_response(response)
            return self._finish(
                request, route, response, *calls, relayed_to=result.helper
            )
        if result.may_have_run:
            return self._finish(
                request,
                route,
                error_response(502, "no answer of the host that it was relayed to"),
                *calls,
                relayed_to=result.helper,
            )
        return None

    async def _forward(
        self, request: Request, route: Route, team: Team | None, for_peer: bool
    ) -> Response:
        """Send a request to one server of the route's service."""
        service = self._select_service(route)
        pool = self.servers.pool(service)
        is_known = partial(self._is_known, pool, route)
        await self._wait_for_startup(request, route.timeout_ms, is_known)
        if not self._has_server(pool, route):
            now = asyncio.get_running_loop().time()
            reason = "no_home_server" if pool.servers else "no_servers"
            reason, wait_s = why_unserved((pool,), reason, now)
            return self._refuse(request, route, reason, wait_s=wait_s)
        loop = asyncio.get_running_loop()
        may_serve = self._may_serve(route)
        wait_s = pool.wait_s(loop.time(), may_serve)
        if wait_s > 0:
            return self._refuse(request, route, "no_willing_server", wait_s=wait_s)
        finished: asyncio.Future[None] = loop.create_future()

        def on_finished(call: ServiceCall) -> None:
            if not finished.done():
                finished.set_result(None)

        outbound = self._outbound_request(request, route, team)
        quarantined_s = self._guard.quarantined_s(outbound)
        if quarantined_s > 0:
            return self._refuse(request, route, "quarantined", wait_s=quarantined_s)
        timing = self._timings.get(route.name, route.target_ms)
        call = self._make_call(
            service,
            outbound,
            timing,
            1 if self._guard.is_suspect(outbound) else route.max_attempts,
            on_finished,
            limiter=pool.limiter,
        )
        target_at = self._times.target_at(request, route)
        answer_due_at = self._times.answer_due_at(outbound)
        refusal = await self._admission.wait(
            pool, self._host_count, route, outbound, target_at, answer_due_at
        )
        if refusal is not None:
            return self._refuse(request, route, "overloaded", wait_s=refusal.wait_s)
        started_at = loop.time()
        in_time: bool | None = None
        call.start()
        interrupt = partial(on_finished, call)
        if route.repeatable and not for_peer:
            self._interrupts.add(interrupt)
        try:
            async with asyncio.timeout_at(answer_due_at):
                await finished
        except TimeoutError:
            call.record_silence()
            call.cancel()
            in_time = False
            return self._finish(request, route, error_response(504, "timed out"), call)
        except asyncio.CancelledError:
            call.cancel()
            self._record_disconnect(request, route, call)
            raise
        finally:
            self._interrupts.discard(interrupt)
            if call.result.succeeded:
                in_time = is_in_time(loop.time(), target_at)
            elif self._isolation.isolated:
                in_time = None
            self._admission.release(pool, route, outbound, started_at, in_time)
            self._guard.review((call,))
        result = call.result
        if not call.finished:
            call.cancel()
        if not result.succeeded and not for_peer:
            elsewhere = await self._serve_elsewhere(request, route, team, call)
            if elsewhere is not None:
                return elsewhere
        if result.response is not None:
            return self._finish(request, route, callers_response(result.response), call)
        if call.possible_runs == 0:
            wait_s = pool.wait_s(loop.time(), may_serve)
            return self._refuse(request, route, "no_room", call, wait_s=wait_s)
        return self._finish(request, route, error_response(502, "no answer"), call)

    async def _scatter_query(
        self, request: Request, route: Route, team: Team | None, for_peer: bool
    ) -> Response:
        """Send a request to one server of each shard and merge their responses."""
        outbound = self._outbound_request(request, route, team)
        quarantined_s = self._guard.quarantined_s(outbound)
        if quarantined_s > 0:
            return self._refuse(request, route, "quarantined", wait_s=quarantined_s)
        rule = self._times.answer_rule(
            request, route, outbound, gathered=self._is_quickly_merged(route)
        )
        pools = [self.servers.pool(shard) for shard in route.shards]
        await self._wait_for_startup(
            request,
            route.timeout_ms,
            lambda: all(self._is_known(pool, route) for pool in pools),
        )
        now = asyncio.get_running_loop().time()
        may_serve = self._may_serve(route)
        reachable = sum(pool.has_reachable_server(now, may_serve) for pool in pools)
        if reachable < rule.required_shards:
            if not for_peer:
                elsewhere = await self._serve_elsewhere(request, route, team)
                if elsewhere is not None:
                    return elsewhere
            if not (self._isolation.isolated and self._can_delegate(route)):
                reason, wait_s = why_unserved(pools, "shards_unreachable", now)
                return self._refuse(request, route, reason, wait_s=wait_s)
        if self._call_peer is None:
            # Gatherers have limits of their own.
            waits_s = sorted(pool.wait_s(now, may_serve) for pool in pools)
            wait_s = waits_s[rule.required_shards - 1]
            if wait_s > 0:
                return self._refuse(request, route, "no_willing_server", wait_s=wait_s)
        pool = self._admission.deciding_pool(pools)
        refusal = await self._admission.wait(
            pool, self._host_count, route, outbound, rule.target_at, rule.final_at
        )
        if refusal is not None:
            return self._refuse(request, route, "overloaded", wait_s=refusal.wait_s)
        started_at = asyncio.get_running_loop().time()
        scatter = ScatterQuery(
            rule, self._header_names.signature.lower(), route.top_records
        )
        gather_records: list[GatherRecord] = []
        in_time: bool | None = None
        if not for_peer:
            self._interrupts.add(scatter.interrupt)
        try:
            await scatter.run(
                lambda: self._start_shard_calls(
                    route, outbound, scatter, rule, gather_records
                )
            )
            in_time = scatter.in_time
        except asyncio.CancelledError:
            self._record_disconnect(
                request, route, *scatter.calls, gather_records=gather_records
            )
            raise
        finally:
            self._interrupts.discard(scatter.interrupt)
            if self._isolation.isolated and not in_time:
                in_time = None
            self._admission.release(pool, route, outbound, started_at, in_time)
            if scatter.has_parts:
                self._guard.record_answer(outbound)
            else:
                self._guard.review(scatter.calls)
        merged = scatter.merge()
        if merged is None:
            for call in scatter.calls:
                call.record_silence()
            # Gatherers may have used up the attempts that the route allows.
            gathered = any(record.may_have_sent for record in gather_records)
            if not for_peer and not gathered:
                elsewhere = await self._serve_elsewhere(
                    request, route, team, *scatter.calls
                )
                if elsewhere is not None:
                    return elsewhere
            past_deadline = asyncio.get_running_loop().time() >= rule.final_at
            status = 504 if past_deadline else 502
            response = error_response(status, "too few shards answered")
            return self._finish(
                request, route, response, *scatter.calls, gather_records=gather_records
            )
        headers: Headers = [
            (self._header_names.part_signatures, b", ".join(merged.signatures)),
            (self._header_names.missing_parts, b"%d" % merged.missing_count),
            (b"Content-Type", b"application/octet-stream"),
        ]
        response = Response(200, headers, merged.body)
        return self._finish(
            request, route, response, *scatter.calls, gather_records=gather_records
        )

    def _start_shard_calls(
        self,
        route: Route,
        outbound: OutboundRequest,
        scatter: ScatterQuery,
        rule: PartialAnswerPolicy,
        gather_records: list[GatherRecord],
    ) -> list[Coroutine[Any, Any, None]]:
        """Start calls to shards, and return the coroutines that delegate the others."""
        if self._guard.is_suspect(outbound):
            return [self._call_shards_in_turn(route, outbound, scatter)]
        delegations = self._delegations(route)
        delegated_shards = {shard for d in delegations for shard in d.shards}
        now = asyncio.get_running_loop().time()
        for shard in delegated_shards:
            self.servers.pool(shard).caller_retry_budget.record_request(now)

        timing = self._timings.get(route.name, route.target_ms)
        pools = [self.servers.pool(shard) for shard in route.shards]
        limiter = self._admission.deciding_pool(pools).limiter

        def make_call(shard: str) -> ServiceCall:
            return self._make_call(
                shard,
                outbound,
                timing,
                route.max_attempts,
                scatter.on_call_finished,
                limiter=limiter,
                may_skip=scatter.may_skip_part,
            )

        def make_fallback_call(shard: str) -> ServiceCall:
            return self._make_call(
                shard,
                outbound,
                timing,
                1,
                scatter.on_call_finished,
                "fallback",
                limiter=limiter,
            )

        def call_shards_directly(shards: Sequence[str], maybe_sent: bool) -> None:
            if not maybe_sent:
                scatter.call_shards(make_call, shards)
            elif route.max_attempts > 1:
                # The attempt that the gatherer has kept in reserve.
                scatter.call_shards(make_fallback_call, shards)
            else:
                scatter.mark_missing(len(shards))

        scatter.call_shards(
            make_call, [s for s in route.shards if s not in delegated_shards]
        )
        gather_records += [
            GatherRecord(d.gatherer, len(d.shards), now) for d in delegations
        ]
        if self._call_peer is None:
            return []
        return [
            gather_from_peer(
                self._call_peer,
                self._gatherer_directory,
                delegation,
                route,
                outbound,
                timing,
                scatter,
                rule,
                record,
                call_shards_directly,
                self._signals.record_passed_on,
            )
            for delegation, record in zip(delegations, gather_records, strict=True)
        ]

    def _call_shards_in_turn(
        self, route: Route, outbound: OutboundRequest, scatter: ScatterQuery
    ) -> Coroutine[Any, Any, None]:
        timing = self._timings.get(route.name, route.target_ms)

        def make_call(
            shard: str, max_attempts: int, on_finished: Callable[[ServiceCall], None]
        ) -> ServiceCall:
            return self._make_call(shard, outbound, timing, max_attempts, on_finished)

        return call_shards_in_turn(route, scatter, make_call, self._random)

    def _delegations(self, route: Route) -> list[Delegation]:
        now = asyncio.get_running_loop().time()
        gatherers = self._available_gatherers(route)
        if self._call_peer is None or not gatherers:
            return []
        regions, own_zone = self._settings.regions, self._settings.availability_zone
        zones = {s: self.servers.pool(s).healthy_zones(now) for s in route.shards}
        zones = {s: home_zones(z, route, regions) for s, z in zones.items()}
        return delegate(zones, own_zone, gatherers, self._random)

    async def _wait_for_startup(
        self, request: Request, wait_ms: int, is_ready: Callable[[], bool]
    ) -> None:
        """Wait until the host is ready, if it has only just started."""
        if is_ready():
            return
        now = asyncio.get_running_loop().time()
        deadline_at = self._times.deadline_at(request, wait_ms)
        until = startup_wait_until(request.received_at, deadline_at, self._started_at)
        if now < until:
            await self._state_changed.wait_for(is_ready, until - now)

    def _has_server(self, pool: ServicePool, route: Route) -> bool:
        return has_home_server(pool, route, self._settings.regions)

    def _is_known(self, pool: ServicePool, route: Route) -> bool:
        """Return whether a request need not wait until a server is announced."""
        return pool.is_evacuated or self._has_server(pool, route)

    def _health_path(self, service: str) -> str:
        settings = self.table.services.get(service) if self.table is not None else None
        return settings.health_path if settings is not None else "/"

    def _select_service(self, route: Route) -> str:
        if len(route.services) == 1:
            return route.services[0].service
        round_robin = self._round_robins.get(route.name)
        if round_robin is None:
            round_robin = self._round_robins[route.name] = WeightedRoundRobin(
                route.services, self._random
            )
        return round_robin.next()

    def _make_call(
        self,
        service: str,
        outbound: OutboundRequest,
        timing: LatencyEstimator,
        max_attempts: int,
        on_finished: Callable[[ServiceCall], None],
        first_attempt_kind: str = "first",
        for_peer: bool = False,
        limiter: ConcurrencyLimiter | None = None,
        may_skip: Callable[[float], bool] | None = None,
    ) -> ServiceCall:
        return ServiceCall(
            server_table=self.servers,
            pool=self.servers.pool(service),
            outbound=outbound,
            header_names=self._header_names,
            signals=self._signals,
            timing=timing,
            metrics=self._metrics,
            max_attempts=max_attempts,
            random=self._random,
            on_finished=on_finished,
            isolation=self._isolation,
            first_attempt_kind=first_attempt_kind,
            for_peer=for_peer,
            limiter=limiter,
            may_skip=may_skip,
        )

    def _outbound_request(
        self, request: Request, route: Route, team: Team | None
    ) -> OutboundRequest:
        header_names = self._header_names
        return OutboundRequest(
            head=encode_head(request, self._reserved_headers, header_names.required),
            body=request.body,
            attempt_id=request.header(header_names.attempt_id.lower()) or b"",
            deadline_at=self._times.deadline_at(request, route.timeout_ms),
            repeatable=route.repeatable,
            no_response_body=request.method == b"HEAD",
            returning=self._is_returning(request, route),
            team=team.name if team is not None else "",
            allowed_regions=route.allowed_regions,
            received_at=request.received_at,
        )

    def _is_returning(self, request: Request, route: Route) -> bool:
        """Return whether the caller was refused before, by the time it has left."""
        limit_ms = self._times.caller_limit_ms(request)
        if limit_ms is None:
            return False
        return self._returning_callers.setdefault(
            route.name, ReturningCallers()
        ).record(limit_ms)

    def _update_connection_limits(self) -> None:
        if self.table is not None:
            services = self.table.services
            limits = {name: s.connection_limit for name, s in services.items()}
            gatherers = 0
            if self._is_gatherer:
                gatherers = sum(
                    map(len, self._gatherer_directory.addresses_by_zone.values())
                )
            self.servers.set_connection_limits(limits, self._host_count, gatherers)
            self.servers.set_cold_limits(services.values())

    def _refuse(
        self,
        request: Request,
        route: Route | None,
        reason: str,
        *calls: ServiceCall,
        wait_s: float = 0.0,
    ) -> Response:
        """Refuse a request that has run at no server, and ask for a later retry.

        Parameters
        ----------
        wait_s : float
            Time after which there is expected to be room for it; ``inf`` if unknown.
        """
        retry_after_s = self._admission.retry_after_s(wait_s)
        response = error_response(503, reason, retry_after_s=retry_after_s)
        return self._finish(request, route, response, *calls)

    def _on_isolation_changed(self) -> None:
        """Judge servers anew, as failures were on this host's side."""
        self.servers.forget_failures()
        if self._relay is None:
            return
        if not self._isolation.isolated:
            self._relay.stop()
            return
        self._relay.start()
        # These requests would otherwise wait for servers until their deadline.
        for interrupt in tuple(self._interrupts):
            interrupt()

    def _record_disconnect(
        self,
        request: Request,
        route: Route,
        *calls: ServiceCall,
        gather_records: Sequence[GatherRecord] = (),
    ) -> None:
        self._record_outcome(request, route, "caller_left", b"", calls, gather_records)

    def _finish(
        self,
        request: Request,
        route: Route | None,
        response: Response,
        *calls: ServiceCall,
        gather_records: Sequence[GatherRecord] = (),
        relayed_to: str = "",
    ) -> Response:
        is_own_error = (
            not self._is_signed(response) and response.status >= _MIN_ERROR_STATUS
        )
        reason = response.body if is_own_error else b""
        self._record_outcome(
            request,
            route,
            str(response.status),
            reason,
            calls,
            gather_records,
            relayed_to,
        )
        return response

    def _is_signed(self, response: Response) -> bool:
        """Return whether a response is that of a server."""
        return response.header(self._header_names.signature.lower()) is not None

    def _record_outcome(
        self,
        request: Request,
        route: Route | None,
        outcome: str,
        reason: bytes,
        calls: tuple[ServiceCall, ...],
        gather_records: Sequence[GatherRecord],
        relayed_to: str = "",
    ) -> None:
        version = self.table.version if self.table else None
        result = RequestResult(
            outcome,
            reason,
            version,
            self._host_count,
            calls,
            gather_records,
            relayed_to,
        )
        self._request_log.write(request, route, result)
