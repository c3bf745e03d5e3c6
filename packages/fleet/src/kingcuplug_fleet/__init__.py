"""What hosts know of backend servers, of each other and of the routes."""

from kingcuplug_fleet._core import Core, CoreSettings, CoreUnavailable
from kingcuplug_fleet._directory import Directory
from kingcuplug_fleet._directory_file import DirectoryFile
from kingcuplug_fleet._knowledge import Knowledge
from kingcuplug_fleet._peers import PeerFailed, Peers
from kingcuplug_fleet._records import ServerRecord, ServerState
from kingcuplug_fleet._register import RouteRegister
from kingcuplug_fleet._succession import Joiner, next_change
from kingcuplug_fleet._teaching import (
    LEARN_PATH,
    REPORT_PATH,
    SHARE_PATH,
    Learner,
    Mesh,
    teach,
)

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
    "Peers",
    "RouteRegister",
    "ServerRecord",
    "ServerState",
    "next_change",
    "teach",
]
