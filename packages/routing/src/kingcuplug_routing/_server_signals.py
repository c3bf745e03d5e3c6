"""What a backend server has said of itself to this host.

Handles these load patterns: a server leaves while its host has no contact to control; a
server without room asks to be left alone for some time; a server in need names the
requests a second that it takes; a cold server is used by all hosts at once.
"""

import math
from dataclasses import dataclass

from kingcuplug_routing._server_limit import ServerLimit

__all__ = ["ServerSignals"]


@dataclass(slots=True)
class ServerSignals:
    """Signals of one incarnation of a server; its next one starts without any.

    Attributes
    ----------
    start_ms : int
        Start of the incarnation.
    leaving : bool
        Whether it has said that it leaves. It does not take that back.
    not_before : float
        Event loop time before which it wants no requests.
    limit : ServerLimit or None
        Set while its answers name the requests a second that it takes.
    said_leaving : bool
        Whether it has told this host itself that it leaves.
    said_not_before : float
        The part of `not_before` that it has told this host itself.
    cold_until : float
        Event loop time until which it is cold.
    cold_limit : ServerLimit or None
        Set while it is cold and its service limits the requests to cold servers.
    """

    start_ms: int = 0
    leaving: bool = False
    not_before: float = 0.0
    limit: ServerLimit | None = None
    said_leaving: bool = False
    said_not_before: float = 0.0
    cold_until: float = 0.0
    cold_limit: ServerLimit | None = None

    @property
    def is_limited(self) -> bool:
        """Whether the number of requests to the server is limited."""
        return self.limit is not None or self.cold_limit is not None

    @property
    def limits(self) -> tuple[ServerLimit, ...]:
        """The limits in force; their demand is the same."""
        return tuple(x for x in (self.limit, self.cold_limit) if x is not None)

    def record_demand(self, now: float) -> None:
        """Count a request that this host would send to the server without limits."""
        for limit in self.limits:
            limit.record_demand(now)

    def pop_demand(self) -> int:
        """Return the demand since the previous call."""
        return max((limit.pop_demand() for limit in self.limits), default=0)

    def restore_demand(self, demand: int) -> None:
        """Add demand that could not be reported to the next `pop_demand`."""
        for limit in self.limits:
            limit.restore_demand(demand)

    def take(self, now: float) -> None:
        """Count a request that is sent now."""
        for limit in self.limits:
            limit.take(now)

    def has_said_to_wait(self, now: float) -> bool:
        """Return whether it has told this host itself to send no requests now.

        Only that is passed on to other hosts: what two hosts pass to each other would
        last longer each time, and a faulty answer would reach all hosts.
        """
        return self.said_leaving or now < self.said_not_before

    @property
    def is_empty(self) -> bool:
        """Whether the server has said nothing that holds requests back."""
        return not self.leaving and not self.is_limited and self.not_before == 0.0

    def wants_requests(self, now: float) -> bool:
        """Return whether requests may be sent as far as the limit allows them."""
        return not self.leaving and now >= self.not_before

    def has_room(self, now: float, requests: int = 1) -> bool:
        """Return whether this host may send a number of requests now."""
        if not self.wants_requests(now):
            return False
        return all(limit.available(now) >= requests for limit in self.limits)

    def room_at(self, now: float) -> float:
        """Return when this host may send the next request, ``inf`` if never."""
        if self.leaving:
            return math.inf
        if not self.is_limited:
            return max(self.not_before, now)
        limited_until = (limit.room_at(now) for limit in self.limits)
        return max(self.not_before, now, *limited_until)
