"""Results of commands, their exit codes, and the errors that end a command.

A command returns a result or raises an error; only the program prints.
"""

from collections.abc import Iterator
from enum import IntEnum
from typing import Any, Protocol

from kingcuplug_common import KingcuplugError

__all__ = [
    "CommandRefused",
    "ExitCode",
    "OutcomeUnknown",
    "Result",
    "Unreachable",
    "WrongUsage",
]


class ExitCode(IntEnum):
    """Exit codes of the program."""

    DONE = 0
    REFUSED = 1
    WRONG_USAGE = 2
    OUTCOME_UNKNOWN = 3
    UNREACHABLE = 4


class Result(Protocol):
    """Result of a command; a dataclass, so that it can be printed as JSON."""

    @property
    def exit_code(self) -> ExitCode:
        """Exit code of the program."""

    def lines(self) -> Iterator[str]:
        """Yield the result as lines of readable text."""


class CommandError(KingcuplugError):
    """An error that ends a command with the exit code of its class."""

    exit_code = ExitCode.REFUSED


class CommandRefused(CommandError):
    """The host refused the command; nothing was changed.

    Parameters
    ----------
    kind : str
        Name of the error at the host.
    fields : dict, optional
        All fields of the host's answer.
    """

    def __init__(
        self,
        message: str,
        remedy: str,
        kind: str = "Refused",
        fields: dict[str, Any] | None = None,
    ) -> None:
        super().__init__(message, remedy)
        self.kind = kind
        self.fields = fields or {}


class WrongUsage(CommandError):
    """Arguments, files or settings that cannot be used; nothing was sent."""

    exit_code = ExitCode.WRONG_USAGE


class OutcomeUnknown(CommandError):
    """The command was sent and may have been applied, now or later."""

    exit_code = ExitCode.OUTCOME_UNKNOWN


class Unreachable(CommandError):
    """No host could execute the command; nothing was changed."""

    exit_code = ExitCode.UNREACHABLE
