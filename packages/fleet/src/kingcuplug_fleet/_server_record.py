"""Records that backend servers publish of themselves, and their order."""

from dataclasses import dataclass, replace
from enum import StrEnum
from typing import Any

from kingcuplug_common import require_count, require_integer, require_string

__all__ = ["ServerRecord", "ServerState"]


class ServerState(StrEnum):
    """Whether a server accepts new requests."""

    READY = "ready"
    DRAINING = "draining"
    ENDED = "ended"


@dataclass(frozen=True, slots=True)
class ServerRecord:
    """State of one run of a backend server, as published by its heartbeat.

    Records are ordered by `rank`, and every host keeps the one with the highest rank,
    so late and repeated records have no effect.

    Attributes
    ----------
    start_ms : int
        Wall clock time of the server's start in milliseconds; a restart under the
        same id has a later one.
    sequence : int
        Increases with each record of one run.
    cold_ms : int
        Remaining time for which the server is slow after its start.
    """

    id: str
    start_ms: int
    sequence: int
    service: str
    address: str
    availability_zone: str
    slots: int
    state: ServerState
    cold_ms: int = 0

    @property
    def rank(self) -> tuple[int, bool, int]:
        """Sort key of records: start time, whether the run has ended, sequence."""
        return self.start_ms, self.state is ServerState.ENDED, self.sequence

    def ended(self) -> "ServerRecord":
        """Return the record for the end of this run of the server."""
        return replace(self, state=ServerState.ENDED)

    def differs_materially(self, other: "ServerRecord") -> bool:
        """Return whether it differs in a field that other hosts must learn."""
        return (self.start_ms, self.service, self.address, self.slots, self.state) != (
            other.start_ms,
            other.service,
            other.address,
            other.slots,
            other.state,
        )

    def to_json(self) -> list[Any]:
        """Return the fields as a JSON array."""
        return [
            self.id,
            self.start_ms,
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
        """Return the record described by a JSON array of another host.

        Raises
        ------
        ValueError
            If the array does not describe a record.
        """
        identifier, born_ms, sequence, service, address, zone, slots, state, cold = (
            value
        )
        return cls(
            require_string(identifier),
            require_integer(born_ms),
            require_integer(sequence),
            require_string(service),
            require_string(address),
            require_string(zone),
            require_count(slots),
            ServerState(state),
            require_count(cold),
        )
