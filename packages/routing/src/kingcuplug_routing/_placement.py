"""Choice of a replica, and of the moment of a hedge, by expected cost.

Handles these load patterns: requests of unequal cost at replicas of unequal speed, of
which one pauses at any time; queries over many shards with a target so short that the
hedge of one late part decides whether they are complete in time; and many hosts that
choose without knowing each other's choices.
"""

import math
import random as random_module
from collections.abc import Sequence
from typing import NamedTuple

from kingcuplug_routing._replica_scoring import JITTER, ReplicaState
from kingcuplug_routing._request_cost import CostEstimate, CostEstimator
from kingcuplug_routing._server_work import ServerWork

__all__ = [
    "REMAINDER_ROUND_TRIP_S",
    "CostPlacement",
    "PlacementChoice",
    "choose_by_cost",
    "has_free_slot",
]

_MS_PER_S = 1_000
# Requests with time to spare wait for a part of it, because their hedges use the same
# budget as those of urgent requests.
_DELAY_SHARE_OF_SPARE = 0.2
# Below it, the set-up of a connection or a busy event loop looks like a stall.
_MIN_HEDGE_DELAY_S = 0.008
# However short the target is, a part is not hedged before this share of its upper
# duration: beyond one part in six, the budget would be used up by ordinary parts.
_MIN_DELAY_SHARE = 0.8
# A gatherer replies this much before the first hedge is due, so that the request for
# the remaining parts has arrived by then: two trips between zones.
REMAINDER_ROUND_TRIP_S = 0.003


class PlacementChoice(NamedTuple):
    """Chosen replica.

    Attributes
    ----------
    position : int
        Its position among the candidates.
    score_s : float
        Expected latency with penalties, without the random factor.
    slowness : float
        Expected duration of a request relative to that at a normal server.
    outstanding_s : float
        Work that it has to do before.
    """

    position: int
    score_s: float
    slowness: float
    outstanding_s: float


def choose_by_cost(
    states: Sequence[ReplicaState],
    works: Sequence[ServerWork],
    now: float,
    cost: CostEstimate,
    random: random_module.Random,
) -> PlacementChoice:
    """Return the replica with the lowest expected waiting and cost.

    Parameters
    ----------
    states, works : sequence
        What this host knows of each replica, in the same order.
    cost : CostEstimate
        Expected cost of the request.
    """
    best, best_jittered_s = (0, 0.0, 1.0, 0.0), math.inf
    for position, state in enumerate(states):
        work = works[position]
        slowness = state.slowness_factor(work.slowness(now), now)
        outstanding_s = work.outstanding_s(now)
        expected_s = (cost.typical_s + outstanding_s / state.slots) * slowness
        score_s = state.penalized_s(expected_s, work.stall_s(now), now)
        jittered_s = score_s * random.uniform(*JITTER)
        if jittered_s < best_jittered_s:
            best_jittered_s = jittered_s
            best = (position, score_s, slowness, outstanding_s)
    return PlacementChoice(*best)


def has_free_slot(
    state: ReplicaState, work: ServerWork, now: float, cost: CostEstimate
) -> bool:
    """Return whether a server is expected to run one more request at once.

    A hedge sent elsewhere would take the slot of a first attempt.
    """
    if work.open_count >= state.slots or work.stall_s(now) > 0:
        return False
    return work.outstanding_s(now) < state.slots * max(cost.upper_s, cost.typical_s)


class CostPlacement:
    """Expected costs and hedge delays of one route.

    Parameters
    ----------
    target_ms : int
        Target latency of the route.
    reserved_s : float
        Part of the target that is spent between the callers and the host that sends the
        attempts.
    """

    def __init__(self, target_ms: int, reserved_s: float) -> None:
        self.costs = CostEstimator(target_ms)
        self._available_s = target_ms / _MS_PER_S - reserved_s

    def hedge_delay_s(
        self, cost: CostEstimate, slowness: float, wait_s: float, elapsed_s: float
    ) -> float:
        """Return the age at which to hedge an attempt.

        The attempt is then later than nine in ten of its kind, and the answer to the
        hedge still arrives within the target.

        Parameters
        ----------
        slowness, wait_s : float
            Slowness of the attempt's server, and the expected wait there.
        elapsed_s : float
            Age of the request when the attempt is sent.
        """
        late_s = cost.upper_s * slowness + wait_s
        latest_s = self._available_s - elapsed_s - cost.upper_s
        if latest_s > late_s:
            delay_s = late_s + (latest_s - late_s) * _DELAY_SHARE_OF_SPARE
        else:
            delay_s = max(latest_s, late_s * _MIN_DELAY_SHARE)
        return delay_s if delay_s > _MIN_HEDGE_DELAY_S else _MIN_HEDGE_DELAY_S
