"""Discovery and replication of backend servers, hosts and routes.

The control replica, with the replicated log, is imported on first use: hosts without
a disk never need it, and all hosts may have to start at once.
"""

from typing import TYPE_CHECKING

from kingcuplug_common import import_on_first_use

from kingcuplug_fleet._directory import Directory
from kingcuplug_fleet._directory_file import DirectoryFile
from kingcuplug_fleet._disk_tolerance import DiskTolerance
from kingcuplug_fleet._errors import CoreUnavailable, OrderSuperseded
from kingcuplug_fleet._evacuation import Evacuation, EvacuationOrder
from kingcuplug_fleet._fleet_view import FleetView
from kingcuplug_fleet._founding_messages import FOUND_PATH, WITHOUT_DISK_REPLY
from kingcuplug_fleet._introduction import (
    INTRODUCE_PATH,
    introduce_control_hosts,
)
from kingcuplug_fleet._membership import JoinRequest, next_membership_change
from kingcuplug_fleet._mesh import PUSH_PATH, REPORT_PATH, Mesh
from kingcuplug_fleet._mesh_messages import PushMessage, Report
from kingcuplug_fleet._peer_client import (
    CALL_ID_HEADER,
    PeerClient,
    PeerFailed,
    PeerRefused,
    PeerUnreachable,
    decode_body,
    encode_body,
)
from kingcuplug_fleet._polling import POLL_PATH, ControlHostPoller, answer_poll
from kingcuplug_fleet._route_register import RouteRegister
from kingcuplug_fleet._routes_file import RoutesFile
from kingcuplug_fleet._server_record import ServerRecord, ServerState

if TYPE_CHECKING:
    from kingcuplug_fleet._control_replica import ControlReplica, ControlReplicaSettings
    from kingcuplug_fleet._diskless_seed import DisklessSeed

__all__ = [
    "CALL_ID_HEADER",
    "FOUND_PATH",
    "INTRODUCE_PATH",
    "POLL_PATH",
    "PUSH_PATH",
    "REPORT_PATH",
    "WITHOUT_DISK_REPLY",
    "ControlHostPoller",
    "ControlReplica",
    "ControlReplicaSettings",
    "CoreUnavailable",
    "Directory",
    "DirectoryFile",
    "DiskTolerance",
    "DisklessSeed",
    "Evacuation",
    "EvacuationOrder",
    "FleetView",
    "JoinRequest",
    "Mesh",
    "OrderSuperseded",
    "PeerClient",
    "PeerFailed",
    "PeerRefused",
    "PeerUnreachable",
    "PushMessage",
    "Report",
    "RouteRegister",
    "RoutesFile",
    "ServerRecord",
    "ServerState",
    "answer_poll",
    "decode_body",
    "encode_body",
    "introduce_control_hosts",
    "next_membership_change",
]

__getattr__ = import_on_first_use(
    __name__,
    {
        "_control_replica": ("ControlReplica", "ControlReplicaSettings"),
        "_diskless_seed": ("DisklessSeed",),
    },
)
