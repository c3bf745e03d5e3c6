"""The evacuated availability zones, in the order of the replicated log.

Handles this load pattern: operators empty a zone before maintenance or after a fault of
its power or network, while hosts restart, leaders change and orders are sent again.

An order has no number by which a late one is known. The host that receives it notes the
newest order that it knows, the base, while the caller still waits; the leader appends
the order only if no other one for the zone has come after its base. So an order that is
delayed anywhere behind this point has no effect after a newer one. Only the leader
decides: all builds apply what is in the log in the same way.
"""

from dataclasses import dataclass
from typing import Any

from kingcuplug_common import (
    require_boolean,
    require_count,
    require_mapping,
    require_string,
    require_strings,
)

__all__ = [
    "Evacuation",
    "EvacuationOrder",
    "decode_evacuation_command",
    "encode_evacuation_command",
]

_ZONE_FIELD = "zone"
_BASE_FIELD = "base"


@dataclass(frozen=True, slots=True)
class Evacuation:
    """The availability zones whose servers get no requests.

    Attributes
    ----------
    version : int
        Index in the log of the last order; 0 without one. Of two sets, the one with the
        higher version is newer.
    zones : frozenset of str
        The evacuated zones.
    """

    version: int = 0
    zones: frozenset[str] = frozenset()

    def with_order(self, index: int, zone: str, evacuated: bool) -> "Evacuation":
        """Return the set after the order at an index of the log.

        A repeated order raises the version, too: a replica of an earlier build may have
        skipped the first one.
        """
        zones = self.zones | {zone} if evacuated else self.zones - {zone}
        return Evacuation(index, zones)

    def to_json(self) -> list[Any]:
        """Return the fields as a JSON array, empty before the first order."""
        return [self.version, *sorted(self.zones)] if self.version else []

    @classmethod
    def from_json(cls, value: Any) -> "Evacuation":
        """Return the set described by a JSON array.

        Raises
        ------
        ValueError
            If the array does not describe one.
        """
        if not isinstance(value, list):
            raise ValueError(f"{value!r} is not an array")
        if not value:
            return cls()
        version, *zones = value
        return cls(require_count(version), frozenset(require_strings(zones)))


@dataclass(frozen=True, slots=True)
class EvacuationOrder:
    """An operator's order on its way to the leader.

    Attributes
    ----------
    evacuated : bool
        Whether to evacuate the zone, or to end that.
    base : int or None
        Version of the evacuation that the receiving host knew while the caller still
        waited; ``None`` if an earlier build received the order.
    """

    zone: str
    evacuated: bool
    base: int | None = None

    def to_json(self) -> dict[str, Any]:
        """Return the proposal that is sent to the leader."""
        command = encode_evacuation_command(self.zone, self.evacuated)
        return command if self.base is None else {**command, _BASE_FIELD: self.base}

    @classmethod
    def from_json(cls, value: Any) -> "EvacuationOrder | None":
        """Return the order in a proposal, ``None`` if it is one of another kind.

        Raises
        ------
        LookupError, ValueError
            If the value is malformed.
        """
        command = decode_evacuation_command(value)
        if command is None:
            return None
        base = value.get(_BASE_FIELD)
        return cls(*command, None if base is None else require_count(base))


def encode_evacuation_command(zone: str, evacuated: bool) -> dict[str, Any]:
    """Return the command of the log for an operator's order."""
    return {_ZONE_FIELD: zone, "evacuated": evacuated}


def decode_evacuation_command(value: Any) -> tuple[str, bool] | None:
    """Return the zone of a command, and whether to evacuate it.

    ``None`` if the command is of another kind.

    Raises
    ------
    LookupError, ValueError
        If the value is malformed.
    """
    fields = require_mapping(value)
    if _ZONE_FIELD not in fields:
        return None
    return require_string(fields[_ZONE_FIELD]), require_boolean(fields["evacuated"])
