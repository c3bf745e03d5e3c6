"""Announcements, leases, directory and sessions.

Backend servers announce themselves at an entry host, which grants a lease. Entry
hosts keep one session each with a control host; control hosts exchange the
directory among themselves and with the log's leader.
"""

from kingcuplug_membership._announcement import (
    Announcement,
    Holding,
    parse_announcement,
)
from kingcuplug_membership._completeness import CompletenessTracker
from kingcuplug_membership._directory import Directory, DirectoryChanges
from kingcuplug_membership._entry import ServerEntry, holder_name, join_entries
from kingcuplug_membership._errors import (
    AnnouncementInvalid,
    AnnouncementStale,
    HostUnconfirmed,
    LeaseUnknown,
    MessageInvalid,
    NotLeading,
)
from kingcuplug_membership._hosts import HostStatus
from kingcuplug_membership._leader_exchange import LeaderExchange
from kingcuplug_membership._leases import LeaseGranted, LeaseTable
from kingcuplug_membership._mesh import MeshReplicator
from kingcuplug_membership._rendezvous import rendezvous_order
from kingcuplug_membership._session_client import SessionClient
from kingcuplug_membership._session_server import SessionServer
from kingcuplug_membership._settings import MembershipSettings
from kingcuplug_membership._sources import (
    ConfigurationSink,
    ConfigurationSource,
    LeaderSource,
    PeerCall,
)
from kingcuplug_membership._verdicts import CrashVerdict, CrashVerdictTable

__all__ = [
    "Announcement",
    "AnnouncementInvalid",
    "AnnouncementStale",
    "CompletenessTracker",
    "ConfigurationSink",
    "ConfigurationSource",
    "CrashVerdict",
    "CrashVerdictTable",
    "Directory",
    "DirectoryChanges",
    "Holding",
    "HostStatus",
    "HostUnconfirmed",
    "LeaderExchange",
    "LeaderSource",
    "LeaseGranted",
    "LeaseTable",
    "LeaseUnknown",
    "MembershipSettings",
    "MeshReplicator",
    "MessageInvalid",
    "NotLeading",
    "PeerCall",
    "ServerEntry",
    "SessionClient",
    "SessionServer",
    "holder_name",
    "join_entries",
    "parse_announcement",
    "rendezvous_order",
]
