"""Refusals of the routing package; each is ``not_run``, as nothing was sent."""

from kingcuplug_common import Refusal, RefusalReason, not_run_refusal

__all__ = [
    "deadline_unreachable",
    "fingerprint_quarantined",
    "no_replica",
    "overloaded",
    "replicas_excluded",
    "retry_budget_exhausted",
]


def no_replica(service: str, snapshot: int, shard: int) -> Refusal:
    """Refuse because no server announced the shard."""
    return not_run_refusal(
        RefusalReason.SNAPSHOT_UNKNOWN,
        f"no server of {service} serves shard {shard} of snapshot {snapshot}",
        "use a newer snapshot or check the service's servers",
    )


def replicas_excluded(service: str, shard: int, exclude: frozenset[str]) -> Refusal:
    """Refuse because every replica has been tried."""
    return not_run_refusal(
        RefusalReason.BACKEND_SERVER_FAILED,
        f"all replicas of shard {shard} of {service} were tried: {sorted(exclude)}",
        "check these servers",
    )


def retry_budget_exhausted(service: str) -> Refusal:
    """Refuse a retry that would exceed the retry budget."""
    return not_run_refusal(
        RefusalReason.OVERLOADED,
        f"the retry budget of {service} is spent",
        "check the service's servers or raise retry_budget",
    )


def deadline_unreachable(
    service: str, remaining_ms: float, needed_ms: float
) -> Refusal:
    """Refuse work that can no longer finish in time."""
    return not_run_refusal(
        RefusalReason.DEADLINE_EXCEEDED,
        f"{service} needs about {needed_ms:.0f} ms, {remaining_ms:.0f} ms remain",
        "allow a longer deadline or send less load",
    )


def overloaded(service: str, wait_ms: float) -> Refusal:
    """Refuse because the expected wait is too long."""
    return not_run_refusal(
        RefusalReason.OVERLOADED,
        f"{service} is overloaded, the expected wait is {wait_ms:.0f} ms",
        "send the request again later or add servers",
        max(1, int(wait_ms)),
    )


def fingerprint_quarantined(fingerprint: str, remaining_ms: float) -> Refusal:
    """Refuse a request that crashed backend servers."""
    return not_run_refusal(
        RefusalReason.CRASHING_REQUEST,
        f"requests with fingerprint {fingerprint} crashed backend servers",
        "change the request; it is accepted again after the stated time",
        max(1, int(remaining_ms)),
    )
