"""Scatter-gather of one query on one snapshot.

Each attempt runs in one task. The first answer to arrive for a shard is used; later
answers for it are dropped and counted in a metric.
"""

import asyncio
import dataclasses
import itertools
from collections.abc import Callable, Iterable
from enum import Enum, auto
from typing import Any

from kingcuplug_common import (
    Metrics,
    Refusal,
    RefusalReason,
    random_identifier,
    start_hop,
)
from kingcuplug_routing import (
    Attempt,
    AttemptOutcome,
    CrashGuard,
    Router,
    SnapshotView,
    Ticket,
)

from kingcuplug_query._backend_client import (
    CancelAttempt,
    ConnectFailed,
    ReplyLost,
    SendSubRequest,
)
from kingcuplug_query._messages import (
    QueryRequest,
    ReplyInvalid,
    ReplyStatus,
    SubReply,
    SubRequest,
)

__all__ = [
    "OUTCOME_BY_STATUS",
    "RequestRetryBudget",
    "ScatterGather",
    "ScatterGatherContext",
]

_LATE_REPLY_GRACE_S = 0.25
_MS_PER_S = 1_000

OUTCOME_BY_STATUS = {
    ReplyStatus.OK: AttemptOutcome.OK,
    ReplyStatus.PARTIAL: AttemptOutcome.OK,
    ReplyStatus.SHED: AttemptOutcome.SHED,
    ReplyStatus.NOT_RUN: AttemptOutcome.SHED,
    ReplyStatus.SNAPSHOT_GONE: AttemptOutcome.SNAPSHOT_GONE,
    ReplyStatus.FAILED: AttemptOutcome.FAILED,
}
_ANSWER_STATUSES = (ReplyStatus.OK, ReplyStatus.PARTIAL)
_NOT_EXECUTED_STATUSES = (
    ReplyStatus.SHED,
    ReplyStatus.NOT_RUN,
    ReplyStatus.SNAPSHOT_GONE,
)


@dataclasses.dataclass(slots=True)
class RequestRetryBudget:
    """Retries left to one caller's request, including its dependency calls."""

    remaining: int


@dataclasses.dataclass(frozen=True, slots=True)
class ScatterGatherContext:
    """Transport, metrics and task runner that all queries of an entry host share.

    Attributes
    ----------
    zone : str
        The entry host's availability zone.
    start_background_task : callable
        Runs a coroutine as a task that may outlive the query.
    """

    zone: str
    send: SendSubRequest
    cancel: CancelAttempt
    metrics: Metrics
    start_background_task: Callable[[Any], None]


class _NextStep(Enum):
    """What to do for a shard after an attempt."""

    DONE = auto()
    RETRY = auto()
    TRY_OTHER_REPLICA = auto()


@dataclasses.dataclass(slots=True)
class _InFlightAttempt:
    """One sub-request that was sent and has not ended."""

    ticket: Ticket
    request: SubRequest
    started_at: float
    is_hedge: bool
    abandoned: bool = False


