"""Messages between the tier, its callers and the backend servers.

Requests of callers and replies of backend servers are validated here, on receipt;
the rest of the package handles only these dataclasses.
"""

import dataclasses
from collections.abc import Mapping
from enum import StrEnum
from typing import Any

from kingcuplug_common import KingcuplugError
from kingcuplug_routing import Priority

__all__ = [
    "Answer",
    "OrderRequest",
    "QueryRequest",
    "ReplyInvalid",
    "ReplyStatus",
    "SubReply",
    "SubRequest",
    "parse_reply",
]


class ReplyInvalid(KingcuplugError):
    """A reply that does not match its attempt or cannot be parsed."""


class ReplyStatus(StrEnum):
    """What a backend server did with a sub-request."""

    OK = "ok"
    PARTIAL = "partial"
    SHED = "shed"
    SNAPSHOT_GONE = "snapshot_gone"
    NOT_RUN = "not_run"
    FAILED = "failed"


@dataclasses.dataclass(frozen=True, slots=True)
class QueryRequest:
    """One query of a caller.

    Attributes
    ----------
    deadline : float
        Time on the event loop's clock, in seconds.
    minimum_coverage : float
        Smallest acceptable share of the wanted shards, 0 to 1.
    partition_key : str or None
        Restricts the query to the one shard that holds this key.
    dependency_requests : Mapping[str, Any]
        Body of the call to each named dependency.
    """

    request_id: str
    service: str
    body: Any
    priority: Priority
    deadline: float
    minimum_coverage: float
    partition_key: str | None = None
    dependency_requests: Mapping[str, Any] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True)
class OrderRequest:
    """One order, which runs at most once.

    Attributes
    ----------
    key : str
        Idempotency key, ``<issue time in ms>-<random text>``.
    deadline : float
        Time on the event loop's clock, in seconds.
    resend : bool
        Whether the caller may have sent this order before.
    """

    request_id: str
    service: str
    body: Any
    priority: Priority
    deadline: float
    key: str
    partition_key: str
    resend: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class SubRequest:
    """The request of one attempt to one backend server.

    Attributes
    ----------
    deadline_ms : int
        Time left until the deadline when the sub-request was built.
    """

    request_id: str
    attempt_id: str
    service: str
    kind: str
    snapshot: int
    shard: int
    shard_count: int
    deadline_ms: int
    priority: str
    body: Any
    idempotency_key: str | None = None
    dependency_answers: Mapping[str, Any] | None = None

    def to_json(self) -> dict[str, Any]:
        """Return the fields as a JSON object, without unset optional fields."""
        value = {name: getattr(self, name) for name in _SUB_REQUEST_FIELDS}
        if self.idempotency_key is None:
            del value["idempotency_key"]
        if self.dependency_answers is None:
            del value["dependency_answers"]
        return value


_SUB_REQUEST_FIELDS = tuple(field.name for field in dataclasses.fields(SubRequest))


@dataclasses.dataclass(frozen=True, slots=True)
class SubReply:
    """The accepted reply of one backend server for one shard.

    Attributes
    ----------
    coverage : float
        Share of the shard that the value covers; 1 unless ``PARTIAL``.
    """

    status: ReplyStatus
    value: Any = None
    coverage: float = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """The merged answer of a query or the reply to an order.

    Attributes
    ----------
    coverage : float
        Served share of the wanted shards of the snapshot's own shard map.
    missing_shards : tuple of int
        Wanted shards without any reply.
    partial_shards : Mapping[int, float]
        Shards of which a backend server covered only the stated share.
    """

    value: Any
    snapshot: int
    shard_count: int
    coverage: float
    revision: int
    missing_shards: tuple[int, ...] = ()
    partial_shards: Mapping[int, float] = dataclasses.field(default_factory=dict)

    @property
    def partial(self) -> bool:
        """Whether any wanted part of the snapshot is missing."""
        return bool(self.missing_shards or self.partial_shards)


def parse_reply(request: SubRequest, reply: Any) -> SubReply:
    """Validate a reply to `request` and return it.

    Raises
    ------
    ReplyInvalid
        If an echoed field differs or any field has a wrong type.
    """
    if not isinstance(reply, dict):
        raise _invalid_reply_error(
            request, f"reply is {type(reply).__name__}, not an object"
        )
    if (
        reply.get("attempt_id") != request.attempt_id
        or reply.get("snapshot") != request.snapshot
        or reply.get("shard") != request.shard
        or reply.get("shard_count") != request.shard_count
    ):
        raise _invalid_reply_error(request, _describe_mismatch(request, reply))
    try:
        status = ReplyStatus(reply.get("status", ""))
    except ValueError:
        raise _invalid_reply_error(
            request, f"status is {reply.get('status')!r}, which is unknown"
        ) from None
    coverage = reply.get("coverage", 1.0)
    if isinstance(coverage, bool) or not isinstance(coverage, int | float):
        raise _invalid_reply_error(request, f"coverage is {coverage!r}, not a number")
    if not 0 <= coverage <= 1:
        raise _invalid_reply_error(request, f"coverage is {coverage!r}, outside 0 to 1")
    if status is ReplyStatus.OK and coverage != 1:
        # A coverage below 1 takes precedence over the status `ok`.
        status = ReplyStatus.PARTIAL
    return SubReply(status, reply.get("value"), float(coverage))


def _describe_mismatch(request: SubRequest, reply: dict[str, Any]) -> str:
    for name in ("attempt_id", "snapshot", "shard", "shard_count"):
        if reply.get(name) != getattr(request, name):
            return f"{name} is {reply.get(name)!r} and not {getattr(request, name)!r}"
    return "echo matches"


def _invalid_reply_error(request: SubRequest, problem: str) -> ReplyInvalid:
    return ReplyInvalid(
        f"reply to attempt {request.attempt_id} of shard {request.shard}: {problem}",
        "correct the backend server; see docs/interfaces.md",
    )
