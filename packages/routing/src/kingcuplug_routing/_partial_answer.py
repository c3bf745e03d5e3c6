"""When a query over many shards is answered without its missing shards.

Handles this load pattern: one shard stalls or is down while all others have
answered. An answer within the target time is worth far more to callers than a late
one, and its worth grows with the square of its coverage. So a query is answered at its
target if its coverage suffices, and otherwise waits for further shards.
"""

from dataclasses import dataclass

__all__ = ["PartialAnswerPolicy"]

# Multiple of the target time for which a late query waits for its last shards: once
# the target is missed, a complete answer is worth more than an earlier one, but the
# caller still waits.
_MAX_LATENESS_TARGETS = 2.0
# The last shards of a query are compared with its other shards, which had the same
# links and load: beyond this factor they are waiting for a server that stalls.
_STRAGGLER_SHARE = 0.15
_STRAGGLER_FACTOR = 1.25


@dataclass(frozen=True, slots=True)
class PartialAnswerPolicy:
    """Decides when one query is answered.

    Attributes
    ----------
    shard_count : int
        Number of shards of the query.
    min_coverage : float
        Smallest share of the shards that an answer must cover.
    target_at, final_at : float
        Event loop times by which an answer must be sent to be on time, and to reach
        the caller before its deadline.
    received_at : float
        Event loop time at which the query was received.
    """

    shard_count: int
    min_coverage: float
    received_at: float
    target_at: float
    final_at: float

    @property
    def required_shards(self) -> int:
        """Least number of shards that an answer must cover."""
        whole, fraction = divmod(self.shard_count * self.min_coverage, 1)
        return max(1, int(whole) + (fraction > 1e-9))

    @property
    def max_stragglers(self) -> int:
        """Greatest number of pending shards that count as stragglers."""
        return max(1, int(self.shard_count * _STRAGGLER_SHARE))

    def straggler_hedge_at(self, now: float) -> float:
        """Return when to hedge the stragglers if all others have answered by `now`."""
        return self.received_at + (now - self.received_at) * _STRAGGLER_FACTOR

    @property
    def late_answer_at(self) -> float:
        """Time from which a late query is answered without its last shards."""
        target_s = self.target_at - self.received_at
        return min(self.target_at + target_s * _MAX_LATENESS_TARGETS, self.final_at)

    def should_answer(
        self,
        answered_shards: int,
        pending_shards: int,
        now: float,
        at_target: bool = False,
    ) -> bool:
        """Return whether the query should be answered now.

        Parameters
        ----------
        answered_shards : int
            Number of shards that have answered.
        pending_shards : int
            Number of shards that may still answer.
        at_target : bool
            Whether the target time has come.
        """
        if pending_shards == 0 or now >= self.final_at:
            return True
        if answered_shards < self.required_shards:
            return answered_shards + pending_shards < self.required_shards
        return at_target or now >= self.late_answer_at
