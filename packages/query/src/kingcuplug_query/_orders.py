"""Execution of orders, which run at most once.

A quorum of the ledger records each step before the next one starts: the claim before
capacity is acquired, the dispatch before the first byte is sent, the outcome before
the answer is returned. After the dispatch there is no retry and no hedge.
"""

import asyncio
from collections.abc import Callable

from kingcuplug_common import (
    KingcuplugError,
    Metrics,
    Refusal,
    RefusalReason,
    digest,
    not_run_refusal,
    random_identifier,
    start_hop,
    traced_entry,
)
from kingcuplug_ledger import (
    Attached,
    Claimed,
    KeyInvalid,
    LedgerClient,
    MustNotSend,
    OrderRecord,
    ReleaseRefused,
    SubmissionUnknown,
)
from kingcuplug_routing import AttemptOutcome, CrashGuard, Ticket

from kingcuplug_query._attempt_results import (
    AttemptResult,
    answer_from_record,
    answer_from_result,
    result_from_reply,
)
from kingcuplug_query._backend_client import (
    ConnectFailed,
    IsReachable,
    ReplyLost,
    SendSubRequest,
)
from kingcuplug_query._background_tasks import BackgroundTasks
from kingcuplug_query._messages import (
    Answer,
    OrderRequest,
    ReplyInvalid,
    SubRequest,
)
from kingcuplug_query._order_refusals import (
    SAME_KEY_REMEDY,
    claim_held_refusal,
    key_refusal,
    no_quorum_refusal,
    outcome_unknown_refusal,
    refusal_for_all_copies,
)
from kingcuplug_query._query import RevisionView, ServiceRuntime, fingerprint_of
from kingcuplug_query._query_refusals import require_dependency_served
from kingcuplug_query._scatter_gather import OUTCOME_BY_STATUS
from kingcuplug_query._snapshots import choose_snapshot, shard_of

__all__ = ["OrderExecutor"]

_ONE_SECOND_MS = 1_000
# The reply is awaited beyond the caller's deadline, so that a resend of the order
# finds its outcome.
_LATE_REPLY_WAIT_S = 30.0
_LEDGER_WRITE_TIMEOUT_S = 30.0
_MS_PER_DAY = 86_400_000

IsHolderLost = Callable[[str, int], bool]


