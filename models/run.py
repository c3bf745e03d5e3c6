"""Run Spin on the Promela models and compare each result with the expected one.

Every model is verified exhaustively without a mutant, and once for each seeded
mutant and for each reachability check. A mutant must violate the property that
is named here, and a reachability check must be found reachable, so a check that
cannot fail is noticed. An incomplete search counts as a failure.
"""

from __future__ import annotations

import argparse
import os
import re
import subprocess
import sys
import tempfile
import time
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path

FOLDER = Path(__file__).parent
MEMORY_LIMIT_MB = 1200  # Per verifier; three at once stay under 4 GB.
LARGE_MEMORY_LIMIT_MB = 10_000
DEPTH_LIMIT = 1_000_000  # Steps of the longest path; a longer one is reported.
HASH_BITS = 22  # Initial size of the state table; affects speed only.
LARGE_HASH_BITS = 26
JOBS = 3


@dataclass(frozen=True)
class Case:
    """One run of the verifier.

    Attributes
    ----------
    model
        Name of the Promela file without its suffix.
    variant
        What the run shows.
    expected
        ``holds``, or the name of the property or reachability check whose
        assertion must be violated.
    defines
        Preprocessor macros, ``NAME`` or ``NAME=value``.
    large
        Whether the case belongs to the large size.
    """

    model: str
    variant: str
    expected: str
    defines: tuple[str, ...] = ()
    large: bool = False


@dataclass(frozen=True)
class Result:
    """What the verifier reported for a case."""

    found: str
    states: int
    depth: int
    memory_mb: float
    seconds: float


def holds(model: str, variant: str, *defines: str, large: bool = False) -> Case:
    """Return a case in which every property holds in the whole state space."""
    return Case(model, variant, "holds", defines, large)


def mutant(model: str, macro: str, violated: str, *defines: str) -> Case:
    """Return a case with a seeded fault that must violate the named property."""
    return Case(model, macro, violated, (macro, *defines))


def reachable(model: str, macro: str, name: str, *defines: str) -> Case:
    """Return a case in which a wanted situation must be found."""
    return Case(model, macro, name, (macro, *defines))


FOUR_TERMS = ("MAX_TERM=4", "MAX_LOG=1")
TWO_ENTRIES = ("MAX_TERM=3", "MAX_LOG=2")

CASES = [
    holds("replication", "3 terms, 2 entries", *TWO_ENTRIES),
    holds("replication", "4 terms, 1 entry", *FOUR_TERMS),
    mutant("replication", "VOTE_NOT_DURABLE", "one-leader-per-term"),
    mutant("replication", "EMPTY_DISK_VOTES", "one-leader-per-term"),
    mutant("replication", "ACK_BEFORE_FSYNC", "accepted-entry-kept"),
    mutant("replication", "LEADER_COUNTS_UNSYNCED", "accepted-entry-kept"),
    mutant("replication", "VOTE_IGNORES_LOG", "accepted-entry-kept"),
    mutant("replication", "COMMIT_OLDER_TERM", "accepted-entry-kept", *FOUR_TERMS),
    reachable("replication", "REACH_LEADER", "leader-elected"),
    reachable("replication", "REACH_LATER_LEADER", "leader-after-accepted-entry"),
    reachable("replication", "REACH_COMMIT", "entry-committed"),
    reachable("replication", "REACH_COMMIT_BY_TWO_LEADERS", "committed-by-two-leaders"),
    holds("replication", "4 terms, 2 entries", "MAX_TERM=4", "MAX_LOG=2", large=True),
]


