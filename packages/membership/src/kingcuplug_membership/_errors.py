"""Errors of membership."""

from kingcuplug_common import KingcuplugError

__all__ = [
    "AnnouncementInvalid",
    "AnnouncementStale",
    "HostUnconfirmed",
    "LeaseUnknown",
    "MessageInvalid",
    "NotLeading",
]


class AnnouncementInvalid(KingcuplugError):
    """An announcement with impossible content; the message lists every fault."""


class AnnouncementStale(KingcuplugError):
    """An announcement superseded by a newer one or by the end of its lease."""


class LeaseUnknown(KingcuplugError):
    """A renewal for which this entry host holds no lease."""


class HostUnconfirmed(KingcuplugError):
    """An entry host without a running session lease grants no server leases."""


class MessageInvalid(KingcuplugError):
    """A message from another host that cannot be read."""


class NotLeading(KingcuplugError):
    """A request that only the log's leader can answer."""
