"""Tests of the load test tool's metrics, targets and report."""

import math
from pathlib import Path
from typing import Any

import pytest
from kingcuplug_cli._bench._ground_truth import GroundTruth
from kingcuplug_cli._bench._load_generator import Sample
from kingcuplug_cli._bench._phase_metrics import PhaseMetrics
from kingcuplug_cli._bench._report import (
    format_targets_table,
    invariants_hold,
    is_saturated,
    scenario_fields,
    write_report,
)
from kingcuplug_cli._bench._runner import PolicyResult
from kingcuplug_cli._bench._scenario import Scenario
from kingcuplug_cli._bench._schedule import Arrival
from kingcuplug_cli._bench._targets import evaluate_targets

SHARD_COUNT = 4


def make_sample(number: int = 0, extra: bool = False, **fields: Any) -> Sample:
    arrival = Arrival(
        number,
        float(number),
        "steady",
        "counter-01",
        "query",
        "urgent",
        {},
        extra=extra,
    )
    answer = {
        "value": [{"shard": shard, "value": ""} for shard in range(SHARD_COUNT)],
        "shard_count": SHARD_COUNT,
        "coverage": 1.0,
        "partial": False,
    }
    sample = Sample(arrival, f"request-{number}", status=200, answer=answer)
    for name, value in fields.items():
        setattr(sample, name, value)
    return sample


def make_refused_sample(number: int, kind: str = "not_run") -> Sample:
    answer = {"refusal": {"kind": kind, "reason": "overloaded"}}
    return make_sample(number, status=429, answer=answer)


def summarize(
    samples: list[Sample], event_s: float | None = None, **sub_requests: dict[str, int]
) -> dict[str, Any]:
    truth = GroundTruth(
        sub_requests.get("received", {}), sub_requests.get("started", {}), {}, {}
    )
    metrics = PhaseMetrics()
    metrics.add_samples(samples, truth, 2.0, event_s)
    return metrics.summary()


def test_percentiles_match_recorded_latencies():
    """Guards against a wrong unit and against percentiles of the wrong samples."""
    summary = summarize([make_sample(n, latency_ms=float(n + 1)) for n in range(100)])
    assert summary["p50_ms"] == pytest.approx(50, rel=0.01)
    assert summary["p99_ms"] == pytest.approx(99, rel=0.01)
    assert summary["urgent_p99_ms"] == summary["p99_ms"]


def test_extra_load_is_relative_to_the_needed_sub_requests():
    """Guards against retries and hedges that extra load does not include."""
    summary = summarize(
        [make_sample(0), make_sample(1)], received={"request-0": 4, "request-1": 6}
    )
    assert summary["extra_load"] == pytest.approx(0.25)


def test_work_of_refused_request_counts_as_wasted():
    """Guards against omitting the work of requests that got no answer."""
    summary = summarize(
        [make_sample(0), make_refused_sample(1)],
        started={"request-0": 4, "request-1": 2},
    )
    assert summary["work_for_nobody"] == pytest.approx(0.5)
    assert summary["extra_load"] == pytest.approx(-1.0)


def test_refusals_are_counted_by_kind_and_reason():
    """Guards against missing refusals that are late or of unknown outcome."""
    samples = [
        make_refused_sample(0),
        make_refused_sample(1),
        make_refused_sample(2, "outcome_unknown"),
    ]
    summary = summarize(samples, received={"request-1": 1})
    assert summary["refusals"] == {
        "not_run: overloaded": 2,
        "outcome_unknown: overloaded": 1,
    }
    assert summary["late_refusals"] == 2
    assert summary["cut"] == 0


def test_request_without_response_counts_as_cut():
    """Guards against counting broken connections as refusals."""
    summary = summarize([make_sample(0, status=0, answer={})])
    assert (summary["cut"], summary["refused"], summary["answered"]) == (1, 0, 0)


def test_recovery_lasts_until_last_incomplete_answer():
    """Guards against a recovery time that ends at the first complete answer."""
    partial = make_sample(4).answer | {"partial": True, "coverage": 0.75}
    samples = [
        make_refused_sample(1),
        make_refused_sample(3),
        make_sample(4, answer=partial),
        make_sample(5),
    ]
    assert summarize(samples, event_s=2.0)["recovery_s"] == pytest.approx(2.0)
    assert summarize(samples)["recovery_s"] == 0.0


