"""The kingcuplug command: operators' commands, load tool and stand-ins."""

from kingcuplug_cli._main import main

__all__ = ["main"]
