"""Runs scenarios under several policies, one policy at a time."""

import asyncio
import contextlib
import dataclasses
from collections import Counter
from collections.abc import AsyncIterator, Sequence
from typing import Any

import aiohttp
from tqdm import tqdm

from kingcuplug_cli._bench._deployment import BenchDeployment
from kingcuplug_cli._bench._ground_truth import (
    INVARIANT_VIOLATIONS,
    GroundTruth,
    count_violations,
)
from kingcuplug_cli._bench._load_generator import Sample, send_arrivals
from kingcuplug_cli._bench._phase_metrics import PhaseMetrics
from kingcuplug_cli._bench._scenario import Phase, Policy, Scenario, ServiceTimes
from kingcuplug_cli._bench._schedule import plan_arrivals
from kingcuplug_cli._bench._worker_process import process_usage
from kingcuplug_cli._local import DeploymentSpec

__all__ = ["PolicyResult", "ScenarioRunner"]

_WARM_UP = Scenario(
    name="warm-up",
    description="Fills the routing statistics.",
    phases=(Phase(name="warm-up", duration_s=2.0, load=0.3),),
    configuration_period_s=None,
)
# Attempts such as hedges may outlive their request and are part of its cost.
_STRAGGLER_WAIT_S = 0.3
_HOST_ACTIONS = frozenset(("restart_hosts",))
_LOAD_ACTIONS = frozenset(("bulk_burst", "crash_request"))
_LOAD_GENERATOR = "load generator"


@dataclasses.dataclass(slots=True)
class PolicyResult:
    """Result of one policy in one scenario, over all rounds.

    Attributes
    ----------
    truth : Counter
        Number of violations of each invariant; all must be 0.
    cpu : dict
        Highest share of one core that each process used in any round.
    peak_mib : dict
        Peak memory of each process.
    lags_ms : list of float
        Delay of the load generator before it sent each arrival.
    totals : Counter
        Counters of the simulated backend servers, summed over rounds.
    """

    phases: dict[str, PhaseMetrics] = dataclasses.field(default_factory=dict)
    truth: Counter[str] = dataclasses.field(
        default_factory=lambda: Counter(dict.fromkeys(INVARIANT_VIOLATIONS, 0))
    )
    cpu: dict[str, float] = dataclasses.field(default_factory=dict)
    peak_mib: dict[str, float] = dataclasses.field(default_factory=dict)
    lags_ms: list[float] = dataclasses.field(default_factory=list)
    drain_lag_s: float = 0.0
    servers_crashed: int = 0
    totals: Counter[str] = dataclasses.field(default_factory=Counter)
    errors: list[str] = dataclasses.field(default_factory=list)
    configuration_retries: int = 0
    violations: list[dict[str, Any]] = dataclasses.field(default_factory=list)

    def summary(self) -> dict[str, dict[str, Any]]:
        """Return the metrics of each phase."""
        common = {
            "drain_lag_s": self.drain_lag_s,
            "servers_crashed": self.servers_crashed,
        }
        return {
            name: metrics.summary() | common for name, metrics in self.phases.items()
        }


class ScenarioRunner:
    """Runs scenarios on one deployment per policy.

    All deployments run at the same time, and one of them at a time is under load.

    Parameters
    ----------
    sizes : DeploymentSpec
        Zones and services.
    configuration : dict
        Configuration, decoded from its JSON text.
    policies : sequence of Policy
        Policies to compare.
    seed : int
        Seed of arrivals and service times, the same for all policies.
    entry_host_count, host_process_count : int
        Numbers of entry hosts and of their processes in each deployment.
    warm_up : Scenario, optional
        Run first, without recording its results.
    """

    def __init__(
        self,
        sizes: DeploymentSpec,
        configuration: dict[str, Any],
        policies: Sequence[Policy],
        seed: int,
        entry_host_count: int = 10,
        host_process_count: int = 2,
        warm_up: Scenario | None = _WARM_UP,
    ) -> None:
        self._warm_up = warm_up
        self._sizes = sizes
        self._configuration = configuration
        self._policies = policies
        self._seed = seed
        self._entry_host_count = entry_host_count
        self._host_process_count = host_process_count
        self._deployments: dict[str, BenchDeployment] = {}
        self._http: aiohttp.ClientSession

    @contextlib.asynccontextmanager
    async def running_deployments(self) -> AsyncIterator["ScenarioRunner"]:
        """Start one deployment per policy; stop them on exit."""
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(
            connector=connector, cookie_jar=aiohttp.DummyCookieJar()
        ) as self._http:
            try:
                for policy in self._policies:
                    await self._start_deployment(policy)
                yield self
            finally:
                for deployment in self._deployments.values():
                    await deployment.stop()

    async def _start_deployment(self, policy: Policy) -> None:
        deployment = BenchDeployment(
            self._sizes,
            self._configuration,
            policy,
            self._http,
            self._seed,
            self._entry_host_count,
            self._host_process_count,
        )
        self._deployments[policy.name] = deployment
        await deployment.start(ServiceTimes())
        if self._warm_up is not None:
            await self._run_round(deployment, self._warm_up, 0, PolicyResult())

    async def run(
        self, scenario: Scenario, rounds: int, progress: "tqdm[Any]"
    ) -> dict[str, PolicyResult]:
        """Run a scenario, in each round with the same arrivals for every policy."""
        results = {policy.name: PolicyResult() for policy in self._policies}
        for round_number in range(rounds):
            # The order alternates, so that a drift of CPU speed favours no policy.
            order = self._policies if round_number % 2 == 0 else self._policies[::-1]
            for policy in order:
                progress.set_postfix_str(f"{scenario.name}, {policy.name}")
                deployment = self._deployments[policy.name]
                await self._run_round(
                    deployment, scenario, round_number, results[policy.name]
                )
                progress.update()
        return results

    async def _run_round(
        self,
        deployment: BenchDeployment,
        scenario: Scenario,
        round_number: int,
        result: PolicyResult,
    ) -> None:
        await deployment.reset_servers(scenario.times)
        await deployment.server_worker.call("journal")
        arrivals = plan_arrivals(
            scenario, deployment.service_loads, self._seed + round_number
        )
        before = await _usage_by_process(deployment)
        async with _scheduled_events(deployment, scenario):
            start, samples = await send_arrivals(
                arrivals,
                self._http,
                deployment.balancer,
                self._sizes.caller_latency_ms,
            )
        await asyncio.sleep(_STRAGGLER_WAIT_S)
        result.configuration_retries += deployment.configuration_retries
        deployment.configuration_retries = 0
        after = await _usage_by_process(deployment)
        journal = await deployment.server_worker.call("journal")
        _add_usage(result, before, after)
        _add_journal(result, journal)
        truth = GroundTruth.from_journal(journal, deployment.accepted_revisions, start)
        _evaluate_samples(result, scenario, samples, truth)


