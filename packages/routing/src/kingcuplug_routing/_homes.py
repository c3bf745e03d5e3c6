"""Regions in which a request may run, and in which its body may be.

Load pattern: hosts and servers of several regions, and routes or teams whose requests
must stay in some of them while load, failures and cost would move them to others.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field

__all__ = ["AllowedRegions", "ZoneRegions", "common_regions"]

# ``None`` allows all regions, an empty set allows none.
AllowedRegions = frozenset[str] | None


def common_regions(first: AllowedRegions, second: AllowedRegions) -> AllowedRegions:
    """Return the regions that two lists both allow."""
    if first is None or second is None:
        return first if second is None else second
    return first & second


@dataclass(frozen=True, slots=True)
class ZoneRegions:
    """Regions of the availability zones, as one host knows them.

    Attributes
    ----------
    by_zone : mapping
        Region of each zone. A zone without one is in no allowed region.
    own_zone, own_region : str
        Zone and region of this host; the region is needed if `by_zone` lacks the zone.
    """

    by_zone: Mapping[str, str] = field(default_factory=dict)
    own_zone: str = ""
    own_region: str = ""

    def region_of(self, zone: str) -> str:
        """Return the region of a zone, empty if unknown."""
        default = self.own_region if zone == self.own_zone else ""
        return self.by_zone.get(zone, default)

    def may_serve(self, zone: str, allowed: AllowedRegions) -> bool:
        """Return whether a server in a zone may get a request."""
        if allowed is None:
            return True
        region = self.region_of(zone)
        return region != "" and region in allowed

    def may_hold_body(self, zone: str, allowed: AllowedRegions) -> bool:
        """Return whether a host in a zone may get the body of a request.

        The caller has connected to this host, so the body is in its region already.
        """
        if self.may_serve(zone, allowed):
            return True
        region = self.region_of(zone)
        return region != "" and region == self.region_of(self.own_zone)
