"""Replica choice, limits, hedging, retry budgets and the crash guard.

The router with its admission and its crash guard is imported on first use: the
gateway does not need it, and all hosts may have to start at once.
"""

from typing import TYPE_CHECKING

from kingcuplug_common import import_on_first_use

from kingcuplug_routing._concurrency_limiter import (
    ConcurrencyLimiter,
    WaitingRequest,
    concurrency_limits,
    is_in_time,
)
from kingcuplug_routing._delegation import Delegation, delegate
from kingcuplug_routing._fair_queue import (
    CostTable,
    ExpectedCost,
    FairQueue,
    QueuedRequest,
)
from kingcuplug_routing._homes import (
    AllowedRegions,
    ZoneRegions,
    common_regions,
)
from kingcuplug_routing._isolation import IsolationDetector
from kingcuplug_routing._latency_estimator import LatencyEstimator
from kingcuplug_routing._partial_answer import PartialAnswerPolicy
from kingcuplug_routing._placement import (
    REMAINDER_ROUND_TRIP_S,
    CostPlacement,
    choose_by_cost,
    has_free_slot,
)
from kingcuplug_routing._replica_scoring import ReplicaState, choose_replica
from kingcuplug_routing._request_cost import CostEstimate, request_kind
from kingcuplug_routing._request_quarantine import (
    RequestQuarantine,
    SuspectRecord,
    SuspectRecords,
    SuspectRegister,
)
from kingcuplug_routing._retry_budget import (
    RetryBudget,
    RetryBudgetSettings,
    SlidingWindowCounter,
    host_share,
)
from kingcuplug_routing._returning_callers import ReturningCallers
from kingcuplug_routing._server_limit import (
    COLD_RULE,
    DEMAND_WINDOW_S,
    NAMED_RULE,
    LimitRule,
    ServerLimit,
    limit_share,
    limited_rate,
)
from kingcuplug_routing._server_signals import ServerSignals
from kingcuplug_routing._server_work import ServerWork
from kingcuplug_routing._slow_servers import LatencySamples, SlowServerDetector
from kingcuplug_routing._team_quota import (
    TeamCounts,
    TeamQuota,
    TeamQuotaGate,
    TeamRatios,
)
from kingcuplug_routing._team_quota_controller import TeamQuotaController
from kingcuplug_routing._warm_up import startup_wait_until

if TYPE_CHECKING:
    from kingcuplug_routing._admission import Admission, AdmissionContext
    from kingcuplug_routing._crash_guard import CrashGuard
    from kingcuplug_routing._crash_history import CrashGuardSettings, CrashSuspect
    from kingcuplug_routing._policy import RoutingPolicy, baseline_policy
    from kingcuplug_routing._router import Router
    from kingcuplug_routing._selection import (
        least_expected_time,
        least_in_flight,
        power_of_two_choices,
        random_replica,
    )
    from kingcuplug_routing._ticket import Ticket
    from kingcuplug_routing._types import (
        Attempt,
        AttemptOutcome,
        Holding,
        HoldingView,
        Priority,
        ServerView,
        SnapshotView,
    )

__all__ = [
    "COLD_RULE",
    "DEMAND_WINDOW_S",
    "NAMED_RULE",
    "REMAINDER_ROUND_TRIP_S",
    "Admission",
    "AdmissionContext",
    "AllowedRegions",
    "Attempt",
    "AttemptOutcome",
    "ConcurrencyLimiter",
    "CostEstimate",
    "CostPlacement",
    "CostTable",
    "CrashGuard",
    "CrashGuardSettings",
    "CrashSuspect",
    "Delegation",
    "ExpectedCost",
    "FairQueue",
    "Holding",
    "HoldingView",
    "IsolationDetector",
    "LatencyEstimator",
    "LatencySamples",
    "LimitRule",
    "PartialAnswerPolicy",
    "Priority",
    "QueuedRequest",
    "ReplicaState",
    "RequestQuarantine",
    "RetryBudget",
    "RetryBudgetSettings",
    "ReturningCallers",
    "Router",
    "RoutingPolicy",
    "ServerLimit",
    "ServerSignals",
    "ServerView",
    "ServerWork",
    "SlidingWindowCounter",
    "SlowServerDetector",
    "SnapshotView",
    "SuspectRecord",
    "SuspectRecords",
    "SuspectRegister",
    "TeamCounts",
    "TeamQuota",
    "TeamQuotaController",
    "TeamQuotaGate",
    "TeamRatios",
    "Ticket",
    "WaitingRequest",
    "ZoneRegions",
    "baseline_policy",
    "choose_by_cost",
    "choose_replica",
    "common_regions",
    "concurrency_limits",
    "delegate",
    "has_free_slot",
    "host_share",
    "is_in_time",
    "least_expected_time",
    "least_in_flight",
    "limit_share",
    "limited_rate",
    "power_of_two_choices",
    "random_replica",
    "request_kind",
    "startup_wait_until",
]

__getattr__ = import_on_first_use(
    __name__,
    {
        "_admission": (
            "Admission",
            "AdmissionContext",
        ),
        "_crash_guard": ("CrashGuard",),
        "_crash_history": (
            "CrashGuardSettings",
            "CrashSuspect",
        ),
        "_policy": (
            "RoutingPolicy",
            "baseline_policy",
        ),
        "_router": ("Router",),
        "_selection": (
            "least_expected_time",
            "least_in_flight",
            "power_of_two_choices",
            "random_replica",
        ),
        "_ticket": ("Ticket",),
        "_types": (
            "Attempt",
            "AttemptOutcome",
            "Holding",
            "HoldingView",
            "Priority",
            "ServerView",
            "SnapshotView",
        ),
    },
)
