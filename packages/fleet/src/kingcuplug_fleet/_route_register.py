"""The newest route document, as the state machine of the replicated log."""

from collections.abc import Callable
from typing import Any

__all__ = ["RouteRegister"]


class RouteRegister:
    """State machine that keeps the route document with the highest version.

    Of several documents with the same version, the first one is kept.

    Parameters
    ----------
    on_change : callable
        Called without arguments after the document was replaced.

    Attributes
    ----------
    version : int
        Version of the document held; 0 without one.
    document : str
        The text as the operator sent it.
    """

    def __init__(self, on_change: Callable[[], None]) -> None:
        self._on_change = on_change
        self.version = 0
        self.document = ""

    def apply(self, index: int, command: Any) -> Any:
        """Store a document if its version is higher; return the version held."""
        if command["version"] > self.version:
            self._replace(command["version"], command["document"])
        return self.version

    def dump(self) -> dict[str, Any]:
        """Return the whole state."""
        return {"version": self.version, "document": self.document}

    def load(self, state: dict[str, Any]) -> None:
        """Replace the whole state."""
        self._replace(state["version"], state["document"])

    def _replace(self, version: int, document: str) -> None:
        self.version, self.document = version, document
        self._on_change()
