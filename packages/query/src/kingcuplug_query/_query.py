"""Execution of one query under one configuration revision.

Dependencies are called before the service's own admission, so that no request holds
capacity of one service while it waits for another.
"""

import asyncio
import dataclasses
from collections.abc import Mapping
from typing import Any

from kingcuplug_common import (
    Metrics,
    Refusal,
    RefusalKind,
    RefusalReason,
    digest,
    start_hop,
    traced_entry,
)
from kingcuplug_configuration import Service
from kingcuplug_routing import Admission, CrashGuard, Router, SnapshotView

from kingcuplug_query._backend_client import CancelAttempt, SendSubRequest
from kingcuplug_query._background_tasks import BackgroundTasks
from kingcuplug_query._merge import merge
from kingcuplug_query._messages import Answer, QueryRequest, ReplyStatus, SubReply
from kingcuplug_query._query_refusals import (
    coverage_too_low_refusal,
    require_dependency_served,
    require_minimum_served,
    require_time_left,
    snapshot_unknown_refusal,
    with_outcome_kind,
)
from kingcuplug_query._scatter_gather import (
    RequestRetryBudget,
    ScatterGather,
    ScatterGatherContext,
)
from kingcuplug_query._snapshots import choose_snapshot, wanted_shards

__all__ = ["QueryExecutor", "RevisionView", "ServiceRuntime", "fingerprint_of"]

_RETRIES_PER_REQUEST = 8
_STRAGGLER_WAIT_FACTOR = 3.0
_MS_PER_S = 1_000
_NEWER_SNAPSHOT_WAIT_S = 0.25
_NEWER_SNAPSHOT_POLL_INTERVAL_S = 0.01
# The other half of the remaining time is reserved for the restarted query.
_NEWER_SNAPSHOT_WAIT_SHARE = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceRuntime:
    """A configured service with its router and its admission control."""

    service: Service
    router: Router
    admission: Admission


@dataclasses.dataclass(frozen=True, slots=True)
class RevisionView:
    """The services of one configuration revision."""

    number: int
    services: Mapping[str, ServiceRuntime]

    def find(self, name: str) -> ServiceRuntime:
        """Return a service.

        Raises
        ------
        Refusal
            If the revision has no such service.
        """
        runtime = self.services.get(name)
        if runtime is None:
            raise Refusal(
                RefusalKind.NOT_RUN,
                RefusalReason.UNKNOWN_SERVICE,
                f"service {name!r} is not in configuration revision {self.number}",
                "check the name with `kingcuplug config show`",
            )
        return runtime


def fingerprint_of(service: str, kind: str, body: Any) -> str:
    """Return a digest that is the same for requests that differ only in id or key."""
    return digest([service, kind, body])


