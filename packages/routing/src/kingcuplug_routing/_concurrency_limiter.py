"""Limit on the concurrent requests of one host to the servers of a service.

Handles this load pattern: callers wait at hosts that have just started or have lost a
service for a moment, and then all their requests are sent in the same millisecond. The
servers' short queues overflow, and retries of the rejected requests exhaust the retry
budget. So each host sends only its share of the servers' slots and a short queue; other
requests wait at the host, ordered by rank and then by arrival.
"""

import heapq
import math
from collections.abc import Callable
from itertools import count

__all__ = ["ConcurrencyLimiter", "concurrency_limit"]

# Servers queue about six requests for each slot; the margin allows for uneven shares of
# the hosts.
_REQUESTS_PER_SLOT = 4
# A host with few callers must still handle a small burst.
_MIN_CONCURRENCY = 4


def concurrency_limit(slots: int, hosts: int) -> int:
    """Return the limit on concurrent requests of a host to servers with `slots` in all.

    Parameters
    ----------
    hosts : int
        Live hosts; 0 if unknown.
    """
    return max(_MIN_CONCURRENCY, math.ceil(slots * _REQUESTS_PER_SLOT / max(1, hosts)))


class ConcurrencyLimiter:
    """Counts the requests in flight and queues the others in order of rank."""

    def __init__(self) -> None:
        self._in_flight = 0
        self._waiting: list[tuple[int, int, Callable[[], bool]]] = []
        self._sequence = count()

    def try_acquire(self, limit: int) -> bool:
        """Return whether a request may be sent at once, and count it if so."""
        if self._in_flight >= limit or self._waiting:
            return False
        self._in_flight += 1
        return True

    def enqueue(self, rank: int, admit: Callable[[], bool]) -> None:
        """Queue a request.

        Parameters
        ----------
        admit : callable
            Called when the request may be sent; returns ``False`` if it has been
            abandoned.
        """
        heapq.heappush(self._waiting, (rank, next(self._sequence), admit))

    def release(self, limit: int) -> None:
        """End one request and admit as many waiting ones as the limit allows."""
        self._in_flight -= 1
        while self._waiting and self._in_flight < limit:
            admit = heapq.heappop(self._waiting)[2]
            if admit():
                self._in_flight += 1
