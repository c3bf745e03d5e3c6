"""Bounds what all connections of a process hold, and decides who gives up first.

Without input or output: whoever holds memory states its size, and is told to give it
up.
"""

from collections.abc import Callable
from enum import IntEnum

__all__ = ["DEFAULT_BUDGET_BYTES", "Hold", "HoldKind", "MemoryBudget", "process_budget"]

DEFAULT_BUDGET_BYTES = 67_108_864
# Holds that are given up bring the sum down to this share of the bound, so that the
# next byte doesn't need another choice.
_RECLAIM_RATIO = 0.875
# Requests in progress cannot be given up; the rest is left to small requests.
_MAX_SERVING_RATIO = 0.75
_STALLED_AFTER_S = 1.0
# Smaller holds are not worth giving up because they stall.
_MIN_STALLED_BYTES = 16_384


class HoldKind(IntEnum):
    """What is held, in the order in which it is given up among holds of equal size."""

    REQUEST = 0
    ANSWER = 1
    RESPONSE = 2
    SERVING = 3


class Hold:
    """Memory that one connection holds for one purpose.

    Parameters
    ----------
    give_up : callable or None
        Frees the memory, and sets the size to 0; ``None`` if that is impossible.
    measure : callable or None
        Returns the current size, if it shrinks without calls of `resize`.

    Attributes
    ----------
    size_bytes : int
        Size as of the last `resize`.
    since, changed_at : float
        Event loop time at which it began to hold anything, and of its last progress.
    """

    __slots__ = (
        "_budget",
        "changed_at",
        "give_up",
        "kind",
        "measure",
        "since",
        "size_bytes",
    )

    def __init__(
        self,
        budget: "MemoryBudget",
        kind: HoldKind,
        give_up: Callable[[], None] | None = None,
        measure: Callable[[], int] | None = None,
    ) -> None:
        self._budget = budget
        self.kind = kind
        self.give_up = give_up
        self.measure = measure
        self.size_bytes = 0
        self.since = 0.0
        self.changed_at = 0.0

    def resize(self, size_bytes: int, now: float) -> None:
        """State the size, which may make any hold of the budget give up, also this one.

        Parameters
        ----------
        now : float
            In event loop time.
        """
        self._budget.resize(self, size_bytes, now)

    def remeasure(self, now: float) -> None:
        """Take over the current size, if it shrinks without calls of `resize`."""
        self._budget.remeasure(self, now)

    def release(self) -> None:
        """State that nothing is held any more."""
        if self.size_bytes:
            self._budget.release(self)

    def close(self) -> None:
        """State that nothing will be held again, and forget the owner."""
        self.release()
        self.give_up = None
        self.measure = None


class MemoryBudget:
    """Sum of the holds of a process, and its bound.

    When the sum exceeds the bound, holds are given up in this order: large ones that
    have stalled; the largest ones, by powers of two; among these requests that were not
    served yet, then unfinished answers, then responses that their reader does not take;
    the newest first.

    Attributes
    ----------
    max_bytes : int
        Bound of the sum.
    total_bytes : int
        Sum of all holds.
    refusals : int
        Number of holds that were given up, and of requests that were not begun.
    """

    def __init__(self, max_bytes: int = DEFAULT_BUDGET_BYTES) -> None:
        self.max_bytes = max_bytes
        self.total_bytes = 0
        self.refusals = 0
        self._holds: set[Hold] = set()
        self._held_bytes = dict.fromkeys(HoldKind, 0)

    def resize(self, hold: Hold, size_bytes: int, now: float) -> None:
        """Record the size of a hold, and keep the sum below the bound."""
        if not size_bytes:
            hold.release()
            return
        if not hold.size_bytes:
            hold.since = now
            self._holds.add(hold)
        self._count(hold, size_bytes)
        hold.changed_at = now
        if self.total_bytes > self.max_bytes:
            self._reclaim(now)

    def remeasure(self, hold: Hold, now: float) -> None:
        """Record how far a hold has shrunk by itself."""
        size_bytes = hold.size_bytes if hold.measure is None else hold.measure()
        if not size_bytes:
            self.release(hold)
        elif size_bytes < hold.size_bytes:
            self._count(hold, size_bytes)
            hold.changed_at = now

    def release(self, hold: Hold) -> None:
        """Forget a hold."""
        self._count(hold, 0)
        self._holds.discard(hold)

    def held_bytes(self, kind: HoldKind) -> int:
        """Return the sum of the holds of one kind."""
        return self._held_bytes[kind]

    def may_serve(self, size_bytes: int) -> bool:
        """Return whether a request that holds so much may begin to be served."""
        serving_bytes = self._held_bytes[HoldKind.SERVING] + size_bytes
        if serving_bytes > self.max_bytes * _MAX_SERVING_RATIO:
            self.refusals += 1
            return False
        return True

    def _count(self, hold: Hold, size_bytes: int) -> None:
        self.total_bytes += size_bytes - hold.size_bytes
        self._held_bytes[hold.kind] += size_bytes - hold.size_bytes
        hold.size_bytes = size_bytes

    def _reclaim(self, now: float) -> None:
        for hold in tuple(self._holds):
            self.remeasure(hold, now)
        target_bytes = self.max_bytes * _RECLAIM_RATIO
        if self.total_bytes <= self.max_bytes:
            return
        candidates = [hold for hold in self._holds if hold.give_up is not None]
        candidates.sort(key=lambda hold: _order(hold, now))
        for hold in candidates:
            if self.total_bytes <= target_bytes:
                break
            if hold.size_bytes and hold.give_up is not None:
                self.refusals += 1
                hold.give_up()
                hold.release()


def _order(hold: Hold, now: float) -> tuple[bool, int, int, float]:
    stalled = (
        hold.size_bytes >= _MIN_STALLED_BYTES
        and now - hold.changed_at >= _STALLED_AFTER_S
    )
    return not stalled, -hold.size_bytes.bit_length(), hold.kind, -hold.since


# What all connections of this process hold together.
process_budget = MemoryBudget()
