"""One host's part of the requests a second that a backend server takes.

Handles these load patterns: a server in need asks all hosts together for fewer
requests, while no host sees what the others send; hundreds of hosts share a limit of a
few requests a second, so that the part of each is less than one; hosts that were idle
receive a burst at the same moment; most requests come from a few hosts that gather for
the others; a server that has just started, or comes back after an evacuation, is slow
until its caches are filled, while all hosts are eager to use it, some of them without
contact to control.
"""

import math
from collections import deque
from dataclasses import dataclass

from kingcuplug_routing._retry_budget import SlidingWindowCounter

__all__ = [
    "COLD_RULE",
    "DEMAND_WINDOW_S",
    "NAMED_RULE",
    "LimitRule",
    "ServerLimit",
    "limit_share",
    "limited_rate",
]

# Hosts divide the limit in proportion to their demand in this window.
DEMAND_WINDOW_S = 10.0
# The hosts send independently of each other, so the requests in a window vary like a
# Poisson variable; the bound lies this many standard deviations above the mean.
_BOUND_DEVIATIONS = 3.0
# A server is probed at least this often, because only its answers end the limit.
_MIN_RATE_PER_S = 0.1
# Requests assumed of each host beyond those counted, so that a host whose callers have
# just arrived has a part of the limit.
_PRIOR_REQUESTS = 0.1
# Requests are counted at once here, and with this delay at most in the total of all
# hosts. The lowest share of this time is used: in a burst, the own count rises first.
_TOTAL_DELAY_S = 2.0
_SHARE_INTERVAL_S = 0.1
# Covers the election of a new leader, which continues the totals of the last one.
_UNKNOWN_TOTAL_S = 3.0


@dataclass(frozen=True, slots=True)
class LimitRule:
    """What all hosts together may send to a server with a limit.

    Attributes
    ----------
    window_s : float
        Length of the windows in which requests are counted.
    factor : float
        A server takes this many times its limit in any window.
    extra_requests : int
        It takes so many requests more.
    unused_ttl_s : float
        Requests that are not used expire, so that hosts that were idle cannot send them
        all at once. This is the shortest time for it.
    max_unused_ttl_s : float
        The longest time, for limits so low that the extra requests allow for it: a
        host's part is then far below one request per second.
    share_sum : float
        Sum of all hosts' shares that the rate allows for. Hosts without contact to
        control go on with at most equal shares; the others divide the whole limit.
    """

    window_s: float
    factor: float
    extra_requests: int
    unused_ttl_s: float
    max_unused_ttl_s: float
    share_sum: float = 1.0


# Of servers that name a limit in their answers. Only hosts in contact are counted.
NAMED_RULE = LimitRule(4.0, 1.5, 5, 1.5, 1.5)
# Of cold servers, over all hosts: half of them may have no contact to control. Requests
# expire sooner, since the window is short.
COLD_RULE = LimitRule(1.0, 1.5, 5, 0.5, 5.0, share_sum=1.5)


def limited_rate(limit_per_s: float, rule: LimitRule = NAMED_RULE) -> float:
    """Return the requests a second that all hosts together may send to a server.

    Parameters
    ----------
    limit_per_s : float
        Limit of the server.
    """
    counted_s = rule.window_s + rule.unused_ttl_s
    rate_per_s = min(limit_per_s, _mean_requests(limit_per_s, rule) / counted_s)
    return max(rate_per_s, _MIN_RATE_PER_S)


def _unused_ttl_s(limit_per_s: float, rule: LimitRule) -> float:
    """Return how long unused requests are kept at the rate of a limit."""
    rate_per_s = limited_rate(limit_per_s, rule)
    longest_s = _mean_requests(limit_per_s, rule) / rate_per_s - rule.window_s
    return min(max(longest_s, rule.unused_ttl_s), rule.max_unused_ttl_s)


def _mean_requests(limit_per_s: float, rule: LimitRule) -> float:
    """Return the mean of the requests in a window that keeps to its bound."""
    bound = limit_per_s * rule.factor * rule.window_s + rule.extra_requests
    # Solves mean + deviations * sqrt(mean) = bound for the mean.
    root = (math.sqrt(_BOUND_DEVIATIONS**2 + 4 * bound) - _BOUND_DEVIATIONS) / 2
    return root * root / rule.share_sum


