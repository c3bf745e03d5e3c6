"""The kingcuplug command: operators' commands, load tool and stand-ins."""

__all__: list[str] = []
