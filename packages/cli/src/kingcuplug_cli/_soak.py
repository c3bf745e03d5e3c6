"""Commands of the soak test with random faults: run, replay and report."""

import asyncio
import dataclasses
import sys
from pathlib import Path
from typing import TYPE_CHECKING

import orjson

if TYPE_CHECKING:
    from kingcuplug_soak import SoakSettings

__all__ = ["Soak"]

_RESULTS_FILE = Path("soak-results.jsonl")
# Each run starts several processes; more runs at once slow each other.
_PARALLEL_RUNS = 3


class Soak:
    """Run random faults against real processes on loopback.

    Violations make the exit code 1. Each result is appended to a file of JSON lines.
    """

    def run(
        self,
        first: int = 1,
        seeds: int = 5,
        duration_s: float = 12.0,
        hosts: int = 5,
        disks: int = 3,
        losses: int = 1,
        zones: int = 0,
        diskless_seeds: bool = False,
        removal: bool = False,
        results: str = str(_RESULTS_FILE),
        parallel: int = _PARALLEL_RUNS,
    ) -> None:
        """Run consecutive seeds, some at a time; some lose disks, or those of zones.

        With `diskless_seeds`, the seeds of all hosts are hosts without a disk. With
        `removal`, a replaced host is removed without SIGTERM beside lost disks.
        """
        from kingcuplug_soak import SoakSettings

        runs = [
            SoakSettings(
                seed,
                duration_s,
                hosts,
                disks,
                tolerated_losses=losses,
                tolerated_zones=zones,
                diskless_seeds=diskless_seeds,
                has_removal=removal,
            )
            for seed in range(first, first + seeds)
        ]
        failed = asyncio.run(_run_soaks(runs, Path(results), parallel))
        sys.exit(1 if failed else 0)

    def replay(
        self,
        seed: int,
        folder: str,
        duration_s: float = 12.0,
        hosts: int = 5,
        disks: int = 3,
        losses: int = 1,
        zones: int = 0,
        diskless_seeds: bool = False,
        removal: bool = False,
    ) -> None:
        """Run one seed again and keep logs and disks in a folder."""
        from kingcuplug_soak import SoakSettings, soak

        Path(folder).mkdir(parents=True, exist_ok=True)
        settings = SoakSettings(
            seed,
            duration_s,
            hosts,
            disks,
            Path(folder),
            tolerated_losses=losses,
            tolerated_zones=zones,
            diskless_seeds=diskless_seeds,
            has_removal=removal,
        )
        outcome = asyncio.run(soak(settings))
        _print_run(dataclasses.asdict(outcome))
        print("\n".join(outcome.troubles))
        sys.exit(1 if outcome.violations else 0)

    def report(self, results: str = str(_RESULTS_FILE)) -> None:
        """Summarize the results file."""
        runs = [orjson.loads(line) for line in Path(results).read_bytes().splitlines()]
        failed = [run for run in runs if run["violations"]]
        served = sum(run["served"] for run in runs)
        asked = sum(run["asked"] for run in runs)
        print(f"{len(runs)} runs, {len(failed)} with violations")
        print(f"{served} of {asked} requests served")
        resident_mib = max((run.get("resident_mib", 0.0) for run in runs), default=0.0)
        print(f"{resident_mib} MiB resident in the largest host process")
        for run in failed:
            _print_run(run)


async def _run_soaks(runs: "list[SoakSettings]", results: Path, parallel: int) -> int:
    """Run soaks, some at a time, and return how many had violations."""
    from kingcuplug_soak import soak

    run_slots = asyncio.Semaphore(parallel)
    failed = 0

    async def run_one(settings: "SoakSettings") -> None:
        nonlocal failed
        async with run_slots:
            outcome = await soak(settings)
        line = dataclasses.asdict(outcome)
        failed += bool(outcome.violations)
        with results.open("ab") as file:
            file.write(orjson.dumps(line, option=orjson.OPT_APPEND_NEWLINE))
        _print_run(line)

    await asyncio.gather(*map(run_one, runs))
    return failed


def _print_run(line: dict[str, object]) -> None:
    violations = line["violations"]
    assert isinstance(violations, list)
    print(
        f"seed {line['seed']}: {line['served']} of {line['asked']} served, "
        f"{len(violations)} violations, {line.get('early_ends')} early ends, "
        f"{line.get('resident_mib')} MiB resident, "
        f"a core busy for {line.get('longest_busy_s')} s"
    )
    for violation in violations:
        print(f"  {violation}")
