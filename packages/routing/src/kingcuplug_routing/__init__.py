"""Replica choice, limits, hedging, retry budgets and the crash guard."""

from kingcuplug_routing._admission import Admission, AdmissionContext
from kingcuplug_routing._blames import Blame, CrashGuardSettings
from kingcuplug_routing._completeness import AnswerRule
from kingcuplug_routing._crash_guard import CrashGuard
from kingcuplug_routing._delegation import Delegation, delegate
from kingcuplug_routing._paces import PaceBoard, Samples
from kingcuplug_routing._policy import RoutingPolicy, baseline_policy
from kingcuplug_routing._replicas import ReplicaState, choose_replica
from kingcuplug_routing._retry_budget import (
    AllowanceSettings,
    RetryAllowance,
    WindowCount,
    fixed_part,
)
from kingcuplug_routing._router import Router
from kingcuplug_routing._selection import (
    least_expected_time,
    least_in_flight,
    power_of_two_choices,
    random_replica,
)
from kingcuplug_routing._ticket import Ticket
from kingcuplug_routing._timing import Timing
from kingcuplug_routing._turnstile import Turnstile, places
from kingcuplug_routing._types import (
    Attempt,
    AttemptOutcome,
    Holding,
    HoldingView,
    Priority,
    ServerView,
    SnapshotView,
)
from kingcuplug_routing._warm_up import wait_until

__all__ = [
    "Admission",
    "AdmissionContext",
    "AllowanceSettings",
    "AnswerRule",
    "Attempt",
    "AttemptOutcome",
    "Blame",
    "CrashGuard",
    "CrashGuardSettings",
    "Delegation",
    "Holding",
    "HoldingView",
    "PaceBoard",
    "Priority",
    "ReplicaState",
    "RetryAllowance",
    "Router",
    "RoutingPolicy",
    "Samples",
    "ServerView",
    "SnapshotView",
    "Ticket",
    "Timing",
    "Turnstile",
    "WindowCount",
    "baseline_policy",
    "choose_replica",
    "delegate",
    "fixed_part",
    "least_expected_time",
    "least_in_flight",
    "places",
    "power_of_two_choices",
    "random_replica",
    "wait_until",
]
