"""One request to one service: attempts, hedged attempts and retries."""

import asyncio
import random as random_module
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

from kingcuplug_common import Metrics
from kingcuplug_http import Failure, OutboundConnection, Response
from kingcuplug_routing import Timing, choose_replica

from kingcuplug_gateway._header_names import HeaderNames
from kingcuplug_gateway._servers import Server, ServerTable, ServicePool

__all__ = ["AttemptNote", "CallEnding", "Outgoing", "ServiceCall"]

_MS_PER_S = 1_000
_MISDIRECTED = 421  # Another server than the expected one got the request.
# Rejections by servers without a free slot do not count as attempts. The bound keeps
# a request from visiting every server of an overloaded service.
_MAX_REJECTIONS = 2
# An attempt that outlives its call may still yield a latency sample of its server;
# after this time it is cancelled, as it only occupies a slot.
_LINGER_S = 0.3


class Verdict(Enum):
    """Effect of a server's response on the request."""

    GOOD = "good"
    NOT_RUN = "not_run"
    FAILED = "failed"
    UNSEALED = "unsealed"


@dataclass(slots=True)
class Outgoing:
    """A caller's request in the form that is sent to servers.

    Attributes
    ----------
    head : bytes
        Request line and headers, without those that differ between attempts.
    deadline_at : float
        Caller's deadline or end of the route's timeout, in event loop time.
    repeatable : bool
        Whether the request may run more than once.
    bodiless : bool
        Whether the response has no body, as for ``HEAD``.
    """

    head: bytes
    body: bytes
    attempt_id: bytes
    deadline_at: float
    repeatable: bool
    bodiless: bool


@dataclass(slots=True)
class AttemptNote:
    """Log record of one attempt.

    Attributes
    ----------
    why : str
        ``first``, ``hedge``, ``retry`` or ``fallback``.
    expected_s : float
        Response time that was expected of the server when it was chosen.
    outcome : str
        ``open`` until the attempt has ended.
    """

    server: str
    why: str
    sent_at: float
    expected_s: float
    ended_at: float = 0.0
    outcome: str = "open"

    def end(self, outcome: str, now: float) -> None:
        """Record how the attempt ended."""
        self.outcome, self.ended_at = outcome, now


@dataclass(slots=True)
class CallEnding:
    """Result of a call.

    Attributes
    ----------
    response : Response or None
        A successful response, or else an error response of a server.
    good : bool
        Whether the response is a success.
    may_have_run : bool
        Whether any server may have run the request.
    attempts : list of AttemptNote
        All attempts, in the order in which they were sent.
    denied : list of str
        Kinds of the further attempts that the retry budget did not allow.
    """

    response: Response | None = None
    good: bool = False
    may_have_run: bool = False
    attempts: list[AttemptNote] = field(default_factory=list)
    denied: list[str] = field(default_factory=list)


