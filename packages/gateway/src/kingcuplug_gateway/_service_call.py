"""One request to one service: attempts, hedged attempts and retries."""

import asyncio
import random as random_module
from collections.abc import Callable, Hashable
from dataclasses import dataclass, field
from enum import Enum
from itertools import takewhile

from kingcuplug_common import Metrics
from kingcuplug_http import Failure, OutboundConnection, Response
from kingcuplug_routing import (
    AllowedRegions,
    ConcurrencyLimiter,
    CostEstimate,
    LatencyEstimator,
    choose_by_cost,
    choose_replica,
    has_free_slot,
    request_kind,
)

from kingcuplug_gateway._header_names import HeaderNames
from kingcuplug_gateway._isolation_monitor import IsolationMonitor
from kingcuplug_gateway._servers import Server, ServerTable, ServicePool
from kingcuplug_gateway._signal_reader import SignalReader

__all__ = ["AttemptRecord", "CallResult", "OutboundRequest", "ServiceCall"]

_MS_PER_S = 1_000
_MISDIRECTED_STATUS = 421  # Another server than the expected one got the request.
# Attempts that are the first one of a part at any host.
_FIRST_KINDS = ("first", "fallback")
# Rejections by servers without a free slot do not count as attempts. The bound keeps
# a request from visiting every server of an overloaded service.
_MAX_REJECTIONS = 2
# An attempt that outlives its call may still yield a latency sample of its server;
# after this time it is cancelled, as it only occupies a slot. Where teams share slots,
# one that its server has not begun is cancelled at once.
_LINGER_S = 0.3


class ResponseClass(Enum):
    """Class of a server's response, which decides whether the request is retried."""

    SUCCESS = "good"
    NOT_RUN = "not_run"
    FAILED = "failed"
    UNSIGNED = "unsealed"


@dataclass(slots=True)
class OutboundRequest:
    """A caller's request in the form that is sent to servers.

    Attributes
    ----------
    head : bytes
        Request line and headers, without those that differ between attempts.
    deadline_at : float
        Caller's deadline or end of the route's timeout, in event loop time.
    repeatable : bool
        Whether the request may run more than once.
    no_response_body : bool
        Whether the response has no body, as for ``HEAD``.
    returning : bool
        Whether the caller was refused before.
    team : str
        Name of the caller's team; empty without one.
    allowed_regions : AllowedRegions
        Regions of the servers that may get it, ``None`` for all.
    received_at : float or None
        Event loop time at which this host has received the request; ``None`` if that is
        when its first attempt is sent.
    """

    head: bytes
    body: bytes
    attempt_id: bytes
    deadline_at: float
    repeatable: bool
    no_response_body: bool
    returning: bool = False
    team: str = ""
    allowed_regions: AllowedRegions = None
    received_at: float | None = None
    _kind: Hashable = None

    @property
    def kind(self) -> Hashable:
        """Kind of the request for estimates of its cost."""
        if self._kind is None:
            method, _, line = self.head.partition(b"\r\n")[0].partition(b" ")
            size_bytes = len(line) + len(self.body)
            self._kind = request_kind(self.team, method, size_bytes)
        return self._kind


@dataclass(slots=True)
class AttemptRecord:
    """Log record of one attempt.

    Attributes
    ----------
    kind : str
        ``first``, ``hedge``, ``retry`` or ``fallback``.
    expected_s : float
        Response time that was expected of the server when it was chosen.
    outcome : str
        ``open`` until the attempt has ended.
    cost_s, outstanding_s : float or None
        Expected cost of the request and work that the server had to do, where servers
        are chosen by these; `expected_s` is then the score of the server.
    """

    server: str
    kind: str
    sent_at: float
    expected_s: float
    ended_at: float = 0.0
    outcome: str = "open"
    cost_s: float | None = None
    outstanding_s: float | None = None

    def end(self, outcome: str, now: float) -> None:
        """Record how the attempt ended."""
        self.outcome, self.ended_at = outcome, now


