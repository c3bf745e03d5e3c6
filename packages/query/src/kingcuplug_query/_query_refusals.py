"""Refusals of queries; each says whether the query may have run."""

import asyncio
from collections.abc import Iterable

from kingcuplug_common import Refusal, RefusalKind, RefusalReason
from kingcuplug_routing import Router, SnapshotView

from kingcuplug_query._messages import QueryRequest
from kingcuplug_query._snapshots import wanted_shards

__all__ = [
    "coverage_too_low_refusal",
    "require_dependency_served",
    "require_minimum_served",
    "require_time_left",
    "snapshot_unknown_refusal",
    "with_outcome_kind",
]

_RETRY_AFTER_MS = 1_000


def require_time_left(request: QueryRequest) -> None:
    """Raise a refusal if the deadline has passed."""
    if request.deadline <= asyncio.get_running_loop().time():
        raise Refusal(
            RefusalKind.NOT_RUN,
            RefusalReason.DEADLINE_EXCEEDED,
            "the deadline passed before the query was sent to any backend server",
            "send the query again with a longer deadline_ms",
        )


def require_dependency_served(name: str, router: Router, dependent: str) -> None:
    """Raise a refusal if no backend server serves the dependency `name`."""
    if any(view.served_shards for view in router.snapshots()):
        return
    raise Refusal(
        RefusalKind.NOT_RUN,
        RefusalReason.DEPENDENCY_UNAVAILABLE,
        f"service {dependent!r} needs {name!r}, which no backend server serves",
        f"start backend servers of {name!r}",
        retry_after_ms=_RETRY_AFTER_MS,
    )


def require_minimum_served(
    request: QueryRequest, view: SnapshotView, may_have_run_earlier: bool
) -> None:
    """Raise a refusal if backend servers serve too few of the wanted shards."""
    wanted = wanted_shards(view, request.partition_key)
    served_count = sum(1 for shard in wanted if shard in view.served_shards)
    if served_count and served_count / len(wanted) >= request.minimum_coverage:
        return
    raise Refusal(
        RefusalKind.OUTCOME_UNKNOWN if may_have_run_earlier else RefusalKind.NOT_RUN,
        RefusalReason.COVERAGE_TOO_LOW,
        f"backend servers serve {served_count} of {len(wanted)} wanted shards of "
        f"snapshot {view.snapshot}",
        "lower minimum_coverage or start the missing backend servers",
        retry_after_ms=_RETRY_AFTER_MS,
    )


def snapshot_unknown_refusal(service: str) -> Refusal:
    """Return the refusal of a query on a service without a known snapshot."""
    return Refusal(
        RefusalKind.NOT_RUN,
        RefusalReason.SNAPSHOT_UNKNOWN,
        f"no backend server of {service!r} has announced a snapshot",
        "start backend servers of the service and try again",
        retry_after_ms=_RETRY_AFTER_MS,
    )


def with_outcome_kind(refusal: Refusal, may_have_run: bool) -> Refusal:
    """Return `refusal` with the kind that says whether the query may have run."""
    kind = RefusalKind.OUTCOME_UNKNOWN if may_have_run else RefusalKind.NOT_RUN
    return Refusal(
        kind, refusal.reason, refusal.message, refusal.remedy, refusal.retry_after_ms
    )


def coverage_too_low_refusal(
    request: QueryRequest, failures: Iterable[str], coverage: float, may_have_run: bool
) -> Refusal:
    """Return the refusal of a query whose coverage is too low, with the failures."""
    return Refusal(
        RefusalKind.OUTCOME_UNKNOWN if may_have_run else RefusalKind.NOT_RUN,
        RefusalReason.COVERAGE_TOO_LOW,
        f"coverage {coverage:.4f} is below {request.minimum_coverage} "
        f"({'; '.join(sorted(set(failures))) or 'no shard answered'})",
        "send the query again, with a longer deadline_ms or less minimum_coverage",
        retry_after_ms=_RETRY_AFTER_MS,
    )
