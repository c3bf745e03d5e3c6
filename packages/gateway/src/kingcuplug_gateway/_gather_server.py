"""Server side of gathering: queries shards on behalf of other hosts."""

import asyncio
import dataclasses
from collections.abc import Callable, Sequence
from typing import Any

from kingcuplug_common import EventLog
from kingcuplug_routing import (
    REMAINDER_ROUND_TRIP_S,
    LatencyEstimator,
    PartialAnswerPolicy,
)

from kingcuplug_gateway._gather_client import NotGathering
from kingcuplug_gateway._gather_messages import (
    PROBE,
    GatherReply,
    GatherRequest,
    RemainderRequest,
    decode_request,
    wants_signals,
)
from kingcuplug_gateway._passed_signals import PassedSignal
from kingcuplug_gateway._scatter import keep_greatest_records, merge_records
from kingcuplug_gateway._service_call import OutboundRequest, ServiceCall

__all__ = ["GatherServer", "UnknownGathering"]

_MS_PER_S = 1_000
# The requesting host asks for the remaining parts at once, or else has already
# answered its caller and needs none.
_REMAINDER_WAIT_S = 0.05
# After this host was suspended, the request's connection may be closed already. The
# event loop reads the close one round after the request, and cancels in the next.
_DISCONNECT_CHECK_ROUNDS = 3
_TIMER_RESOLUTION_S = 0.001  # Event loop timers may fire early by less than this.

CallFactory = Callable[
    [str, OutboundRequest, LatencyEstimator, int, Callable[[ServiceCall], None]],
    ServiceCall,
]


class UnknownGathering(ValueError):
    """The gather operation of a request has ended, or never began on this host."""


