"""The newest route document, as the state machine of the replicated log."""

from collections.abc import Callable
from typing import Any

from kingcuplug_common import require_integer, require_mapping, require_string

__all__ = ["RouteRegister", "decode_document_command"]


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
        """Store a document if its version is higher; return the version held.

        Raises
        ------
        LookupError, ValueError
            If the command is malformed. It is checked here, too, since the log may
            hold one that was proposed by an older version of the program.
        """
        version, document = decode_document_command(command)
        if version > self.version:
            self._replace(version, document)
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


def decode_document_command(value: Any) -> tuple[int, str]:
    """Return the version and the document in a command of the log.

    Raises
    ------
    LookupError, ValueError
        If the value is malformed.
    """
    fields = require_mapping(value)
    return require_integer(fields["version"]), require_string(fields["document"])
