"""What hosts know of backend servers, of each other and of the routes."""

from kingcuplug_fleet._core import Core, CoreSettings, CoreUnavailable
from kingcuplug_fleet._directory import Directory
from kingcuplug_fleet._directory_file import DirectoryFile
from kingcuplug_fleet._knowledge import Knowledge
from kingcuplug_fleet._learning import LEARN_PATH, Learner, teach
from kingcuplug_fleet._mesh import REPORT_PATH, SHARE_PATH, Mesh
from kingcuplug_fleet._mesh_messages import Report, ShareMessage
from kingcuplug_fleet._peers import (
    PeerFailed,
    PeerRefused,
    Peers,
    decode_body,
    encode_body,
)
from kingcuplug_fleet._records import ServerRecord, ServerState
from kingcuplug_fleet._register import RouteRegister
from kingcuplug_fleet._succession import Joiner, next_change

__all__ = [
    "LEARN_PATH",
    "REPORT_PATH",
    "SHARE_PATH",
    "Core",
    "CoreSettings",
    "CoreUnavailable",
    "Directory",
    "DirectoryFile",
    "Joiner",
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
    "next_change",
    "teach",
]
