"""Measure routing policies against modelled backend servers, in virtual time.

Usage: ``measure_routing.py [--seconds 30] [--seed 1] [--layout cutting]
[--scenario NAME ...] [--policy NAME ...]``. It prints one line per scenario and
policy. ``measure_routing.py --cpu`` prints the CPU time of the hot path instead.
"""

import argparse
import asyncio
import sys
import timeit
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, replace
from pathlib import Path
from random import Random

for _source in (Path(__file__).resolve().parents[1] / "packages").glob("*/src"):
    sys.path.insert(0, str(_source))
sys.path.insert(0, str(Path(__file__).resolve().parent))

import _routing_model as model  # noqa: E402
from kingcuplug_routing import (  # noqa: E402
    AttemptOutcome,
    Priority,
    Router,
    RoutingPolicy,
    baseline_policy,
    least_expected_time,
    least_in_flight,
)
from kingcuplug_testkit import run_virtual  # noqa: E402

WARM_UP_S = 5.0
SERVER_LEASE_S = 2.0
DEADLINE_S = 0.5
BULK_DEADLINE_S = 3.0

LAYOUTS = {
    "cutting": model.ServiceLayout(),
    "counter": model.ServiceLayout(3, 3, 30, 3, 3, 3),
    "unqueued": model.ServiceLayout(max_queued=0),
    "endless": model.ServiceLayout(max_queued=1_000),
}

DEFAULT_POLICY = RoutingPolicy()
POLICIES: dict[str, RoutingPolicy] = {
    "baseline": baseline_policy(),
    "chosen": DEFAULT_POLICY,
    "least in flight": replace(DEFAULT_POLICY, select=least_in_flight),
    "least expected": replace(DEFAULT_POLICY, select=least_expected_time),
    "no hedge": replace(DEFAULT_POLICY, hedge_budget=0.0),
    "no admission": replace(DEFAULT_POLICY, utilisation=float("inf")),
}


@dataclass(frozen=True)
class Scenario:
    """Offered load, as a fraction of the capacity, and injected failures."""

    load: float
    slowdown: float = 1.0
    lost_servers: int = 0
    zone_lost: bool = False
    misreported_load: bool = False
    uneven_load: bool = False
    replica_subset: bool = False  # Each entry host uses two of the three replicas.


SCENARIOS = {
    "50%": Scenario(0.5),
    "80%": Scenario(0.8),
    "100%": Scenario(1.0),
    "120%": Scenario(1.2),
    "straggler 50%": Scenario(0.5, slowdown=10.0),
    "lost 50%": Scenario(0.5, lost_servers=1),
    "zone lost 50%": Scenario(0.5, zone_lost=True),
    "lying 80%": Scenario(0.8, misreported_load=True),
    "uneven 80%": Scenario(0.8, uneven_load=True),
    "subset 50%": Scenario(0.5, replica_subset=True),
    "subset 120%": Scenario(1.2, replica_subset=True),
}


async def simulate(
    layout: model.ServiceLayout,
    scenario: Scenario,
    policy: RoutingPolicy,
    seconds: float,
    seed: int,
) -> list[model.EntryHost]:
    """Run one scenario and return the entry hosts with their results."""
    random = Random(seed)
    servers = _make_servers(layout, random)
    hosts = [
        model.EntryHost(f"zone-{i % model.ZONES}", layout, servers, policy, random)
        for i in range(model.ENTRY_HOSTS)
    ]
    for number, host in enumerate(hosts):
        host.excluded_zone = number % model.ZONES if scenario.replica_subset else None
    _update_routers(hosts, servers)
    background = [asyncio.create_task(_inject_failures(scenario, hosts, servers))]
    if scenario.misreported_load:
        background.append(asyncio.create_task(_misreport_load(hosts, servers, random)))
    await _offer_load(layout, scenario, hosts, seconds, random)
    for task in background:
        task.cancel()
    return hosts


