"""Commands of the ledger, replicated through the log as JSON.

Every command has a `time_ms`. The leader replaces it with its own wall clock before
it appends the log entry, so that an entry host with a wrong clock cannot advance the
ledger's time; see `with_command_time`.
"""

import dataclasses
from collections.abc import Mapping
from typing import Annotated, Any, Literal

from pydantic import Field

from kingcuplug_ledger._codec import Codec

__all__ = [
    "Claim",
    "Command",
    "Dispatch",
    "Lookup",
    "Outcome",
    "OutcomeKind",
    "Release",
    "command_from_json",
    "command_to_json",
    "with_command_time",
]

OutcomeKind = Literal["done", "not_run", "unknown"]

# Integers below 2**53 are exact in every JSON reader, and orjson can write them.
_NonNegativeInt = Annotated[int, Field(ge=0, lt=2**53)]
# Up to the year 9999, so that datetime can format the times.
_Milliseconds = Annotated[int, Field(ge=0, lt=253_402_300_800_000)]


@dataclasses.dataclass(frozen=True, slots=True)
class Claim:
    """Reserve a key for one host before the order is dispatched.

    Attributes
    ----------
    digest : str
        Digest of the request; a request with another digest under the same key
        is refused.
    token : str
        Identifies this claim; unique per claim and repeated in its resends.
    retention_ms : int
        How long after its issue time the key may be claimed and dispatched.
    revision : int
        Configuration revision under which the order runs.
    takeover : bool
        Whether the host knows that the holder of the current claim is lost.
    """

    key: str
    digest: str
    service: str
    host: str
    host_incarnation: _NonNegativeInt
    token: str
    time_ms: _Milliseconds
    revision: _NonNegativeInt
    retention_ms: _Milliseconds
    takeover: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Dispatch:
    """Record that the holder of `token` is about to send the order to `server`."""

    key: str
    token: str
    server: str
    attempt_id: str
    time_ms: _Milliseconds


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """Record the outcome of a dispatched order.

    Attributes
    ----------
    kind : str
        ``done``, ``not_run`` (the backend server replied that it did not run the
        order) or ``unknown``.
    status : str
        Status of the backend server's reply.
    body : Any
        JSON value of the reply, or None if it is too large to be stored.
    body_digest : str
        Digest of a body that is not stored, else empty.
    """

    key: str
    token: str
    kind: OutcomeKind
    status: str
    body: Any
    time_ms: _Milliseconds
    body_digest: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Release:
    """Release a claim that was not dispatched, and revoke its token."""

    key: str
    token: str
    time_ms: _Milliseconds


@dataclasses.dataclass(frozen=True, slots=True)
class Lookup:
    """Read one record; a read-only command that needs no log entry."""

    key: str


Command = Claim | Dispatch | Outcome | Release | Lookup

_codec: Codec[Command] = Codec(
    {
        "claim": Claim,
        "dispatch": Dispatch,
        "outcome": Outcome,
        "release": Release,
        "lookup": Lookup,
    }
)


def command_to_json(command: Command) -> dict[str, Any]:
    """Return a command as a JSON object."""
    return _codec.encode(command)


def command_from_json(value: Mapping[str, Any]) -> Command:
    """Read a command; raise `MessageInvalid` if it is malformed."""
    return _codec.decode(value)


def with_command_time(command: Mapping[str, Any], wall_ms: int) -> dict[str, Any]:
    """Return the JSON of a command with its time set to `wall_ms`."""
    return {**command, "time_ms": wall_ms}
