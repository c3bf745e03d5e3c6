"""Refusals of calls to the control API."""

from kingcuplug_common import KingcuplugError
from kingcuplug_fleet import ServerRecord

__all__ = ["Elsewhere", "RecordImplausible", "ZoneUnknown"]


class Elsewhere(KingcuplugError):
    """The control API is served by another host."""

    def __init__(self, address: str) -> None:
        super().__init__(
            f"the control API is served at {address}", "send the call to that address"
        )
        self.address = address


class RecordImplausible(KingcuplugError):
    """A server states that it starts in the future."""

    def __init__(self, record: ServerRecord) -> None:
        super().__init__(
            f"server {record.id} starts at {record.start_ms} ms, more than a day ahead",
            "send the Unix time of the server's start",
        )


class ZoneUnknown(KingcuplugError):
    """An order names an availability zone that the settings don't."""

    def __init__(self, zone: str) -> None:
        super().__init__(
            f"there is no availability zone {zone!r}",
            "name one of the availability zones in the settings",
        )