class ServiceCall:
    """Sends a request to a service's servers until one attempt succeeds.

    Parameters
    ----------
    on_finished : callable
        Called once, with this call, when `result` is final.
    first_attempt_kind : str
        Kind of the first attempt; any but ``first`` draws on the retry budget.
    for_peer : bool
        Whether this host gathers the part for another one. Hedging is then blocked
        until that host asks for the remaining parts.
    """

    def __init__(
        self,
        table: ServerTable,
        pool: ServicePool,
        outgoing: Outgoing,
        names: HeaderNames,
        timing: Timing,
        metrics: Metrics,
        max_attempts: int,
        random: random_module.Random,
        done: Callable[["ServiceCall"], None],
        first: str = "first",
        gathered: bool = False,
    ) -> None:
        self._first = first
        self._gathered = gathered
        self._allowance = pool.gather_allowance if gathered else pool.allowance
        self._held = gathered
        self._loop = asyncio.get_running_loop()
        self._table = table
        self._pool = pool
        self._names = names
        self._timing = timing
        self._metrics = metrics
        self._max_attempts = max_attempts
        self._random = random
        self._done = done
        self._open: list[_Attempt] = []
        self._tried: set[str] = set()
        self._counted = 0
        self._rejections = 0
        self._timer: asyncio.TimerHandle | None = None
        self.outgoing = outgoing
        self.ending = CallEnding()
        self.over = False

    @property
    def service(self) -> str:
        """Name of the service."""
        return self._pool.name

    @property
    def plain(self) -> bool:
        """Whether the first attempt succeeded and no other one was requested."""
        ending = self.ending
        return ending.good and len(ending.attempts) == 1 and not ending.denied

    def notes(self, begun_at: float) -> list[dict[str, str | float | None]]:
        """Return log entries of the attempts, with times relative to `started_at`."""
        entries: list[dict[str, str | float | None]] = [
            {
                "service": self.service,
                "server": record.server,
                "why": record.why,
                "sent_ms": _ms(record.sent_at - begun_at),
                "expected_ms": _ms(record.expected_s),
                "took_ms": _ms(record.ended_at - record.sent_at)
                if record.ended_at
                else None,
                "outcome": record.outcome,
            }
            for record in self.ending.attempts
        ]
        for kind in self.ending.denied:
            entries.append(
                {"service": self.service, "why": kind, "outcome": "no_allowance"}
            )
        return entries

    def start(self) -> None:
        """Send the first attempt."""
        if self._first == "first":
            self._allowance.request(self._loop.time())
        if not self._send(self._first):
            self._end()

    def hurry(self, at: float) -> None:
        """Bring a scheduled hedged attempt forward to the time `at` if it is later."""
        if self._timer is not None and at < self._timer.when():
            self._timer.cancel()
            self._timer = self._loop.call_at(at, self._hedge)

    def release(self) -> None:
        """Allow hedging, and send a hedged attempt now if the call is unfinished."""
        if self._held:
            self._held = False
            if not self.over and self._counted < self._max_attempts:
                self._hedge()

    def cancel(self, linger: bool = False) -> None:
        """End the call and cancel its attempts in progress.

        Parameters
        ----------
        linger : bool
            Cancel the attempts after a short delay, to collect latency samples of
            their servers.
        """
        self.over = True
        self._stop_timer()
        if linger and self._open:
            self._loop.call_later(_LINGER_S, self._drop)
        else:
            self._drop()

    def answered(self, attempt: "_Attempt", response: Response) -> None:
        """Process the response to an attempt."""
        self._open.remove(attempt)
        now = self._loop.time()
        state = attempt.server.state
        response_class = _judge(response, self._names)
        if response_class is Verdict.GOOD:
            self._timing.record(state.answer(attempt, now))
        elif response.status == _MISDIRECTED:
            # Another server now uses this address.
            state.fail(attempt, now, unreachable=True)
        elif response_class is Verdict.NOT_RUN:
            state.reject(attempt, now)
        else:
            state.fail(attempt, now, unreachable=False)
        attempt.note.end(response_class.value, now)
        self._metrics.observe(
            "attempt", (self.service, response_class.value), now - attempt.note.sent_at
        )
        if self.over:
            return
        if response_class is Verdict.NOT_RUN:
            self._rejections += 1
            self._counted -= 1
        else:
            self.ending.may_have_run = True
        if response_class is Verdict.GOOD:
            self.ending.response, self.ending.good = response, True
            self._end()
            return
        if response_class is Verdict.FAILED:
            self.ending.response = response
        self._retry(may_have_run=response_class is not Verdict.NOT_RUN)

    def failed(self, attempt: "_Attempt", failure: Failure) -> None:
        """Process the failure of an attempt."""
        self._open.remove(attempt)
        unreachable = failure is Failure.CONNECT
        now = self._loop.time()
        attempt.server.state.fail(attempt, now, unreachable)
        attempt.note.end(failure.name.lower(), now)
        if self.over:
            return
        if unreachable:
            self._counted -= 1
        else:
            self.ending.may_have_run = True
        self._retry(may_have_run=not unreachable)

    def _retry(self, may_have_run: bool) -> None:
        """Send another attempt if allowed; otherwise finish once none is open."""
        if may_have_run and not self.outgoing.repeatable:
            self._end()
            return
        if self._rejections <= _MAX_REJECTIONS and self._send("retry"):
            return
        if not self._open:
            self._end()

    def _send(self, why: str = "first") -> bool:
        now = self._loop.time()
        if self._counted >= self._max_attempts or now >= self.outgoing.deadline_at:
            return False
        servers = self._pool.usable(self._tried)
        if not servers:
            return False
        if why != "first" and not self._allowed(why, now):
            return False
        states = [server.state for server in servers]
        typical_s = self._timing.typical_s
        server = servers[choose_replica(states, now, typical_s, self._random)]
        expected_s = server.state.expected_s(now, typical_s)
        record = AttemptNote(server.known.id, why, now, expected_s)
        self.ending.attempts.append(record)
        attempt = _Attempt(self, server, self._names, record)
        self._tried.add(server.known.id)
        self._open.append(attempt)
        self._counted += 1
        server.state.begin(attempt, now, typical_s)
        may_send_another = (
            self.outgoing.repeatable and self._counted < self._max_attempts
        )
        if may_send_another and not self._held:
            self._stop_timer()
            self._timer = self._loop.call_later(self._timing.hedge_after_s, self._hedge)
        server.connections.submit(attempt, fresh=not self.outgoing.repeatable)
        return True

    def _hedge(self) -> None:
        self._timer = None
        if self.over:
            return
        now = self._loop.time()
        for attempt in self._open:
            attempt.server.state.late(attempt, now)
        self._send("hedge")

    def _allowed(self, why: str, now: float) -> bool:
        share = self._table.retry_part(now, self._gathered)
        if self._allowance.take(now, share, hedge=why == "hedge"):
            return True
        self.ending.denied.append(why)
        return False

    def _end(self) -> None:
        self.cancel(linger=len(self._open) > 0 and self.ending.good)
        self._done(self)

    def _drop(self) -> None:
        open_attempts, self._open = self._open, []
        for attempt in open_attempts:
            attempt.drop()

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None


