"""Verdicts on a scenario's targets."""

import dataclasses
import math
from collections.abc import Mapping
from typing import Any

from kingcuplug_cli._bench._scenario import Scenario, Target

__all__ = ["JUDGED_POLICY", "Verdict", "verdicts"]

JUDGED_POLICY = "configured"

# policy -> phase -> figure
Summaries = Mapping[str, Mapping[str, Mapping[str, Any]]]


@dataclasses.dataclass(frozen=True, slots=True)
class Verdict:
    """One line of the table of targets.

    Attributes
    ----------
    baseline : float or None
        The same figure of the baseline, where it was run.
    """

    scenario: str
    target: str
    bound: str
    measured: float
    baseline: float | None
    passed: bool


def verdicts(
    scenario: Scenario, deployment: str, summaries: Summaries
) -> list[Verdict]:
    """Return a verdict for each target that holds for `deployment`."""
    return [
        _verdict(scenario, target, summaries)
        for target in scenario.targets
        if not target.deployments or deployment in target.deployments
    ]


def _verdict(scenario: Scenario, target: Target, summaries: Summaries) -> Verdict:
    measured = _measure(target, JUDGED_POLICY, summaries)
    others = [name for name in summaries if name != JUDGED_POLICY]
    baseline = None
    if others and target.against_policy is None:
        baseline = _measure(target, others[0], summaries)
    return Verdict(
        scenario.name,
        _title(target),
        _bound(target),
        measured,
        baseline,
        _within(target, measured),
    )


def _measure(target: Target, policy: str, summaries: Summaries) -> float:
    """Return the figure, divided as the target says; NaN if there is none."""
    if policy not in summaries:
        return math.nan
    value = float(summaries[policy][target.phase][target.figure])
    divisor = 1.0
    if target.against is not None:
        divisor = float(summaries[policy][target.against][target.figure])
    elif target.against_policy is not None:
        other = summaries.get(target.against_policy)
        divisor = (
            math.nan if other is None else float(other[target.phase][target.figure])
        )
    return value / divisor if divisor else math.nan


def _within(target: Target, measured: float) -> bool:
    if math.isnan(measured):
        return False
    if target.at_most is not None:
        return measured <= target.at_most
    return target.at_least is not None and measured >= target.at_least


def _title(target: Target) -> str:
    title = f"{target.figure} in {target.phase!r}"
    if target.against is not None:
        title += f" / in {target.against!r}"
    if target.against_policy is not None:
        title += f" / {target.against_policy}"
    return title


def _bound(target: Target) -> str:
    if target.at_most is not None:
        return f"<= {target.at_most:g}"
    return f">= {target.at_least:g}"
