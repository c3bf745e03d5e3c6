"""The kingcuplug program: operator commands, load tool and stand-in servers."""

from kingcuplug_cli._main import main
from kingcuplug_cli._standin import (
    ExecutionCounts,
    ServerBehaviour,
    StandInServer,
    StandInService,
)

__all__ = [
    "ExecutionCounts",
    "ServerBehaviour",
    "StandInServer",
    "StandInService",
    "main",
]