@dataclass(slots=True)
class CallResult:
    """Result of a call.

    Attributes
    ----------
    response : Response or None
        A successful response, or else an error response of a server.
    succeeded : bool
        Whether the response is a success.
    may_have_run : bool
        Whether any server may have run the request.
    answered : bool
        Whether any server has answered after it may have run the request.
    lost_servers : list of Server
        Servers whose connection ended without an answer.
    attempts : list of AttemptRecord
        All attempts, in the order in which they were sent.
    denied_attempts : list of str
        Kinds of the further attempts that the retry budget did not allow.
    withheld_attempts : list of tuple
        Kind and reason of the attempts that were not sent because of what servers have
        said: ``unwilling``, ``limited``, or ``too_slow`` for servers with room; or
        because a hedge would take the slot of a first attempt: ``no_slot``.
    """

    response: Response | None = None
    succeeded: bool = False
    may_have_run: bool = False
    answered: bool = False
    lost_servers: list[Server] = field(default_factory=list)
    attempts: list[AttemptRecord] = field(default_factory=list)
    denied_attempts: list[str] = field(default_factory=list)
    withheld_attempts: list[tuple[str, str]] = field(default_factory=list)


class ServiceCall:
    """Sends a request to a service's servers until one attempt succeeds.

    Parameters
    ----------
    on_finished : callable
        Called once, with this call, when `result` is final.
    first_attempt_kind : str
        Kind of the first attempt; any but ``first`` draws on the retry budget.
    for_peer : bool
        Whether this host gathers the part for another one. Until that host asks for the
        remaining parts, hedging is blocked and the last of several attempts is
        reserved, because that host sends it itself if it gets no reply.
    limiter : ConcurrencyLimiter or None
        Limiter that admitted the request. No hedges are sent while it is saturated.
    may_skip : callable or None
        Returns whether the answer is needed no more if it is expected at a time. It is
        asked when a server's limit leaves only slower servers.

    Attributes
    ----------
    hedge_at : float
        Event loop time at which the last attempt is hedged, once that is allowed.
    """

    # Set for each attempt; defaults of the class cost no processor time where replicas
    # are not chosen by expected cost.
    hedge_at = 0.0
    _cost: CostEstimate | None = None
    _score_s = 0.0
    _slowness = 1.0
    _outstanding_s = 0.0

    def __init__(
        self,
        server_table: ServerTable,
        pool: ServicePool,
        outbound: OutboundRequest,
        header_names: HeaderNames,
        signals: SignalReader,
        timing: LatencyEstimator,
        metrics: Metrics,
        max_attempts: int,
        random: random_module.Random,
        on_finished: Callable[["ServiceCall"], None],
        isolation: IsolationMonitor,
        first_attempt_kind: str = "first",
        for_peer: bool = False,
        limiter: ConcurrencyLimiter | None = None,
        may_skip: Callable[[float], bool] | None = None,
    ) -> None:
        self._isolation = isolation
        self._limiter = limiter
        self._may_skip = may_skip
        self._first_attempt_kind = first_attempt_kind
        self._for_peer = for_peer
        self._retry_budget = (
            pool.peer_retry_budget if for_peer else pool.caller_retry_budget
        )
        self._hedging_blocked = for_peer
        self._awaits_reserved_attempt = False
        self._loop = asyncio.get_running_loop()
        self._server_table = server_table
        self._pool = pool
        self._header_names = header_names
        self._signals = signals
        self._timing = timing
        self._metrics = metrics
        self._max_attempts = max_attempts
        self._random = random
        self._on_finished = on_finished
        self._open_attempts: list[_Attempt] = []
        self._tried_servers: dict[str, Server] = {}
        self._attempt_count = 0
        self._rejection_count = 0
        self._hedge_timer: asyncio.TimerHandle | None = None
        self._placement = timing.placement
        self.outbound = outbound
        self.result = CallResult()
        self.finished = False

    @property
    def service(self) -> str:
        """Name of the service."""
        return self._pool.name

    @property
    def succeeded_at_first_attempt(self) -> bool:
        """Whether the first attempt succeeded and no other one was requested."""
        result = self.result
        return (
            result.succeeded
            and len(result.attempts) == 1
            and not result.denied_attempts
        )

    @property
    def possible_runs(self) -> int:
        """Number of attempts that a server may have run, or may still run."""
        return len(self.possible_servers)

    @property
    def possible_servers(self) -> list[Server]:
        """Servers that may have run an attempt, or may still run it."""
        not_run = (ResponseClass.NOT_RUN.value, Failure.CONNECT.name.lower())
        return [
            self._tried_servers[record.server]
            for record in self.result.attempts
            if record.outcome not in not_run
        ]

    def log_entries(self, started_at: float) -> list[dict[str, str | float | None]]:
        """Return log entries of the attempts, with times relative to `started_at`."""
        entries: list[dict[str, str | float | None]] = [
            {
                "service": self.service,
                "server": record.server,
                "why": record.kind,
                "sent_ms": _to_ms(record.sent_at - started_at),
                "expected_ms": _to_ms(record.expected_s),
                "took_ms": _to_ms(record.ended_at - record.sent_at)
                if record.ended_at
                else None,
                "outcome": record.outcome,
                **_placement_entries(record),
            }
            for record in self.result.attempts
        ]
        for kind in self.result.denied_attempts:
            entries.append(
                {"service": self.service, "why": kind, "outcome": "no_allowance"}
            )
        for kind, reason in self.result.withheld_attempts:
            entries.append({"service": self.service, "why": kind, "outcome": reason})
        return entries

    def start(self) -> None:
        """Send the first attempt."""
        if self._first_attempt_kind == "first":
            self._retry_budget.record_request(self._loop.time())
        if not self._send(self._first_attempt_kind):
            self._finish()

    def hedge_by(self, at: float) -> None:
        """Bring a scheduled hedged attempt forward to the time `at` if it is later.

        Where servers are chosen by expected cost, a part has a moment of its own.
        """
        if (
            self._hedge_timer is not None
            and self._cost is None
            and self._may_send_another
            and at < self._hedge_timer.when()
        ):
            self._hedge_timer.cancel()
            self._hedge_timer = self._loop.call_at(at, self._hedge)

    @property
    def _reserved_attempts(self) -> int:
        return 1 if self._hedging_blocked and self._max_attempts > 1 else 0

    def allow_all_attempts(self) -> None:
        """Allow all attempts, and send another one if the call is unfinished.

        Where servers are chosen by expected cost, not before the first one is late.
        """
        if not self._hedging_blocked:
            return
        self._hedging_blocked = False
        if self.finished:
            return
        if self._awaits_reserved_attempt:
            self._awaits_reserved_attempt = False
            self._retry(may_have_run=True)
        elif self._attempt_count < self._max_attempts:
            if self._cost is not None and self._loop.time() < self.hedge_at:
                self._set_hedge_timer()
            else:
                self._hedge()

    def record_silence(self) -> None:
        """Record that the servers of the attempts in progress are late."""
        for attempt in self._open_attempts:
            self._isolation.record_silence(attempt.server.info.id)

    def on_connected(self) -> None:
        """Process that a server has accepted a new connection."""
        self._isolation.record_connection()

    def cancel(self, linger: bool = False) -> None:
        """End the call and cancel its attempts in progress.

        Parameters
        ----------
        linger : bool
            Cancel the attempts after a short delay, to collect latency samples of
            their servers.
        """
        self.finished = True
        self._cancel_hedge_timer()
        if linger and self._server_table.withdraws_unstarted:
            self._abandon_unstarted_attempts()
        if linger and self._open_attempts:
            self._loop.call_later(_LINGER_S, self._abandon_open_attempts)
        else:
            self._abandon_open_attempts()

    def read_signals(
        self, server: Server, response: Response, response_class: ResponseClass
    ) -> None:
        """Read what a server says of itself in its response."""
        if response.status != _MISDIRECTED_STATUS:
            is_authentic = response_class is not ResponseClass.UNSIGNED
            self._signals.record(server, response, is_authentic)

    def on_response(
        self, attempt: "_Attempt", response: Response, response_class: ResponseClass
    ) -> None:
        """Process the response to an attempt."""
        self._open_attempts.remove(attempt)
        now = self._loop.time()
        state = attempt.server.state
        if response_class is ResponseClass.SUCCESS:
            self._timing.record(state.record_answer(attempt, now))
            if self._placement is not None:
                self._record_cost(attempt, now)
        elif response.status == _MISDIRECTED_STATUS:
            # Another server now uses this address.
            state.record_failure(attempt, now, unreachable=True)
        elif response_class is ResponseClass.NOT_RUN:
            state.record_rejection(attempt, now)
        else:
            state.record_failure(attempt, now, unreachable=False)
        if response_class is not ResponseClass.SUCCESS:
            attempt.server.work.record_end(attempt, now)
        attempt.record.end(response_class.value, now)
        self._isolation.record_answer()
        if response_class is not ResponseClass.NOT_RUN:
            self.result.answered = True
        self._metrics.observe(
            "attempt",
            (self.service, response_class.value),
            now - attempt.record.sent_at,
        )
        if self.finished:
            return
        if response_class is ResponseClass.NOT_RUN:
            self._rejection_count += 1
            self._attempt_count -= 1
        else:
            self.result.may_have_run = True
        if response_class is ResponseClass.SUCCESS:
            self.result.response, self.result.succeeded = response, True
            self._finish()
            return
        if response_class is ResponseClass.FAILED:
            self.result.response = response
        self._retry(may_have_run=response_class is not ResponseClass.NOT_RUN)

    def on_failure(self, attempt: "_Attempt", failure: Failure) -> None:
        """Process the failure of an attempt."""
        self._open_attempts.remove(attempt)
        unreachable = failure is Failure.CONNECT
        now = self._loop.time()
        attempt.server.state.record_failure(attempt, now, unreachable)
        attempt.server.work.record_end(attempt, now)
        attempt.record.end(failure.name.lower(), now)
        if failure is Failure.LOST:
            self.result.lost_servers.append(attempt.server)
        if unreachable:
            self._isolation.record_unconnected(attempt.server.info.id)
        else:
            self._isolation.record_silence(attempt.server.info.id)
        if self.finished:
            return
        if unreachable:
            self._attempt_count -= 1
        else:
            self.result.may_have_run = True
        self._retry(may_have_run=not unreachable)

    def _retry(self, may_have_run: bool) -> None:
        """Send another attempt if allowed; otherwise finish once none is open."""
        if may_have_run and not self.outbound.repeatable:
            self._finish()
            return
        may_send = self._rejection_count <= _MAX_REJECTIONS
        if may_send and self._send("retry"):
            return
        if self._open_attempts:
            return
        if may_send and self._attempt_count < self._max_attempts <= (
            self._attempt_count + self._reserved_attempts
        ):
            self._awaits_reserved_attempt = True
            return
        self._finish()

    def _send(self, kind: str = "first") -> bool:
        now = self._loop.time()
        if (
            self._attempt_count >= self._max_attempts - self._reserved_attempts
            or now >= self.outbound.deadline_at
        ):
            return False
        typical_s = self._timing.typical_s
        if self._placement is not None:
            self._cost = self._placement.costs.estimate(
                self.outbound.kind, self._pool.name
            )
            typical_s = self._cost.typical_s
        server = self._choose_server(kind, now, typical_s)
        if server is None:
            return False
        if (
            kind == "hedge"
            and self._cost is not None
            and not has_free_slot(server.state, server.work, now, self._cost)
        ):
            self._record_withheld(kind, "no_slot")
            return False
        if kind != "first" and not self._spend_retry_budget(kind, now):
            return False
        if server.signals.is_limited:
            server.signals.take(now)
        hedge_delay_s = self._timing.hedge_delay_s
        if self._cost is None:
            expected_s = server.state.expected_latency_s(now, typical_s)
            record = AttemptRecord(server.info.id, kind, now, expected_s)
            attempt = _Attempt(self, server, self._header_names, record)
        else:
            record = AttemptRecord(server.info.id, kind, now, self._score_s)
            attempt = _Attempt(self, server, self._header_names, record)
            hedge_delay_s = self._start_work(attempt, self._cost, now)
        self.result.attempts.append(record)
        self._tried_servers[server.info.id] = server
        self._open_attempts.append(attempt)
        self._attempt_count += 1
        server.state.record_start(attempt, now, typical_s)
        self.hedge_at = now + hedge_delay_s
        if not self._hedging_blocked:
            self._set_hedge_timer()
        server.connections.submit(attempt, new_connection=not self.outbound.repeatable)
        return True

    def _choose_server(self, kind: str, now: float, typical_s: float) -> Server | None:
        """Return the server for the next attempt, if one has room for it."""
        untried = self._pool.servers_except(self._tried_servers.keys())
        allowed = self.outbound.allowed_regions
        if allowed is not None:
            may_serve = self._server_table.regions.may_serve
            untried = [
                s for s in untried if may_serve(s.info.availability_zone, allowed)
            ]
        servers = [server for server in untried if server.signals.wants_requests(now)]
        if not servers:
            if untried:
                self._record_withheld(kind, "unwilling")
            return None
        server = self._best_server(servers, now, typical_s)
        if not server.signals.is_limited:
            return server
        replaces_first = kind in _FIRST_KINDS
        if replaces_first:
            server.signals.record_demand(now)
        # Further attempts leave room for a first one.
        requests = 1 if replaces_first else 2
        if server.signals.has_room(now, requests):
            return server
        self._metrics.count("server_limit.diverted")
        servers = [s for s in servers if s.signals.has_room(now, requests)]
        if not servers:
            self._record_withheld(kind, "limited")
            return None
        server = self._best_server(servers, now, typical_s)
        if self._cost is None:
            expected_at = now + server.state.expected_latency_s(now, typical_s)
        else:
            expected_at = now + self._score_s
        if self._may_skip is not None and self._may_skip(expected_at):
            self._record_withheld(kind, "too_slow")
            return None
        return server

    def _record_withheld(self, kind: str, reason: str) -> None:
        self._metrics.count(f"attempts_withheld.{reason}")
        self.result.withheld_attempts.append((kind, reason))

    def _best_server(
        self, servers: list[Server], now: float, typical_s: float
    ) -> Server:
        states = [server.state for server in servers]
        if self._cost is not None:
            works = [server.work for server in servers]
            position, self._score_s, self._slowness, self._outstanding_s = (
                choose_by_cost(states, works, now, self._cost, self._random)
            )
            return servers[position]
        return servers[choose_replica(states, now, typical_s, self._random)]

    def _start_work(self, attempt: "_Attempt", cost: CostEstimate, now: float) -> float:
        """Record the expected work of an attempt; return after how long to hedge it."""
        assert self._placement is not None
        record = attempt.record
        record.cost_s, record.outstanding_s = cost.typical_s, self._outstanding_s
        wait_s = attempt.server.work.record_start(
            attempt, now, cost, self._slowness, self._outstanding_s
        )
        received_at = self.outbound.received_at
        elapsed_s = now - received_at if received_at is not None else 0.0
        return self._placement.hedge_delay_s(cost, self._slowness, wait_s, elapsed_s)

    def _record_cost(self, attempt: "_Attempt", now: float) -> None:
        """Learn the cost of a request from its answer."""
        cost_s = attempt.server.work.record_answer(attempt, now)
        if (
            cost_s is None
            or self._placement is None
            or not self._placement.costs.wants_sample(self._random)
        ):
            return
        self._placement.costs.record(self.outbound.kind, self._pool.name, cost_s, now)
        error_s = cost_s - (attempt.record.cost_s or 0.0)
        side = ("above",) if error_s > 0 else ("below",)
        self._metrics.observe("cost_error", side, abs(error_s))

    def _set_hedge_timer(self) -> None:
        self._cancel_hedge_timer()
        on_late = self._hedge if self._may_send_another else self.record_silence
        self._hedge_timer = self._loop.call_at(self.hedge_at, on_late)

    @property
    def _may_send_another(self) -> bool:
        return self.outbound.repeatable and self._attempt_count < self._max_attempts

    def _hedge(self) -> None:
        self._hedge_timer = None
        if self.finished:
            return
        now = self._loop.time()
        for attempt in self._open_attempts:
            attempt.server.state.report_late(attempt, now)
        self.record_silence()
        if self._limiter is None or not self._limiter.saturated:
            self._send("hedge")

    def _spend_retry_budget(self, kind: str, now: float) -> bool:
        table = self._server_table
        extra_share = 0.0 if self._for_peer else table.retry_share_of_silent_gatherers()
        if self._retry_budget.try_acquire(
            now,
            table.retry_share(now, self._for_peer),
            hedge=kind == "hedge",
            extra_share=extra_share,
        ):
            return True
        self.result.denied_attempts.append(kind)
        return False

    def _finish(self) -> None:
        self.cancel(linger=len(self._open_attempts) > 0 and self.result.succeeded)
        self._on_finished(self)

    def _abandon_unstarted_attempts(self) -> None:
        unstarted = [a for a in self._open_attempts if not a.may_have_begun]
        for attempt in unstarted:
            self._open_attempts.remove(attempt)
            attempt.abandon()
        if unstarted:
            self._metrics.count("attempts_withdrawn", len(unstarted))

    def _abandon_open_attempts(self) -> None:
        open_attempts, self._open_attempts = self._open_attempts, []
        for attempt in open_attempts:
            attempt.abandon()

    def _cancel_hedge_timer(self) -> None:
        if self._hedge_timer is not None:
            self._hedge_timer.cancel()
            self._hedge_timer = None


