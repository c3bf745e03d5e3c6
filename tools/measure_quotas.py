"""Measure what quotas of teams cost: control traffic of a host, and CPU time.

Requests are spread evenly over teams and hosts, which is the largest number of teams
that a report names. Held teams send three times their quota, the others less than half
of it. Bodies are compressed as between hosts, without HTTP headers.
"""

import math
import random
import time
from typing import Any

from kingcuplug_fleet import Report, encode_body
from kingcuplug_fleet._mesh_messages import SharedFields
from kingcuplug_routing import (
    TeamQuota,
    TeamQuotaController,
    TeamQuotaGate,
    TeamRatios,
)

END_S = 15.0
REPORT_INTERVAL_S = 0.3
UPDATE_INTERVAL_S = 0.15
HOSTS = 6_300
HOST_REQUESTS_PER_S = 238.0


def measure_host(teams: int, requests_per_s: float) -> tuple[float, float]:
    """Return bytes/s of reports, and CPU ms/s of decisions, of one host."""
    draw = random.Random(teams)
    gate, quota = TeamQuotaGate(draw), TeamQuota(1e6, 1e6)
    names = [f"team-{number:05}" for number in range(teams)]
    size, cpu_s, now = 0, 0.0, 0.0
    while now < END_S:
        requested = draw.choices(names, k=round(requests_per_s * REPORT_INTERVAL_S))
        started_at = time.process_time()
        gate.set_fleet({}, HOSTS, now)
        for name in requested:
            gate.admit(name, quota, now)
        counts = gate.pop_counts(now)
        cpu_s += time.process_time() - started_at
        size += len(encode_body(Report(quotas=counts).to_json())[1])
        now += REPORT_INTERVAL_S
    return size / END_S, cpu_s * 1_000 / END_S


def measure_forwarding(teams: int) -> float:
    """Return bytes/s that one of 31 control hosts forwards to the coordinator."""
    draw = random.Random(teams)
    requests = round(HOSTS / 31 * HOST_REQUESTS_PER_S * UPDATE_INTERVAL_S)
    counts: dict[str, tuple[int, int]] = {}
    for name in draw.choices([f"team-{n:05}" for n in range(teams)], k=requests):
        requested, admitted = counts.get(name, (0, 0))
        counts[name] = (requested + 1, admitted + 1)
    return len(encode_body(Report(quotas=counts).to_json())[1]) / UPDATE_INTERVAL_S


def _draw_count(draw: random.Random, mean: float) -> int:
    return max(0, round(draw.gauss(mean, math.sqrt(mean))))


def _state(ratios: TeamRatios) -> list[Any]:
    """Return what each host gets when ratios change, with 31 control hosts."""
    addresses = [f"10.{n}.{n * 7 % 256}.{n * 31 % 256}:9001" for n in range(31)]
    zones = {a: f"zone-{n % 10}" for n, a in enumerate(addresses)}
    shared = SharedFields(quotas=ratios).to_json()
    return [[], {}, addresses, zones, HOSTS, 15_000_000, addresses, *shared]


def measure_coordinator(teams: int, held: int) -> tuple[float, float, int]:
    """Return bytes/s of ratios at each host, CPU ms/s, and the largest publication."""
    draw = random.Random(teams + held)
    usual_per_s = HOSTS * HOST_REQUESTS_PER_S / teams
    names = [f"team-{number:05}" for number in range(teams)]
    quota = TeamQuota(2.2 * usual_per_s, 2.2 * usual_per_s)
    controller = TeamQuotaController(0.0)
    controller.set_quotas(dict.fromkeys(names, quota))
    published: TeamRatios = {}
    total = largest = 0
    cpu_s = now = 0.0
    while now < END_S:
        counts = {}
        for number, name in enumerate(names):
            rate_per_s = quota.rate_per_s * 3 if number < held else usual_per_s
            requested = _draw_count(draw, rate_per_s * UPDATE_INTERVAL_S)
            admitted = round(requested * published.get(name, (1.0, 0.0))[0])
            counts[name] = (requested, admitted)
        started_at = time.process_time()
        controller.record(counts, now)
        ratios = controller.ratios(now)
        cpu_s += time.process_time() - started_at
        if ratios != published:
            published = ratios
            size = len(encode_body(_state(published))[1])
            total, largest = total + size, max(largest, size)
        now += UPDATE_INTERVAL_S
    return total / END_S, cpu_s * 1_000 / END_S, largest


def main() -> None:
    """Print the slopes."""
    for teams in (82, 10_000):
        for requests_per_s in (1.2, HOST_REQUESTS_PER_S):
            report, cpu_ms = measure_host(teams, requests_per_s)
            print(
                f"{teams:6} teams, {requests_per_s:5} requests/s at a host: reports "
                f"{report:6.0f} B/s, {cpu_ms:5.2f} ms CPU/s"
            )
        forwarded = measure_forwarding(teams)
        print(f"{teams:6} teams: a control host forwards {forwarded:6.0f} B/s")
    for teams, counts in ((82, (0, 4, 82)), (10_000, (0, 10, 100, 1_000))):
        for held in counts:
            ratios, cpu_ms, largest = measure_coordinator(teams, held)
            print(
                f"{teams:6} teams, {held:5} held: ratios {ratios:6.0f} B/s at each "
                f"host, largest {largest:6} B, coordinator {cpu_ms:6.1f} ms CPU/s"
            )


if __name__ == "__main__":
    main()
