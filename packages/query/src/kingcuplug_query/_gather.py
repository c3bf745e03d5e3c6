"""Scatter and gather of one query on one snapshot.

One task per attempt, written straight down. A shard counts once, whichever of its
attempts answers first; everything that comes later is dropped and counted.
"""

import asyncio
import dataclasses
import itertools
from collections.abc import Callable, Iterable
from enum import Enum, auto
from typing import Any

from kingcuplug_common import Metrics, Refusal, RefusalReason, identifier, start_hop
from kingcuplug_routing import (
    Attempt,
    AttemptOutcome,
    CrashGuard,
    Router,
    SnapshotView,
    Ticket,
)

from kingcuplug_query._backend import Cancel, ConnectFailed, ReplyLost, Send
from kingcuplug_query._messages import (
    QueryRequest,
    ReplyInvalid,
    ReplyStatus,
    SubReply,
    SubRequest,
)

__all__ = ["OUTCOME_OF_STATUS", "Allowance", "Gather", "Network"]

_LATE_REPLY_GRACE_S = 0.25
_MILLISECONDS = 1_000

OUTCOME_OF_STATUS = {
    ReplyStatus.OK: AttemptOutcome.OK,
    ReplyStatus.PARTIAL: AttemptOutcome.OK,
    ReplyStatus.SHED: AttemptOutcome.SHED,
    ReplyStatus.NOT_RUN: AttemptOutcome.SHED,
    ReplyStatus.SNAPSHOT_GONE: AttemptOutcome.SNAPSHOT_GONE,
    ReplyStatus.FAILED: AttemptOutcome.FAILED,
}
_ANSWERED = (ReplyStatus.OK, ReplyStatus.PARTIAL)
_DID_NOT_RUN = (ReplyStatus.SHED, ReplyStatus.NOT_RUN, ReplyStatus.SNAPSHOT_GONE)


@dataclasses.dataclass(slots=True)
class Allowance:
    """Retries that one caller's request may use, dependency calls included."""

    retries: int


@dataclasses.dataclass(frozen=True, slots=True)
class Network:
    """What a gather needs of the world outside.

    Attributes
    ----------
    zone : str
        The entry host's availability zone.
    background : callable
        Runs a coroutine as a task that may outlive the query.
    """

    zone: str
    send: Send
    cancel: Cancel
    metrics: Metrics
    background: Callable[[Any], None]


class _Next(Enum):
    """What follows an attempt."""

    DONE = auto()
    RETRY = auto()
    MOVED = auto()


@dataclasses.dataclass(slots=True)
class _SubAttempt:
    """One sub-request on its way."""

    ticket: Ticket
    request: SubRequest
    started: float
    hedge: bool
    abandoned: bool = False


