"""Report of where a request would go now, and why, without sending it.

Handles this load pattern: while some callers are refused or late, an operator has to
tell which servers, signals or limits a host goes by at that moment. The report asks the
objects and functions that decide, and changes none of their state.
"""

import copy
import math
import random as random_module
from collections.abc import Callable, Hashable, Mapping, Sequence
from dataclasses import dataclass
from typing import Any
from urllib.parse import parse_qsl

from kingcuplug_http import Request
from kingcuplug_routing import (
    ConcurrencyLimiter,
    LatencyEstimator,
    WaitingRequest,
    choose_by_cost,
    concurrency_limits,
    request_kind,
)

from kingcuplug_gateway._admission import RequestAdmission
from kingcuplug_gateway._homes import route_for_team
from kingcuplug_gateway._request_head import host_and_path
from kingcuplug_gateway._routes import Route, RouteTable
from kingcuplug_gateway._servers import Server, ServerTable, ServicePool

__all__ = ["PlacementQuestion", "PlacementSources", "report_placement"]

_MS_PER_S = 1_000
_DEFAULT_SHARDS = 3
# Bounds the size of a report, and the time for which the host serves nobody else.
_MAX_SHARDS = 100
_MAX_SERVERS = 20
_PROTOCOL = " HTTP/1.1"

# Returns the score of a server, and what it was made from.
_Score = Callable[[Server], dict[str, float | None]]


@dataclass(frozen=True, slots=True)
class PlacementQuestion:
    """A request whose way is to be reported.

    Attributes
    ----------
    team : str
        Name of the caller's team; empty without one.
    shards : int
        Number of the route's first shards whose servers are reported.
    """

    host: str
    path: str
    method: str = "GET"
    team: str = ""
    shards: int = _DEFAULT_SHARDS

    @classmethod
    def from_query(cls, query: str) -> "PlacementQuestion":
        """Return the question in the query string of a URL.

        Raises
        ------
        ValueError
            If a parameter is unknown, repeated, missing or malformed. The message
            doesn't repeat it, because it may be a caller's key.
        """
        pairs = parse_qsl(query, keep_blank_values=True)
        fields = dict(pairs)
        names = ("host", "path", "method", "team", "shards")
        if len(fields) < len(pairs) or not fields.keys() <= set(names):
            raise ValueError(
                f"the parameters are {', '.join(names)}, each at most once"
            )
        shards = fields.get("shards", str(_DEFAULT_SHARDS))
        if not (shards.isascii() and shards.isdigit()) or len(shards) > len("100"):
            raise ValueError("shards is no number")
        if not fields.get("host") or not fields.get("path", "").startswith("/"):
            raise ValueError("host and a path that begins with / are required")
        return cls(
            fields["host"],
            fields["path"],
            fields.get("method", "GET"),
            fields.get("team", ""),
            min(int(shards), _MAX_SHARDS),
        )

    def to_request(self, now: float) -> Request:
        """Return the request as it would be on a connection in use."""
        host = self.host.encode("latin-1", "replace")
        target = self.path.encode("latin-1", "replace")
        method = self.method.encode("latin-1", "replace")
        headers = [(b"Host", host)]
        return Request(method, target, headers, b"", True, now, False, {b"host": host})


@dataclass(frozen=True, slots=True)
class PlacementSources:
    """What a host goes by.

    Attributes
    ----------
    timing : callable
        Returns the latency statistics of a route by its name and target.
    hosts : int
        Number of live hosts; 0 if unknown.
    answer_times : callable
        Returns for a request and its route by when its answer is in time, and of any
        use.
    gatherers : mapping
        Addresses of the hosts that may gather parts for this one, by availability zone.
    """

    table: RouteTable | None
    servers: ServerTable
    admission: RequestAdmission
    timing: Callable[[str, int], LatencyEstimator]
    hosts: int
    isolated: bool
    stops_at: float
    answer_times: Callable[[Request, Route], tuple[float, float]]
    gatherers: Mapping[str, Sequence[str]]


def report_placement(
    question: PlacementQuestion, sources: PlacementSources, now: float
) -> dict[str, Any]:
    """Return the report as a JSON value.

    Parameters
    ----------
    now : float
        In event loop time.
    """
    table = sources.table
    report: dict[str, Any] = {
        "method": question.method,
        "host": question.host,
        "path": question.path.partition("?")[0],
        "team": question.team,
        "refusal": "",
        "routes_version": table.version if table is not None else None,
        "hosts": sources.hosts,
        "isolated": sources.isolated,
    }
    request = question.to_request(now)
    host, path = host_and_path(request)
    if table is None or host is None or path is None:
        return report | {"refusal": "no_routes"}
    route = table.find(host, path)
    if route is None:
        return report | {"refusal": "no such route"}
    rank_of = "route"
    if table.teams is not None:
        team = table.teams.by_name(question.team)
        if team is None and (question.team or not route.public):
            return report | {"refusal": "a known key is required"}
        if team is not None and team.priority is not None:
            rank_of = "team"
        route = route_for_team(route, team)
    report |= _report_route(route, rank_of)
    target_at, final_at = sources.answer_times(request, route)
    if now + route.timeout_ms / _MS_PER_S > sources.stops_at:
        report["refusal"] = "stopping"
    pools = [sources.servers.pool_or_none(name) for name in route.all_services]
    known = [pool for pool in pools if pool is not None and pool.servers]
    if known:
        deciding = sources.admission.deciding_pool(known if route.shards else known[:1])
        report["admission"] = _report_admission(
            deciding, question.team, route, sources, (now, target_at, final_at)
        )
        if report["admission"]["decision"] == "refuse":
            report["refusal"] = report["refusal"] or "overloaded"
    else:
        report["refusal"] = report["refusal"] or "no_servers"
    report["gatherers"] = {z: list(a) for z, a in sources.gatherers.items()}
    timing = sources.timing(route.name, route.target_ms)
    names = route.all_services
    shown = names[: question.shards] if route.shards else names
    weights = {w.service: w.weight for w in route.services}
    size_bytes = len(request.target) + len(_PROTOCOL)
    kind = request_kind(question.team, request.method, size_bytes)
    report["services"] = [
        _report_service(
            name,
            pool,
            weights.get(name),
            timing.typical_s,
            _make_score(timing, kind, name, now),
            now,
        )
        for name, pool in zip(shown, pools, strict=False)
    ]
    return report