class GatherServer:
    """Runs the gather operations that other hosts request.

    Parameters
    ----------
    make_call : callable
        Makes a call to one shard from the shard, the request, the latency statistics,
        the maximum number of attempts and the callback for the call's end.
    route_timing : callable
        Returns the latency statistics of a route by its name and target in
        milliseconds.
    signature_header : bytes
        Name of the header with a part's signature, in lower case.
    team_header : bytes
        Name of the header with the caller's team, as hosts send it.
    has_servers : callable
        Returns whether this host knows a server of a shard.
    on_finished : callable
        Called with the calls of an operation that has ended.
    quarantined_s : callable
        Returns for how long a request is still in quarantine; 0 if it is not.
    signals_to_pass_on : callable
        Returns what servers of some shards have told this host.
    """

    def __init__(
        self,
        make_call: CallFactory,
        route_timing: Callable[[str, int], LatencyEstimator],
        signature_header: bytes,
        team_header: bytes,
        has_servers: Callable[[str], bool],
        on_finished: Callable[[Sequence[ServiceCall]], None],
        quarantined_s: Callable[[OutboundRequest], float],
        signals_to_pass_on: Callable[[Sequence[str]], Sequence[PassedSignal]],
        log: EventLog,
    ) -> None:
        self._signals_to_pass_on = signals_to_pass_on
        self._quarantined_s = quarantined_s
        self._on_finished = on_finished
        self._has_servers = has_servers
        self._make_call = make_call
        self._route_timing = route_timing
        self._signature_header = signature_header
        self._team_header = team_header
        self._log = log
        self._operations: dict[str, _GatherOperation] = {}

    async def handle(self, message: Any, accept_new_operations: bool) -> Any:
        """Handle one request; cancelling it cancels the attempts of its operation.

        Parameters
        ----------
        message : Any
            JSON value of the request.
        accept_new_operations : bool
            Whether new operations are accepted.

        Returns
        -------
        Any
            JSON value of the reply.

        Raises
        ------
        NotGathering
            If a new operation is requested, and none is accepted or this host knows no
            server of a shard.
        UnknownGathering
            If the operation of a request for the remaining parts has ended.
        ValueError
            If the request cannot be decoded.
        """
        if message == PROBE:
            if not accept_new_operations:
                raise NotGathering("the host is stopping")
            return []
        request = decode_request(message)
        if not accept_new_operations and isinstance(request, GatherRequest):
            raise NotGathering("the host is stopping")
        for _ in range(_DISCONNECT_CHECK_ROUNDS):
            await asyncio.sleep(0)
        operation = self._start_or_resume(request)
        loop = asyncio.get_running_loop()
        try:
            if isinstance(request, RemainderRequest):
                operation.allow_all_attempts()
                until = loop.time() + request.reply_within_ms / _MS_PER_S
                reply = await operation.wait_for_parts(until, stop_at_stragglers=False)
            else:
                reply = await operation.wait_for_first_parts()
        except asyncio.CancelledError:
            self._finish(operation, "caller_left")
            raise
        if reply.pending_shards:
            operation.set_expiry_timer(
                loop.call_later(_REMAINDER_WAIT_S, self._finish, operation, "left")
            )
        else:
            self._finish(operation, "complete")
        if wants_signals(request.gather_id):
            signals = tuple(self._signals_to_pass_on(operation.request.shards))
            reply = dataclasses.replace(reply, signals=signals)
        return reply.to_json()

    def _start_or_resume(
        self, request: GatherRequest | RemainderRequest
    ) -> "_GatherOperation":
        if isinstance(request, RemainderRequest):
            operation = self._operations.get(request.gather_id)
            if operation is None:
                raise UnknownGathering(
                    f"gather operation {request.gather_id} has ended"
                )
            operation.set_expiry_timer(None)
            return operation
        unknown = sum(not self._has_servers(shard) for shard in request.shards)
        if unknown:
            # This host has just started, or has not heard of a new shard yet. It would
            # report these shards as failed at once.
            raise NotGathering(f"no server of {unknown} shards is known here")
        timing = self._route_timing(request.route, request.target_ms)
        operation = _GatherOperation(
            request, timing, self._signature_header, self._team_header
        )
        self._operations[request.gather_id] = operation
        operation.start(self._make_call, self._quarantined_s(operation.outbound) > 0)
        return operation

    def _finish(self, operation: "_GatherOperation", reason: str) -> None:
        self._operations.pop(operation.request.gather_id, None)
        operation.cancel(linger=reason != "caller_left")
        self._on_finished(operation.calls)
        if not self._log.try_acquire("gathered"):
            return
        request, calls = operation.request, operation.calls
        self._log.write(
            "gathered",
            {
                "id": request.attempt_id.decode("latin-1"),
                "route": request.route,
                "shards": len(calls),
                "ended": reason,
                "missing": [c.service for c in calls if not c.result.succeeded],
                "calls": [
                    entry
                    for call in calls
                    if not call.succeeded_at_first_attempt
                    for entry in call.log_entries(operation.started_at)
                ],
            },
            bypass_rate_limit=True,
        )