def verify(case: Case) -> Result:
    """Generate, compile and run the verifier of a case in a temporary folder."""
    started = time.monotonic()
    with tempfile.TemporaryDirectory(prefix="kingcuplug-models-") as name:
        folder = Path(name)
        source = (FOLDER / f"{case.model}.pml").read_text()
        (folder / "model.pml").write_text(source)
        macros = [f"-D{macro}" for macro in case.defines]
        _command(folder, "spin", *macros, "-a", "model.pml")
        memory_mb = LARGE_MEMORY_LIMIT_MB if case.large else MEMORY_LIMIT_MB
        # Mutants and reachability checks end early, so compile time dominates.
        optimise = "-O2" if case.expected == "holds" else "-O1"
        options = [optimise, "-w", "-DSAFETY", f"-DMEMLIM={memory_mb}"]
        if case.large:
            options.append("-DCOLLAPSE")  # Less memory, about half the speed.
        _command(folder, "gcc", *options, "-o", "verifier", "pan.c")
        bits = LARGE_HASH_BITS if case.large else HASH_BITS
        report = _command(
            folder, "./verifier", f"-m{DEPTH_LIMIT}", f"-w{bits}", "-n", check=False
        )
        found = _verdict(report)
        if found == "violated":
            trail = _command(folder, "spin", *macros, "-t", "model.pml", check=False)
            found = _violated_name(trail, source)
    return Result(
        found,
        int(_number(r"(\d+) states, stored", report)),
        int(_number(r"depth reached (\d+)", report)),
        _number(r"([\d.]+)\s+total actual memory usage", report),
        time.monotonic() - started,
    )


def _command(folder: Path, *command: str, check: bool = True) -> str:
    """Return the output of a command; a failure raises with that output."""
    done = subprocess.run(
        command,
        cwd=folder,
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
        check=False,
    )
    if check and done.returncode != 0:
        message = f"{' '.join(command)} exited with {done.returncode}: {done.stdout}"
        raise RuntimeError(message)
    return done.stdout


def _verdict(report: str) -> str:
    """Return ``holds``, ``violated`` or the reason why there is no verdict."""
    if "assertion violated" in report:
        return "violated"
    if "pan:1:" in report:
        return "error: " + report.split("pan:1:")[1].splitlines()[0].strip()
    if "max search depth too small" in report:
        return "incomplete: depth limit"
    if "out of memory" in report or "reached -DMEMLIM" in report:
        return "incomplete: memory limit"
    if "Search not completed" in report or "errors: 0" not in report:
        return "incomplete"
    return "holds"


def _violated_name(trail: str, source: str) -> str:
    """Return the name in the comment above the assertion that a trail violates."""
    position = re.search(r"model\.pml:(\d+), Error: assertion violated", trail)
    if position is None:
        return "error: trail names no assertion"
    above = "\n".join(source.splitlines()[: int(position[1])])
    names = re.findall(r"/\* (?:Property|Reachable) ([a-z0-9-]+)", above)
    return names[-1] if names else "error: assertion without a name"


def _number(pattern: str, report: str) -> float:
    """Return the number that a pattern finds in the report, or 0."""
    match = re.search(pattern, report)
    return float(match[1]) if match else 0


def main() -> int:
    """Run the cases of the chosen size and print the table."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--size", choices=["ci", "large"], default="ci")
    parser.add_argument("--model", help="run this model only")
    parser.add_argument("--jobs", type=int, default=min(JOBS, os.cpu_count() or 1))
    arguments = parser.parse_args()
    large = arguments.size == "large"
    cases = [
        case
        for case in CASES
        if case.large == large and arguments.model in (None, case.model)
    ]
    row = "{:<14} {:<34} {:<32} {:<32} {:>10} {:>6} {:>7} {:>8}"
    header = [
        "model",
        "variant",
        "expected",
        "found",
        "states",
        "depth",
        "MB",
        "seconds",
    ]
    print(row.format(*header))
    failed = 0
    with ThreadPoolExecutor(arguments.jobs) as pool:
        for case, result in zip(cases, pool.map(verify, cases), strict=True):
            print(
                row.format(
                    case.model,
                    case.variant,
                    case.expected,
                    result.found,
                    result.states,
                    result.depth,
                    f"{result.memory_mb:.0f}",
                    f"{result.seconds:.1f}",
                ),
                flush=True,
            )
            failed += result.found != case.expected
    print(f"{len(cases) - failed} passed, {failed} failed")
    return 1 if failed or not cases else 0


if __name__ == "__main__":
    sys.exit(main())
