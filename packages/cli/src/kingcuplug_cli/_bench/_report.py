"""Report of one deployment's run: JSON, Markdown tables and plots."""

import json
import math
from collections.abc import Iterable, Mapping, Sequence
from pathlib import Path
from typing import Any

from kingcuplug_cli._bench._runner import PolicyResult
from kingcuplug_cli._bench._targets import TargetResult

__all__ = [
    "format_targets_table",
    "invariants_hold",
    "is_saturated",
    "scenario_fields",
    "write_report",
]

_SATURATED_CORE_SHARE = 0.85
_MAX_START_LAG_MS = 20.0
_START_LAG_QUANTILE = 0.99
_METRIC_COLUMNS = (
    "requests",
    "p50_ms",
    "p99_ms",
    "p999_ms",
    "urgent_p99_ms",
    "coverage",
    "goodput",
    "extra_load",
    "work_for_nobody",
    "refused",
    "cut",
)


def scenario_fields(
    results: Mapping[str, PolicyResult], target_results: Iterable[TargetResult]
) -> dict[str, Any]:
    """Return the JSON value of one scenario."""
    return {
        "policies": {name: _policy_fields(result) for name, result in results.items()},
        "verdicts": [
            {name: getattr(target_result, name) for name in TargetResult.__slots__}
            for target_result in target_results
        ],
    }


def _policy_fields(result: PolicyResult) -> dict[str, Any]:
    return {
        "phases": result.summary(),
        "truth": dict(result.truth),
        "cpu": result.cpu,
        "peak_mib": result.peak_mib,
        "lag_p99_ms": _start_lag_ms(result),
        "saturated": is_saturated(result),
        "stand_ins": dict(result.totals),
        "violations": result.violations,
        "errors": result.errors,
        "configuration_retries": result.configuration_retries,
    }


def _start_lag_ms(result: PolicyResult) -> float:
    lags = sorted(result.lags_ms)
    return lags[int(len(lags) * _START_LAG_QUANTILE)] if lags else 0.0


def is_saturated(result: PolicyResult) -> bool:
    """Return whether CPU or the load generator limited the load."""
    highest_share = max(result.cpu.values(), default=0.0)
    return (
        highest_share > _SATURATED_CORE_SHARE
        or _start_lag_ms(result) > _MAX_START_LAG_MS
    )


def invariants_hold(results: Mapping[str, PolicyResult]) -> bool:
    """Return whether no request of any policy violated an invariant."""
    return not any(result.truth.total() for result in results.values())


def format_targets_table(target_results: Sequence[TargetResult]) -> str:
    """Return the results of the targets as a Markdown table."""
    lines = [
        "| scenario | target | bound | measured | baseline | verdict |",
        "| --- | --- | --- | --- | --- | --- |",
    ]
    for result in target_results:
        baseline = "" if result.baseline is None else _format_number(result.baseline)
        verdict = "pass" if result.passed else "MISS"
        lines.append(
            f"| {result.scenario} | {result.target} | {result.bound} | "
            f"{_format_number(result.measured)} | {baseline} | {verdict} |"
        )
    return "\n".join(lines)


def _format_number(value: float) -> str:
    return "none" if math.isnan(value) else f"{value:.4g}"


def write_report(
    folder: Path, fields: dict[str, Any], target_results: Sequence[TargetResult]
) -> None:
    """Write ``results.json``, ``report.md`` and one plot per scenario."""
    folder.mkdir(parents=True, exist_ok=True)
    (folder / "results.json").write_text(json.dumps(fields, indent=2) + "\n")
    parts = [
        f"# {fields['deployment']}, seed {fields['seed']}",
        format_targets_table(target_results),
    ]
    for name, scenario in fields["scenarios"].items():
        parts += [
            f"## {name}",
            _format_phases_table(scenario),
            _format_policy_notes(scenario),
        ]
        parts.append(f"![{name}]({name}.png)")
        _write_plot(folder / f"{name}.png", name, scenario)
    (folder / "report.md").write_text("\n\n".join(parts) + "\n")


def _format_phases_table(scenario: dict[str, Any]) -> str:
    lines = [
        f"| policy | phase | {' | '.join(_METRIC_COLUMNS)} |",
        "| --- " * (len(_METRIC_COLUMNS) + 2) + "|",
    ]
    for policy, fields in scenario["policies"].items():
        for phase, metrics in fields["phases"].items():
            values = " | ".join(
                _format_number(float(metrics[name])) for name in _METRIC_COLUMNS
            )
            lines.append(f"| {policy} | {phase} | {values} |")
    return "\n".join(lines)


def _format_policy_notes(scenario: dict[str, Any]) -> str:
    lines = []
    for policy, fields in scenario["policies"].items():
        cpu = ", ".join(f"{name} {share:.0%}" for name, share in fields["cpu"].items())
        violations = ", ".join(
            f"{name} {count}" for name, count in fields["truth"].items()
        )
        validity = (
            "INVALID (saturated CPU or late arrivals)"
            if fields["saturated"]
            else "valid"
        )
        lines.append(
            f"* {policy}: {validity}; CPU: {cpu}; load generator's lag p99 "
            f"{fields['lag_p99_ms']:.1f} ms; configuration changes sent again "
            f"{fields['configuration_retries']}; ground truth: {violations}"
        )
        for phase, metrics in fields["phases"].items():
            if metrics["refusals"]:
                lines.append(f"  * refusals in {phase}: {metrics['refusals']}")
    return "\n".join(lines)


def _write_plot(path: Path, title: str, scenario: dict[str, Any]) -> None:
    # Importing matplotlib takes half a second, which other commands would pay too.
    from matplotlib.figure import Figure

    figure = Figure(figsize=(10, 4), layout="constrained")
    latency_axes, extra_load_axes = figure.subplots(1, 2)
    for policy, fields in scenario["policies"].items():
        for phase, metrics in fields["phases"].items():
            label = f"{policy}, {phase}"
            latencies_ms = [metrics[name] for name in ("p50_ms", "p99_ms", "p999_ms")]
            latency_axes.plot(
                ["p50", "p99", "p99.9"], latencies_ms, marker="o", label=label
            )
            extra_load_axes.barh(label, metrics["extra_load"])
    latency_axes.set_ylabel("latency from planned arrival, ms")
    latency_axes.set_yscale("log")
    latency_axes.legend(fontsize="x-small")
    extra_load_axes.set_xlabel("extra sub-requests, share of those needed")
    figure.suptitle(title)
    figure.savefig(path, dpi=90)
