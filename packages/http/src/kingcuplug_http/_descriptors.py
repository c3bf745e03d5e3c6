"""Keeps descriptors for servers, other hosts and files while callers connect."""

import math
import resource
from weakref import WeakSet

__all__ = ["DescriptorBudget", "process_descriptors"]

# Files, listening sockets and the event loop's own.
_OTHER_DESCRIPTORS = 32


class DescriptorBudget:
    """Number of connections of a process, compared with its limit of descriptors.

    Attributes
    ----------
    max_open : float
        Number of descriptors that the process may open.
    connections : WeakSet
        Open connections, in both directions. One that its event loop has left behind
        counts until it is freed.
    closed, refused : int
        Number of connections that were closed to make room for new ones, and of new
        ones that were closed because there was none.
    """

    def __init__(self, max_open: float) -> None:
        self.max_open = max_open
        self.connections: WeakSet[object] = WeakSet()
        self.closed = 0
        self.refused = 0

    def has_room(self, reserved_ratio: float) -> bool:
        """Return whether the share `reserved_ratio` of all descriptors is free."""
        open_descriptors = len(self.connections) + _OTHER_DESCRIPTORS
        return open_descriptors <= self.max_open * (1 - reserved_ratio)


def _kernel_limit() -> float:
    limit = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    return math.inf if limit == resource.RLIM_INFINITY else limit


# All connections of this process.
process_descriptors = DescriptorBudget(_kernel_limit())
