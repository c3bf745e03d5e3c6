"""Snapshots of the state machine and the group."""

from dataclasses import dataclass
from typing import Any

from kingcuplug_common import require_count, require_mapping, require_string

from kingcuplug_log._types import Member, members_from_json

__all__ = ["Snapshot"]


@dataclass(frozen=True)
class Snapshot:
    """State of the state machine and the group's members as of entry `index`.

    Attributes
    ----------
    intended_size : int
        Number of voters that the group is meant to have; 0 if unknown, as in the
        snapshots of older versions.
    """

    index: int
    term: int
    cluster: str
    members: tuple[Member, ...]
    state: dict[str, Any]
    intended_size: int = 0

    def to_json(self) -> dict[str, Any]:
        """Return the snapshot as a JSON object."""
        members = [member.to_json() for member in self.members]
        return dict(vars(self)) | {"members": members}

    @classmethod
    def from_json(cls, value: dict[str, Any]) -> "Snapshot":
        """Return the snapshot described by a JSON object.

        Raises
        ------
        LookupError, TypeError, ValueError
            If the object does not describe a snapshot.
        """
        fields = require_mapping(value)
        members = members_from_json(fields["members"])
        require_count(fields["index"])
        require_count(fields["term"])
        require_string(fields["cluster"])
        require_mapping(fields["state"])
        require_count(fields.get("intended_size", 0))
        return cls(**(fields | {"members": members}))
