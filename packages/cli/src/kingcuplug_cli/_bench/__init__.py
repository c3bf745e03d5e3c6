"""Load and experiment tool: real entry hosts and stand-ins over loopback HTTP."""

from kingcuplug_cli._bench._commands import Bench

__all__ = ["Bench"]