class OrderExecutor:
    """Runs orders.

    Parameters
    ----------
    ledger : LedgerClient
        Access to the order ledger.
    send : SendSubRequest
        Transport to the backend servers.
    crash_guard : CrashGuard
        Crash guard that all services of this entry host share.
    metrics : Metrics
        Counters.
    background_tasks : BackgroundTasks
        Runs attempts and ledger writes, which may outlive their request.
    zone : str
        The entry host's availability zone.
    is_holder_lost : callable
        Whether the process of an entry host, by host name and incarnation, is known to
        have ended.
    is_reachable : IsReachable
        Whether a server accepts connections.
    """

    def __init__(
        self,
        ledger: LedgerClient,
        send: SendSubRequest,
        crash_guard: CrashGuard,
        metrics: Metrics,
        background_tasks: BackgroundTasks,
        zone: str,
        is_holder_lost: IsHolderLost,
        is_reachable: IsReachable,
    ) -> None:
        self._is_reachable = is_reachable
        self._ledger = ledger
        self._send = send
        self._crash_guard = crash_guard
        self._metrics = metrics
        self._background_tasks = background_tasks
        self._zone = zone
        self._is_holder_lost = is_holder_lost

    async def run(
        self, request: OrderRequest, revision: RevisionView, retention_days: int
    ) -> Answer:
        """Run the order, wait for its run elsewhere, or return its recorded outcome.

        Raises
        ------
        Refusal
            If there is no outcome to return; its kind says whether the order may
            have run.
        """
        try:
            return await self._run(request, revision, retention_days)
        except Refusal as refusal:
            raise refusal_for_all_copies(refusal, request.resend) from refusal

    async def _run(
        self, request: OrderRequest, revision: RevisionView, retention_days: int
    ) -> Answer:
        runtime = revision.find(request.service)
        self._crash_guard.check(_fingerprint(request))
        for name in runtime.service.depends_on:
            require_dependency_served(name, revision.find(name).router, request.service)
        _require_time_left(request)
        retention_ms = retention_days * _MS_PER_DAY
        claim = await self._claim(request, revision.number, retention_ms)
        if isinstance(claim, OrderRecord):
            return answer_from_record(claim, request)
        return await self._run_claimed(request, runtime, revision.number, claim)

    async def _claim(
        self, request: OrderRequest, revision: int, retention_ms: int
    ) -> str | OrderRecord:
        """Claim the order; return the claim token or the record of an earlier claim."""
        takeover = False
        while True:
            try:
                result = await self._ledger.claim(
                    request.key,
                    digest([request.service, request.partition_key, request.body]),
                    request.service,
                    revision=revision,
                    retention_ms=retention_ms,
                    deadline=request.deadline,
                    takeover=takeover,
                )
            except KeyInvalid as error:
                raise not_run_refusal(
                    RefusalReason.INVALID_REQUEST, error.message, error.remedy
                ) from error
            except KingcuplugError as error:
                raise no_quorum_refusal(error) from error
            if isinstance(result, Claimed):
                return result.token
            if not isinstance(result, Attached):
                raise key_refusal(request.key, result)
            record = await self._attach(request)
            if record.state in ("dispatched", "finished"):
                return record
            takeover = self._is_holder_lost(record.host, record.host_incarnation)
            if record.state == "claimed" and not takeover:
                raise claim_held_refusal(request, record)

    async def _attach(self, request: OrderRequest) -> OrderRecord:
        self._metrics.count("order.attached")
        try:
            record = await self._ledger.wait_for_outcome(
                request.key, deadline=request.deadline, holder_lost=self._is_holder_lost
            )
        except SubmissionUnknown as error:
            raise outcome_unknown_refusal(error.message) from error
        if record is None:
            raise outcome_unknown_refusal(
                f"the record of order {request.key} was purged"
            )
        return record

    async def _run_claimed(
        self,
        request: OrderRequest,
        runtime: ServiceRuntime,
        revision: int,
        claim_token: str,
    ) -> Answer:
        dispatched = False
        try:
            admission = runtime.admission.admit(request.priority, request.deadline)
            async with traced_entry("admission", admission):
                ticket, sub_request = await self._acquire_capacity(request, runtime)
                try:
                    await self._record_dispatch(
                        request, claim_token, ticket, sub_request
                    )
                except BaseException:
                    ticket.finish(AttemptOutcome.CANCELLED, 0.0)
                    raise
                dispatched = True
                return await self._send_and_await_result(
                    request, claim_token, ticket, sub_request, revision
                )
        except (Refusal, asyncio.CancelledError):
            if not dispatched:
                self._background_tasks.start(
                    self._release_claim(request.key, claim_token)
                )
            raise

    async def _acquire_capacity(
        self, request: OrderRequest, runtime: ServiceRuntime
    ) -> tuple[Ticket, SubRequest]:
        view = choose_snapshot(runtime.router.snapshots(), request.partition_key)
        if view is None:
            raise not_run_refusal(
                RefusalReason.SNAPSHOT_UNKNOWN,
                f"no backend server of {request.service!r} has announced a snapshot",
                SAME_KEY_REMEDY,
                retry_after_ms=_ONE_SECOND_MS,
            )
        shard = shard_of(request.partition_key, view.shard_count)
        ticket = await self._acquire_reachable_server(
            request, runtime, view.snapshot, shard
        )
        remaining_s = request.deadline - asyncio.get_running_loop().time()
        return ticket, SubRequest(
            request_id=request.request_id,
            attempt_id=random_identifier(),
            service=request.service,
            kind="order",
            snapshot=view.snapshot,
            shard=shard,
            shard_count=view.shard_count,
            deadline_ms=max(int(remaining_s * _ONE_SECOND_MS), 0),
            priority=request.priority.value,
            body=request.body,
            idempotency_key=request.key,
        )

    async def _acquire_reachable_server(
        self, request: OrderRequest, runtime: ServiceRuntime, snapshot: int, shard: int
    ) -> Ticket:
        """Acquire capacity at a server that accepts connections.

        There is no retry after the dispatch, so unreachable servers have to be skipped
        before it.
        """
        unreachable_servers: set[str] = set()
        while True:
            ticket = await runtime.router.acquire(
                snapshot,
                shard,
                unreachable_servers,
                request.priority,
                request.deadline,
                self._zone,
            )
            if await self._is_reachable(ticket):
                return ticket
            ticket.finish(AttemptOutcome.CONNECTION_LOST, 0.0)
            unreachable_servers.add(ticket.server)

    async def _record_dispatch(
        self,
        request: OrderRequest,
        claim_token: str,
        ticket: Ticket,
        sub_request: SubRequest,
    ) -> None:
        try:
            await self._ledger.record_dispatch(
                request.key,
                claim_token,
                ticket.server,
                sub_request.attempt_id,
                deadline=request.deadline,
            )
        except MustNotSend as error:
            # Only this task may send with this claim token, and it does not.
            raise not_run_refusal(
                RefusalReason.NO_QUORUM, error.message, SAME_KEY_REMEDY
            ) from error
        except KingcuplugError as error:
            raise no_quorum_refusal(error) from error

    async def _release_claim(self, key: str, claim_token: str) -> None:
        """Release the claim of an order that was not sent, or record it as not run."""
        deadline = asyncio.get_running_loop().time() + _LEDGER_WRITE_TIMEOUT_S
        try:
            result = await self._ledger.release(key, claim_token, deadline=deadline)
            if (
                isinstance(result, ReleaseRefused)
                and result.reason == "already_dispatched"
            ):
                await self._ledger.record_outcome(
                    key, claim_token, "not_run", "not_sent", None, deadline=deadline
                )
        except KingcuplugError:
            self._metrics.count("order.release_failed")

    async def _send_and_await_result(
        self,
        request: OrderRequest,
        claim_token: str,
        ticket: Ticket,
        sub_request: SubRequest,
        revision: int,
    ) -> Answer:
        result_future: asyncio.Future[AttemptResult] = (
            asyncio.get_running_loop().create_future()
        )
        # The attempt runs in its own task, because a caller that disconnects must not
        # cancel a dispatched order.
        self._background_tasks.start(
            self._run_attempt(request, claim_token, ticket, sub_request, result_future)
        )
        try:
            async with asyncio.timeout_at(request.deadline):
                result = await result_future
        except TimeoutError:
            raise outcome_unknown_refusal(
                "the outcome was not known before the deadline"
            ) from None
        return answer_from_result(result, request, revision)

    async def _run_attempt(
        self,
        request: OrderRequest,
        claim_token: str,
        ticket: Ticket,
        sub_request: SubRequest,
        result_future: "asyncio.Future[AttemptResult]",
    ) -> None:
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        self._crash_guard.attempt_started(
            sub_request.attempt_id,
            _fingerprint(request),
            ticket.server,
            ticket.incarnation,
        )
        outcome = AttemptOutcome.CANCELLED
        hop = start_hop("sub-request")
        try:
            timeout_s = request.deadline - started_at + _LATE_REPLY_WAIT_S
            outcome, result = await self._send_and_classify(
                ticket, sub_request, timeout_s
            )
        finally:
            ticket.finish(outcome, (loop.time() - started_at) * _ONE_SECOND_MS)
            self._crash_guard.attempt_ended(sub_request.attempt_id, outcome)
            hop.end(
                shard=sub_request.shard,
                server=ticket.server,
                attempt_id=sub_request.attempt_id,
                hedge=False,
                outcome=outcome.value,
            )
        await self._record_outcome(request.key, claim_token, result)
        if not result_future.done():
            result_future.set_result(result)

    async def _send_and_classify(
        self, ticket: Ticket, sub_request: SubRequest, timeout_s: float
    ) -> tuple[AttemptOutcome, AttemptResult]:
        try:
            reply = await self._send(ticket, sub_request, timeout_s)
        except ConnectFailed as error:
            result = AttemptResult("not_run", "connect_failed", error.message)
            return AttemptOutcome.CONNECTION_LOST, result
        except ReplyLost as error:
            if error.server_unreachable:
                self._crash_guard.server_crashed(
                    ticket.server,
                    ticket.incarnation,
                    sub_request.service,
                    ticket.availability_zone,
                )
            result = AttemptResult("unknown", "reply_lost", error.message)
            return AttemptOutcome.CONNECTION_LOST, result
        except ReplyInvalid as error:
            result = AttemptResult("unknown", "reply_invalid", error.message)
            return AttemptOutcome.FAILED, result
        except TimeoutError:
            result = AttemptResult(
                "unknown", "no_reply", "the backend server did not reply"
            )
            return AttemptOutcome.TIMEOUT, result
        return OUTCOME_BY_STATUS[reply.status], result_from_reply(reply, sub_request)

    async def _record_outcome(
        self, key: str, claim_token: str, result: AttemptResult
    ) -> None:
        deadline = asyncio.get_running_loop().time() + _LEDGER_WRITE_TIMEOUT_S
        try:
            await self._ledger.record_outcome(
                key,
                claim_token,
                result.kind,
                result.status,
                result.body,
                deadline=deadline,
            )
        except KingcuplugError:
            # The answer remains valid; a resend will be refused as `outcome_unknown`.
            self._metrics.count("order.outcome_not_recorded")


def _fingerprint(request: OrderRequest) -> str:
    return fingerprint_of(request.service, "order", request.body)


def _require_time_left(request: OrderRequest) -> None:
    if request.deadline <= asyncio.get_running_loop().time():
        raise not_run_refusal(
            RefusalReason.DEADLINE_EXCEEDED,
            "the deadline passed before the order was claimed",
            "send the order again with the same key and a longer deadline_ms",
        )
