"""Announcements of backend servers, and their validation.

Announcements come from processes outside the system. A pydantic model validates
them on arrival; inside the system they are frozen dataclasses.
"""

from dataclasses import dataclass
from typing import Annotated, Any, Literal

from pydantic import (
    BaseModel,
    ConfigDict,
    Field,
    StringConstraints,
    ValidationError,
    model_validator,
)

from kingcuplug_membership._errors import AnnouncementInvalid

__all__ = ["Announcement", "Holding", "parse_announcement"]

ServerState = Literal["serving", "draining", "withdrawn"]

_MAX_COUNTER = 2**63 - 1
_MAX_SHARDS = 1_000_000
_MAX_SNAPSHOTS = 64

_Name = Annotated[str, StringConstraints(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$")]
_Address = Annotated[
    str, StringConstraints(pattern=r"^([0-9.]{7,15}|\[[0-9a-fA-F:.]{2,45}\]):\d{1,5}$")
]
_Counter = Annotated[int, Field(strict=True, ge=0, le=_MAX_COUNTER)]


@dataclass(frozen=True, slots=True)
class Holding:
    """Shards of one index snapshot that a backend server holds."""

    snapshot: int
    shard_count: int
    shards: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class Announcement:
    """Capacity, state and shards of a server, ordered by (incarnation, sequence).

    Attributes
    ----------
    incarnation : int
        Increases with every restart of the server.
    sequence : int
        Increases with every announcement of one incarnation, changed or repeated.
    slots, connections : int
        Concurrent sub-requests and open connections that the server accepts.
    state : str
        ``serving``, ``draining`` (no new work) or ``withdrawn`` (gone).
    """

    server: str
    service: str
    address: str
    availability_zone: str
    incarnation: int
    sequence: int
    slots: int
    connections: int
    state: ServerState = "serving"
    holdings: tuple[Holding, ...] = ()

    @property
    def rank(self) -> tuple[int, int]:
        """Return (incarnation, sequence), which orders a server's announcements."""
        return (self.incarnation, self.sequence)


class _HoldingModel(BaseModel):
    model_config = ConfigDict(extra="forbid")

    snapshot: _Counter
    shard_count: int = Field(strict=True, ge=1, le=_MAX_SHARDS)
    shards: tuple[Annotated[int, Field(strict=True, ge=0)], ...]

    @model_validator(mode="after")
    def _check_shards(self) -> "_HoldingModel":
        if len(set(self.shards)) != len(self.shards):
            raise ValueError("shards lists a shard twice")
        if self.shards and max(self.shards) >= self.shard_count:
            raise ValueError(
                f"shard {max(self.shards)} is not below shard_count {self.shard_count}"
            )
        return self


class _AnnouncementModel(BaseModel):
    model_config = ConfigDict(extra="forbid")

    server: _Name
    service: _Name
    address: _Address
    availability_zone: _Name
    incarnation: _Counter
    sequence: _Counter
    slots: int = Field(strict=True, ge=1, le=10_000)
    connections: int = Field(strict=True, ge=1, le=100_000)
    state: ServerState = "serving"
    holdings: tuple[_HoldingModel, ...] = Field(default=(), max_length=_MAX_SNAPSHOTS)

    @model_validator(mode="after")
    def _check_snapshots(self) -> "_AnnouncementModel":
        snapshots = [holding.snapshot for holding in self.holdings]
        if len(set(snapshots)) != len(snapshots):
            raise ValueError("holdings lists a snapshot twice")
        if not 0 < int(self.address.rpartition(":")[2]) < 65_536:
            raise ValueError(f"address {self.address} has no port from 1 to 65535")
        return self


def parse_announcement(value: Any) -> Announcement:
    """Validate decoded JSON and return the announcement.

    Raises
    ------
    AnnouncementInvalid
        If the announcement is not valid; the message lists every fault.
    """
    try:
        model = _AnnouncementModel.model_validate(value)
    except ValidationError as error:
        raise AnnouncementInvalid(
            f"announcement has {error.error_count()} faults: {_describe_errors(error)}",
            "correct the named fields and announce again",
        ) from error
    fields = {name: getattr(model, name) for name in _AnnouncementModel.model_fields}
    fields["holdings"] = tuple(
        Holding(holding.snapshot, holding.shard_count, tuple(sorted(holding.shards)))
        for holding in sorted(model.holdings, key=lambda holding: holding.snapshot)
    )
    return Announcement(**fields)


def _describe_errors(error: ValidationError) -> str:
    return "; ".join(
        f"{'.'.join(str(part) for part in fault['loc']) or 'announcement'}: "
        f"{fault['msg']}"
        for fault in error.errors(include_url=False)[:10]
    )
