"""Settings of the routing policy.

The reasons for the defaults are in ``docs/decisions/routing.md``.
"""

from dataclasses import dataclass
from math import inf

from kingcuplug_routing._selection import (
    ReplicaSelector,
    power_of_two_choices,
    random_replica,
)

__all__ = ["RoutingPolicy", "baseline_policy"]


@dataclass(frozen=True, slots=True)
class RoutingPolicy:
    """Settings of one service's router and admission at one entry host.

    Parameters
    ----------
    select : callable
        Picks one of at least two candidate servers.
    limited : bool
        Whether the requests in flight per server are limited.
    hedge_budget, retry_budget : float
        Hedges and retries as a share of the first sub-requests.
    budget_burst : float
        Greatest number of tokens that a budget accumulates.
    retry_floor_per_s : float
        Retries per second that are allowed at any traffic. At a few queries a
        minute the share alone would not allow the retry after a lost replica.
    hedge_quantile : float
        Quantile of the observed latency after which a hedge is sent.
    latency_weight : float
        Weight of one observation in a server's recent latency.
    forget_s : float
        Time constant with which the latency of an unused slow server decays to the
        service's mean: after this time 63% of the difference is gone.
    slow_start_s : float
        Time over which a new incarnation ramps up to its full share.
    ejection_failures : int
        Consecutive failures after which a server is ejected.
    ejection_s, ejection_longest_s : float
        First and longest duration of an ejection; it doubles each time.
    back_off_longest_s : float
        Longest back-off after a shed or failed attempt.
    zone_factor : float
        Factor on the expected latency of servers in the entry host's own availability
        zone.
    turn_after : int
        Number of times after which a waiting lower priority class that was passed over
        is served next.
    utilisation : float
        Share of the service's slots that all entry hosts together plan to use;
        infinite for no admission control.
    greatest_share : float
        Multiple of its even share that an entry host may use while servers have
        room.
    urgent_reserve : float
        Share of the admission burst that only urgent requests may use.
    burst_s : float
        Time over which unused slot time accumulates.
    longest_wait_s : float
        Longest wait for admission of a normal request; bulk waits up to
        `bulk_wait_factor` times longer.
    """

    select: ReplicaSelector = power_of_two_choices
    limited: bool = True
    hedge_budget: float = 0.05
    retry_budget: float = 0.1
    budget_burst: float = 10.0
    retry_floor_per_s: float = 10.0
    hedge_quantile: float = 0.95
    latency_weight: float = 0.2
    forget_s: float = 30.0
    slow_start_s: float = 5.0
    ejection_failures: int = 3
    ejection_s: float = 1.0
    ejection_longest_s: float = 30.0
    back_off_longest_s: float = 1.0
    zone_factor: float = 0.9
    turn_after: int = 15
    utilisation: float = 1.1
    greatest_share: float = 10.0
    urgent_reserve: float = 0.2
    burst_s: float = 1.0
    longest_wait_s: float = 0.2
    bulk_wait_factor: float = 5.0


def baseline_policy() -> RoutingPolicy:
    """Return the baseline for comparisons: random replica, no limits."""
    return RoutingPolicy(
        select=random_replica,
        limited=False,
        hedge_budget=0.0,
        retry_budget=inf,
        slow_start_s=0.0,
        ejection_failures=1_000_000_000,
        back_off_longest_s=0.0,
        utilisation=inf,
    )
