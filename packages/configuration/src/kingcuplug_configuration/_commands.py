"""The command that changes the configuration, its results and their JSON."""

import dataclasses
from collections.abc import Mapping
from typing import Any

from kingcuplug_common import KingcuplugError, canonical

from kingcuplug_configuration._delta import Delta
from kingcuplug_configuration._faults import ConfigurationFault

__all__ = [
    "Accepted",
    "ApplyConfiguration",
    "CommandInvalid",
    "Conflict",
    "Rejected",
    "Result",
    "result_from_json",
]

IDENTIFIER_LIMIT_CHARACTERS = 128
# Integers below are exact in every JSON reader, and orjson can write them.
INTEGER_LIMIT = 2**53


class CommandInvalid(KingcuplugError):
    """A command or result is malformed."""


@dataclasses.dataclass(frozen=True)
class ApplyConfiguration:
    """Replace the configuration if it is still at the base revision (compare-and-set).

    Attributes
    ----------
    change_id : str
        Unique id of the change; a resend carries the same id.
    base_revision : int
        Revision that the change is based on.
    text : str
        The whole new text; empty if `delta` is given.
    author : str
        Name of the operator who makes the change.
    time_ms : int
        Wall clock, milliseconds since the epoch.
    delta : Delta or None
        The change relative to the base revision, in place of the whole text, so
        that log entries stay small; see `ConfigurationHistory.condense`.
    """

    change_id: str
    base_revision: int
    text: str
    author: str
    time_ms: int
    delta: Delta | None = None

    def __post_init__(self) -> None:
        for name in ("change_id", "author"):
            value = getattr(self, name)
            if not _is_identifier(value):
                raise CommandInvalid(
                    f"{name} {value!r:.40} is not valid",
                    "use 1 to 128 printable characters",
                )
        for name in ("base_revision", "time_ms"):
            value = getattr(self, name)
            if type(value) is not int or not 0 <= value < INTEGER_LIMIT:
                raise CommandInvalid(
                    f"{name} {value!r:.40} is not valid", "use a non-negative integer"
                )
        if not isinstance(self.text, str):
            raise CommandInvalid(
                f"text {self.text!r:.40} is not a string", "send a string"
            )
        if bool(self.text) == (self.delta is not None):
            raise CommandInvalid(
                "a change needs either text or delta", "give exactly one of them"
            )

    def to_json(self) -> dict[str, Any]:
        """Return the command as a JSON object."""
        return {
            "type": "apply_configuration",
            "change_id": self.change_id,
            "base_revision": self.base_revision,
            "text": self.text,
            "author": self.author,
            "time_ms": self.time_ms,
            "delta": _delta_to_json(self.delta),
        }

    @classmethod
    def from_json(cls, value: Mapping[str, Any]) -> "ApplyConfiguration":
        """Read a command; raise `CommandInvalid` if it is malformed."""
        try:
            # A lone surrogate in a stored field would fail in the state machine, on
            # every voter that applies the command.
            canonical(value)
            fields = {field.name: value[field.name] for field in _COMMAND_FIELDS}
            fields["delta"] = _delta_from_json(value["delta"])
        except (LookupError, TypeError, ValueError, ExceptionGroup) as error:
            raise CommandInvalid(
                f"the command is malformed: {error!r:.200}",
                "send the fields of ApplyConfiguration.to_json",
            ) from error
        return cls(**fields)


_COMMAND_FIELDS = dataclasses.fields(ApplyConfiguration)


@dataclasses.dataclass(frozen=True)
class Accepted:
    """The change was accepted as this revision."""

    revision: int

    def to_json(self) -> dict[str, Any]:
        """Return the result as a JSON object."""
        return {"type": "accepted", "revision": self.revision}


@dataclasses.dataclass(frozen=True)
class Conflict:
    """Another change was accepted since the base revision.

    Attributes
    ----------
    current_revision, winner_author, winner_time_ms
        The current revision, its author and its time.
    difference : Delta or None
        Delta from the base revision of the conflicting change to the current
        revision; None if the base is too old or does not exist.
    """

    current_revision: int
    winner_author: str
    winner_time_ms: int
    difference: Delta | None

    def to_json(self) -> dict[str, Any]:
        """Return the result as a JSON object."""
        return {
            "type": "conflict",
            "current_revision": self.current_revision,
            "winner_author": self.winner_author,
            "winner_time_ms": self.winner_time_ms,
            "difference": _delta_to_json(self.difference),
        }

    def __str__(self) -> str:
        return (
            f"revision {self.current_revision} by {self.winner_author or 'nobody'} is"
            " in force; compare it with your text and send a new change on top of it"
        )


@dataclasses.dataclass(frozen=True)
class Rejected:
    """The change is invalid and will never be accepted; lists all its faults."""

    faults: tuple[ConfigurationFault, ...]

    def to_json(self) -> dict[str, Any]:
        """Return the result as a JSON object."""
        faults = [fault.to_json() for fault in self.faults]
        return {"type": "rejected", "faults": faults}


Result = Accepted | Conflict | Rejected


def result_from_json(value: Mapping[str, Any]) -> Result:
    """Read a result from the JSON object that its `to_json` returned."""
    match value["type"]:
        case "accepted":
            return Accepted(value["revision"])
        case "conflict":
            return Conflict(
                value["current_revision"],
                value["winner_author"],
                value["winner_time_ms"],
                _delta_from_json(value["difference"]),
            )
        case "rejected":
            return Rejected(
                tuple(ConfigurationFault(**fault) for fault in value["faults"])
            )
        case other:
            raise CommandInvalid(f"unknown result {other!r:.40}", "update this program")


def _is_identifier(value: Any) -> bool:
    return (
        isinstance(value, str)
        and 0 < len(value) <= IDENTIFIER_LIMIT_CHARACTERS
        and value.isprintable()
    )


def _delta_to_json(delta: Delta | None) -> dict[str, Any] | None:
    return None if delta is None else delta.to_json()


def _delta_from_json(value: Mapping[str, Any] | None) -> Delta | None:
    return None if value is None else Delta.from_json(value)
