"""Evaluation of a scenario's targets."""

import dataclasses
import math
from collections.abc import Mapping
from typing import Any

from kingcuplug_cli._bench._scenario import Scenario, Target

__all__ = ["EVALUATED_POLICY", "TargetResult", "evaluate_targets"]

EVALUATED_POLICY = "configured"

# Policy -> phase -> metric -> value
PolicySummaries = Mapping[str, Mapping[str, Mapping[str, Any]]]


@dataclasses.dataclass(frozen=True, slots=True)
class TargetResult:
    """Result of one target.

    Attributes
    ----------
    baseline : float or None
        The same value of the baseline policy, if that was run.
    """

    scenario: str
    target: str
    bound: str
    measured: float
    baseline: float | None
    passed: bool


def evaluate_targets(
    scenario: Scenario, deployment: str, summaries: PolicySummaries
) -> list[TargetResult]:
    """Return the result of each target that applies to `deployment`."""
    return [
        _evaluate_target(scenario, target, summaries)
        for target in scenario.targets
        if not target.deployments or deployment in target.deployments
    ]


def _evaluate_target(
    scenario: Scenario, target: Target, summaries: PolicySummaries
) -> TargetResult:
    measured = _measured_value(target, EVALUATED_POLICY, summaries)
    other_policies = [name for name in summaries if name != EVALUATED_POLICY]
    baseline = None
    if other_policies and target.against_policy is None:
        baseline = _measured_value(target, other_policies[0], summaries)
    return TargetResult(
        scenario.name,
        _target_title(target),
        _bound_text(target),
        measured,
        baseline,
        _meets_bound(target, measured),
    )


def _measured_value(target: Target, policy: str, summaries: PolicySummaries) -> float:
    """Return the value to compare with the bound; NaN if it is undefined.

    It is the metric, divided by that of the target's other phase or policy if the
    target names one.
    """
    if policy not in summaries:
        return math.nan
    value = float(summaries[policy][target.phase][target.figure])
    divisor = 1.0
    if target.against is not None:
        divisor = float(summaries[policy][target.against][target.figure])
    elif target.against_policy is not None:
        divisor_summary = summaries.get(target.against_policy)
        divisor = (
            math.nan
            if divisor_summary is None
            else float(divisor_summary[target.phase][target.figure])
        )
    return value / divisor if divisor else math.nan


def _meets_bound(target: Target, measured: float) -> bool:
    if math.isnan(measured):
        return False
    if target.at_most is not None:
        return measured <= target.at_most
    return target.at_least is not None and measured >= target.at_least


def _target_title(target: Target) -> str:
    title = f"{target.figure} in {target.phase!r}"
    if target.against is not None:
        title += f" / in {target.against!r}"
    if target.against_policy is not None:
        title += f" / {target.against_policy}"
    return title


def _bound_text(target: Target) -> str:
    if target.at_most is not None:
        return f"<= {target.at_most:g}"
    return f">= {target.at_least:g}"