def _make_servers(
    layout: model.ServiceLayout, random: Random
) -> dict[str, model.BackendServer]:
    shards_by_server: list[list[int]] = [[] for _ in range(layout.servers)]
    for shard in range(layout.shards):
        for replica in range(layout.replicas):
            shards_by_server[(shard + replica) % layout.servers].append(shard)
    return {
        f"server-{i}": model.BackendServer(
            f"server-{i}", f"zone-{i % model.ZONES}", layout, random, tuple(shards)
        )
        for i, shards in enumerate(shards_by_server)
    }


def _update_routers(
    hosts: list[model.EntryHost], servers: dict[str, model.BackendServer]
) -> None:
    for host in hosts:
        views = [
            server.view()
            for i, server in enumerate(servers.values())
            if not server.lost and i % model.ZONES != host.excluded_zone
        ]
        host.router.update(views, model.ENTRY_HOSTS)


async def _inject_failures(
    scenario: Scenario,
    hosts: list[model.EntryHost],
    servers: dict[str, model.BackendServer],
) -> None:
    await asyncio.sleep(WARM_UP_S)
    servers["server-0"].slowdown = scenario.slowdown
    lost = [
        server
        for i, server in enumerate(servers.values())
        if i < scenario.lost_servers or (scenario.zone_lost and server.zone == "zone-0")
    ]
    for server in lost:
        server.disconnect()
    if lost:
        await asyncio.sleep(SERVER_LEASE_S)
        _update_routers(hosts, servers)


async def _misreport_load(
    hosts: list[model.EntryHost],
    servers: dict[str, model.BackendServer],
    random: Random,
) -> None:
    while True:
        for server in servers.values():
            server.reported_load = random.random()
        servers["server-0"].reported_load = 0.0
        _update_routers(hosts, servers)
        await asyncio.sleep(0.5)


async def _offer_load(
    layout: model.ServiceLayout,
    scenario: Scenario,
    hosts: list[model.EntryHost],
    seconds: float,
    random: Random,
) -> None:
    rate = layout.capacity_qps() * scenario.load
    weights = [1.0] * len(hosts)
    if scenario.uneven_load:
        weights[0] = len(hosts) - 1.0  # Half of all queries.
    loop = asyncio.get_running_loop()
    tasks = set()
    while loop.time() < WARM_UP_S + seconds:
        await asyncio.sleep(random.expovariate(rate))
        host = random.choices(hosts, weights)[0]
        priority = random.choices(list(Priority), [0.1, 0.8, 0.1])[0]
        deadline = BULK_DEADLINE_S if priority is Priority.BULK else DEADLINE_S
        task = asyncio.create_task(host.query(priority, deadline))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
    await asyncio.gather(*tasks)


def _quantile(values: list[float], fraction: float) -> float:
    if not values:
        return float("nan")
    return sorted(values)[min(len(values) - 1, int(fraction * len(values)))]


def summarize(hosts: list[model.EntryHost], seconds: float) -> dict[str, float]:
    """Return the figures of one run; times in ms."""
    results = [r for host in hosts for r in host.results if r.arrived_at >= WARM_UP_S]
    complete_ms = [r.duration_s * 1_000 for r in results if r.complete]
    urgent = [r for r in results if r.priority is Priority.URGENT]
    bulk = [r for r in results if r.priority is Priority.BULK]
    admitted = [r for r in results if not r.refused]
    refused = [r.duration_s * 1_000 for r in results if r.refused]
    normal = [r for r in results if r.priority is Priority.NORMAL]
    requested = sum(host.requested_shards for host in hosts)
    executed = sum(server.executed for server in hosts[0].servers.values())
    return {
        "p50": _quantile(complete_ms, 0.5),
        "p99": _quantile(complete_ms, 0.99),
        "p99.9": _quantile(complete_ms, 0.999),
        "normal99": _quantile(
            [r.duration_s * 1_000 for r in normal if r.complete], 0.99
        ),
        "urgent99": _quantile(
            [r.duration_s * 1_000 for r in urgent if r.complete], 0.99
        ),
        "urgent%": 100 * sum(r.complete for r in urgent) / max(1, len(urgent)),
        "bulk%": 100 * sum(r.complete for r in bulk) / max(1, len(bulk)),
        "goodput": len(complete_ms) / seconds,
        "cover%": 100 * sum(r.coverage for r in admitted) / max(1, len(admitted)),
        "refused%": 100 * len(refused) / max(1, len(results)),
        "refused50": _quantile(refused, 0.5),
        "refused99": _quantile(refused, 0.99),
        "extra%": 100 * (executed / max(1, requested) - 1),
        "sent%": 100
        * (sum(host.sent_attempts for host in hosts) / max(1, requested) - 1),
        "hedge%": 100 * sum(host.hedged_attempts for host in hosts) / max(1, requested),
        "retry%": 100
        * sum(host.retried_attempts for host in hosts)
        / max(1, requested),
    }