def limit_share(own: int, total: int, hosts: int) -> float:
    """Return a host's share of a server's limit, between 0 and 1.

    The shares of all hosts add up to 1 when they use the same totals.

    Parameters
    ----------
    own, total : int
        Requests that this host and that all hosts have had for the server recently; a
        total of 0 means unknown and makes the shares equal.
    hosts : int
        Live hosts, at least 1.
    """
    if total <= 0:
        return 1 / hosts
    prior = _PRIOR_REQUESTS
    return (own + prior) / (max(own, total) + prior * hosts)


class ServerLimit:
    """Meters this host's requests to one server with a limit.

    Requests become available at an even pace, and expire if they are not used.

    Parameters
    ----------
    limit_per_s : float
        Requests a second that the server takes from all hosts together.
    phase : float
        Part of the first request that is available at once, from 0 to 1. Random phases
        keep the hosts from sending at the same moment.

    Attributes
    ----------
    limit_per_s : float
        Newest limit of the server.
    """

    def __init__(
        self,
        limit_per_s: float,
        phase: float,
        now: float,
        rule: LimitRule = NAMED_RULE,
    ) -> None:
        self.limit_per_s = limit_per_s
        self._rule = rule
        self._rate_per_s = 0.0
        self._unused_ttl_s = rule.unused_ttl_s
        self._issued = phase
        self._issued_at = now
        self._used = 0
        self._shares: deque[tuple[float, float]] = deque()
        self._demand = SlidingWindowCounter(DEMAND_WINDOW_S)
        self._unreported_demand = 0
        self._total_known_at = -math.inf

    def record_demand(self, now: float) -> None:
        """Count a request that this host would send to the server without the limit."""
        self._demand.add(now)
        self._unreported_demand += 1

    def pop_demand(self) -> int:
        """Return the demand since the previous call."""
        demand, self._unreported_demand = self._unreported_demand, 0
        return demand

    def restore_demand(self, demand: int) -> None:
        """Add demand that could not be reported to the next `pop_demand`."""
        self._unreported_demand += demand

    def set_fleet(self, total_demand: int, hosts: int, now: float) -> None:
        """Set the demand of all hosts, 0 if unknown, and the number of hosts.

        While the demand is unknown, the last share is used for a short time only: hosts
        that are told of the limit meanwhile take equal shares. Call it several times a
        second.
        """
        self._advance(now)
        shares = self._shares
        is_first = not shares
        if shares and now < shares[-1][0] + _SHARE_INTERVAL_S:
            return
        own = self._demand.total(now)
        share = limit_share(own, total_demand, hosts)
        if total_demand > 0:
            self._total_known_at = now
        elif own > 0 and shares:
            used = min(share for _, share in shares)
            is_short = now < self._total_known_at + _UNKNOWN_TOTAL_S
            share = used if is_short else min(share, used)
        shares.append((now, share))
        while shares[0][0] < now - _TOTAL_DELAY_S:
            shares.popleft()
        share = min(share for _, share in shares)
        self._rate_per_s = limited_rate(self.limit_per_s, self._rule) * share
        self._unused_ttl_s = _unused_ttl_s(self.limit_per_s, self._rule)
        if is_first:
            # As if the limit had applied before, so that requests go on.
            self._issued += self._rate_per_s * self._unused_ttl_s

    def available(self, now: float) -> int:
        """Return the number of requests that may be sent now."""
        self._advance(now)
        return int(self._issued) - self._first_unused()

    def room_at(self, now: float) -> float:
        """Return when the next request may be sent, in event loop time."""
        if self.available(now) > 0:
            return now
        if self._rate_per_s <= 0:
            return math.inf
        return now + (int(self._issued) + 1 - self._issued) / self._rate_per_s

    def take(self, now: float) -> None:
        """Count a request that is sent now."""
        self._advance(now)
        self._used = self._first_unused() + 1

    def _advance(self, now: float) -> None:
        self._issued += max(0.0, now - self._issued_at) * self._rate_per_s
        self._issued_at = now

    def _first_unused(self) -> int:
        kept = self._rate_per_s * self._unused_ttl_s
        expired = int(max(0.0, self._issued - kept))
        return max(self._used, expired)