class QueryExecutor:
    """Runs queries.

    Parameters
    ----------
    send, cancel : SendSubRequest, CancelAttempt
        Transport to the backend servers.
    crash_guard : CrashGuard
        Crash guard that all services of this entry host share.
    metrics : Metrics
        Counters.
    background_tasks : BackgroundTasks
        Runs the attempts, which may outlive their query.
    zone : str
        The entry host's availability zone.
    """

    def __init__(
        self,
        send: SendSubRequest,
        cancel: CancelAttempt,
        crash_guard: CrashGuard,
        metrics: Metrics,
        background_tasks: BackgroundTasks,
        zone: str,
    ) -> None:
        self._crash_guard = crash_guard
        self._metrics = metrics
        self._context = ScatterGatherContext(
            zone, send, cancel, metrics, background_tasks.start
        )

    async def run(self, request: QueryRequest, revision: RevisionView) -> Answer:
        """Return the answer to `request`, complete or marked as partial.

        Raises
        ------
        Refusal
            If there is no answer; its kind says whether the query may have run.
        """
        return await self._run(
            request, revision, RequestRetryBudget(_RETRIES_PER_REQUEST)
        )

    async def _run(
        self,
        request: QueryRequest,
        revision: RevisionView,
        retry_budget: RequestRetryBudget,
    ) -> Answer:
        runtime = revision.find(request.service)
        fingerprint = fingerprint_of(request.service, "query", request.body)
        self._crash_guard.check(fingerprint)
        require_time_left(request)
        dependency_answers = await self._call_dependencies(
            request, runtime, revision, retry_budget
        )
        view = choose_snapshot(runtime.router.snapshots(), request.partition_key)
        if view is None:
            raise snapshot_unknown_refusal(request.service)
        sub_request_count = len(wanted_shards(view, request.partition_key))
        admission = runtime.admission.admit(
            request.priority, request.deadline, sub_request_count
        )
        async with traced_entry("admission", admission):
            return await self._execute(
                request,
                runtime,
                revision,
                fingerprint,
                retry_budget,
                dependency_answers,
            )

    async def _call_dependencies(
        self,
        request: QueryRequest,
        runtime: ServiceRuntime,
        revision: RevisionView,
        retry_budget: RequestRetryBudget,
    ) -> dict[str, Any] | None:
        declared = runtime.service.depends_on
        for name in request.dependency_requests:
            if name not in declared:
                raise Refusal(
                    RefusalKind.NOT_RUN,
                    RefusalReason.INVALID_REQUEST,
                    f"service {request.service!r} does not depend on {name!r}",
                    "declare the dependency or drop it from dependency_requests",
                )
        for name in declared:
            require_dependency_served(name, revision.find(name).router, request.service)
        if not request.dependency_requests:
            return None
        calls = {
            name: self._call_dependency(name, body, request, revision, retry_budget)
            for name, body in request.dependency_requests.items()
        }
        return await _await_all_or_cancel(calls)

    async def _call_dependency(
        self,
        name: str,
        body: Any,
        request: QueryRequest,
        revision: RevisionView,
        retry_budget: RequestRetryBudget,
    ) -> Any:
        policy = revision.find(name).service.policy
        dependency_request = QueryRequest(
            request_id=request.request_id,
            service=name,
            body=body,
            priority=request.priority,
            deadline=request.deadline,
            minimum_coverage=policy.minimum_coverage,
        )
        try:
            with start_hop("dependency", service=name):
                answer = await self._run(dependency_request, revision, retry_budget)
        except Refusal as refusal:
            raise Refusal(
                refusal.kind,
                RefusalReason.DEPENDENCY_UNAVAILABLE,
                f"dependency {name!r} of {request.service!r} refused: {refusal}",
                refusal.remedy,
                refusal.retry_after_ms,
            ) from refusal
        return {
            "value": answer.value,
            "snapshot": answer.snapshot,
            "coverage": answer.coverage,
        }

    async def _execute(
        self,
        request: QueryRequest,
        runtime: ServiceRuntime,
        revision: RevisionView,
        fingerprint: str,
        retry_budget: RequestRetryBudget,
        dependency_answers: dict[str, Any] | None,
    ) -> Answer:
        view = choose_snapshot(runtime.router.snapshots(), request.partition_key)
        if view is None:
            raise snapshot_unknown_refusal(request.service)
        restarted = False
        may_have_run_earlier = False
        while True:
            require_minimum_served(request, view, may_have_run_earlier)
            gather = ScatterGather(
                request,
                view,
                runtime.router,
                self._crash_guard,
                fingerprint,
                retry_budget,
                self._context,
                dependency_answers,
            )
            newer = None
            try:
                await self._scatter(request, runtime, gather, fingerprint)
                if gather.snapshot_gone and not restarted:
                    newer = await _await_newer_snapshot(request, runtime.router, view)
                if newer is None:
                    await self._await_stragglers(request, runtime, gather)
            finally:
                gather.close()
            if newer is None:
                break
            self._metrics.count("query.restarted")
            view = newer
            restarted = True
            may_have_run_earlier = may_have_run_earlier or gather.may_have_run
        return self._answer_or_refuse(
            request, runtime, revision, gather, may_have_run_earlier
        )

    async def _scatter(
        self,
        request: QueryRequest,
        runtime: ServiceRuntime,
        gather: ScatterGather,
        fingerprint: str,
    ) -> None:
        wanted = wanted_shards(gather.view, request.partition_key)
        remaining_shards = list(wanted)
        if runtime.service.policy.canary == "always":
            # A request that crashes servers is first run by one server only.
            async with self._crash_guard.canary(fingerprint) as is_canary:
                if is_canary:
                    canary_shard = _first_served_shard(gather.view, wanted)
                    remaining_shards.remove(canary_shard)
                    await gather.fetch(
                        [canary_shard], request.deadline, allow_hedges=False
                    )
        if gather.refusal is not None or gather.snapshot_gone:
            return
        await gather.fetch(
            remaining_shards, self._straggler_deadline(request, runtime, wanted[0])
        )

    async def _await_stragglers(
        self, request: QueryRequest, runtime: ServiceRuntime, gather: ScatterGather
    ) -> None:
        """Wait for late shards, until the deadline if the coverage is too low."""
        wanted = wanted_shards(gather.view, request.partition_key)
        if gather.snapshot_gone:
            await gather.fetch(
                (), self._straggler_deadline(request, runtime, wanted[0])
            )
        if self._coverage(wanted, gather.replies) < request.minimum_coverage:
            await gather.fetch((), request.deadline)

    def _straggler_deadline(
        self, request: QueryRequest, runtime: ServiceRuntime, sample_shard: int
    ) -> float:
        """Return the time until which late shards are awaited.

        A low coverage weight ends the wait after a few hedge delays, a weight of 1 at
        the deadline of the request.
        """
        coverage_weight = runtime.service.policy.coverage_weight
        hedge_delay_ms = runtime.router.hedge_delay_ms(sample_shard)
        if hedge_delay_ms is None or coverage_weight >= 1:
            return request.deadline
        now = asyncio.get_running_loop().time()
        remaining_s = request.deadline - now
        short_wait_s = min(
            _STRAGGLER_WAIT_FACTOR * hedge_delay_ms / _MS_PER_S, remaining_s
        )
        return (
            now + (1 - coverage_weight) * short_wait_s + coverage_weight * remaining_s
        )

    def _answer_or_refuse(
        self,
        request: QueryRequest,
        runtime: ServiceRuntime,
        revision: RevisionView,
        gather: ScatterGather,
        may_have_run_earlier: bool,
    ) -> Answer:
        may_have_run = may_have_run_earlier or gather.may_have_run
        if gather.refusal is not None:
            raise with_outcome_kind(gather.refusal, may_have_run)
        wanted = wanted_shards(gather.view, request.partition_key)
        coverage = self._coverage(wanted, gather.replies)
        if not gather.replies or coverage < request.minimum_coverage:
            raise coverage_too_low_refusal(
                request, gather.failures.values(), coverage, may_have_run
            )
        return Answer(
            value=merge(runtime.service.policy.merge, gather.replies),
            snapshot=gather.view.snapshot,
            shard_count=gather.view.shard_count,
            coverage=coverage,
            revision=revision.number,
            missing_shards=tuple(
                shard for shard in wanted if shard not in gather.replies
            ),
            partial_shards={
                shard: reply.coverage
                for shard, reply in sorted(gather.replies.items())
                if reply.status is ReplyStatus.PARTIAL
            },
        )

    @staticmethod
    def _coverage(wanted: tuple[int, ...], replies: Mapping[int, SubReply]) -> float:
        return sum(reply.coverage for reply in replies.values()) / len(wanted)


