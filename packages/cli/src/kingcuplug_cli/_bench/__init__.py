"""Load test tool: real hosts and simulated backend servers over loopback HTTP."""

from kingcuplug_cli._bench._commands import Bench

__all__ = ["Bench"]