def test_extra_requests_are_excluded_from_metrics():
    """Guards against a burst of extra requests changing the latency percentiles."""
    summary = summarize(
        [make_sample(0, latency_ms=1.0), make_sample(1, True, latency_ms=900.0)]
    )
    assert summary["requests"] == 1
    assert summary["extra_requests"] == 1
    assert summary["p99_ms"] == pytest.approx(1.0, rel=0.01)


def make_scenario(**target: Any) -> Scenario:
    return Scenario.model_validate(
        {
            "name": "test",
            "description": "A test.",
            "phases": [
                {"name": "a", "duration_s": 1.0, "load": 0.5},
                {"name": "b", "duration_s": 1.0, "load": 0.5},
            ],
            "targets": [{"figure": "p99_ms", "phase": "b"} | target],
        }
    )


SUMMARIES = {
    "configured": {"a": {"p99_ms": 10.0}, "b": {"p99_ms": 20.0}},
    "baseline": {"a": {"p99_ms": 10.0}, "b": {"p99_ms": 40.0}},
}


@pytest.mark.parametrize(
    ("target", "measured", "baseline", "passed"),
    [
        ({"at_most": 20.0}, 20.0, 40.0, True),
        ({"at_most": 19.9}, 20.0, 40.0, False),
        ({"at_least": 20.0}, 20.0, 40.0, True),
        ({"at_least": 20.1}, 20.0, 40.0, False),
        ({"at_most": 1.5, "against": "a"}, 2.0, 4.0, False),
        ({"at_most": 1.0, "against_policy": "baseline"}, 0.5, None, True),
    ],
)
def test_target_evaluation(
    target: dict[str, Any], measured: float, baseline: float | None, passed: bool
):
    """Guards against reporting a missed target as met, and the reverse."""
    (result,) = evaluate_targets(make_scenario(**target), "kavango", SUMMARIES)
    assert (result.measured, result.baseline) == (measured, baseline)
    assert result.passed is passed


def test_target_with_undefined_value_fails():
    """Guards against a target that passes although its value is undefined."""
    summaries = {"configured": {"a": {"p99_ms": 0.0}, "b": {"p99_ms": 0.0}}}
    target = {"at_most": 1.5, "against": "a"}
    (result,) = evaluate_targets(make_scenario(**target), "kavango", summaries)
    assert math.isnan(result.measured)
    assert not result.passed


def test_target_of_another_deployment_is_skipped():
    """Guards against applying a target of Kavango to the agency."""
    scenario = make_scenario(at_most=1.0, deployments=["kavango"])
    assert evaluate_targets(scenario, "agency", SUMMARIES) == []
    assert len(evaluate_targets(scenario, "kavango", SUMMARIES)) == 1


def test_one_violation_fails_the_run():
    """Guards against a run that exits with 0 although an invariant was violated."""
    correct, violating = PolicyResult(), PolicyResult()
    violating.truth["crossed_answers"] += 1
    assert invariants_hold({"configured": correct})
    assert not invariants_hold({"configured": correct, "baseline": violating})


def test_saturated_run_is_marked():
    """Guards against accepting a run with a saturated CPU or late arrivals."""
    assert not is_saturated(PolicyResult(cpu={"hosts 1": 0.5}, lags_ms=[1.0] * 100))
    assert is_saturated(PolicyResult(cpu={"hosts 1": 0.9}))
    assert is_saturated(PolicyResult(lags_ms=[50.0] * 100))


def test_report_contains_table_and_plots(tmp_path: Path):
    """Guards against a report without a scenario's metrics, targets or plot."""
    policy_result = PolicyResult()
    for name in ("a", "b"):
        policy_result.phases[name] = PhaseMetrics()
        policy_result.phases[name].add_samples(
            [make_sample(0), make_refused_sample(1)],
            GroundTruth({}, {}, {}, {}),
            1,
            None,
        )
    scenario = make_scenario(at_most=0.0)
    results = {"configured": policy_result}
    target_results = evaluate_targets(
        scenario, "kavango", {"configured": policy_result.summary()}
    )
    fields = {"deployment": "kavango", "seed": 1}
    fields |= {"scenarios": {"test": scenario_fields(results, target_results)}}
    write_report(tmp_path, fields, target_results)
    report = (tmp_path / "report.md").read_text()
    assert format_targets_table(target_results) in report
    assert "not_run: overloaded" in report
    assert (tmp_path / "test.png").stat().st_size
    assert (tmp_path / "results.json").stat().st_size