class ScatterGather:
    """Fetches the shards of one query.

    Parameters
    ----------
    request : QueryRequest
        The query.
    view : SnapshotView
        The snapshot that every attempt reads.
    router : Router
        Chooses servers and enforces their limits.
    crash_guard : CrashGuard
        Refuses requests that crash servers, by fingerprint.
    fingerprint : str
        The query's fingerprint.
    retry_budget : RequestRetryBudget
        Retries left to the caller's request.
    context : ScatterGatherContext
        Sends and cancels sub-requests.
    dependency_answers : dict or None
        Sent with every sub-request.

    Attributes
    ----------
    replies : dict of int to SubReply
        The accepted reply of each shard.
    failures : dict of int to str
        The last failure of each shard.
    refusal : Refusal or None
        The reason to stop the whole query, if there is one.
    may_have_run : bool
        Whether a backend server may have executed any sub-request.
    snapshot_gone : bool
        Whether no replica of some shard holds the snapshot any more.
    """

    def __init__(
        self,
        request: QueryRequest,
        view: SnapshotView,
        router: Router,
        crash_guard: CrashGuard,
        fingerprint: str,
        retry_budget: RequestRetryBudget,
        context: ScatterGatherContext,
        dependency_answers: dict[str, Any] | None,
    ) -> None:
        self.view = view
        self.replies: dict[int, SubReply] = {}
        self.failures: dict[int, str] = {}
        self.refusal: Refusal | None = None
        self.may_have_run = False
        self.snapshot_gone = False
        self._request = request
        self._router = router
        self._crash_guard = crash_guard
        self._fingerprint = fingerprint
        self._retry_budget = retry_budget
        self._context = context
        self._dependency_answers = dependency_answers
        self._pending_shards: set[int] = set()
        self._in_flight: dict[int, list[_InFlightAttempt]] = {}
        self._tried_servers: dict[int, set[str]] = {}
        self._hedged_shards: set[int] = set()
        self._hedge_delay_factors: dict[int, int] = {}
        self._stopped_by_lost_snapshot = False
        self._state_changed = asyncio.Event()
        self._attempt_numbers = itertools.count()
        self._attempt_prefix = random_identifier()
        self._loop = asyncio.get_running_loop()

    async def fetch(
        self, shards: Iterable[int], wait_until: float, allow_hedges: bool = True
    ) -> None:
        """Fetch `shards`; return when all have ended or at the time `wait_until`.

        It also returns when no replica of a shard holds the snapshot any more; called
        again, it continues to wait for the other shards.

        Parameters
        ----------
        wait_until : float
            Time on the event loop's clock, in seconds.
        allow_hedges : bool
            Whether slow attempts may be hedged.
        """
        self._stopped_by_lost_snapshot = False
        for shard in shards:
            if shard not in self.view.served_shards:
                self.failures[shard] = "no backend server holds the shard"
                continue
            self._pending_shards.add(shard)
            self._context.start_background_task(self._fetch_shard(shard))
        while self._in_progress and self._loop.time() < wait_until:
            hedge_at = self._start_due_hedges() if allow_hedges else wait_until
            await self._wait_for_completion(min(hedge_at, wait_until))

    def close(self) -> None:
        """Stop waiting, and ask the servers to cancel the attempts in flight."""
        if any(self._in_flight.get(shard) for shard in self._pending_shards):
            self.may_have_run = True
        for shard in self._pending_shards:
            self.failures.setdefault(shard, "no reply in time")
            self._abandon_attempts(shard)
        self._pending_shards.clear()

    @property
    def _in_progress(self) -> bool:
        return (
            bool(self._pending_shards)
            and not self._stopped_by_lost_snapshot
            and self.refusal is None
        )

    async def _wait_for_completion(self, wait_until: float) -> None:
        while self._in_progress:
            self._state_changed.clear()
            try:
                async with asyncio.timeout_at(wait_until):
                    await self._state_changed.wait()
            except TimeoutError:
                return

    async def _fetch_shard(
        self, shard: int, hedge_ticket: Ticket | None = None
    ) -> None:
        """Try replicas of one shard until one answers or no replica is left."""
        next_step = _NextStep.TRY_OTHER_REPLICA
        if hedge_ticket is not None:
            next_step = await self._run_attempt(shard, hedge_ticket, is_hedge=True)
        while shard in self._pending_shards and next_step is not _NextStep.DONE:
            ticket = await self._acquire_ticket(shard, next_step is _NextStep.RETRY)
            if ticket is None:
                return
            next_step = await self._run_attempt(shard, ticket, is_hedge=False)

    async def _acquire_ticket(self, shard: int, is_retry: bool) -> Ticket | None:
        """Acquire capacity at an untried replica; if there is none, end the shard."""
        tried_servers = self._tried_servers.setdefault(shard, set())
        if is_retry and self._retry_budget.remaining <= 0:
            self._finish_shard(shard, "the retry budget of the request is exhausted")
            return None
        try:
            self._crash_guard.check(self._fingerprint)
            with start_hop("capacity"):
                ticket = await self._router.acquire(
                    self.view.snapshot,
                    shard,
                    tried_servers,
                    self._request.priority,
                    self._request.deadline,
                    self._context.zone,
                    Attempt.RETRY if is_retry else Attempt.FIRST,
                )
        except Refusal as refusal:
            self._handle_refusal(shard, refusal)
            return None
        if shard not in self._pending_shards:
            ticket.finish(AttemptOutcome.CANCELLED, 0.0)
            return None
        if is_retry:
            self._retry_budget.remaining -= 1
            self._context.metrics.count("query.retry")
        tried_servers.add(ticket.server)
        return ticket

    def _start_due_hedges(self) -> float:
        """Send the hedges that are due; return the time when the next one is due."""
        now = self._loop.time()
        next_due = self._request.deadline
        for shard in sorted(self._pending_shards - self._hedged_shards):
            attempts = self._in_flight.get(shard)
            delay_ms = self._router.hedge_delay_ms(shard)
            if delay_ms is None:
                continue
            # The hedge delay starts when the attempt is sent, not while it waits for
            # capacity.
            started_at = attempts[0].started_at if attempts else now
            due = (
                started_at
                + delay_ms * self._hedge_delay_factors.get(shard, 1) / _MS_PER_S
            )
            if due > now:
                next_due = min(next_due, due)
            elif attempts:
                self._try_hedge(shard)
                next_due = min(next_due, now + delay_ms / _MS_PER_S)
        return next_due

    def _try_hedge(self, shard: int) -> None:
        tried_servers = self._tried_servers[shard]
        ticket = self._router.choose(
            self.view.snapshot, shard, tried_servers, self._context.zone, Attempt.HEDGE
        )
        if ticket is None:
            # No replica has capacity or the hedge budget is exhausted; try again after
            # another delay.
            self._hedge_delay_factors[shard] = (
                self._hedge_delay_factors.get(shard, 1) + 1
            )
            return
        self._hedged_shards.add(shard)
        tried_servers.add(ticket.server)
        self._context.metrics.count("query.hedge")
        self._context.start_background_task(
            self._fetch_shard(shard, hedge_ticket=ticket)
        )

    async def _run_attempt(
        self, shard: int, ticket: Ticket, is_hedge: bool
    ) -> _NextStep:
        """Send one sub-request and return what to do next for its shard."""
        sub_request = self._build_sub_request(shard)
        started_at = self._loop.time()
        attempt = _InFlightAttempt(ticket, sub_request, started_at, is_hedge)
        self._in_flight.setdefault(shard, []).append(attempt)
        self._crash_guard.attempt_started(
            sub_request.attempt_id,
            self._fingerprint,
            ticket.server,
            ticket.incarnation,
        )
        outcome = AttemptOutcome.CANCELLED
        hop = start_hop("sub-request")
        try:
            reply = await self._context.send(
                ticket,
                sub_request,
                self._request.deadline - started_at + _LATE_REPLY_GRACE_S,
            )
            outcome = OUTCOME_BY_STATUS[reply.status]
            return self._handle_reply(shard, attempt, reply)
        except ConnectFailed:
            outcome = AttemptOutcome.CONNECTION_LOST
            self._report_unreachable(sub_request, ticket)
            return self._step_after_failure(shard, "a replica accepts no connection")
        except ReplyLost as error:
            outcome = AttemptOutcome.CONNECTION_LOST
            self.may_have_run = True
            if error.server_unreachable:
                self._crash_guard.server_crashed(
                    ticket.server,
                    ticket.incarnation,
                    self._request.service,
                    ticket.availability_zone,
                )
            return self._step_after_failure(shard, "the connection to a replica broke")
        except ReplyInvalid:
            outcome = AttemptOutcome.FAILED
            self.may_have_run = True
            self._context.metrics.count("query.reply_invalid")
            return self._step_after_failure(shard, "a replica sent an invalid reply")
        except TimeoutError:
            outcome = AttemptOutcome.TIMEOUT
            self.may_have_run = True
            self._finish_shard(shard, "no reply in time")
            return _NextStep.DONE
        finally:
            if attempt.abandoned:
                outcome = AttemptOutcome.CANCELLED
            ticket.finish(outcome, (self._loop.time() - started_at) * _MS_PER_S)
            self._crash_guard.attempt_ended(sub_request.attempt_id, outcome)
            self._in_flight[shard].remove(attempt)
            hop.end(
                shard=shard,
                server=ticket.server,
                attempt_id=sub_request.attempt_id,
                hedge=is_hedge,
                outcome=outcome.value,
            )

    def _report_unreachable(self, sub_request: SubRequest, ticket: Ticket) -> None:
        """Report an unreachable server to the crash guard.

        The report helps to detect the loss of a zone. Nothing was sent, so the attempt
        ends first and this query is not suspected of crashing the server.
        """
        self._crash_guard.attempt_ended(
            sub_request.attempt_id, AttemptOutcome.CANCELLED
        )
        self._crash_guard.server_crashed(
            ticket.server,
            ticket.incarnation,
            self._request.service,
            ticket.availability_zone,
        )

    def _build_sub_request(self, shard: int) -> SubRequest:
        remaining_s = self._request.deadline - self._loop.time()
        return SubRequest(
            request_id=self._request.request_id,
            attempt_id=f"{self._attempt_prefix}-{next(self._attempt_numbers)}",
            service=self._request.service,
            kind="query",
            snapshot=self.view.snapshot,
            shard=shard,
            shard_count=self.view.shard_count,
            deadline_ms=max(int(remaining_s * _MS_PER_S), 0),
            priority=self._request.priority.value,
            body=self._request.body,
            dependency_answers=self._dependency_answers,
        )

    def _handle_reply(
        self, shard: int, attempt: _InFlightAttempt, reply: SubReply
    ) -> _NextStep:
        if reply.status not in _NOT_EXECUTED_STATUSES:
            self.may_have_run = True
        if shard not in self._pending_shards:
            self._context.metrics.count("query.late_reply")
            return _NextStep.DONE
        if reply.status in _ANSWER_STATUSES:
            self.replies[shard] = reply
            if attempt.is_hedge:
                self._context.metrics.count("query.hedge_won")
            self._finish_shard(shard, None)
            self._abandon_attempts(shard, except_for=attempt)
            return _NextStep.DONE
        if reply.status is ReplyStatus.SNAPSHOT_GONE:
            return _NextStep.TRY_OTHER_REPLICA
        if reply.status in _NOT_EXECUTED_STATUSES:
            # The router backs off from a server that sheds load. Excluding the server
            # for the rest of the query would move its work to the slowest replica.
            self._tried_servers[shard].discard(attempt.ticket.server)
        return self._step_after_failure(
            shard, f"a replica replied {reply.status.value}"
        )

    def _step_after_failure(self, shard: int, failure: str) -> _NextStep:
        if shard not in self._pending_shards:
            return _NextStep.DONE
        self.failures[shard] = failure
        # Another attempt of this shard that is in flight serves as the retry.
        return _NextStep.DONE if len(self._in_flight[shard]) > 1 else _NextStep.RETRY

    def _handle_refusal(self, shard: int, refusal: Refusal) -> None:
        if refusal.reason is RefusalReason.CRASHING_REQUEST:
            self.refusal = refusal
            self._state_changed.set()
        if self._in_flight.get(shard) or shard not in self._pending_shards:
            return
        if refusal.reason is RefusalReason.SNAPSHOT_UNKNOWN:
            self.snapshot_gone = self._stopped_by_lost_snapshot = True
        self._finish_shard(shard, self.failures.get(shard, refusal.message))

    def _finish_shard(self, shard: int, failure: str | None) -> None:
        self._pending_shards.discard(shard)
        if failure is not None:
            self.failures[shard] = failure
        if not self._in_progress:
            self._state_changed.set()

    def _abandon_attempts(
        self, shard: int, except_for: _InFlightAttempt | None = None
    ) -> None:
        for attempt in self._in_flight.get(shard, ()):
            if attempt is except_for or attempt.abandoned:
                continue
            attempt.abandoned = True
            self._context.metrics.count("query.abandoned")
            self._context.start_background_task(
                self._context.cancel(attempt.ticket, attempt.request.attempt_id)
            )
