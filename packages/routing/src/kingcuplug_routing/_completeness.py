"""When a query over many shards is answered without its missing parts.

Answers this load pattern: one shard stalls or is down while all others have
answered. Callers value an answer within the target time far above a late one, and an
answer by the square of the share of its shards; so a query is answered at its target
if the shards that are in reach the minimum, and otherwise waits for the rest.
"""

from dataclasses import dataclass

__all__ = ["AnswerRule"]

# Once the target is missed, a whole answer is worth more than a sooner one, but
# not for ever: the caller still waits.
_LATE_TARGETS = 2.0
# The last shards of a query are compared with the others of the same query, which
# met the same links and load: beyond this factor they wait for a server that stalls.
_STRAGGLING_SHARE = 0.15
_STRAGGLING_FACTOR = 1.25


@dataclass(frozen=True, slots=True)
class AnswerRule:
    """The moments that decide when one query is answered.

    Attributes
    ----------
    total : int
        Shards of the query.
    minimum : float
        Smallest share of shards that makes an answer.
    target_at, final_at : float
        Times by which an answer must leave here to be on time, and to be of use at
        all, in event loop time.
    begun_at : float
        When the query was received.
    """

    total: int
    minimum: float
    begun_at: float
    target_at: float
    final_at: float

    @property
    def needed(self) -> int:
        """Number of shards without which there is no answer."""
        whole, rest = divmod(self.total * self.minimum, 1)
        return max(1, int(whole) + (rest > 1e-9))

    @property
    def stragglers(self) -> int:
        """Number of shards that are still open when most have answered."""
        return max(1, int(self.total * _STRAGGLING_SHARE))

    def hurry_at(self, now: float) -> float:
        """Return when stragglers are asked again, if most have answered by now."""
        return self.begun_at + (now - self.begun_at) * _STRAGGLING_FACTOR

    @property
    def late_at(self) -> float:
        """Time after which a late query no longer waits for its last shards."""
        target_s = self.target_at - self.begun_at
        return min(self.target_at + target_s * _LATE_TARGETS, self.final_at)

    def ready(
        self, included: int, open_parts: int, now: float, at_target: bool = False
    ) -> bool:
        """Return whether the query is to be answered now.

        Parameters
        ----------
        included : int
            Shards that have answered.
        open_parts : int
            Shards that may still answer.
        at_target : bool
            Whether this is the last moment for an answer on time.
        """
        if open_parts == 0 or now >= self.final_at:
            return True
        if included < self.needed:
            return included + open_parts < self.needed
        return at_target or now >= self.late_at