def _report_route(route: Route, rank_of: str) -> dict[str, Any]:
    return {
        "route": route.name,
        "rank": route.priority,
        "rank_of": rank_of,
        "repeatable": route.repeatable,
        "target_ms": route.target_ms,
        "timeout_ms": route.timeout_ms,
        "max_attempts": route.max_attempts,
        "shard_count": len(route.shards),
        "minimum_coverage": route.minimum_coverage,
    }


def _report_admission(
    pool: ServicePool,
    team: str,
    route: Route,
    sources: PlacementSources,
    times: tuple[float, float, float],
) -> dict[str, Any]:
    now, target_at, final_at = times
    # Bounds and order are set when a request arrives. They are plain values, so that a
    # copy takes them without a change to the limiter.
    limiter = copy.copy(pool.limiter)
    limiter.set_bounds(concurrency_limits(pool.slots, sources.hosts))
    limiter.use_fair_shares(sources.admission.shares_fairly)
    request = WaitingRequest(
        route.priority,
        target_at,
        final_at,
        returning=False,
        admit=lambda: True,
        refuse=lambda: None,
        team=team,
        kind=route.name,
    )
    wait_s = 0.0 if limiter.has_room else limiter.expected_wait_of_s(request)
    return {
        "service": pool.name,
        "limit": round(limiter.limit, 1),
        "in_flight": limiter.in_flight,
        "waiting": limiter.waiting_count,
        "shares_fairly": limiter.shares_fairly,
        "expected_wait_ms": round(wait_s * _MS_PER_S, 1),
        "decision": _decision(limiter, request, wait_s, now),
    }


def _decision(
    limiter: ConcurrencyLimiter, request: WaitingRequest, wait_s: float, now: float
) -> str:
    if limiter.has_room:
        return "send"
    return "wait" if now + wait_s <= limiter.latest_start_of(request, now) else "refuse"


def _make_score(
    timing: LatencyEstimator, kind: Hashable, service: str, now: float
) -> _Score:
    """Return the function that scores the servers of a service for one request."""
    if timing.placement is None:

        def score_by_latency(server: Server) -> dict[str, float | None]:
            expected_s = server.state.expected_latency_s(now, timing.typical_s)
            return {"score_ms": _finite_ms(expected_s)}

        return score_by_latency
    cost = timing.placement.costs.estimate(kind, service)

    def score_by_cost(server: Server) -> dict[str, float | None]:
        choice = choose_by_cost(
            [server.state], [server.work], now, cost, random_module.Random()
        )
        return {
            "score_ms": _finite_ms(choice.score_s),
            "cost_ms": _finite_ms(cost.typical_s),
            "outstanding_ms": _finite_ms(choice.outstanding_s),
        }

    return score_by_cost


def _report_service(
    name: str,
    pool: ServicePool | None,
    weight: float | None,
    typical_s: float,
    score: _Score,
    now: float,
) -> dict[str, Any]:
    servers = list(pool.servers.values()) if pool is not None else []
    rows = [_report_server(server, score, now) for server in servers]
    rows.sort(key=lambda row: (bool(row["excluded"]), row["score_ms"]))
    wait_s = pool.wait_s(now) if pool is not None else 0.0
    return {
        "service": name,
        "weight": weight,
        "typical_ms": round(typical_s * _MS_PER_S, 1),
        "held_up_ms": _finite_ms(wait_s),
        "server_count": len(rows),
        "servers": rows[:_MAX_SERVERS],
    }


def _report_server(server: Server, score: _Score, now: float) -> dict[str, Any]:
    state, signals = server.state, server.signals
    excluded = ""
    if signals.leaving:
        excluded = "leaving"
    elif not signals.wants_requests(now):
        excluded = "paused"
    elif not signals.has_room(now):
        excluded = "limited"
    penalties = [
        name
        for name, applies in (
            ("unreachable", now < state.unreachable_until),
            ("no_heartbeats", state.heartbeat_lost),
            ("cold", now < state.cold_until),
            ("other_zone", state.remote),
        )
        if applies
    ]
    return {
        "server": server.info.id,
        "zone": server.info.availability_zone,
        **score(server),
        "open": len(state.open_attempts),
        "slots": state.slots,
        "excluded": excluded,
        "until_ms": _finite_ms(signals.room_at(now) - now) if excluded else 0.0,
        "penalties": penalties,
    }


def _finite_ms(seconds: float) -> float | None:
    """Return milliseconds; JSON has no infinity, so ``None`` stands for it."""
    return round(seconds * _MS_PER_S, 1) if seconds < math.inf else None
