"""Commands of the load test tool."""

import asyncio
import json
import sys
from collections.abc import Sequence
from pathlib import Path
from typing import Any

from kingcuplug_common import KingcuplugError
from tqdm import tqdm

from kingcuplug_cli._bench._cpu import format_cpu_table, measure_cpu, write_cpu_report
from kingcuplug_cli._bench._report import (
    format_targets_table,
    invariants_hold,
    scenario_fields,
    write_report,
)
from kingcuplug_cli._bench._runner import ScenarioRunner
from kingcuplug_cli._bench._scenario import (
    Scenario,
    load_policy,
    load_scenario,
    packaged_names,
)
from kingcuplug_cli._bench._targets import TargetResult, evaluate_targets
from kingcuplug_cli._local import load_deployment_spec

__all__ = ["Bench"]

_EXIT_INVARIANT_VIOLATED = 1
_EXIT_INVALID_INPUT = 2

# Services under load: enough for a fan-out over two services, few enough for the
# CPU of one machine.
_SERVICES_BY_DEPLOYMENT = {
    "kavango": ("counter-01", "ledger-01"),
    "agency": ("inspector-01", "owner-portal"),
}


class Bench:
    """Load test and experiment tool."""

    def run(
        self,
        deployment: str = "kavango",
        scenarios: str | tuple[str, ...] = "all",
        policies: str | tuple[str, ...] = ("configured", "baseline"),
        rounds: int = 3,
        seed: int = 1,
        examples: str = "examples",
        output: str = "bench-results",
    ) -> None:
        """Compare policies on one deployment and write a report.

        Parameters
        ----------
        deployment : str
            Folder below `examples`: ``kavango`` or ``agency``.
        scenarios, policies : str
            Names or paths, separated by commas; ``all`` selects every scenario.
        rounds : int
            Number of rounds of each scenario and policy.
        output : str
            Folder of the report.
        """
        scenario_names = _split_names(scenarios)
        if scenario_names == ["all"]:
            scenario_names = packaged_names("scenarios")
        try:
            run = _DeploymentRun(
                Path(examples) / deployment, _split_names(policies), rounds, seed
            )
            fields, target_results, valid = asyncio.run(
                run.run_scenarios([load_scenario(name) for name in scenario_names])
            )
        except KingcuplugError as error:
            print(f"kingcuplug bench: {error}", file=sys.stderr)
            sys.exit(_EXIT_INVALID_INPUT)
        write_report(Path(output) / deployment, fields, target_results)
        print(
            f"\n{deployment}\n{format_targets_table(target_results)}\n"
            f"Report: {output}/{deployment}/report.md"
        )
        if not valid:
            print("Invariants were violated; see the report.", file=sys.stderr)
            sys.exit(_EXIT_INVARIANT_VIOLATED)

    def cpu(
        self,
        deployment: str = "kavango",
        service: str = "cutting",
        policy: str = "configured",
        rounds: int = 3,
        duration_s: float = 5.0,
        load: float = 0.15,
        seed: int = 1,
        profile: bool = False,
        examples: str = "examples",
        output: str = "bench-results",
    ) -> None:
        """Compare the CPU per sub-request with a bare aiohttp fan-out's.

        Parameters
        ----------
        service : str
            The one service that is queried.
        load : float
            Offered load as a share of the service's slots.
        profile : bool
            Also print profiles of the entry host and of the bare fan-out.
        """
        example = Path(examples) / deployment
        configuration = json.loads((example / "configuration.json").read_text())
        sizes = load_deployment_spec(example / "servers.json", only_services=(service,))
        results, profiles = asyncio.run(
            measure_cpu(
                *(sizes, configuration, load_policy(policy), seed),
                *(rounds, duration_s, load, profile),
            )
        )
        print(profiles + format_cpu_table(results))
        write_cpu_report(Path(output) / deployment, results)

    def all(
        self, rounds: int = 1, seed: int = 1, output: str = "bench-results"
    ) -> None:
        """Run every scenario on every deployment, the deployments in parallel."""
        options = [f"--rounds={rounds}", f"--seed={seed}", f"--output={output}"]
        exit_codes = asyncio.run(_run_all_deployments(options))
        if any(exit_codes):
            sys.exit(max(exit_codes))

    def list(self) -> None:
        """Print the packaged scenarios and policies."""
        for name in packaged_names("scenarios"):
            print(f"scenario {name}: {load_scenario(name).description}")
        for name in packaged_names("policies"):
            print(f"policy {name}")


class _DeploymentRun:
    """Run of several scenarios and policies on one deployment."""

    def __init__(
        self, example: Path, policies: Sequence[str], rounds: int, seed: int
    ) -> None:
        self._deployment = example.name
        self._rounds = rounds
        self._seed = seed
        self._policies = [load_policy(name) for name in policies]
        configuration = json.loads((example / "configuration.json").read_text())
        sizes = load_deployment_spec(
            example / "servers.json",
            only_services=_SERVICES_BY_DEPLOYMENT[self._deployment],
        )
        self._runner = ScenarioRunner(sizes, configuration, self._policies, seed)

    async def run_scenarios(
        self, scenarios: Sequence[Scenario]
    ) -> tuple[dict[str, Any], list[TargetResult], bool]:
        """Run the scenarios.

        Returns
        -------
        tuple
            The JSON value of the report, the results of all targets, and whether no
            invariant was violated.
        """
        fields: dict[str, Any] = {}
        target_results: list[TargetResult] = []
        valid = True
        round_count = len(scenarios) * self._rounds * len(self._policies)
        with tqdm(total=round_count, desc=self._deployment, unit="round") as progress:
            async with self._runner.running_deployments() as runner:
                for scenario in scenarios:
                    results = await runner.run(scenario, self._rounds, progress)
                    summaries = {name: r.summary() for name, r in results.items()}
                    scenario_targets = evaluate_targets(
                        scenario, self._deployment, summaries
                    )
                    target_results += scenario_targets
                    fields[scenario.name] = scenario_fields(results, scenario_targets)
                    valid = valid and invariants_hold(results)
        header = {
            "deployment": self._deployment,
            "seed": self._seed,
            "rounds": self._rounds,
        }
        return header | {"scenarios": fields}, target_results, valid


async def _run_all_deployments(options: Sequence[str]) -> list[int]:
    processes = [
        await asyncio.create_subprocess_exec(
            sys.executable,
            *("-m", "kingcuplug_cli", "bench", "run", f"--deployment={name}"),
            *options,
        )
        for name in _SERVICES_BY_DEPLOYMENT
    ]
    return [await process.wait() for process in processes]


def _split_names(option: str | Sequence[str]) -> list[str]:
    """Return the names in an option, which fire may already have split."""
    return option.split(",") if isinstance(option, str) else [str(n) for n in option]
