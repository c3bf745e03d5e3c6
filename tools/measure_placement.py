"""Compare placement by expected cost with the choice by counts on replayed loads.

Usage: ``measure_placement.py [--seeds 3] [--seconds 20] [LOAD ...]``. Prints one line
for each load, kind of request and choice: mean and 99th percentile of the latency of
whole answers, share of them within the target, hedges as a share of the first attempts,
and attempts in other zones as a share of all.
"""

import argparse
import sys
from collections.abc import Sequence
from dataclasses import replace
from pathlib import Path
from random import Random
from statistics import mean

_ROOT = Path(__file__).resolve().parents[1]
for _source in (_ROOT / "packages").glob("*/src"):
    sys.path.insert(0, str(_source))
sys.path.insert(0, str(_ROOT / "tests" / "routing"))

from slot_replay import Load, Results, replay, spread  # noqa: E402

CHANGE_AT_S = 10.0
FULL, URGENT = Load().kinds
URGENT_COST_S = spread(0.00375)


def _tenfold_later(shard: int, now: float, random: Random) -> float:
    factor = 10 if now > CHANGE_AT_S else 1
    return URGENT_COST_S(shard, now, random) * factor


def _rarely_expensive(shard: int, now: float, random: Random) -> float:
    if random.random() < 0.002:
        return 0.6
    return URGENT_COST_S(shard, now, random)


LOADS = {
    "design": Load(),
    "burst 2.2x": Load(kinds=(replace(FULL, per_s=87), replace(URGENT, per_s=29))),
    "slow 8x": Load(slow=8.0),
    "tenfold": Load(kinds=(FULL, replace(URGENT, cost_s=_tenfold_later))),
    "rare 600 ms": Load(kinds=(FULL, replace(URGENT, cost_s=_rarely_expensive))),
    "states 64 slots": Load(slots=2, stated_slots=(64, 4, 4)),
}


def _print_line(load: str, kind: str, choice: str, runs: Sequence[Results]) -> None:
    print(
        f"{load:16} {kind:7} {choice:6}"
        f" {mean(r.mean_ms for r in runs):6.1f} {mean(r.p99_ms for r in runs):6.1f}"
        f" {mean(r.share_in_time for r in runs):8.3f}"
        f" {mean(r.hedges / r.first for r in runs):7.3f}"
        f" {mean(r.remote / (r.first + r.hedges) for r in runs):7.3f}",
        flush=True,
    )


def main() -> None:
    """Print the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("loads", nargs="*", metavar="LOAD")
    arguments = parser.parse_args()
    print("load             kind    choice   mean    p99  in_time  hedges  remote")
    for name in arguments.loads or LOADS:
        load = replace(LOADS[name], seconds=arguments.seconds)
        seeds = range(1, arguments.seeds + 1)
        for by_cost, choice in ((False, "counts"), (True, "cost")):
            runs = [replay(load, by_cost, seed) for seed in seeds]
            for kind in load.kinds:
                results = [run[kind.name] for run in runs]
                _print_line(name, kind.name, choice, results)


if __name__ == "__main__":
    main()
