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
from kingcuplug_membership._completeness import Continuity
from kingcuplug_membership._directory import Directory, DirectoryChanges
from kingcuplug_membership._entry import ServerEntry, holder_name, join
from kingcuplug_membership._errors import (
    AnnouncementInvalid,
    AnnouncementStale,
    HostUnconfirmed,
    LeaseUnknown,
    MessageInvalid,
    NotLeading,
)
from kingcuplug_membership._hosts import HostStatus
from kingcuplug_membership._leader_exchange import Barrier
from kingcuplug_membership._leases import LeaseGranted, LeaseTable
from kingcuplug_membership._mesh import Mesh
from kingcuplug_membership._rendezvous import preference
from kingcuplug_membership._session_client import SessionClient
from kingcuplug_membership._session_server import SessionServer
from kingcuplug_membership._settings import MembershipSettings
from kingcuplug_membership._sources import (
    Call,
    ConfigurationSink,
    ConfigurationSource,
    LeaderSource,
)
from kingcuplug_membership._verdicts import Verdict, VerdictBoard

__all__ = [
    "Announcement",
    "AnnouncementInvalid",
    "AnnouncementStale",
    "Barrier",
    "Call",
    "ConfigurationSink",
    "ConfigurationSource",
    "Continuity",
    "Directory",
    "DirectoryChanges",
    "Holding",
    "HostStatus",
    "HostUnconfirmed",
    "LeaderSource",
    "LeaseGranted",
    "LeaseTable",
    "LeaseUnknown",
    "MembershipSettings",
    "Mesh",
    "MessageInvalid",
    "NotLeading",
    "ServerEntry",
    "SessionClient",
    "SessionServer",
    "Verdict",
    "VerdictBoard",
    "holder_name",
    "join",
    "parse_announcement",
    "preference",
]
