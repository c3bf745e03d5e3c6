"""The kingcuplug program: operator commands, load tool and stand-in servers."""

from kingcuplug_cli._main import main
from kingcuplug_cli._standin import Behaviour, Journal, StandIn, StandInService

__all__ = ["Behaviour", "Journal", "StandIn", "StandInService", "main"]
