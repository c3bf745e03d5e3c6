"""Settings of the request path."""

import math
from dataclasses import dataclass

from kingcuplug_routing import AllowanceSettings

from kingcuplug_gateway._protocol import HeaderNames

__all__ = ["GatewaySettings"]

_DEFAULT_ALLOWANCE = AllowanceSettings()
# Thirty-six parts of 1.2 KB take 7 ms at 50 Mbit/s, about the margin of an answer.
_NARROW_LINK_MBPS = 50.0


@dataclass(frozen=True, slots=True)
class GatewaySettings:
    """Settings of the request path.

    Attributes
    ----------
    availability_zone : str
        The host's own.
    caller_delay_ms : float
        One way between callers and this host; an answer must leave earlier by it.
    answer_margin_ms : float
        Time to merge and write an answer, kept free before a deadline.
    link_mbps : float
        Of this host. A narrow link has other hosts gather the parts of queries, a
        wide one lets this host gather for others.
    """

    availability_zone: str
    names: HeaderNames
    allowance: AllowanceSettings = _DEFAULT_ALLOWANCE
    caller_delay_ms: float = 3.0
    answer_margin_ms: float = 4.0
    link_mbps: float = math.inf

    @property
    def narrow(self) -> bool:
        """Whether the parts of one query fill the link for long."""
        return self.link_mbps < _NARROW_LINK_MBPS
