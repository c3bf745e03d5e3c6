"""Types shared by the modules of the replicated log."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from enum import StrEnum
from typing import Any, Protocol

import orjson
from kingcuplug_common import (
    require_boolean,
    require_count,
    require_integer,
    require_mapping,
    require_string,
)

__all__ = [
    "Clock",
    "Entry",
    "EntryKind",
    "LogSettings",
    "LogStatus",
    "Member",
    "MemberRole",
    "PeerStatus",
    "ReplicaRole",
    "StateMachine",
    "Transport",
    "VoterTransition",
    "host_name",
    "member_id",
    "members_from_json",
]

_MS_PER_S = 1_000

Clock = Callable[[], float]
Transport = Callable[[str, dict[str, Any]], Awaitable[dict[str, Any]]]


class StateMachine(Protocol):
    """State machine to which the log's commands are applied.

    Commands, results and the dumped state are JSON values. `apply` must be
    deterministic. If it raises, it must leave the state unchanged; the exception is
    raised to the proposer.
    """

    def apply(self, index: int, command: Any) -> Any:
        """Apply a committed command and return its result."""
        ...

    def dump(self) -> dict[str, Any]:
        """Return the whole state."""
        ...

    def load(self, state: dict[str, Any]) -> None:
        """Replace the whole state."""
        ...


class MemberRole(StrEnum):
    """Role of a member in the group."""

    VOTER = "voter"
    LEARNER = "learner"
    OBSERVER = "observer"


class VoterTransition(StrEnum):
    """A change that makes a member a voter, or removes a voter."""

    JOINING = "joining"
    LEAVING = "leaving"


class ReplicaRole(StrEnum):
    """Current role of a replica in elections and replication."""

    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"


@dataclass(frozen=True)
class Member:
    """One member of the group.

    Attributes
    ----------
    id : str
        ``<host name>/<disk_id>``; a host with a replaced disk is a new member.
    address : str
        ``ip:port`` at which the member listens for peers.
    zone : str
        Its availability zone; empty where the loss of zones need not be tolerated, and
        where a host of an earlier version has listed the member.
    half_quorums : bool
        Whether the member runs a version that knows of half quorums.
    transition : VoterTransition or None
        The change of this voter that has yet to be completed. Earlier versions list
        the member as a voter meanwhile.
    """

    id: str
    name: str
    address: str
    role: MemberRole = MemberRole.VOTER
    zone: str = ""
    half_quorums: bool = False
    transition: VoterTransition | None = None

    def to_json(self) -> dict[str, Any]:
        """Return the fields as a JSON object."""
        fields: dict[str, Any] = {
            "id": self.id,
            "name": self.name,
            "address": self.address,
            "role": str(self.role),
        }
        if self.zone:
            fields["zone"] = self.zone
        if self.half_quorums:
            fields["half_quorums"] = True
        if self.transition is not None:
            fields["transition"] = str(self.transition)
        return fields

    @classmethod
    def from_json(cls, value: dict[str, Any]) -> "Member":
        """Return the member described by a JSON object.

        Raises
        ------
        LookupError, TypeError, ValueError
            If the object does not describe a member.
        """
        fields = require_mapping(value)
        transition = fields.get("transition")
        return cls(
            require_string(fields["id"]),
            require_string(fields["name"]),
            require_string(fields["address"]),
            MemberRole(require_string(fields["role"])),
            require_string(fields.get("zone", "")),
            require_boolean(fields.get("half_quorums", False)),
            None if transition is None else VoterTransition(transition),
        )


def members_from_json(value: Any) -> tuple[Member, ...]:
    """Return the members described by a JSON array.

    Raises
    ------
    LookupError, TypeError, ValueError
        If it does not describe members.
    """
    if not isinstance(value, list):
        raise ValueError(f"{value!r} is not a list of members")
    return tuple(map(Member.from_json, value))


def member_id(host: str, disk_id: str) -> str:
    """Return the identifier of the member with this host name and disk."""
    return f"{host}/{disk_id}"


def host_name(member_id: str) -> str:
    """Return the host name in the identifier of a member."""
    return member_id.rpartition("/")[0]


class EntryKind(StrEnum):
    """Kind of a log entry's content."""

    COMMAND = "command"
    MEMBERS = "members"
    NOOP = "noop"


