"""How many requests of one kind a host has at the servers at the same time.

Answers this load pattern: callers wait at hosts that have just started or lost a
service for a moment, and then all their requests go out in the same millisecond. The
servers' short queues overflow, and what they reject uses up the retry allowance. So
each host keeps to its part of the servers' slots and a short queue, and the rest waits
at the host: the most urgent first, then the one that came first.
"""

import heapq
import math
from collections.abc import Callable
from itertools import count

__all__ = ["Turnstile", "places"]

# Servers queue about six requests for each slot; hosts do not get even shares.
_REQUESTS_EACH_SLOT = 4
# A host with few callers must still bear a small burst.
_FEWEST_PLACES = 4


def places(slots: int, hosts: int) -> int:
    """Return how many requests a host may have at servers with `slots` in all.

    Parameters
    ----------
    hosts : int
        Live hosts; 0 if unknown.
    """
    return max(_FEWEST_PLACES, math.ceil(slots * _REQUESTS_EACH_SLOT / max(1, hosts)))


class Turnstile:
    """Counts requests inside and keeps the others in order of urgency."""

    def __init__(self) -> None:
        self._inside = 0
        self._waiting: list[tuple[int, int, Callable[[], bool]]] = []
        self._order = count()

    def enter(self, limit: int) -> bool:
        """Return whether a request may go on at once, and count it if so."""
        if self._inside >= limit or self._waiting:
            return False
        self._inside += 1
        return True

    def wait(self, rank: int, admit: Callable[[], bool]) -> None:
        """Queue a request.

        Parameters
        ----------
        admit : callable
            Called when it is the request's turn; returns ``False`` if nobody waits
            for it any more.
        """
        heapq.heappush(self._waiting, (rank, next(self._order), admit))

    def leave(self, limit: int) -> None:
        """Count a request out and admit those whose turn it is."""
        self._inside -= 1
        while self._waiting and self._inside < limit:
            admit = heapq.heappop(self._waiting)[2]
            if admit():
                self._inside += 1