class _Attempt:
    """One attempt of a call, sent to one server."""

    __slots__ = (
        "_call",
        "_connection",
        "_names",
        "bodiless",
        "note",
        "server",
        "wanted",
    )

    def __init__(
        self, call: ServiceCall, server: Server, names: HeaderNames, note: AttemptNote
    ) -> None:
        self._call = call
        self._names = names
        self._connection: OutboundConnection | None = None
        self.note = note
        self.server = server
        self.wanted = True
        self.bodiless = call.outgoing.bodiless

    def encode(self) -> bytes:
        outbound, header_names = self._call.outgoing, self._names
        now = asyncio.get_running_loop().time()
        remaining_ms = max(1, int((outbound.deadline_at - now) * _MS_PER_S))
        return b"%s%s: %d\r\n%s: %s\r\n\r\n%s" % (
            outbound.head,
            header_names.deadline_ms,
            remaining_ms,
            header_names.expected_server,
            self.server.known.id.encode(),
            outbound.body,
        )

    def sent(self, connection: OutboundConnection) -> None:
        self._connection = connection

    def accepts(self, response: Response) -> bool:
        echoed_id = response.header(self._names.attempt_id.lower())
        return echoed_id is None or echoed_id == self._call.outgoing.attempt_id

    def answered(self, response: Response) -> None:
        self._release()
        self._call.answered(self, response)

    def failed(self, failure: Failure) -> None:
        self._release()
        if self.wanted:
            self._call.failed(self, failure)

    def drop(self) -> None:
        self.wanted = False
        now = asyncio.get_running_loop().time()
        self.server.state.forget(self, now)
        if self._connection is not None:
            self._connection.abandon()
            self._release()
        else:
            self.server.connections.withdraw(self)

    def _release(self) -> None:
        connection, self._connection = self._connection, None
        if connection is not None:
            self.server.connections.release(connection)


def _ms(seconds: float) -> float:
    return round(seconds * _MS_PER_S, 1)


def _judge(response: Response, names: HeaderNames) -> Verdict:
    if (
        response.header(names.not_run.lower()) is not None
        or response.status == _MISDIRECTED
    ):
        return Verdict.NOT_RUN
    if response.header(names.seal.lower()) is None:
        return Verdict.UNSEALED
    encoding = response.header(b"content-encoding")
    if encoding is not None and encoding.lower() != b"identity":
        return Verdict.UNSEALED
    return Verdict.GOOD if 200 <= response.status < 300 else Verdict.FAILED