def _run_case(arguments: tuple[str, str, str, float, int]) -> dict[str, float]:
    layout, scenario, policy, seconds, seed = arguments
    hosts = run_virtual(
        simulate(LAYOUTS[layout], SCENARIOS[scenario], POLICIES[policy], seconds, seed)
    )
    return summarize(hosts, seconds)


def measure_cpu_us(
    measure_us: Callable[[Callable[[], object]], float],
) -> dict[str, float]:
    """Return the CPU time of the hot path in microseconds, with 3 replicas."""

    async def measure() -> dict[str, float]:
        layout = model.ServiceLayout(3, 3, 30, 3, 3, 3)
        servers = _make_servers(layout, Random(1))
        costs = {}
        for name in ("baseline", "chosen"):
            host = model.EntryHost("zone-0", layout, servers, POLICIES[name], Random(1))
            _update_routers([host], servers)
            await asyncio.sleep(10.0)  # Past the slow start.
            costs[f"{name}: choose and finish"] = measure_us(_make_choice(host.router))
            fresh = model.EntryHost(
                "zone-0", layout, servers, POLICIES[name], Random(1)
            )
            _update_routers([fresh], servers)
            _make_choice(fresh.router)()
            costs[f"{name}: admit"] = measure_us(_make_admission(fresh))
        return costs

    return run_virtual(measure())


def _make_choice(router: Router) -> Callable[[], object]:
    def choose_and_finish() -> None:
        ticket = router.choose(model.SNAPSHOT, 1, zone="zone-0")
        assert ticket is not None
        ticket.finish(AttemptOutcome.OK, 10.0)

    return choose_and_finish


def _make_admission(host: model.EntryHost) -> Callable[[], object]:
    admission = host.admission

    def admit() -> None:
        """Admit without an event loop, by stepping the coroutines to their end."""
        admitted = admission.admit(Priority.URGENT, sub_requests=3)
        for step in (admitted.__aenter__(), admitted.__aexit__(None, None, None)):
            try:
                step.send(None)
            except StopIteration:
                continue
            raise RuntimeError("admission must not wait in this measurement")

    return admit


def _measure_us(call: Callable[[], object]) -> float:
    count = 100_000
    return min(timeit.repeat(call, number=count, repeat=5)) / count * 1e6


def main() -> None:
    """Parse the command line, run and print."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=30.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--layout", choices=LAYOUTS, default="cutting")
    parser.add_argument("--scenario", action="append", choices=SCENARIOS)
    parser.add_argument("--policy", action="append", choices=POLICIES)
    parser.add_argument("--jobs", type=int, default=3)
    parser.add_argument("--cpu", action="store_true")
    options = parser.parse_args()
    if options.cpu:
        for name, cost in measure_cpu_us(_measure_us).items():
            print(f"{name}: {cost:.2f} us")
        return
    runs = [
        (options.layout, scenario, policy, options.seconds, options.seed)
        for scenario in options.scenario or SCENARIOS
        for policy in options.policy or ("baseline", "chosen")
    ]
    with ProcessPoolExecutor(options.jobs) as pool:
        header_printed = False
        for run, figures in zip(runs, pool.map(_run_case, runs), strict=True):
            if not header_printed:
                header_printed = True
                print(f"{options.layout:32}", *(f"{name:>9}" for name in figures))
            print(f"{run[1]:15} {run[2]:16}", *(f"{f:9.1f}" for f in figures.values()))


if __name__ == "__main__":
    main()
