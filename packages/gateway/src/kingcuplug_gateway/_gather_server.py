"""Server side of gathering: queries shards on behalf of other hosts."""

import asyncio
from collections.abc import Callable
from typing import Any

from kingcuplug_common import EventLog
from kingcuplug_routing import AnswerRule, Timing

from kingcuplug_gateway._gather_client import NotGathering
from kingcuplug_gateway._gather_messages import Begin, Gathered, Rest, decode_question
from kingcuplug_gateway._scatter import merge_records
from kingcuplug_gateway._service_call import Outgoing, ServiceCall

__all__ = ["Gatherer", "UnknownGathering"]

_MS_PER_S = 1_000
# The requesting host asks for the remaining parts at once, or else has already
# answered its caller and needs none.
_KEPT_S = 0.05
# After this host was suspended, the request's connection may be closed already. The
# event loop reads the close one round after the request, and cancels in the next.
_WITHDRAWAL_ROUNDS = 3
_RESOLUTION_S = 0.001  # Event loop timers may fire early by less than this.

MakeCall = Callable[
    [str, Outgoing, Timing, int, Callable[[ServiceCall], None]], ServiceCall
]


class UnknownGathering(ValueError):
    """The gather operation of a request has ended, or never began on this host."""


class Gatherer:
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
    """

    def __init__(
        self,
        make_call: MakeCall,
        timing: Callable[[str, int], Timing],
        seal_name: bytes,
        log: EventLog,
    ) -> None:
        self._make_call = make_call
        self._timing = timing
        self._seal_name = seal_name
        self._log = log
        self._running: dict[str, _Gathering] = {}

    async def answer(self, value: Any, begins: bool) -> Any:
        """Handle one request; cancelling it cancels the attempts of its operation.

        Parameters
        ----------
        value : Any
            JSON value of the request.
        begins : bool
            Whether new operations are accepted.

        Returns
        -------
        Any
            JSON value of the reply.

        Raises
        ------
        NotGathering
            If a new operation is requested, and none is accepted.
        UnknownGathering
            If the operation of a request for the remaining parts has ended.
        ValueError
            If the request cannot be decoded.
        """
        request = decode_question(value)
        if not begins and isinstance(request, Begin):
            raise NotGathering("the host is stopping")
        for _ in range(_WITHDRAWAL_ROUNDS):
            await asyncio.sleep(0)
        operation = self._begin(request)
        loop = asyncio.get_running_loop()
        try:
            if isinstance(request, Rest):
                operation.release()
                until = loop.time() + request.within_ms / _MS_PER_S
                reply = await operation.wait(until, hurries=False)
            else:
                until = operation.begun_at + operation.timing.hedge_after_s
                reply = await operation.wait(until, hurries=True)
        except asyncio.CancelledError:
            self._end(operation, "caller_left")
            raise
        if reply.open:
            operation.keep(loop.call_later(_KEPT_S, self._end, operation, "left"))
        else:
            self._end(operation, "complete")
        return reply.to_json()

    def _begin(self, request: Begin | Rest) -> "_Gathering":
        if isinstance(request, Rest):
            operation = self._running.get(request.id)
            if operation is None:
                raise UnknownGathering(f"gathering {request.id} is over")
            operation.keep(None)
            return operation
        timing = self._timing(request.route, request.target_ms)
        operation = _Gathering(request, timing, self._seal_name)
        self._running[request.id] = operation
        operation.start(self._make_call)
        return operation

    def _end(self, operation: "_Gathering", why: str) -> None:
        self._running.pop(operation.question.id, None)
        operation.cancel(linger=why != "caller_left")
        if not self._log.admits("gathered"):
            return
        request, calls = operation.question, operation.calls
        self._log.write(
            "gathered",
            {
                "id": request.attempt_id.decode("latin-1"),
                "route": request.route,
                "shards": len(calls),
                "ended": why,
                "missing": [c.service for c in calls if not c.ending.good],
                "calls": [
                    note
                    for call in calls
                    if not call.plain
                    for note in call.notes(operation.begun_at)
                ],
            },
            always=True,
        )


class _Gathering:
    """Calls to some or all shards of another host's query.

    Attributes
    ----------
    begun_at : float
        In event loop time.
    """

    def __init__(self, request: Begin, timing: Timing, seal_name: bytes) -> None:
        self._loop = asyncio.get_running_loop()
        self._seal_name = seal_name
        self._told: set[str] = set()
        self._open = len(request.shards)
        self._wake: asyncio.Future[None] | None = None
        self._kept: asyncio.TimerHandle | None = None
        self.question = request
        self.timing = timing
        self.begun_at = self._loop.time()
        self.calls: list[ServiceCall] = []
        deadline_at = self.begun_at + request.left_ms / _MS_PER_S
        self._outgoing = Outgoing(
            request.head,
            request.body,
            request.attempt_id,
            deadline_at,
            repeatable=True,
            bodiless=False,
        )
        self._rule = AnswerRule(
            len(request.shards), 1.0, self.begun_at, deadline_at, deadline_at
        )

    def start(self, make_call: MakeCall) -> None:
        """Send the first attempts."""
        request = self.question
        self.calls = [
            make_call(
                shard, self._outgoing, self.timing, request.max_attempts, self._done
            )
            for shard in request.shards
        ]
        for call in self.calls:
            call.start()

    def release(self) -> None:
        """Allow hedging in all unfinished calls."""
        for call in self.calls:
            if not call.over:
                call.release()

    def keep(self, timer: asyncio.TimerHandle | None) -> None:
        """Replace the timer that ends an operation without further requests."""
        if self._kept is not None:
            self._kept.cancel()
        self._kept = timer

    def cancel(self, linger: bool) -> None:
        """Cancel the unfinished calls, at once or after a short delay."""
        self.keep(None)
        for call in self.calls:
            if not call.over:
                call.cancel(linger)

    async def wait(self, until: float, hurries: bool) -> Gathered:
        """Wait for all parts or the time `until`, and return the new parts.

        Parameters
        ----------
        until : float
            In event loop time.
        stop_at_stragglers : bool
            Return earlier once only a few shards are missing, so that the requesting
            host can ask for hedged attempts to these.
        """
        while self._open:
            now = self._loop.time()
            if hurries and self._open <= self._rule.stragglers:
                until = min(until, self._rule.hurry_at(now))
                hurries = False
            if now >= until:
                break
            self._wake = self._loop.create_future()
            timer = self._loop.call_at(until, self._notify)
            try:
                await self._wake
            finally:
                timer.cancel()
                self._wake = None
            if self._loop.time() + _RESOLUTION_S >= until:
                break
        return self._take()

    def _done(self, call: ServiceCall) -> None:
        self._open -= 1
        self._notify()

    def _notify(self) -> None:
        if self._wake is not None and not self._wake.done():
            self._wake.set_result(None)

    def _take(self) -> Gathered:
        signatures, bodies = [], []
        for call in self.calls:
            response = call.ending.response
            if call.ending.good and response and call.service not in self._told:
                self._told.add(call.service)
                signatures.append(response.fields[self._seal_name])
                bodies.append(response.body)
        return Gathered(
            tuple(signatures),
            merge_records(bodies, self.question.top),
            tuple(c.service for c in self.calls if c.over and not c.ending.good),
            tuple(c.service for c in self.calls if not c.over),
        )
