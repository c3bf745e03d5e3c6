"""Commands of the load tool."""

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
from kingcuplug_cli._local import load_sizes

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
    """Load and experiment tool."""

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
            Names or paths, separated by commas; ``all`` takes every scenario.
        rounds : int
            Rounds of each scenario and policy.
        output : str
            Folder of the report.
        """
        chosen = _split_names(scenarios)
        if chosen == ["all"]:
            chosen = packaged_names("scenarios")
        try:
            run = _DeploymentRun(
                Path(examples) / deployment, _split_names(policies), rounds, seed
            )
            fields, found, true = asyncio.run(
                run.run_scenarios([load_scenario(name) for name in chosen])
            )
        except KingcuplugError as error:
            print(f"kingcuplug bench: {error}", file=sys.stderr)
            sys.exit(_EXIT_INVALID_INPUT)
        write_report(Path(output) / deployment, fields, found)
        print(
            f"\n{deployment}\n{format_targets_table(found)}\n"
            f"Report: {output}/{deployment}/report.md"
        )
        if not true:
            print("Ground truth was violated; see the report.", file=sys.stderr)
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
            Share of its slots.
        profile : bool
            Also print profiles of the entry host and of the bare fan-out.
        """
        example = Path(examples) / deployment
        text = json.loads((example / "configuration.json").read_text())
        sizes = load_sizes(example / "servers.json", only=(service,))
        figures, found = asyncio.run(
            measure_cpu(
                *(sizes, text, load_policy(policy), seed),
                *(rounds, duration_s, load, profile),
            )
        )
        print(found + format_cpu_table(figures))
        write_cpu_report(Path(output) / deployment, figures)

    def all(
        self, rounds: int = 1, seed: int = 1, output: str = "bench-results"
    ) -> None:
        """Run every scenario on every deployment, the deployments side by side."""
        options = [f"--rounds={rounds}", f"--seed={seed}", f"--output={output}"]
        codes = asyncio.run(_run_all_deployments(options))
        if any(codes):
            sys.exit(max(codes))

    def list(self) -> None:
        """Print the packaged scenarios and policies."""
        for name in packaged_names("scenarios"):
            print(f"scenario {name}: {load_scenario(name).description}")
        for name in packaged_names("policies"):
            print(f"policy {name}")


class _DeploymentRun:
    """One deployment, its policies and scenarios."""

    def __init__(
        self, example: Path, policies: Sequence[str], rounds: int, seed: int
    ) -> None:
        self._deployment = example.name
        self._rounds = rounds
        self._seed = seed
        self._policies = [load_policy(name) for name in policies]
        text = json.loads((example / "configuration.json").read_text())
        sizes = load_sizes(
            example / "servers.json", only=_SERVICES_BY_DEPLOYMENT[self._deployment]
        )
        self._runner = ScenarioRunner(sizes, text, self._policies, seed)

    async def run_scenarios(
        self, scenarios: Sequence[Scenario]
    ) -> tuple[dict[str, Any], list[TargetResult], bool]:
        """Run the scenarios; return the JSON value, the verdicts and if all is true."""
        fields: dict[str, Any] = {}
        found: list[TargetResult] = []
        true = True
        steps = len(scenarios) * self._rounds * len(self._policies)
        with tqdm(total=steps, desc=self._deployment, unit="round") as progress:
            async with self._runner.running_deployments() as runner:
                for scenario in scenarios:
                    results = await runner.run(scenario, self._rounds, progress)
                    summaries = {name: r.summary() for name, r in results.items()}
                    judged = evaluate_targets(scenario, self._deployment, summaries)
                    found += judged
                    fields[scenario.name] = scenario_fields(results, judged)
                    true = true and invariants_hold(results)
        head = {
            "deployment": self._deployment,
            "seed": self._seed,
            "rounds": self._rounds,
        }
        return head | {"scenarios": fields}, found, true


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
    """Return the names of an option, which fire may have split already."""
    return option.split(",") if isinstance(option, str) else [str(n) for n in option]