@dataclass(frozen=True, slots=True)
class Entry:
    """One entry of the log."""

    index: int
    term: int
    kind: EntryKind
    data: Any = None

    def size_bytes(self) -> int:
        """Return the size of the encoded data."""
        return len(orjson.dumps(self.data))

    def to_json(self) -> list[Any]:
        """Return the entry as a JSON array."""
        return [self.index, self.term, self.kind.value, self.data]

    @classmethod
    def from_json(cls, value: list[Any]) -> "Entry":
        """Return the entry described by a JSON array.

        Raises
        ------
        LookupError, TypeError, ValueError
            If the array does not describe an entry.
        """
        index, term = require_integer(value[0], minimum=1), require_count(value[1])
        kind, data = EntryKind(require_string(value[2])), value[3]
        if kind is EntryKind.MEMBERS:
            _check_members_data(data)
        return cls(index, term, kind, data)


def _check_members_data(value: Any) -> None:
    """Check the data of an entry that sets the members.

    Raises
    ------
    LookupError, TypeError, ValueError
        If it is malformed.
    """
    fields = require_mapping(value)
    require_string(fields["cluster"])
    if not members_from_json(fields["members"]):
        raise ValueError("there are no members")
    require_count(fields.get("intended_size", 0))


@dataclass(frozen=True)
class LogSettings:
    """Timeouts and limits of the replicated log.

    Attributes
    ----------
    drift_bound : float
        Upper bound on the relative rate difference of two hosts' monotonic clocks.
    snapshot_entries : int
        Number of applied entries after which a new snapshot is taken.
    snapshot_bytes : int
        Size of the entries after which one is taken although they are fewer.
    retained_entries, retained_bytes : int
        Number and size of the entries kept before the snapshot at most, so that a peer
        that is slightly behind needs no snapshot.
    batch_entries, batch_bytes : int
        Number and size of the entries in one message at most; a single entry may be
        larger.
    install_chunk_bytes : int
        Size of the chunk of a snapshot that is sent in one message.
    """

    election_timeout_ms: int = 300
    heartbeat_ms: int = 50
    rpc_timeout_ms: int = 150
    drift_bound: float = 0.01
    batch_entries: int = 512
    batch_bytes: int = 1_048_576
    snapshot_entries: int = 10_000
    snapshot_bytes: int = 67_108_864
    retained_entries: int = 1_000
    retained_bytes: int = 16_777_216
    install_chunk_bytes: int = 262_144

    def __post_init__(self) -> None:
        if not 0 <= self.drift_bound < 1:
            raise ValueError(f"drift_bound {self.drift_bound} is not in [0, 1)")
        if not 0 < 2 * self.heartbeat_ms <= self.election_timeout_ms:
            raise ValueError(
                f"heartbeat_ms {self.heartbeat_ms} must be positive and at most half "
                f"of election_timeout_ms {self.election_timeout_ms}"
            )

    @property
    def election_timeout(self) -> float:
        """Time for which a follower of a leader refuses votes, in seconds."""
        return self.election_timeout_ms / _MS_PER_S

    @property
    def lease_duration(self) -> float:
        """Lease of a leader, counted from the send time of a heartbeat, in seconds."""
        return self.election_timeout * (1 - self.drift_bound)

    @property
    def heartbeat_interval(self) -> float:
        """Interval of heartbeats, in seconds."""
        return self.heartbeat_ms / _MS_PER_S

    @property
    def rpc_timeout(self) -> float:
        """Timeout of a request to a peer, in seconds."""
        return self.rpc_timeout_ms / _MS_PER_S


@dataclass(frozen=True)
class PeerStatus:
    """Replication status of one other member, as seen by the leader.

    Attributes
    ----------
    answered_ms_ago : float or None
        Time since the member last answered this leader; ``None`` if it never has.
    silent_ms : float
        Time since then, or since the leader began to send to the member. It is thus
        known of a member that was lost before the leader was elected, too.
    """

    member: Member
    match_index: int
    caught_up: bool
    answered_ms_ago: float | None
    silent_ms: float


@dataclass(frozen=True)
class LogStatus:
    """Status of one replica for operators.

    Attributes
    ----------
    intended_size : int
        Number of voters that the group is meant to have; 0 if unknown.
    peers : tuple of PeerStatus
        Known on the leader only.
    safe_to_lose_one : bool
        Whether any one voter can be lost permanently without losing the quorum or a
        committed entry. Known on the leader only, ``False`` elsewhere.
    """

    member: Member
    term: int
    role: ReplicaRole
    leader: Member | None
    commit_index: int
    applied_index: int
    last_index: int
    snapshot_index: int
    members: tuple[Member, ...]
    intended_size: int
    peers: tuple[PeerStatus, ...]
    lease_valid: bool
    storage_failed: bool
    safe_to_lose_one: bool

    @property
    def voter_count(self) -> int:
        """Number of voters among the members."""
        return sum(member.role is MemberRole.VOTER for member in self.members)
