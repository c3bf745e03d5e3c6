"""Commands of the soak test with random faults: run, replay and report."""

import asyncio
import dataclasses
import sys
from pathlib import Path

import orjson

__all__ = ["Soak"]

_RESULTS_FILE = Path("soak-results.jsonl")
_PARALLEL_RUNS = (
    3  # Each run starts several processes; more runs at once slow each other.
)


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
        results: str = str(_RESULTS_FILE),
    ) -> None:
        """Run consecutive seeds, three at a time."""
        failed = asyncio.run(
            _run_seeds(
                range(first, first + seeds), duration_s, hosts, disks, Path(results)
            )
        )
        sys.exit(1 if failed else 0)

    def replay(
        self, seed: int, folder: str, duration_s: float = 12.0, hosts: int = 5
    ) -> None:
        """Run one seed again and keep logs and disks in a folder."""
        from kingcuplug_soak import SoakSettings, soak

        Path(folder).mkdir(parents=True, exist_ok=True)
        settings = SoakSettings(seed, duration_s, hosts, folder=Path(folder))
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
        for run in failed:
            _print_run(run)


async def _run_seeds(
    seeds: range, duration_s: float, hosts: int, disks: int, results: Path
) -> int:
    from kingcuplug_soak import SoakSettings, soak

    run_slots = asyncio.Semaphore(_PARALLEL_RUNS)
    failed = 0

    async def run_seed(seed: int) -> None:
        nonlocal failed
        async with run_slots:
            outcome = await soak(SoakSettings(seed, duration_s, hosts, disks))
        line = dataclasses.asdict(outcome)
        failed += bool(outcome.violations)
        with results.open("ab") as file:
            file.write(orjson.dumps(line, option=orjson.OPT_APPEND_NEWLINE))
        _print_run(line)

    await asyncio.gather(*map(run_seed, seeds))
    return failed


def _print_run(line: dict[str, object]) -> None:
    violations = line["violations"]
    assert isinstance(violations, list)
    print(
        f"seed {line['seed']}: {line['served']} of {line['asked']} served, "
        f"{len(violations)} violations"
    )
    for violation in violations:
        print(f"  {violation}")
