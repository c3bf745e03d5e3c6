"""The replicated log: storage, elections, leases and replication."""

from kingcuplug_log._errors import (
    BootstrapRefused,
    ChangeRefused,
    CorruptLog,
    LostLeadership,
    NotLeader,
    StorageFailed,
    WrongIdentity,
)
from kingcuplug_log._file_system import DiskFileSystem, FileSystem
from kingcuplug_log._quorum_rule import QuorumRule, quorum_size
from kingcuplug_log._replica import Replica
from kingcuplug_log._storage import Storage
from kingcuplug_log._types import (
    Clock,
    LogSettings,
    LogStatus,
    Member,
    MemberRole,
    PeerStatus,
    ReplicaRole,
    StateMachine,
    Transport,
    member_id,
)

__all__ = [
    "BootstrapRefused",
    "ChangeRefused",
    "Clock",
    "CorruptLog",
    "DiskFileSystem",
    "FileSystem",
    "LogSettings",
    "LogStatus",
    "LostLeadership",
    "Member",
    "MemberRole",
    "NotLeader",
    "PeerStatus",
    "QuorumRule",
    "Replica",
    "ReplicaRole",
    "StateMachine",
    "Storage",
    "StorageFailed",
    "Transport",
    "WrongIdentity",
    "member_id",
    "quorum_size",
]