class Gather:
    """Collects the shards of one query.

    Parameters
    ----------
    request : QueryRequest
        The query.
    view : SnapshotView
        The snapshot that every attempt is pinned to.
    router : Router
        Chooses servers and keeps their limits.
    guard : CrashGuard
        Stops fingerprints that crash servers.
    fingerprint : str
        The query's fingerprint.
    allowance : Allowance
        Retries left to the caller's request.
    network : Network
        Sends and cancels sub-requests.
    dependency_answers : dict or None
        Passed on with every sub-request.

    Attributes
    ----------
    replies : dict of int to SubReply
        The accepted reply of each shard.
    faults : dict of int to str
        The last fault of each shard.
    refusal : Refusal or None
        Why the whole query must stop.
    may_have_run : bool
        Whether a backend server can have acted on any sub-request.
    snapshot_gone : bool
        Whether no replica of some shard holds the snapshot any more.
    """

    def __init__(
        self,
        request: QueryRequest,
        view: SnapshotView,
        router: Router,
        guard: CrashGuard,
        fingerprint: str,
        allowance: Allowance,
        network: Network,
        dependency_answers: dict[str, Any] | None,
    ) -> None:
        self.view = view
        self.replies: dict[int, SubReply] = {}
        self.faults: dict[int, str] = {}
        self.refusal: Refusal | None = None
        self.may_have_run = False
        self.snapshot_gone = False
        self._request = request
        self._router = router
        self._guard = guard
        self._fingerprint = fingerprint
        self._allowance = allowance
        self._network = network
        self._dependency_answers = dependency_answers
        self._open: set[int] = set()
        self._attempts: dict[int, list[_SubAttempt]] = {}
        self._tried: dict[int, set[str]] = {}
        self._hedged: set[int] = set()
        self._hedge_tries: dict[int, int] = {}
        self._interrupted = False
        self._changed = asyncio.Event()
        self._numbers = itertools.count()
        self._attempt_prefix = identifier()
        self._loop = asyncio.get_running_loop()

    async def run(
        self, shards: Iterable[int], until: float, hedged: bool = True
    ) -> None:
        """Ask for `shards` and return when all ended or at the time `until`.

        It also returns when the snapshot turns out to be gone for a shard; called
        again, it goes on waiting for the others.

        Parameters
        ----------
        until : float
            Time on the event loop's clock, in seconds.
        hedged : bool
            Whether slow attempts may be hedged.
        """
        self._interrupted = False
        for shard in shards:
            if shard not in self.view.served_shards:
                self.faults[shard] = "no backend server holds the shard"
                continue
            self._open.add(shard)
            self._network.background(self._serve(shard))
        while self._running and self._loop.time() < until:
            hedge_at = self._hedge_due() if hedged else until
            await self._wait(min(hedge_at, until))

    def close(self) -> None:
        """Stop waiting; attempts still on their way are cancelled at the servers."""
        if any(self._attempts.get(shard) for shard in self._open):
            self.may_have_run = True
        for shard in self._open:
            self.faults.setdefault(shard, "no reply in time")
            self._abandon(shard)
        self._open.clear()

    @property
    def _running(self) -> bool:
        return bool(self._open) and not self._interrupted and self.refusal is None

    async def _wait(self, until: float) -> None:
        while self._running:
            self._changed.clear()
            try:
                async with asyncio.timeout_at(until):
                    await self._changed.wait()
            except TimeoutError:
                return

    async def _serve(self, shard: int, hedge: Ticket | None = None) -> None:
        """Try replicas of one shard until one answers or none is left."""
        following = _Next.MOVED
        if hedge is not None:
            following = await self._attempt(shard, hedge, hedge=True)
        while shard in self._open and following is not _Next.DONE:
            ticket = await self._ticket(shard, following is _Next.RETRY)
            if ticket is None:
                return
            following = await self._attempt(shard, ticket, hedge=False)

    async def _ticket(self, shard: int, retry: bool) -> Ticket | None:
        """Return capacity at an untried replica, or end the shard."""
        tried = self._tried.setdefault(shard, set())
        if retry and self._allowance.retries <= 0:
            self._end(shard, "the request's retries are used up")
            return None
        try:
            self._guard.check(self._fingerprint)
            with start_hop("capacity"):
                ticket = await self._router.acquire(
                    self.view.snapshot,
                    shard,
                    tried,
                    self._request.priority,
                    self._request.deadline,
                    self._network.zone,
                    Attempt.RETRY if retry else Attempt.FIRST,
                )
        except Refusal as refusal:
            self._refused(shard, refusal)
            return None
        if shard not in self._open:
            ticket.finish(AttemptOutcome.CANCELLED, 0.0)
            return None
        if retry:
            self._allowance.retries -= 1
            self._network.metrics.count("query.retry")
        tried.add(ticket.server)
        return ticket

    def _hedge_due(self) -> float:
        """Hedge the attempts that are due; return when the next one will be."""
        now = self._loop.time()
        following = self._request.deadline
        for shard in sorted(self._open - self._hedged):
            attempts = self._attempts.get(shard)
            delay_ms = self._router.hedge_delay_ms(shard)
            if delay_ms is None:
                continue
            # An attempt that still waits for capacity has not started its delay.
            started = attempts[0].started if attempts else now
            due = started + delay_ms * self._hedge_tries.get(shard, 1) / _MILLISECONDS
            if due > now:
                following = min(following, due)
            elif attempts:
                self._hedge(shard)
                following = min(following, now + delay_ms / _MILLISECONDS)
        return following

    def _hedge(self, shard: int) -> None:
        tried = self._tried[shard]
        ticket = self._router.choose(
            self.view.snapshot, shard, tried, self._network.zone, Attempt.HEDGE
        )
        if ticket is None:
            # No replica has room or the budget is spent; later, that may change.
            self._hedge_tries[shard] = self._hedge_tries.get(shard, 1) + 1
            return
        self._hedged.add(shard)
        tried.add(ticket.server)
        self._network.metrics.count("query.hedge")
        self._network.background(self._serve(shard, hedge=ticket))

    async def _attempt(self, shard: int, ticket: Ticket, hedge: bool) -> _Next:
        """Send one sub-request and return what follows."""
        sub_request = self._sub_request(shard)
        started = self._loop.time()
        attempt = _SubAttempt(ticket, sub_request, started, hedge)
        self._attempts.setdefault(shard, []).append(attempt)
        self._guard.started(
            sub_request.attempt_id,
            self._fingerprint,
            ticket.server,
            ticket.incarnation,
        )
        outcome = AttemptOutcome.CANCELLED
        hop = start_hop("sub-request")
        try:
            reply = await self._network.send(
                ticket,
                sub_request,
                self._request.deadline - started + _LATE_REPLY_GRACE_S,
            )
            outcome = OUTCOME_OF_STATUS[reply.status]
            return self._receive(shard, attempt, reply)
        except ConnectFailed:
            outcome = AttemptOutcome.CONNECTION_LOST
            self._note_gone(sub_request, ticket)
            return self._retryable(shard, "a replica accepts no connection")
        except ReplyLost as error:
            outcome = AttemptOutcome.CONNECTION_LOST
            self.may_have_run = True
            if error.server_gone:
                self._guard.server_crashed(
                    ticket.server,
                    ticket.incarnation,
                    self._request.service,
                    ticket.availability_zone,
                )
            return self._retryable(shard, "the connection to a replica broke")
        except ReplyInvalid:
            outcome = AttemptOutcome.FAILED
            self.may_have_run = True
            self._network.metrics.count("query.reply_invalid")
            return self._retryable(shard, "a replica sent an invalid reply")
        except TimeoutError:
            outcome = AttemptOutcome.TIMEOUT
            self.may_have_run = True
            self._end(shard, "no reply in time")
            return _Next.DONE
        finally:
            if attempt.abandoned:
                outcome = AttemptOutcome.CANCELLED
            ticket.finish(outcome, (self._loop.time() - started) * _MILLISECONDS)
            self._guard.ended(sub_request.attempt_id, outcome)
            self._attempts[shard].remove(attempt)
            hop.end(
                shard=shard,
                server=ticket.server,
                attempt_id=sub_request.attempt_id,
                hedge=hedge,
                outcome=outcome.value,
            )

    def _note_gone(self, sub_request: SubRequest, ticket: Ticket) -> None:
        """Report a server that accepts no connection, as evidence of a lost zone.

        Nothing was sent, so this query must not be blamed for it.
        """
        self._guard.ended(sub_request.attempt_id, AttemptOutcome.CANCELLED)
        self._guard.server_crashed(
            ticket.server,
            ticket.incarnation,
            self._request.service,
            ticket.availability_zone,
        )

    def _sub_request(self, shard: int) -> SubRequest:
        remaining_s = self._request.deadline - self._loop.time()
        return SubRequest(
            request_id=self._request.request_id,
            attempt_id=f"{self._attempt_prefix}-{next(self._numbers)}",
            service=self._request.service,
            kind="query",
            snapshot=self.view.snapshot,
            shard=shard,
            shard_count=self.view.shard_count,
            deadline_ms=max(int(remaining_s * _MILLISECONDS), 0),
            priority=self._request.priority.value,
            body=self._request.body,
            dependency_answers=self._dependency_answers,
        )

    def _receive(self, shard: int, attempt: _SubAttempt, reply: SubReply) -> _Next:
        if reply.status not in _DID_NOT_RUN:
            self.may_have_run = True
        if shard not in self._open:
            self._network.metrics.count("query.late_reply")
            return _Next.DONE
        if reply.status in _ANSWERED:
            self.replies[shard] = reply
            if attempt.hedge:
                self._network.metrics.count("query.hedge_won")
            self._end(shard, None)
            self._abandon(shard, except_for=attempt)
            return _Next.DONE
        if reply.status is ReplyStatus.SNAPSHOT_GONE:
            return _Next.MOVED
        if reply.status in _DID_NOT_RUN:
            # The router backs off from a server that shed; excluding it for the rest
            # of the query would send its work to the slowest replica.
            self._tried[shard].discard(attempt.ticket.server)
        return self._retryable(shard, f"a replica replied {reply.status.value}")

    def _retryable(self, shard: int, fault: str) -> _Next:
        if shard not in self._open:
            return _Next.DONE
        self.faults[shard] = fault
        # While another attempt of this shard is on its way it serves as the retry.
        return _Next.DONE if len(self._attempts[shard]) > 1 else _Next.RETRY

    def _refused(self, shard: int, refusal: Refusal) -> None:
        if refusal.reason is RefusalReason.CRASHING_REQUEST:
            self.refusal = refusal
            self._changed.set()
        if self._attempts.get(shard) or shard not in self._open:
            return
        if refusal.reason is RefusalReason.SNAPSHOT_UNKNOWN:
            self.snapshot_gone = self._interrupted = True
        self._end(shard, self.faults.get(shard, refusal.message))

    def _end(self, shard: int, fault: str | None) -> None:
        self._open.discard(shard)
        if fault is not None:
            self.faults[shard] = fault
        if not self._running:
            self._changed.set()

    def _abandon(self, shard: int, except_for: _SubAttempt | None = None) -> None:
        for attempt in self._attempts.get(shard, ()):
            if attempt is except_for or attempt.abandoned:
                continue
            attempt.abandoned = True
            self._network.metrics.count("query.abandoned")
            self._network.background(
                self._network.cancel(attempt.ticket, attempt.request.attempt_id)
            )
