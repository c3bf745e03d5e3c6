"""Which members of the group decide together.

A majority of the voters decides. Half of an even number of voters suffices where the
disk of another voter is known to have been replaced: the replaced identity never acts
again, so any two such halves share one of the other voters, and each half shares one
with every majority from before the loss.

While a voter joins or leaves, a decision needs a quorum of the voters with it and one
of the voters without it: unlike majorities, a half of one set need not share a voter
with a majority of the other.
"""

from collections.abc import Callable, Iterable, Set
from dataclasses import dataclass

from kingcuplug_log._types import Member, MemberRole

__all__ = ["QuorumRule", "quorum_size"]


def quorum_size(voter_count: int) -> int:
    """Return the size of a majority of `voter_count` voters."""
    return voter_count // 2 + 1


@dataclass(frozen=True, slots=True)
class QuorumRule:
    """Decides whether members are a quorum.

    Attributes
    ----------
    voter_sets : tuple of frozenset
        Ids of the voters; a second set, without the voter that joins or leaves, while
        there is one. A quorum of each set is needed.
    half_quorums : bool
        Whether all voters run a version that knows of half quorums.
    """

    voter_sets: tuple[frozenset[str], ...]
    half_quorums: bool

    @classmethod
    def from_members(cls, members: Iterable[Member]) -> "QuorumRule":
        """Return the rule for a list of members."""
        voters = [m for m in members if m.role is MemberRole.VOTER]
        settled = frozenset(m.id for m in voters if m.transition is None)
        everyone = frozenset(m.id for m in voters)
        return cls(
            (everyone,) if settled == everyone else (everyone, settled),
            bool(voters) and all(m.half_quorums for m in voters),
        )

    def is_met(self, ids: Set[str], replaced: Set[str]) -> bool:
        """Return whether members are a quorum.

        Parameters
        ----------
        ids : set of str
            Ids of the members.
        replaced : set of str
            Ids of members whose disks are known to have been replaced.
        """
        return all(
            self._has_majority(voters, ids) or self._has_half(voters, ids, replaced)
            for voters in self.voter_sets
        )

    def latest(self, value_of: Callable[[str], float], replaced: Set[str]) -> float:
        """Return the greatest value that a quorum of the voters has reached."""
        values = {voter: value_of(voter) for voter in self.voter_sets[0]}
        return max(
            value
            for value in values.values()
            if self.is_met({v for v in values if values[v] >= value}, replaced)
        )

    def losses_borne(self, live: Set[str]) -> int:
        """Return how many of the live voters may lose their disks at the same time.

        With half quorums this counts on hosts that come back, with an empty disk.
        Negative if there is no quorum.
        """
        return min(
            len(voters & live) - self._smallest_quorum(len(voters))
            for voters in self.voter_sets
        )

    def _smallest_quorum(self, voter_count: int) -> int:
        has_half = self.half_quorums and voter_count % 2 == 0
        return voter_count // 2 if has_half else quorum_size(voter_count)

    @staticmethod
    def _has_majority(voters: frozenset[str], ids: Set[str]) -> bool:
        return len(voters & ids) >= quorum_size(len(voters))

    def _has_half(
        self, voters: frozenset[str], ids: Set[str], replaced: Set[str]
    ) -> bool:
        others = voters - replaced
        return (
            self.half_quorums
            and others != voters
            and 2 * len(others & ids) >= len(voters)
        )
