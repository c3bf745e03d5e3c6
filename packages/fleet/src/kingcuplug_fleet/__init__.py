"""Discovery and replication of backend servers, hosts and routes."""

from kingcuplug_fleet._control_replica import Core, CoreSettings, CoreUnavailable
from kingcuplug_fleet._directory import Directory
from kingcuplug_fleet._directory_file import DirectoryFile
from kingcuplug_fleet._fleet_view import Knowledge
from kingcuplug_fleet._membership import JoinRequest, next_membership_change
from kingcuplug_fleet._mesh import REPORT_PATH, SHARE_PATH, Mesh
from kingcuplug_fleet._mesh_messages import Report, ShareMessage
from kingcuplug_fleet._peer_client import (
    PeerFailed,
    PeerRefused,
    Peers,
    decode_body,
    encode_body,
)
from kingcuplug_fleet._polling import LEARN_PATH, Learner, teach
from kingcuplug_fleet._route_register import RouteRegister
from kingcuplug_fleet._server_record import ServerRecord, ServerState

__all__ = [
    "LEARN_PATH",
    "REPORT_PATH",
    "SHARE_PATH",
    "Core",
    "CoreSettings",
    "CoreUnavailable",
    "Directory",
    "DirectoryFile",
    "JoinRequest",
    "Knowledge",
    "Learner",
    "Mesh",
    "PeerFailed",
    "PeerRefused",
    "Peers",
    "Report",
    "RouteRegister",
    "ServerRecord",
    "ServerState",
    "ShareMessage",
    "decode_body",
    "encode_body",
    "next_membership_change",
    "teach",
]