@contextlib.asynccontextmanager
async def _scheduled_events(
    deployment: BenchDeployment, scenario: Scenario
) -> AsyncIterator[None]:
    """Run the scenario's events while the body runs."""
    tasks = [
        asyncio.create_task(_run_event(deployment, event.at_s, event.do, event.fields))
        for event in scenario.events
        if event.do not in _LOAD_ACTIONS
    ]
    load_ended = asyncio.Event()
    if scenario.configuration_period_s is not None:
        # A change isn't cancelled midway, as its revision would stay unknown.
        change_loop = _change_configuration_periodically(
            deployment, scenario.configuration_period_s, load_ended
        )
        tasks.append(asyncio.create_task(change_loop))
    try:
        yield
        load_ended.set()
        await asyncio.gather(*tasks)
    finally:
        for task in tasks:
            task.cancel()


async def _run_event(
    deployment: BenchDeployment, at_s: float, action: str, fields: dict[str, Any]
) -> None:
    await asyncio.sleep(at_s)
    if action in _HOST_ACTIONS:
        await deployment.restart_entry_hosts(**fields)
    else:
        await deployment.server_worker.call("act", action=action, fields=fields)


async def _change_configuration_periodically(
    deployment: BenchDeployment, period_s: float, load_ended: asyncio.Event
) -> None:
    change_number = 0
    while not load_ended.is_set():
        change_number += 1
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(period_s):
                await load_ended.wait()
                return
        await deployment.apply_configuration(change_number)


async def _usage_by_process(deployment: BenchDeployment) -> dict[str, dict[str, float]]:
    return await deployment.usage_by_process() | {_LOAD_GENERATOR: process_usage()}


def _add_usage(
    result: PolicyResult,
    before: dict[str, dict[str, float]],
    after: dict[str, dict[str, float]],
) -> None:
    for name, end in after.items():
        start = before[name]
        share = (end["cpu_s"] - start["cpu_s"]) / (end["clock_s"] - start["clock_s"])
        result.cpu[name] = max(result.cpu.get(name, 0.0), share)
        result.peak_mib[name] = end["peak_mib"]


def _add_journal(result: PolicyResult, journal: dict[str, Any]) -> None:
    lags = [result.drain_lag_s, *journal["drain_lags_s"]]
    result.drain_lag_s = max(lags)
    crashes = [result.servers_crashed, *journal["crashed_by"].values()]
    result.servers_crashed = max(crashes)
    result.totals.update(journal["totals"])
    result.errors += journal["errors"]


def _evaluate_samples(
    result: PolicyResult, scenario: Scenario, samples: list[Sample], truth: GroundTruth
) -> None:
    result.truth.update(count_violations(samples, truth, result.violations))
    result.lags_ms += [sample.lag_ms for sample in samples]
    event_s = min((event.at_s for event in scenario.events), default=None)
    for phase in scenario.phases:
        metrics = result.phases.setdefault(phase.name, PhaseMetrics())
        phase_samples = [
            sample for sample in samples if sample.arrival.phase == phase.name
        ]
        metrics.add_samples(phase_samples, truth, phase.duration_s, event_s)
