"""Validated models of callers' requests."""

from typing import Annotated, Any

from kingcuplug_routing import Priority
from pydantic import BaseModel, ConfigDict, Field, StringConstraints

__all__ = ["OrderModel", "QueryModel"]

_Identifier = Annotated[str, StringConstraints(pattern=r"^[!-~]{1,128}$")]
_Key = Annotated[str, StringConstraints(min_length=1, max_length=512)]
_MAX_DEADLINE_MS = 3_600_000


class _RequestModel(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)

    body: Any
    request_id: _Identifier | None = None
    deadline_ms: int | None = Field(default=None, le=_MAX_DEADLINE_MS)
    priority: Priority = Priority.NORMAL


class QueryModel(_RequestModel):
    """A query of a caller.

    Attributes
    ----------
    deadline_ms : int or None
        Time within which the answer is due; at most, and by default, the service's
        ``deadline_ms``.
    minimum_coverage : float or None
        Least share of the requested shards that must be served; by default the
        service's.
    partition_key : str or None
        Restricts the query to the shard that holds this key.
    """

    minimum_coverage: float | None = Field(default=None, ge=0, le=1)
    partition_key: _Key | None = None
    dependency_requests: dict[str, Any] = Field(default_factory=dict, max_length=64)


class OrderModel(_RequestModel):
    """An order of a caller, which runs at most once.

    Attributes
    ----------
    idempotency_key : str
        ``<issue time in ms since the epoch>-<random text>``; every resend of the
        order carries the same key.
    resend : bool
        Whether the caller may have sent this order before. A refusal is then of kind
        ``outcome_unknown`` unless the ledger holds the outcome.
    """

    idempotency_key: _Identifier
    partition_key: _Key
    resend: bool = False
