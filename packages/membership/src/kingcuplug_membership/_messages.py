"""Messages between hosts, with their JSON form.

Fields with their default value are left out of the JSON: an idle session exchanges
one message per second, so the message size decides the traffic of a node.
"""

from dataclasses import dataclass
from typing import Any, TypeVar

from pydantic import TypeAdapter, ValidationError

from kingcuplug_membership._entry import ServerEntry
from kingcuplug_membership._errors import MessageInvalid
from kingcuplug_membership._verdicts import CrashVerdict

__all__ = [
    "BarrierReply",
    "BarrierRequest",
    "HostRow",
    "MeshReply",
    "MeshRequest",
    "SessionReply",
    "SessionRequest",
    "decode",
    "encode",
]

_Message = TypeVar("_Message")


@dataclass(frozen=True, slots=True)
class SessionRequest:
    """From an entry host to its home control host.

    Attributes
    ----------
    number : int
        Increases with every request of one run of the host; the control host rejects
        requests that a later one has overtaken.
    epoch : str
        Epoch of the control host's directory; empty to start a session.
    confirmed : int
        Revision of the configuration that is in force here; -1 for none.
    whole_text : bool
        Whether the full text is needed, because the digest after the deltas differed.
    directory, verdict_version : int
        Versions up to which the host has the control host's directory and verdicts.
    services : tuple of str or None
        Routed services; None if they are unchanged.
    updates : tuple of ServerEntry
        Lease changes; all leases at the start of a session.
    asked : tuple of str
        Hosts whose live incarnation is requested.
    """

    host: str
    incarnation: int
    availability_zone: str
    number: int
    epoch: str = ""
    confirmed: int = -1
    whole_text: bool = False
    directory: int = 0
    verdict_version: int = 0
    services: tuple[str, ...] | None = None
    updates: tuple[ServerEntry, ...] = ()
    verdicts: tuple[CrashVerdict, ...] = ()
    asked: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class SessionReply:
    """From a control host to an entry host.

    Attributes
    ----------
    lease_ms : int
        Lease counted from the sending of the request; 0 grants nothing.
    reason : str
        Why nothing was granted.
    restart : bool
        Whether the host must start the session again and send everything.
    revision, digest, deltas, text : int, str, tuple or None, str or None
        Current revision, its digest, and the deltas or full text that lead to it.
    full : bool
        Whether `entries` begin the whole directory of the routed services.
    more : bool
        Whether further entries follow with the next request.
    refused : tuple of ServerEntry
        Entries that the directory keeps in place of updates that it rejected.
    live : dict
        Live incarnation of the hosts asked for; None if none is live.
    delivered : bool
        Whether the log's leader has all updates that the host has sent.
    """

    epoch: str = ""
    lease_ms: int = 0
    reason: str = ""
    restart: bool = False
    revision: int = -1
    digest: str = ""
    deltas: tuple[Any, ...] | None = None
    text: str | None = None
    full: bool = False
    entries: tuple[ServerEntry, ...] = ()
    directory: int = 0
    more: bool = False
    refused: tuple[ServerEntry, ...] = ()
    verdicts: tuple[CrashVerdict, ...] = ()
    verdict_version: int = 0
    live_entry_hosts: int = 0
    live: dict[str, int | None] | None = None
    delivered: bool = False


@dataclass(frozen=True, slots=True)
class HostRow:
    """An entry host with a running session lease."""

    host: str
    incarnation: int
    availability_zone: str
    confirmed: int


@dataclass(frozen=True, slots=True)
class BarrierRequest:
    """From a control host to the log's leader.

    Attributes
    ----------
    table : str
        Epoch of the leader's host table as far as known; empty at first.
    since, version : int
        `rows` and `left` are the changes of the sender's sessions from version
        `since` to `version`.
    revision : int
        Configuration revision under which the sender grants.
    relay_epoch, relay_version : str, int
        Epoch and version up to which the sender has the leader's directory.
    relay_age_ms : int
        Time since the sender last had a leader's whole directory; -1 for never.
    live_version : int
        Version up to which the sender has the leader's list of live hosts.
    entries : tuple of ServerEntry
        Directory changes that the sender received first. This way they also reach a
        leader that cannot connect to the sender.
    more : bool
        Whether further entries follow with the next request.
    """

    sender: str
    epoch: str
    table: str
    since: int
    version: int
    revision: int
    rows: tuple[HostRow, ...] = ()
    left: tuple[str, ...] = ()
    relay_epoch: str = ""
    relay_version: int = 0
    relay_age_ms: int = -1
    live_version: int = 0
    entries: tuple[ServerEntry, ...] = ()
    more: bool = False


@dataclass(frozen=True, slots=True)
class BarrierReply:
    """From the log's leader to a control host.

    Attributes
    ----------
    confirmed : bool
        Whether `commit_index` was read under the leader's valid lease and the
        leader knows all sessions of the sender.
    entries : tuple of ServerEntry
        Directory changes from all control hosts, so that two that cannot reach
        each other still receive them.
    live : dict or None
        Live incarnation by host, or None for hosts that left.
    entry_hosts : int
        Number of entry hosts known so far; used until `live` is known.
    """

    confirmed: bool = False
    commit_index: int = 0
    table: str = ""
    relay_epoch: str = ""
    relay_version: int = 0
    entries: tuple[ServerEntry, ...] = ()
    more: bool = False
    live: dict[str, int | None] | None = None
    live_full: bool = False
    live_version: int = 0
    entry_hosts: int = 0


@dataclass(frozen=True, slots=True)
class MeshRequest:
    """Poll a control host for the changes that it received first."""

    sender: str
    epoch: str = ""
    version: int = 0
    verdict_version: int = 0


@dataclass(frozen=True, slots=True)
class MeshReply:
    """Changes that a control host received first."""

    epoch: str
    version: int = 0
    entries: tuple[ServerEntry, ...] = ()
    more: bool = False
    verdicts: tuple[CrashVerdict, ...] = ()
    verdict_version: int = 0


_adapters: dict[type, TypeAdapter[Any]] = {}


def _adapter(kind: type) -> TypeAdapter[Any]:
    adapter = _adapters.get(kind)
    if adapter is None:
        adapter = _adapters[kind] = TypeAdapter(kind)
    return adapter


def decode(kind: type[_Message], value: Any) -> _Message:
    """Read a message from decoded JSON.

    Raises
    ------
    MessageInvalid
        If a field is missing or of the wrong type.
    """
    try:
        message: _Message = _adapter(kind).validate_python(value)
    except ValidationError as error:
        fault = error.errors(include_url=False)[0]
        place = ".".join(str(part) for part in fault["loc"]) or "message"
        raise MessageInvalid(
            f"{kind.__name__} has {error.error_count()} faults, the first in {place}: "
            f"{fault['msg']}",
            "run the same version of kingcuplugd on both hosts",
        ) from error
    return message


def encode(message: object) -> dict[str, Any]:
    """Return the JSON form of a message."""
    value: dict[str, Any] = _adapter(type(message)).dump_python(
        message, mode="json", exclude_defaults=True
    )
    return value
