"""Errors of the replicated log."""

from typing import TYPE_CHECKING

from kingcuplug_common import KingcuplugError

if TYPE_CHECKING:
    from kingcuplug_log._types import Member

__all__ = [
    "BootstrapRefused",
    "ChangeRefused",
    "CorruptLog",
    "LostLeadership",
    "NotLeader",
    "StorageClosed",
    "StorageFailed",
    "WrongIdentity",
]


class NotLeader(KingcuplugError):
    """The replica is not the leader, or its lease has expired; nothing was done.

    Parameters
    ----------
    leader : Member or None
        The current leader, if this replica knows it.
    """

    def __init__(self, leader: "Member | None") -> None:
        leader_id = leader.id if leader else "unknown"
        super().__init__(
            f"this replica does not hold the leader's lease; leader: {leader_id}",
            "send the request to the leader, or try again after an election",
        )
        self.leader = leader


class LostLeadership(KingcuplugError):
    """The leadership ended while the entry was in flight; outcome unknown."""

    def __init__(self, index: int) -> None:
        super().__init__(
            f"leadership ended before entry {index} was known to be committed",
            "check the outcome at the new leader, or retry an idempotent command",
        )
        self.index = index


class StorageFailed(KingcuplugError):
    """A write or sync failed; the replica acknowledges nothing until restarted."""

    def __init__(self, error: BaseException) -> None:
        super().__init__(
            f"the data folder's storage failed: {error}",
            "free space or replace the disk, then restart the process",
        )


class StorageClosed(StorageFailed):
    """The replica was stopped before the operation began; nothing was written."""

    def __init__(self) -> None:
        super().__init__(OSError("it was closed"))


class CorruptLog(KingcuplugError):
    """A file of the data folder is damaged in a way that a crash cannot cause.

    Parameters
    ----------
    file : str
        Name of the file in the data folder.
    offset : int
        Byte offset of the first invalid record.
    """

    def __init__(self, file: str, offset: int, reason: str) -> None:
        super().__init__(
            f"file {file} is corrupt at offset {offset}: {reason}",
            "use an empty data folder and add the host as a new member",
        )
        self.file = file
        self.offset = offset


class ChangeRefused(KingcuplugError):
    """The membership change is not allowed now; nothing was done."""


class BootstrapRefused(KingcuplugError):
    """The data folder already belongs to a cluster."""


class WrongIdentity(KingcuplugError):
    """The member's identifier does not match the data folder's disk identity."""
