"""Figures, verdicts and report of the load tool."""

import math
from pathlib import Path
from typing import Any

import pytest
from kingcuplug_cli._bench._figures import PhaseFigures
from kingcuplug_cli._bench._load import Sample
from kingcuplug_cli._bench._report import (
    is_saturated,
    scenario_fields,
    table,
    truth_holds,
    write,
)
from kingcuplug_cli._bench._runner import PolicyResult
from kingcuplug_cli._bench._scenario import Scenario
from kingcuplug_cli._bench._schedule import Arrival
from kingcuplug_cli._bench._targets import verdicts
from kingcuplug_cli._bench._truth import Truth

SHARDS = 4


def sample(number: int = 0, extra: bool = False, **fields: Any) -> Sample:
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
        "value": [{"shard": shard, "value": ""} for shard in range(SHARDS)],
        "shard_count": SHARDS,
        "coverage": 1.0,
        "partial": False,
    }
    made = Sample(arrival, f"request-{number}", status=200, answer=answer)
    for name, value in fields.items():
        setattr(made, name, value)
    return made


def refused(number: int, kind: str = "not_run") -> Sample:
    answer = {"refusal": {"kind": kind, "reason": "overloaded"}}
    return sample(number, status=429, answer=answer)


def figures(
    samples: list[Sample], event_s: float | None = None, **done: dict[str, int]
) -> dict[str, Any]:
    truth = Truth(done.get("received", {}), done.get("started", {}), {}, {})
    phase = PhaseFigures()
    phase.add(samples, truth, 2.0, event_s)
    return phase.summary()


def test_percentiles_are_those_of_the_latencies():
    """Guards against a wrong unit or a percentile of the wrong samples."""
    found = figures([sample(n, latency_ms=float(n + 1)) for n in range(100)])
    assert found["p50_ms"] == pytest.approx(50, rel=0.01)
    assert found["p99_ms"] == pytest.approx(99, rel=0.01)
    assert found["urgent_p99_ms"] == found["p99_ms"]


def test_extra_load_is_relative_to_the_needed_sub_requests():
    """Guards against retries and hedges that the figure does not show."""
    found = figures([sample(0), sample(1)], received={"request-0": 4, "request-1": 6})
    assert found["extra_load"] == pytest.approx(0.25)


def test_work_of_a_refused_request_is_for_nobody():
    """Guards against work that is hidden because its request got no answer."""
    found = figures([sample(0), refused(1)], started={"request-0": 4, "request-1": 2})
    assert found["work_for_nobody"] == pytest.approx(0.5)
    assert found["extra_load"] == pytest.approx(-1.0)


def test_refusals_are_counted_by_kind_and_reason():
    """Guards against refusals that are late or of unknown outcome going unseen."""
    samples = [refused(0), refused(1), refused(2, "outcome_unknown")]
    found = figures(samples, received={"request-1": 1})
    assert found["refusals"] == {
        "not_run: overloaded": 2,
        "outcome_unknown: overloaded": 1,
    }
    assert found["late_refusals"] == 2
    assert found["cut"] == 0


def test_request_without_answer_is_cut():
    """Guards against broken connections that are counted as refusals."""
    found = figures([sample(0, status=0, answer={})])
    assert (found["cut"], found["refused"], found["answered"]) == (1, 0, 0)


def test_recovery_lasts_until_the_last_request_that_was_not_served_whole():
    """Guards against a recovery time that ends at the first whole answer."""
    partial = sample(4).answer | {"partial": True, "coverage": 0.75}
    samples = [refused(1), refused(3), sample(4, answer=partial), sample(5)]
    assert figures(samples, event_s=2.0)["recovery_s"] == pytest.approx(2.0)
    assert figures(samples)["recovery_s"] == 0.0


def test_extra_requests_stay_out_of_the_figures():
    """Guards against a burst that hides the latency of ordinary requests."""
    found = figures([sample(0, latency_ms=1.0), sample(1, True, latency_ms=900.0)])
    assert found["requests"] == 1
    assert found["extra_requests"] == 1
    assert found["p99_ms"] == pytest.approx(1.0, rel=0.01)


def judged(**target: Any) -> Scenario:
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
def test_verdict(
    target: dict[str, Any], measured: float, baseline: float | None, passed: bool
):
    """Guards against a miss that is reported as a pass, and the reverse."""
    (found,) = verdicts(judged(**target), "kavango", SUMMARIES)
    assert (found.measured, found.baseline) == (measured, baseline)
    assert found.passed is passed


def test_target_without_figure_is_missed():
    """Guards against a target that passes because nothing was measured."""
    summaries = {"configured": {"a": {"p99_ms": 0.0}, "b": {"p99_ms": 0.0}}}
    target = {"at_most": 1.5, "against": "a"}
    (found,) = verdicts(judged(**target), "kavango", summaries)
    assert math.isnan(found.measured)
    assert not found.passed


def test_target_of_another_deployment_is_left_out():
    """Guards against the agency being judged by Kavango's profile."""
    scenario = judged(at_most=1.0, deployments=["kavango"])
    assert verdicts(scenario, "agency", SUMMARIES) == []
    assert len(verdicts(scenario, "kavango", SUMMARIES)) == 1


def test_one_violation_makes_the_run_untrue():
    """Guards against a run that exits with 0 although an answer was wrong."""
    good, bad = PolicyResult(), PolicyResult()
    bad.truth["crossed_answers"] += 1
    assert truth_holds({"configured": good})
    assert not truth_holds({"configured": good, "baseline": bad})


def test_saturated_run_is_marked():
    """Guards against figures of a run that a full CPU or late arrivals spoilt."""
    assert not is_saturated(PolicyResult(cpu={"hosts 1": 0.5}, lags_ms=[1.0] * 100))
    assert is_saturated(PolicyResult(cpu={"hosts 1": 0.9}))
    assert is_saturated(PolicyResult(lags_ms=[50.0] * 100))


def test_report_holds_table_and_plots(tmp_path: Path):
    """Guards against a report that lacks a scenario's figures, verdict or plot."""
    result = PolicyResult()
    for name in ("a", "b"):
        result.phases[name] = PhaseFigures()
        result.phases[name].add([sample(0), refused(1)], Truth({}, {}, {}, {}), 1, None)
    scenario = judged(at_most=0.0)
    results = {"configured": result}
    found = verdicts(scenario, "kavango", {"configured": result.summary()})
    fields = {"deployment": "kavango", "seed": 1}
    fields |= {"scenarios": {"test": scenario_fields(results, found)}}
    write(tmp_path, fields, found)
    text = (tmp_path / "report.md").read_text()
    assert table(found) in text
    assert "not_run: overloaded" in text
    assert (tmp_path / "test.png").stat().st_size
    assert (tmp_path / "results.json").stat().st_size
