"""Scatter and gather of one query on one snapshot.

One task per attempt, written straight down. A shard counts once, whichever of its
attempts answers first; everything that comes later is dropped and counted.
"""

import asyncio
import dataclasses
import itertools
from collections.abc import Callable, Iterable
from typing import Any

from kingcuplug_common import Metrics, Refusal, RefusalReason, identifier
from kingcuplug_routing import (
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

__all__ = ["Allowance", "Gather", "Network"]

_LATE_REPLY_GRACE_S = 0.25
_MILLISECONDS = 1_000

_OUTCOME_OF_STATUS = {
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
    """What a gather needs of the world outside."""

    send: Send
    cancel: Cancel
    metrics: Metrics
    background: Callable[[Any], None]


@dataclasses.dataclass(slots=True)
class _Attempt:
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
        self._attempts: dict[int, list[_Attempt]] = {}
        self._tried: dict[int, set[str]] = {}
        self._changed = asyncio.Event()
        self._numbers = itertools.count()
        self._attempt_prefix = identifier()
        self._loop = asyncio.get_running_loop()

    async def run(
        self, shards: Iterable[int], until: float, hedged: bool = True
    ) -> None:
        """Ask for `shards` and return when all ended or at the time `until`.

        Parameters
        ----------
        until : float
            Time on the event loop's clock, in seconds.
        hedged : bool
            Whether slow attempts may be hedged.
        """
        self._changed.clear()
        for shard in shards:
            self._open.add(shard)
            self._spawn(self._serve(shard))
        hedge_delay_ms = self._router.hedge_delay_ms() if hedged else None
        if hedge_delay_ms is not None:
            hedge_at = min(self._loop.time() + hedge_delay_ms / _MILLISECONDS, until)
            await self._wait(hedge_at)
            self._hedge()
        await self._wait(until)

    def close(self) -> None:
        """Stop waiting; attempts still on their way are cancelled at the servers."""
        if any(self._attempts.get(shard) for shard in self._open):
            self.may_have_run = True
        for shard in list(self._open):
            self.faults.setdefault(shard, "no reply in time")
            self._abandon(shard)
        self._open.clear()

    async def _wait(self, until: float) -> None:
        while self._open and not self.snapshot_gone and self.refusal is None:
            self._changed.clear()
            try:
                async with asyncio.timeout_at(until):
                    await self._changed.wait()
            except TimeoutError:
                return

    def _spawn(self, work: Any) -> None:
        self._network.background(work)

    async def _serve(self, shard: int, hedge: Ticket | None = None) -> None:
        """Try replicas of one shard until one answers or none is left."""
        retry = False
        if hedge is not None:
            retry = await self._attempt(shard, hedge, hedge=True)
        while shard in self._open and (retry or hedge is None):
            ticket = await self._ticket(shard, retry)
            if ticket is None:
                return
            retry = await self._attempt(shard, ticket, hedge=False)
            if not retry:
                return

    async def _ticket(self, shard: int, retry: bool) -> Ticket | None:
        """Return capacity at an untried replica, or end the shard."""
        tried = self._tried.setdefault(shard, set())
        try:
            self._guard.check(self._fingerprint)
            ticket = await self._router.acquire(
                self.view.snapshot,
                shard,
                tried,
                self._request.priority,
                self._request.deadline,
            )
        except Refusal as refusal:
            self._fail(shard, refusal)
            return None
        if shard not in self._open:
            ticket.finish(AttemptOutcome.CANCELLED, 0.0)
            return None
        if retry and not self._spend_retry():
            ticket.finish(AttemptOutcome.CANCELLED, 0.0)
            self._end(shard, "retry budget is used up")
            return None
        tried.add(ticket.server.server)
        return ticket

    def _spend_retry(self) -> bool:
        if self._allowance.retries <= 0 or not self._router.may_retry():
            self._network.metrics.count("query.retry_refused")
            return False
        self._allowance.retries -= 1
        self._network.metrics.count("query.retry")
        return True

    def _hedge(self) -> None:
        for shard in sorted(self._open):
            if not self._attempts.get(shard):
                continue
            tried = self._tried[shard]
            ticket = self._router.choose(self.view.snapshot, shard, tried)
            if ticket is None:
                continue
            if not self._router.may_hedge():
                ticket.finish(AttemptOutcome.CANCELLED, 0.0)
                return
            tried.add(ticket.server.server)
            self._network.metrics.count("query.hedge")
            self._spawn(self._serve(shard, hedge=ticket))

    async def _attempt(self, shard: int, ticket: Ticket, hedge: bool) -> bool:
        """Send one sub-request; return whether another replica should be tried."""
        sub_request = self._sub_request(shard)
        started = self._loop.time()
        attempt = _Attempt(ticket, sub_request, started, hedge)
        self._attempts.setdefault(shard, []).append(attempt)
        # A server that announces a new incarnation while this attempt is in flight
        # counts as crashed, so the guard must know the attempt beforehand.
        self._guard.started(self._fingerprint, ticket.server.server)
        outcome = AttemptOutcome.CANCELLED
        completed = False
        try:
            reply = await self._network.send(
                ticket.server,
                sub_request,
                self._request.deadline - started + _LATE_REPLY_GRACE_S,
            )
            outcome = _OUTCOME_OF_STATUS[reply.status]
            completed = reply.status not in _DID_NOT_RUN
            return self._receive(shard, attempt, reply)
        except ConnectFailed:
            outcome = AttemptOutcome.CONNECTION_LOST
            return self._retryable(shard, "no connection to a replica")
        except ReplyLost as error:
            outcome = AttemptOutcome.CONNECTION_LOST
            self.may_have_run = True
            if error.server_gone:
                self._guard.server_crashed(ticket.server.server)
            return self._retryable(shard, "connection to a replica broke")
        except ReplyInvalid:
            outcome = AttemptOutcome.FAILED
            self.may_have_run = True
            self._network.metrics.count("query.reply_invalid")
            return self._retryable(shard, "a replica sent an invalid reply")
        except TimeoutError:
            outcome = AttemptOutcome.TIMEOUT
            self.may_have_run = True
            self._end(shard, "no reply in time")
            return False
        finally:
            if attempt.abandoned:
                outcome = AttemptOutcome.CANCELLED
            ticket.finish(outcome, (self._loop.time() - started) * _MILLISECONDS)
            self._guard.ended(self._fingerprint, ticket.server.server, completed)
            self._attempts[shard].remove(attempt)

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

    def _receive(self, shard: int, attempt: _Attempt, reply: SubReply) -> bool:
        if reply.status not in _DID_NOT_RUN:
            self.may_have_run = True
        if shard not in self._open:
            self._network.metrics.count("query.late_reply")
            return False
        if reply.status in _ANSWERED:
            self.replies[shard] = reply
            if attempt.hedge:
                self._network.metrics.count("query.hedge_won")
            self._end(shard, None)
            self._abandon(shard, except_for=attempt)
            return False
        if reply.status is ReplyStatus.SNAPSHOT_GONE:
            return self._try_next_holder(shard)
        return self._retryable(shard, f"a replica replied {reply.status.value}")

    def _try_next_holder(self, shard: int) -> bool:
        """Return whether another replica may still hold the snapshot."""
        if self._router.holds(self.view.snapshot, shard, self._tried[shard]):
            self._allowance.retries += 1  # A moved replica cost no work.
            return True
        self._end(shard, "no replica holds the snapshot any more")
        self.snapshot_gone = True
        return False

    def _retryable(self, shard: int, fault: str) -> bool:
        if shard not in self._open:
            return False
        self.faults[shard] = fault
        others = [a for a in self._attempts.get(shard, ()) if not a.abandoned]
        # While a hedge of this shard is on its way it serves as the retry.
        return len(others) <= 1

    def _fail(self, shard: int, refusal: Refusal) -> None:
        if refusal.reason is RefusalReason.CRASHING_REQUEST:
            self.refusal = refusal
        others = [a for a in self._attempts.get(shard, ()) if not a.abandoned]
        if not others:
            self._end(shard, self.faults.get(shard) or refusal.message)

    def _end(self, shard: int, fault: str | None) -> None:
        self._open.discard(shard)
        if fault is not None:
            self.faults[shard] = fault
        if not self._open or self.refusal is not None or fault is not None:
            self._changed.set()

    def _abandon(self, shard: int, except_for: _Attempt | None = None) -> None:
        for attempt in self._attempts.get(shard, ()):
            if attempt is except_for or attempt.abandoned:
                continue
            attempt.abandoned = True
            self._network.metrics.count("query.abandoned")
            self._spawn(
                self._network.cancel(attempt.ticket.server, attempt.request.attempt_id)
            )