class _Attempt:
    """One attempt of a call, sent to one server."""

    __slots__ = (
        "_call",
        "_connection",
        "_header_names",
        "active",
        "no_response_body",
        "record",
        "server",
    )

    def __init__(
        self,
        call: ServiceCall,
        server: Server,
        header_names: HeaderNames,
        record: AttemptRecord,
    ) -> None:
        self._call = call
        self._header_names = header_names
        self._connection: OutboundConnection | None = None
        self.record = record
        self.server = server
        self.active = True
        self.no_response_body = call.outbound.no_response_body

    @property
    def may_have_begun(self) -> bool:
        """Whether it was sent, and earlier ones of this host leave it a slot."""
        state = self.server.state
        earlier = takewhile(lambda other: other is not self, state.open_attempts)
        return self._connection is not None and sum(1 for _ in earlier) < state.slots

    def encode(self) -> bytes:
        outbound, header_names = self._call.outbound, self._header_names
        now = asyncio.get_running_loop().time()
        remaining_ms = max(1, int((outbound.deadline_at - now) * _MS_PER_S))
        return b"%s%s: %d\r\n%s: %s\r\n\r\n%s" % (
            outbound.head,
            header_names.deadline_ms,
            remaining_ms,
            header_names.expected_server,
            self.server.info.id.encode(),
            outbound.body,
        )

    def on_sent(self, connection: OutboundConnection) -> None:
        self._connection = connection
        if connection.request_count == 0:
            self._call.on_connected()

    def accepts(self, response: Response) -> bool:
        """Return whether the response is certainly the one to this attempt.

        Without the request's id, it may be a copy of an earlier response unless this
        is the only request on its connection.
        """
        echoed_id = self._echoed_id(response)
        if echoed_id is None:
            return self._connection is not None and self._connection.request_count == 1
        return echoed_id == self._call.outbound.attempt_id

    def answered(self, response: Response) -> None:
        if self._echoed_id(response) is None and self._connection is not None:
            self._connection.close()
        response_class = _classify_response(response, self._header_names)
        # Before the connection is released, as the next request may be waiting for it.
        self._call.read_signals(self.server, response, response_class)
        self._release_connection()
        self._call.on_response(self, response, response_class)

    def _echoed_id(self, response: Response) -> bytes | None:
        return response.header(self._header_names.attempt_id.lower())

    def failed(self, failure: Failure) -> None:
        self._release_connection()
        if self.active:
            self._call.on_failure(self, failure)

    def abandon(self) -> None:
        self.active = False
        now = asyncio.get_running_loop().time()
        self.server.state.record_abandonment(self, now)
        self.server.work.record_end(self, now, silent=True)
        if self._connection is not None:
            self._connection.abandon()
            self._release_connection()
        else:
            self.server.connections.withdraw(self)

    def _release_connection(self) -> None:
        connection, self._connection = self._connection, None
        if connection is not None:
            self.server.connections.release(connection)


def _placement_entries(record: AttemptRecord) -> dict[str, float]:
    if record.cost_s is None or record.outstanding_s is None:
        return {}
    return {
        "cost_ms": _to_ms(record.cost_s),
        "outstanding_ms": _to_ms(record.outstanding_s),
        "score_ms": _to_ms(record.expected_s),
    }


def _to_ms(seconds: float) -> float:
    return round(seconds * _MS_PER_S, 1)


def _classify_response(response: Response, header_names: HeaderNames) -> ResponseClass:
    if (
        response.header(header_names.not_run.lower()) is not None
        or response.status == _MISDIRECTED_STATUS
    ):
        return ResponseClass.NOT_RUN
    if response.header(header_names.signature.lower()) is None:
        return ResponseClass.UNSIGNED
    encoding = response.header(b"content-encoding")
    if encoding is not None and encoding.lower() != b"identity":
        return ResponseClass.UNSIGNED
    return (
        ResponseClass.SUCCESS if 200 <= response.status < 300 else ResponseClass.FAILED
    )
