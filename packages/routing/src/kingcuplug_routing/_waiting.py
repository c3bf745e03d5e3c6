"""Priority queue of waiting requests without starvation.

Priority classes are served in strict order, but a class that was passed over
`turn_after` times while it waited is served next. A fixed count, unlike aging, keeps
a flood of bulk requests from delaying urgent ones by more than a known share.
"""

import asyncio
from collections import deque
from collections.abc import Iterator, Sequence
from typing import Any

from kingcuplug_routing._types import Priority

__all__ = ["Waiter", "WaitingQueue"]

_COMPACTION_LENGTH = 16  # shorter queues are not compacted


class Waiter:
    """One waiting request; its entry is obsolete once its future is done.

    Parameters
    ----------
    future : asyncio.Future
        Receives the result that the owner of the queue grants.
    cost : float
        Work that the request requires, in a unit of the queue's owner.
    snapshot, shard : int
        Requested snapshot and shard, for requests that wait for a server.
    replicas : sequence of Server
        Servers that may serve it.
    """

    __slots__ = ("cost", "future", "priority", "replicas", "shard", "snapshot")

    def __init__(
        self,
        future: asyncio.Future[Any],
        priority: Priority,
        cost: float = 1.0,
        snapshot: int = 0,
        shard: int = 0,
        replicas: Sequence[Any] = (),
    ) -> None:
        self.future = future
        self.priority = priority
        self.cost = cost
        self.snapshot = snapshot
        self.shard = shard
        self.replicas = replicas


class WaitingQueue:
    """Waiting requests in the order in which they are served."""

    __slots__ = ("_queues", "_times_passed_over", "_turn_after", "entry_count")

    def __init__(self, turn_after: int) -> None:
        self.entry_count = 0  # with obsolete entries, so 0 means that no request waits
        self._turn_after = turn_after
        self._queues = {priority: deque[Waiter]() for priority in Priority}
        self._times_passed_over = dict.fromkeys(Priority, 0)

    def push(self, waiter: Waiter) -> None:
        """Append a request to the queue of its priority class."""
        queue = self._queues[waiter.priority]
        if len(queue) >= _COMPACTION_LENGTH and queue[len(queue) // 2].future.done():
            self._compact(waiter.priority)
            queue = self._queues[waiter.priority]
        queue.append(waiter)
        self.entry_count += 1

    def peek(self) -> Waiter | None:
        """Return the request that is served next."""
        priority = self._next_class()
        return None if priority is None else self._queues[priority][0]

    def pop(self) -> Waiter | None:
        """Remove and return the request that is served next."""
        chosen = self._next_class()
        if chosen is None:
            return None
        after_chosen = False
        for priority, queue in self._queues.items():
            if after_chosen and queue:
                self._times_passed_over[priority] += 1
            after_chosen = after_chosen or priority is chosen
        self._times_passed_over[chosen] = 0
        self.entry_count -= 1
        return self._queues[chosen].popleft()

    def cost_ahead(self, priority: Priority) -> float:
        """Return the cost of the requests served before a new one of `priority`."""
        cost = 0.0
        for other, queue in self._queues.items():
            cost += sum(each.cost for each in queue if not each.future.done())
            if other == priority:
                break
        return cost

    def __iter__(self) -> Iterator[Waiter]:
        """Yield the waiting requests by priority class."""
        for queue in self._queues.values():
            yield from (each for each in queue if not each.future.done())

    def _next_class(self) -> Priority | None:
        first = None
        for priority, queue in self._queues.items():
            while queue and queue[0].future.done():
                queue.popleft()
                self.entry_count -= 1
            if not queue:
                self._times_passed_over[priority] = 0
            elif first is None:
                first = priority
            elif self._times_passed_over[priority] >= self._turn_after:
                return priority
        return first

    def _compact(self, priority: Priority) -> None:
        queue = self._queues[priority]
        live = deque(each for each in queue if not each.future.done())
        self.entry_count -= len(queue) - len(live)
        self._queues[priority] = live
