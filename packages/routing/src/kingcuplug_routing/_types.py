"""Types at the interface of the routing package: views, priorities and outcomes."""

from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum, StrEnum
from typing import Protocol

__all__ = [
    "Attempt",
    "AttemptOutcome",
    "Holding",
    "HoldingView",
    "Priority",
    "ServerView",
    "SnapshotView",
]


class Priority(StrEnum):
    """Order in which requests are served; members are declared from first to last."""

    URGENT = "urgent"
    NORMAL = "normal"
    BULK = "bulk"


class Attempt(Enum):
    """Why a sub-request is sent, which selects the budget that it uses."""

    FIRST = "first"
    HEDGE = "hedge"
    RETRY = "retry"


class AttemptOutcome(Enum):
    """How an attempt ended, as seen by the entry host."""

    OK = "ok"
    SHED = "shed"
    SNAPSHOT_GONE = "snapshot_gone"
    FAILED = "failed"
    TIMEOUT = "timeout"
    CONNECTION_LOST = "connection_lost"
    CANCELLED = "cancelled"


class HoldingView(Protocol):
    """Shards of one snapshot that a backend server holds."""

    @property
    def snapshot(self) -> int:
        """Number of the snapshot."""

    @property
    def shard_count(self) -> int:
        """Number of shards of the whole snapshot."""

    @property
    def shards(self) -> Sequence[int]:
        """Shards held, each below `shard_count`."""


@dataclass(frozen=True, slots=True)
class Holding:
    """Plain implementation of `HoldingView`."""

    snapshot: int
    shard_count: int
    shards: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class ServerView:
    """One backend server as listed in the directory.

    Parameters
    ----------
    slots : int
        Sub-requests that the server runs concurrently, for all entry hosts together.
    connections : int
        Connections that the server accepts, for all entry hosts together.
    state : str
        ``serving``, ``draining`` or ``withdrawn``; only the first gets new work.
    reported_load : float
        Load reported by the server's load endpoint. It can be stale or wrong, so it
        only breaks ties.
    """

    server: str
    address: str
    availability_zone: str
    slots: int
    connections: int
    state: str
    holdings: tuple[HoldingView, ...]
    incarnation: int = 0
    reported_load: float = 0.0


@dataclass(frozen=True, slots=True)
class SnapshotView:
    """Which shards of a snapshot have at least one serving replica."""

    snapshot: int
    shard_count: int
    served_shards: frozenset[int]
