"""Messages between replicas.

Every request names the member id of its recipient, so that a host that restarts with
an empty disk never replies under its former identity.
"""

from dataclasses import dataclass
from dataclasses import fields as declared_fields
from typing import Any

from kingcuplug_common import (
    require_boolean,
    require_count,
    require_mapping,
    require_string,
)

from kingcuplug_log._types import Entry

__all__ = [
    "AppendReply",
    "AppendRequest",
    "Header",
    "InstallReply",
    "InstallRequest",
    "PreVoteRequest",
    "Rejected",
    "Reply",
    "Request",
    "VoteReply",
    "VoteRequest",
    "decode_reply",
    "decode_request",
    "to_json",
]


@dataclass(frozen=True)
class Header:
    """Cluster, sender, recipient and term of every request."""

    cluster: str
    sender: str
    to: str
    term: int


@dataclass(frozen=True)
class PreVoteRequest:
    """Asks whether a vote in `header.term` would be granted."""

    header: Header
    last_index: int
    last_term: int


@dataclass(frozen=True)
class VoteRequest:
    """Asks for a vote in `header.term`."""

    header: Header
    last_index: int
    last_term: int


@dataclass(frozen=True)
class VoteReply:
    """Answers a pre-vote or a vote."""

    term: int
    granted: bool


@dataclass(frozen=True)
class AppendRequest:
    """Carries entries that follow `previous_index`, or none as a heartbeat."""

    header: Header
    previous_index: int
    previous_term: int
    commit_index: int
    entries: tuple[Entry, ...]


@dataclass(frozen=True)
class AppendReply:
    """Answers an append.

    Attributes
    ----------
    match_index : int
        Last index up to which the log matches the leader's and is synced.
    next_index : int
        Index from which the leader resumes after a mismatch.
    """

    term: int
    success: bool
    match_index: int
    next_index: int


@dataclass(frozen=True)
class InstallRequest:
    """Carries one chunk of a snapshot, as base64 text."""

    header: Header
    index: int
    snapshot_term: int
    offset: int
    total: int
    data: str


@dataclass(frozen=True)
class InstallReply:
    """Answers one chunk of a snapshot.

    Attributes
    ----------
    offset : int
        Bytes received so far; the next chunk starts here.
    done : bool
        Whether the snapshot is installed and synced.
    """

    term: int
    offset: int
    done: bool


@dataclass(frozen=True)
class Rejected:
    """Answers a request that this replica must not process.

    Attributes
    ----------
    member : str
        Id of this replica, if the request is for another one; empty in the replies of
        earlier versions.
    """

    reason: str
    member: str = ""


Request = PreVoteRequest | VoteRequest | AppendRequest | InstallRequest
Reply = VoteReply | AppendReply | InstallReply | Rejected

_REQUEST_TYPES: dict[str, Any] = {
    "pre_vote": PreVoteRequest,
    "vote": VoteRequest,
    "append": AppendRequest,
    "install": InstallRequest,
}
_REPLY_TYPES: dict[str, Any] = {
    "vote_reply": VoteReply,
    "append_reply": AppendReply,
    "install_reply": InstallReply,
    "rejected": Rejected,
}
_CHECKS: dict[Any, Any] = {
    int: require_count,
    str: require_string,
    bool: require_boolean,
}
_KIND_BY_TYPE = {cls: kind for kind, cls in (_REQUEST_TYPES | _REPLY_TYPES).items()}


def to_json(message: Request | Reply) -> dict[str, Any]:
    """Return a message as a JSON object with its kind."""
    fields = dict(vars(message))
    if "header" in fields:
        fields["header"] = vars(fields["header"])
    if "entries" in fields:
        fields["entries"] = [entry.to_json() for entry in fields["entries"]]
    if isinstance(message, Rejected) and not message.member:
        del fields["member"]
    return {"kind": _KIND_BY_TYPE[type(message)]} | fields


def decode_request(value: dict[str, Any]) -> Request:
    """Return the request described by a JSON object.

    Raises
    ------
    ValueError
        If the kind is unknown, or a field is missing, unknown or of another type.
    """
    fields = _message_fields(value, _REQUEST_TYPES)
    try:
        fields["header"] = _check_fields(Header(**require_mapping(fields["header"])))
        if "entries" in fields:
            fields["entries"] = tuple(map(Entry.from_json, fields["entries"]))
        request: Request = _check_fields(_REQUEST_TYPES[value["kind"]](**fields))
        if isinstance(request, AppendRequest):
            _check_entries(request)
    except (KeyError, TypeError, IndexError) as error:
        raise ValueError(f"malformed {value['kind']} request: {error}") from error
    return request


def decode_reply(value: dict[str, Any]) -> Reply:
    """Return the reply described by a JSON object.

    Raises
    ------
    ValueError
        If the kind is unknown, or a field is missing, unknown or of another type.
    """
    fields = _message_fields(value, _REPLY_TYPES)
    try:
        reply: Reply = _check_fields(_REPLY_TYPES[value["kind"]](**fields))
    except TypeError as error:
        raise ValueError(f"malformed {value['kind']}: {error}") from error
    return reply


def _message_fields(
    value: dict[str, Any], types_by_kind: dict[str, Any]
) -> dict[str, Any]:
    kind = require_string(require_mapping(value).get("kind"))
    if kind not in types_by_kind:
        raise ValueError(f"unknown message kind {kind!r}")
    return {name: field for name, field in value.items() if name != "kind"}


def _check_fields(message: Any) -> Any:
    """Return a message after a check of the types of its plain fields."""
    for field in declared_fields(message):
        check = _CHECKS.get(field.type)
        if check is not None:
            check(getattr(message, field.name))
    return message


def _check_entries(request: AppendRequest) -> None:
    """Check that the entries follow each other, and are of no later term.

    The log counts its entries, and a restarted replica takes the term of the last one.
    """
    for index, entry in enumerate(request.entries, request.previous_index + 1):
        if entry.index != index:
            raise ValueError(f"entry {entry.index} in the place of {index}")
        if entry.term > request.header.term:
            raise ValueError(f"entry of term {entry.term}, after the leader's")
