"""What a backend server says of itself, and which of two statements is newer."""

from dataclasses import dataclass, replace
from enum import StrEnum
from typing import Any

__all__ = ["ServerRecord", "ServerState"]


class ServerState(StrEnum):
    """Whether a server takes new work."""

    READY = "ready"
    DRAINING = "draining"
    ENDED = "ended"


@dataclass(frozen=True, slots=True)
class ServerRecord:
    """One statement about one start of a backend server.

    Statements are ordered by `rank`, and every host keeps the greatest, so that
    late and repeated statements change nothing wherever they arrive.

    Attributes
    ----------
    born_ms : int
        Wall clock milliseconds of the server's start; a restart under the same id
        has a greater one.
    sequence : int
        Increases with each statement of one start.
    cold_ms : int
        How much longer the server is slow after its start.
    """

    id: str
    born_ms: int
    sequence: int
    service: str
    address: str
    availability_zone: str
    slots: int
    state: ServerState
    cold_ms: int = 0

    @property
    def rank(self) -> tuple[int, bool, int]:
        """Order of statements: the start, its end, the sequence."""
        return self.born_ms, self.state is ServerState.ENDED, self.sequence

    def ended(self) -> "ServerRecord":
        """Return the statement that this start of the server is over."""
        return replace(self, state=ServerState.ENDED)

    def says_more_than(self, other: "ServerRecord") -> bool:
        """Return whether it differs in more than the sequence and the cold time."""
        return (self.born_ms, self.service, self.address, self.slots, self.state) != (
            other.born_ms,
            other.service,
            other.address,
            other.slots,
            other.state,
        )

    def to_json(self) -> list[Any]:
        """Return the fields as a JSON array."""
        return [
            self.id,
            self.born_ms,
            self.sequence,
            self.service,
            self.address,
            self.availability_zone,
            self.slots,
            self.state.value,
            self.cold_ms,
        ]

    @classmethod
    def from_json(cls, value: list[Any]) -> "ServerRecord":
        """Return the record described by a JSON array of another host."""
        identifier, born_ms, sequence, service, address, zone, slots, state, cold = (
            value
        )
        return cls(
            identifier,
            born_ms,
            sequence,
            service,
            address,
            zone,
            slots,
            ServerState(state),
            cold,
        )
