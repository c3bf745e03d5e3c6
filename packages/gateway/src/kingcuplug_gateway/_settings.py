"""Settings of the gateway."""

import math
from dataclasses import dataclass

from kingcuplug_routing import RetryBudgetSettings, ZoneRegions

from kingcuplug_gateway._header_names import HeaderNames

__all__ = ["GatewaySettings"]

_DEFAULT_RETRY_BUDGET = RetryBudgetSettings()
_NO_REGIONS = ZoneRegions()
# At 50 Mbit/s, the 36 parts of a query at 1.2 KB each take 7 ms to receive, about as
# long as the time reserved before a deadline.
_NARROW_LINK_MBPS = 50.0


@dataclass(frozen=True, slots=True)
class GatewaySettings:
    """Settings of the gateway.

    Attributes
    ----------
    availability_zone : str
        Availability zone of the host.
    caller_delay_ms : float
        One-way network delay between callers and this host; responses are sent this
        much earlier.
    answer_margin_ms : float
        Time reserved before a deadline to merge and send a response.
    gathered_margin_ms : float
        The same for a query whose parts other hosts have gathered, of which this host
        merges few replies.
    link_mbps : float
        Bandwidth of this host's link. A host with a narrow link has other hosts gather
        the parts of its queries; a host with a wide link gathers for others.
    regions : ZoneRegions
        Regions of the zones of servers and hosts, and of this host.
    """

    availability_zone: str
    names: HeaderNames
    retry_budget: RetryBudgetSettings = _DEFAULT_RETRY_BUDGET
    caller_delay_ms: float = 3.0
    answer_margin_ms: float = 4.0
    gathered_margin_ms: float = 4.0
    link_mbps: float = math.inf
    regions: ZoneRegions = _NO_REGIONS

    @property
    def has_narrow_link(self) -> bool:
        """Whether receiving the parts of one query takes too long on this link."""
        return self.link_mbps < _NARROW_LINK_MBPS
