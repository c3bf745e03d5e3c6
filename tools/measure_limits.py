"""Measure what servers that name limits cost a host: control traffic and CPU time.

Each server gets two requests a second from this host; all hosts see each total change
as often as it is published. Bodies are compressed as between hosts.
"""

import random
import time

from kingcuplug_fleet import Report, encode_body
from kingcuplug_fleet._demand_totals import DemandTotals
from kingcuplug_routing import ServerLimit

HOSTS = 200
END_S = 30.0
REPORT_INTERVAL_S = 0.3
DEMAND_PER_S = 2.0


def measure(servers: int) -> tuple[float, float, float]:
    """Return bytes/s of reports and of totals, and CPU ms/s, of one host."""
    draw = random.Random(servers)
    limits = {
        f"i-{number:010x}": ServerLimit(draw.uniform(5, 50), draw.random(), 0.0)
        for number in range(servers)
    }
    totals = DemandTotals(-100.0)
    published: dict[str, int] = {}
    report_bytes = total_bytes = 0
    cpu_s = now = 0.0
    while now < END_S:
        started_at = time.process_time()
        for server, limit in limits.items():
            limit.set_fleet(published.get(server, 0), HOSTS, now)
            if draw.random() < DEMAND_PER_S * REPORT_INTERVAL_S:
                limit.record_demand(now)
                if limit.available(now) > 0:
                    limit.take(now)
        demand = {server: limit.pop_demand() for server, limit in limits.items()}
        demand = {server: count for server, count in demand.items() if count}
        cpu_s += time.process_time() - started_at
        _, body = encode_body(Report(demand=demand).to_json())
        report_bytes += len(body)
        fleet = {
            server: sum(draw.random() < 0.3 for _ in range(HOSTS // 10))
            for server in demand
        }
        totals.record(fleet, now)
        changed = totals.totals(now)
        if changed != published:
            published = dict(changed)
            total_bytes += len(encode_body(published)[1])
        now += REPORT_INTERVAL_S
    return report_bytes / END_S, total_bytes / END_S, cpu_s * 1_000 / END_S


def main() -> None:
    """Print the slopes."""
    for servers in (1, 10, 100, 1_000):
        report, total, cpu_ms = measure(servers)
        print(
            f"{servers:5} limited servers: reports {report:7.0f} B/s, "
            f"totals {total:7.0f} B/s, {cpu_ms:6.2f} ms CPU/s"
        )


if __name__ == "__main__":
    main()
