"""Which voters bear the loss of disks, of some machines or of whole zones.

Load pattern: all hosts lose power, and the disks of one availability zone, or of a few
machines, never come back. An acknowledged entry is on the disks of a majority of the
voters that the log lists. If the disks that are left are a majority, too, one of them
holds the entry, and they can elect a leader: ``voters - lost >= voters // 2 + 1``.
"""

from collections import Counter
from collections.abc import Collection, Iterable, Mapping, Sequence
from dataclasses import dataclass

__all__ = ["DiskTolerance", "required_voters"]


def required_voters(machines: int) -> int:
    """Return the size of the smallest group that bears the loss of so many disks.

    An acknowledged entry is on the disks of a majority of the voters. If any
    `machines` of these are lost, the others must still be a majority of the
    voters listed in the log: ``voters - losses >= voters // 2 + 1``.
    """
    return 2 * max(machines, 1) + 1


@dataclass(frozen=True, slots=True)
class DiskTolerance:
    """Losses that every acknowledged change must survive.

    Attributes
    ----------
    machines : int
        Number of disks that may be lost at the same time, in any zones.
    zones : int
        Number of availability zones that may lose all their disks at the same time.
        With 0 the zones of the disks have no influence.
    """

    machines: int = 1
    zones: int = 0

    @property
    def required_voters(self) -> int:
        """Size of the smallest group that bears the losses."""
        return required_voters(self.machines)

    def margin(self, voter_zones: Collection[str]) -> int:
        """Return how many disks more may be lost than are to be tolerated.

        Parameters
        ----------
        voter_zones : collection of str
            Zone of each voter, empty if unknown. One that is unknown may be any zone,
            so its disk counts as lost with the others.
        """
        counts = Counter(voter_zones)
        unknown = counts.pop("", 0)
        largest = sorted(counts.values(), reverse=True)[: self.zones]
        in_zones = sum(largest) + unknown if self.zones else 0
        return (len(voter_zones) - 1) // 2 - max(self.machines, 1, in_zones)

    def is_met(self, voter_zones: Collection[str]) -> bool:
        """Return whether these voters bear all losses that are to be tolerated."""
        return self.margin(voter_zones) >= 0

    def may_remove(
        self, voter_zones: Sequence[str], zone: str, replaced: bool = False
    ) -> bool:
        """Return whether a voter in a zone may leave while its disk is intact.

        The others must be enough, or bear the loss of one if another host has replaced
        the voter. By zones, a group that does not bear the losses must not bear less.
        """
        remaining = list(voter_zones)
        remaining.remove(zone)
        minimum = required_voters(1) if replaced else self.required_voters
        if len(remaining) < minimum:
            return False
        return not self.zones or self._keeps_margin(voter_zones, remaining)

    def may_add(self, voter_zones: Sequence[str], zone: str) -> bool:
        """Return whether a group stays as good as it is with a voter in a zone.

        An even number of voters bears no more losses than the odd one below it, so one
        more voter in the largest zone may be one too many.
        """
        return not self.zones or self._keeps_margin(voter_zones, [*voter_zones, zone])

    def _keeps_margin(self, before: Collection[str], after: Collection[str]) -> bool:
        return self.margin(after) >= min(0, self.margin(before))

    def largest_group(self, disk_zones: Iterable[str]) -> Counter[str] | None:
        """Return the number of voters per zone in the largest group that is enough.

        Voters are spread as evenly as the disks allow, because no other choice of as
        many voters has fewer of them in its largest zones.

        Returns
        -------
        Counter or None
            ``None`` if no choice of voters among the disks bears the losses.
        """
        available = Counter(disk_zones)
        if not self.zones:
            enough = available.total() >= self.required_voters
            return available if enough else None
        largest: Counter[str] | None = None
        chosen: Counter[str] = Counter()
        # A disk in an unknown zone is no choice, because it may be in any zone.
        zones = sorted(zone for zone in available if zone)
        for level in range(1, max(available.values(), default=0) + 1):
            for zone in zones:
                if available[zone] >= level:
                    chosen[zone] += 1
                    if self.is_met(list(chosen.elements())):
                        largest = chosen.copy()
        return largest

    def choose_voters(self, disk_zones: Mapping[str, str]) -> list[str] | None:
        """Return the members of the largest group that bears the losses.

        Parameters
        ----------
        disk_zones : mapping
            Zone of each disk by the identifier of its host; the first ones of a zone
            are preferred.
        """
        group = self.largest_group(disk_zones.values())
        if group is None:
            return None
        chosen: list[str] = []
        for identifier, zone in disk_zones.items():
            if group[zone] > 0:
                group[zone] -= 1
                chosen.append(identifier)
        return chosen
