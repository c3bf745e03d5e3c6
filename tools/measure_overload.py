"""Compare the admission decision with a fixed limit and with an ideal scheduler.

Usage: ``measure_overload.py [--seeds 3] [--teams]``. Prints the share of the credit
that is earned in replayed load patterns, for each number of hosts; with ``--teams``, in
those of several teams at ten hosts, by rank only and with fair shares.
"""

import argparse
import sys
from dataclasses import replace
from pathlib import Path
from statistics import mean

for _source in (Path(__file__).resolve().parents[1] / "packages").glob("*/src"):
    sys.path.insert(0, str(_source))

from kingcuplug_testkit import (  # noqa: E402
    TEAM_LOADS,
    LoadPattern,
    QueryKind,
    ideal_share,
    replay_overload,
)

KINDS = (
    QueryKind(1, 67.5, 0.02, 0.165, 1.48, 0.89, 2.0),
    QueryKind(2, 22.5, 0.0067, 0.055, 0.58, 0.75, 1.0),
)
SHARDS_BY_HOSTS = {10: 10, 77: 36, 200: 42}


def _patterns(hosts: int) -> dict[str, LoadPattern]:
    calm = LoadPattern(hosts=hosts, kinds=KINDS, shards=SHARDS_BY_HOSTS[hosts])
    slow = replace(calm, burst=3.0, slow_share=0.33)
    pauses = {"pause_every_s": 4.5, "pause_s": 0.2}
    return {
        "burst 3x": replace(calm, burst=3.0),
        "burst 7x": replace(calm, burst=7.0),
        "slow replicas": slow,
        "slow, repeats": replace(slow, abusers=0.4),
        "herd": replace(calm, herd_at_s=3.0),
        "pauses": replace(calm, **pauses),
        "burst 7x, pauses": replace(calm, burst=7.0, **pauses),
        "slow, pauses": replace(slow, **pauses),
    }


def _print_team_loads(seeds: range) -> None:
    print(f"{'pattern':26} {'rank':>6} {'fair':>6} {'ideal':>6}")
    for name, pattern in TEAM_LOADS.items():
        by_rank = mean(replay_overload(pattern, seed=s).share() for s in seeds)
        fair = mean(replay_overload(pattern, seed=s, fair=True).share() for s in seeds)
        ideal = mean(ideal_share(pattern, s) for s in seeds)
        print(f"{name:26} {by_rank:6.3f} {fair:6.3f} {ideal:6.3f}")


def main() -> None:
    """Print one line per number of hosts and load pattern."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--teams", action="store_true")
    options = parser.parse_args()
    seeds = range(1, options.seeds + 1)
    if options.teams:
        _print_team_loads(seeds)
        return
    print(f"{'hosts':>5} {'pattern':18} {'fixed':>6} {'adaptive':>8} {'ideal':>6}")
    for hosts in SHARDS_BY_HOSTS:
        for name, pattern in _patterns(hosts).items():
            fixed = mean(replay_overload(pattern, False, s).share() for s in seeds)
            adaptive = mean(replay_overload(pattern, True, s).share() for s in seeds)
            ideal = mean(ideal_share(pattern, s) for s in seeds)
            print(f"{hosts:5} {name:18} {fixed:6.3f} {adaptive:8.3f} {ideal:6.3f}")


if __name__ == "__main__":
    main()