def _first_served_shard(view: SnapshotView, wanted: tuple[int, ...]) -> int:
    return next((shard for shard in wanted if shard in view.served_shards), wanted[0])


async def _await_all_or_cancel(calls: Mapping[str, Any]) -> dict[str, Any]:
    tasks = {name: asyncio.ensure_future(call) for name, call in calls.items()}
    try:
        await asyncio.gather(*tasks.values())
    except BaseException:
        for task in tasks.values():
            task.cancel()
        await asyncio.gather(*tasks.values(), return_exceptions=True)
        raise
    return {name: task.result() for name, task in tasks.items()}


async def _await_newer_snapshot(
    request: QueryRequest, router: Router, view: SnapshotView
) -> SnapshotView | None:
    """Wait briefly for a newer snapshot that serves every wanted shard."""
    loop = asyncio.get_running_loop()
    remaining_s = request.deadline - loop.time()
    wait_s = min(_NEWER_SNAPSHOT_WAIT_S, remaining_s * _NEWER_SNAPSHOT_WAIT_SHARE)
    give_up_at = loop.time() + wait_s
    while True:
        newer = choose_snapshot(
            router.snapshots(), request.partition_key, newer_than=view.snapshot
        )
        if newer is not None and _serves_wanted_shards(newer, request):
            return newer
        if loop.time() >= give_up_at:
            return None
        await asyncio.sleep(_NEWER_SNAPSHOT_POLL_INTERVAL_S)


def _serves_wanted_shards(view: SnapshotView, request: QueryRequest) -> bool:
    wanted = wanted_shards(view, request.partition_key)
    return all(shard in view.served_shards for shard in wanted)
