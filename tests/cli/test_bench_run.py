"""End-to-end test of a small load test run, including its child processes."""

import asyncio
import json
from pathlib import Path
from typing import Any

from kingcuplug_cli._bench._deployment import BenchDeployment
from kingcuplug_cli._bench._runner import PolicyResult, ScenarioRunner
from kingcuplug_cli._bench._scenario import Scenario, load_policy
from kingcuplug_cli._local import load_deployment_spec
from tqdm import tqdm

EXAMPLE = Path(__file__).parents[2] / "examples" / "agency"
SCENARIO = Scenario.model_validate(
    {
        "name": "smoke",
        "description": "A lost server under light load.",
        "phases": [{"name": "all", "duration_s": 1.5, "load": 0.2}],
        "events": [{"at_s": 0.5, "do": "lose_server"}],
        "configuration_period_s": 0.5,
        "mix": {"orders": 0.2, "resent_orders": 1.0},
    }
)


async def run_scenario_once() -> dict[str, PolicyResult]:
    sizes = load_deployment_spec(
        EXAMPLE / "servers.json", only_services=("inspector-01",)
    )
    configuration = json.loads((EXAMPLE / "configuration.json").read_text())
    policies = [load_policy("configured")]
    runner = ScenarioRunner(
        sizes,
        configuration,
        policies,
        1,
        entry_host_count=2,
        host_process_count=1,
        warm_up=None,
    )
    async with runner.running_deployments():
        with tqdm(disable=True) as progress:
            return await runner.run(SCENARIO, 1, progress)


def test_run_reports_metrics_without_violations():
    """Guards against a run that sends no load or doesn't check its answers."""
    result = asyncio.run(run_scenario_once())["configured"]
    metrics: dict[str, Any] = result.summary()["all"]
    assert result.truth.total() == 0
    assert metrics["requests"] > 0
    assert metrics["answered"] == metrics["requests"] - metrics["refused"]
    assert metrics["cut"] == 0
    assert result.totals["executed"] > 0
    assert set(result.cpu) == {"control", "entry 1", "stand-ins", "load generator"}
    assert not result.errors


def test_stopping_deployment_ends_child_processes():
    """Guards against child processes that keep running after a run."""

    async def start_and_stop() -> list[int | None]:
        sizes = load_deployment_spec(
            EXAMPLE / "servers.json", only_services=("inspector-01",)
        )
        deployment = BenchDeployment(
            sizes, {"services": {}}, load_policy("baseline"), None, 1
        )
        for worker in deployment.workers:
            await worker.start()
        await deployment.stop()
        return [worker.returncode for worker in deployment.workers]

    assert asyncio.run(start_and_stop()) == [0, 0, 0, 0]