class _GatherOperation:
    """Calls to some or all shards of another host's query.

    Attributes
    ----------
    started_at : float
        Start of the operation, in event loop time.
    """

    def __init__(
        self,
        request: GatherRequest,
        timing: LatencyEstimator,
        signature_header: bytes,
        team_header: bytes,
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self._signature_header = signature_header
        self._reported_shards: set[str] = set()
        self._pending_count = len(request.shards)
        self._waiter: asyncio.Future[None] | None = None
        self._expiry_timer: asyncio.TimerHandle | None = None
        self.request = request
        self.timing = timing
        self.started_at = self._loop.time()
        self.calls: list[ServiceCall] = []
        deadline_at = self.started_at + request.remaining_ms / _MS_PER_S
        self.outbound = OutboundRequest(
            request.head,
            request.body,
            request.attempt_id,
            deadline_at,
            repeatable=True,
            no_response_body=False,
            team=_team_in(request.head, team_header) if timing.placement else "",
            allowed_regions=request.allowed_regions,
            received_at=self.started_at,
        )
        self._rule = PartialAnswerPolicy(
            len(request.shards), 1.0, self.started_at, deadline_at, deadline_at
        )

    def start(self, make_call: CallFactory, quarantined: bool) -> None:
        """Send the first attempts, unless the request is in quarantine."""
        request = self.request
        self.calls = [
            make_call(
                shard,
                self.outbound,
                self.timing,
                request.max_attempts,
                self._on_call_finished,
            )
            for shard in request.shards
        ]
        for call in self.calls:
            if quarantined:
                call.cancel()
                self._on_call_finished(call)
            else:
                call.start()

    def allow_all_attempts(self) -> None:
        """Allow hedging and the reserved attempts in all unfinished calls."""
        for call in self.calls:
            if not call.finished:
                call.allow_all_attempts()

    def set_expiry_timer(self, timer: asyncio.TimerHandle | None) -> None:
        """Replace the timer that ends an operation without further requests."""
        if self._expiry_timer is not None:
            self._expiry_timer.cancel()
        self._expiry_timer = timer

    def cancel(self, linger: bool) -> None:
        """Cancel the unfinished calls, at once or after a short delay."""
        self.set_expiry_timer(None)
        for call in self.calls:
            if not call.finished:
                call.cancel(linger)

    async def wait_for_first_parts(self) -> GatherReply:
        """Wait until all parts are there, or some are to be hedged."""
        if self.timing.placement is None:
            until = self.started_at + self.timing.hedge_delay_s
            return await self.wait_for_parts(until, stop_at_stragglers=True)
        latest_at = self.started_at + self.timing.max_hedge_delay_s
        # The requesting host allows hedges by its next request.
        by_hedge = sorted(self.calls, key=lambda call: call.hedge_at, reverse=True)
        while by_hedge:
            call = by_hedge.pop()
            if call.finished:
                continue
            until = min(call.hedge_at - REMAINDER_ROUND_TRIP_S, latest_at)
            await self._wait_until(until, call)
            if not call.finished:
                break
        return self._new_parts()

    async def _wait_until(self, until: float, call: ServiceCall) -> None:
        """Wait for a time, or until a call has finished."""
        while self._loop.time() < until and not call.finished:
            await self._wait_for_change(until)

    async def wait_for_parts(
        self, until: float, stop_at_stragglers: bool
    ) -> GatherReply:
        """Wait for all parts or the time `until`, and return the new parts.

        Parameters
        ----------
        until : float
            In event loop time.
        stop_at_stragglers : bool
            Return earlier once only a few shards are missing, so that the requesting
            host can ask for hedged attempts to these.
        """
        while self._pending_count:
            now = self._loop.time()
            if stop_at_stragglers and self._pending_count <= self._rule.max_stragglers:
                until = min(until, self._rule.straggler_hedge_at(now))
                stop_at_stragglers = False
            if now >= until:
                break
            await self._wait_for_change(until)
            if self._loop.time() + _TIMER_RESOLUTION_S >= until:
                break
        return self._new_parts()

    async def _wait_for_change(self, until: float) -> None:
        self._waiter = self._loop.create_future()
        timer = self._loop.call_at(until, self._wake_waiter)
        try:
            await self._waiter
        finally:
            timer.cancel()
            self._waiter = None

    def _on_call_finished(self, call: ServiceCall) -> None:
        response = call.result.response
        if call.result.succeeded and response is not None:
            keep_greatest_records(response, self.request.top_records)
        self._pending_count -= 1
        self._wake_waiter()

    def _wake_waiter(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    def _new_parts(self) -> GatherReply:
        signatures, bodies = [], []
        for call in self.calls:
            response = call.result.response
            if (
                call.result.succeeded
                and response
                and call.service not in self._reported_shards
            ):
                self._reported_shards.add(call.service)
                signatures.append(response.fields[self._signature_header])
                bodies.append(response.body)
        return GatherReply(
            tuple(signatures),
            merge_records(bodies, self.request.top_records),
            tuple(
                c.service for c in self.calls if c.finished and not c.result.succeeded
            ),
            tuple(c.service for c in self.calls if not c.finished),
        )


def _team_in(head: bytes, team_header: bytes) -> str:
    """Return the team that the requesting host has named, or an empty string."""
    rest = head.partition(b"\r\n%s: " % team_header)[2]
    return rest.partition(b"\r\n")[0].decode("latin-1")
