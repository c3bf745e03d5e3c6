"""Run Spin on the Promela models and compare each result with the expected one.

Every model is verified exhaustively without a mutant, and once for each mutant and
each reachability check. A mutant must violate the property that is named here, and
a reachability check must be reachable; this detects checks that can never fail. An
incomplete search counts as a failure.
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

MODELS_FOLDER = Path(__file__).parent
MEMORY_LIMIT_MB = 1300  # Per verifier; three in parallel stay under 4 GB.
LARGE_MEMORY_LIMIT_MB = 10_000
MAX_SEARCH_DEPTH = (
    1_000_000  # Steps of a path; a search that needs more is reported as incomplete.
)
HASH_TABLE_BITS = 24  # Size of the state table; affects speed only.
MUTANT_HASH_TABLE_BITS = 20
LARGE_HASH_TABLE_BITS = 26
DEFAULT_JOBS = 3
FIRST_ASSERTION_NUMBER = (
    7700  # A range of numbers that occurs nowhere else in the models.
)


@dataclass(frozen=True)
class Case:
    """One run of the verifier and its expected outcome.

    Attributes
    ----------
    model
        Name of the Promela file without its suffix.
    variant
        Label of the run in the printed table.
    expected
        ``holds``, or the name of the property or reachability check whose
        assertion must be violated.
    defines
        Preprocessor macros, ``NAME`` or ``NAME=value``.
    large
        Whether the case runs only with ``--size large``.
    """

    model: str
    variant: str
    expected: str
    defines: tuple[str, ...] = ()
    large: bool = False


@dataclass(frozen=True)
class VerifierResult:
    """Outcome and size of the verifier's search for a case."""

    outcome: str
    states: int
    depth: int
    memory_mb: float
    seconds: float


def expect_holds(model: str, variant: str, *defines: str, large: bool = False) -> Case:
    """Return a case in which every property holds in the whole state space."""
    return Case(model, variant, "holds", defines, large)


def expect_violation(model: str, macro: str, violated: str, *defines: str) -> Case:
    """Return a case with a mutant that must violate the named property."""
    return Case(model, _variant_name(macro, defines), violated, (macro, *defines))


def _variant_name(macro: str, defines: tuple[str, ...]) -> str:
    """Return the macro, followed by the other mutants that are also enabled."""
    return ", ".join([macro, *(name for name in defines if name in EXTRA_MUTANTS)])


def expect_reachable(model: str, macro: str, name: str, *defines: str) -> Case:
    """Return a case in which the named state must be reachable."""
    return Case(model, macro, name, (macro, *defines))


def expect_rejected_design(
    model: str, macro: str, violated: str, *defines: str
) -> Case:
    """Return a case with a rejected design variant that violates the property."""
    return Case(model, f"finding {macro}", violated, (macro, *defines))


FOUR_TERMS = ("MAX_TERM=4", "MAX_LOG=1")
TWO_ENTRIES = ("MAX_TERM=3", "MAX_LOG=2")
FOUR_VOTERS = ("INITIAL_VOTERS=15", "MAX_LOSSES=0")
THREE_ENTRIES = ("MAX_TERM=2", "MAX_LOG=3")
HALVES = ("HALF_QUORUMS", "INITIAL_VOTERS=15", "MAX_TERM=2")
HALVES_3_TERMS = ("HALF_QUORUMS", "INITIAL_VOTERS=15", *TWO_ENTRIES)
HALVES_3_ENTRIES = ("HALF_QUORUMS", "INITIAL_VOTERS=15", *THREE_ENTRIES)
HALVES_JOINING = ("HALF_QUORUMS", *THREE_ENTRIES)
CLOCKS = ("ELECTION_TIMEOUT=12",)
ONE_CHANGE = ("MAX_REVISION=1",)
EXTRA_MUTANTS = ("EQUAL_REVISIONS_ACCEPTED", "OLDER_BARRIER")
ONE_SEED_WITH_DISK = ("WITHOUT_DISK=6",)
NO_SEED_WITH_DISK = ("NO_SEED_HAS_DISK",)
THREE_ATTEMPTS = ("MAX_ATTEMPTS=3", "MAX_TOKENS=4", "SLOTS=3")
OLDER_BARRIER = ("OLDER_BARRIER", "RESTART_MAY_REVERT", *ONE_CHANGE)

CASES = [
    expect_holds("replication", "3 terms, 2 entries", *TWO_ENTRIES),
    expect_holds("replication", "4 terms, 1 entry", *FOUR_TERMS),
    expect_violation("replication", "VOTE_NOT_DURABLE", "one-leader-per-term"),
    expect_violation("replication", "EMPTY_DISK_VOTES", "one-leader-per-term"),
    expect_violation("replication", "ACK_BEFORE_FSYNC", "accepted-entry-kept"),
    expect_violation("replication", "LEADER_COUNTS_UNSYNCED", "accepted-entry-kept"),
    expect_violation("replication", "VOTE_IGNORES_LOG", "accepted-entry-kept"),
    expect_violation(
        "replication", "COMMIT_OLDER_TERM", "accepted-entry-kept", *FOUR_TERMS
    ),
    expect_reachable("replication", "REACH_LEADER", "leader-elected"),
    expect_reachable(
        "replication", "REACH_LATER_LEADER", "leader-after-accepted-entry"
    ),
    expect_reachable("replication", "REACH_COMMIT", "entry-committed"),
    expect_reachable(
        "replication", "REACH_COMMIT_BY_TWO_LEADERS", "committed-by-two-leaders"
    ),
    expect_holds("voters", "3 terms, 2 entries", "MAX_LOSSES=0", *TWO_ENTRIES),
    expect_holds("voters", "4 voters, 2 terms, 2 entries", *FOUR_VOTERS, "MAX_TERM=2"),
    expect_holds("voters", "2 terms, 3 entries, lost disk", *THREE_ENTRIES),
    expect_violation("voters", "EMPTY_DISK_VOTES", "one-leader-per-term", "MAX_TERM=2"),
    expect_violation(
        "voters", "TWO_CHANGES_AT_ONCE", "accepted-entry-kept", *THREE_ENTRIES
    ),
    expect_violation(
        "voters", "REPLACE_IN_ONE_STEP", "one-leader-per-term", *THREE_ENTRIES
    ),
    expect_violation("voters", "COUNT_LEARNERS", "accepted-entry-kept"),
    expect_violation(
        "voters",
        "CHANGE_BEFORE_OWN_COMMIT",
        "one-leader-per-term",
        *FOUR_VOTERS,
        "MAX_LOG=1",
    ),
    expect_reachable("voters", "REACH_LEARNER_VOTES", "learner-became-voter"),
    expect_reachable("voters", "REACH_LEARNER_LEADS", "new-identity-leads"),
    expect_reachable("voters", "REACH_REPAIR", "voter-replaced", *THREE_ENTRIES),
    expect_holds("voters", "half quorums, 4 voters", *HALVES),
    expect_holds("voters", "half quorums, fourth joins", *HALVES_JOINING),
    expect_holds("voters", "half quorums, 0 removed", *HALVES, "GONE=0"),
    expect_holds("voters", "half quorums, 1 removed", *HALVES, "GONE=1"),
    expect_holds("voters", "half quorums, earlier build", *HALVES, "EARLIER_BUILD=1"),
    expect_holds("voters", "half quorums, put in force", *HALVES, "PLAIN_AT_FIRST"),
    expect_violation("voters", "HALF_WITHOUT_LOSS", "one-leader-per-term", *HALVES),
    expect_violation("voters", "COUNT_LOST", "one-leader-per-term", *HALVES),
    expect_rejected_design("voters", "ONE_STEP_CHANGE", "accepted-entry-kept", *HALVES),
    expect_violation(
        "voters", "ELECT_BY_ALL", "accepted-entry-kept", *HALVES, "MAX_LOG=3"
    ),
    expect_violation("voters", "COMMIT_BY_REST", "accepted-entry-kept", *HALVES),
    expect_violation(
        "voters",
        "TRUST_EARLIER_BUILD",
        "accepted-entry-kept",
        *HALVES,
        "EARLIER_BUILD=1",
    ),
    expect_violation("voters", "MAJORITIES_ONLY", "quorum-left", *HALVES, "GONE=1"),
    expect_reachable("voters", "REACH_HALF", "decided-by-half", *HALVES),
    expect_reachable(
        "voters", "REACH_LOST_REMOVED", "lost-voter-removed", *HALVES, "MAX_LOG=3"
    ),
    expect_holds("formation", "three seeds, one lost disk"),
    expect_holds("formation", "most of the seeds", "FORMATION_TIMES_OUT"),
    expect_holds("formation", "one seed without a disk", "WITHOUT_DISK=2"),
    expect_holds(
        "formation",
        "two seeds without a disk",
        *ONE_SEED_WITH_DISK,
        "FORMATION_TIMES_OUT",
    ),
    expect_holds("formation", "no seed with a disk", *NO_SEED_WITH_DISK),
    expect_violation("formation", "MAJORITY_SUFFICES", "one-group", *NO_SEED_WITH_DISK),
    expect_violation("formation", "ALL_FORGET", "one-group", *NO_SEED_WITH_DISK),
    expect_reachable("formation", "REACH_JOINER", "joiner-founds", *NO_SEED_WITH_DISK),
    expect_violation("formation", "PROMISE_NOT_STORED", "one-group"),
    expect_violation("formation", "ACCEPTANCE_NOT_STORED", "one-group"),
    expect_violation("formation", "ACCEPTED_IGNORED", "one-group"),
    expect_violation("formation", "ANY_ACCEPTED", "one-group", "BALLOTS=3"),
    expect_violation("formation", "LOST_DISK_PROMISES", "one-group"),
    expect_violation("formation", "MINORITY_SUFFICES", "one-group"),
    expect_violation(
        "formation",
        "ACK_WHILE_FORMING",
        "acknowledged-change-kept",
        *ONE_SEED_WITH_DISK,
    ),
    expect_reachable("formation", "REACH_JOINER", "joiner-founds"),
    expect_reachable("formation", "REACH_LATER_BALLOT", "founded-by-later-proposer"),
    expect_reachable("formation", "REACH_FORMED", "all-hosts-joined"),
    expect_reachable("formation", "REACH_ACK", "change-acknowledged"),
    expect_holds("disk_losses", "six hosts, two lost disks"),
    expect_violation("disk_losses", "ACK_AT_SEEDS", "quorum-left"),
    expect_violation("disk_losses", "COUNT_LEARNER", "quorum-left"),
    expect_violation("disk_losses", "REMOVE_BELOW_BOUND", "quorum-left"),
    expect_violation("disk_losses", "REMOVED_VOTER_VOTES", "document-kept"),
    expect_reachable("disk_losses", "REACH_ACK", "document-acknowledged"),
    expect_reachable("disk_losses", "REACH_REMOVAL", "silent-voter-removed"),
    expect_holds("disk_losses", "two lost disks, one host removed", "REPLACED"),
    expect_violation("disk_losses", "MAJORITIES_ONLY", "quorum-left", "REPLACED"),
    expect_violation("disk_losses", "HALF_WITHOUT_LOSS", "document-kept", "REPLACED"),
    expect_holds("disk_losses", "seven hosts in three zones", "ZONES"),
    expect_violation("disk_losses", "COUNT_DISKS", "quorum-left", "ZONES"),
    expect_violation("disk_losses", "JOIN_ANY", "quorum-left", "ZONES"),
    expect_violation("disk_losses", "REMOVE_ANY", "quorum-left", "ZONES"),
    expect_violation("disk_losses", "MANY_LEARNERS", "quorum-left", "ZONES"),
    expect_violation("disk_losses", "IGNORE_LEARNER", "quorum-left", "ZONES"),
    expect_reachable("disk_losses", "REACH_ACK", "document-acknowledged", "ZONES"),
    expect_reachable("disk_losses", "REACH_REMOVAL", "silent-voter-removed", "ZONES"),
    expect_holds("restart", "three disks, one lost, three versions"),
    expect_violation("restart", "SERVE_LOG_TAIL", "no-uncommitted"),
    expect_violation("restart", "SAVE_REPLAYED", "file-never-back"),
    expect_violation("restart", "TAKE_ANY", "never-back"),
    expect_reachable("restart", "REACH_OLDER", "older-after-restart"),
    expect_holds("lease", "timeout of 6 units"),
    expect_rejected_design("lease", "DRIFT_PER_CLOCK", "no-superseded-read", *CLOCKS),
    expect_violation("lease", "LEASE_IGNORES_DRIFT", "no-superseded-read"),
    expect_violation("lease", "LEASE_FROM_RECEIPT", "no-superseded-read"),
    expect_violation("lease", "VOTE_AFTER_RESTART", "no-superseded-read"),
    expect_violation("lease", "NO_STICKINESS", "no-superseded-read"),
    expect_violation("lease", "STANDS_DESPITE_PROMISE", "no-superseded-read"),
    expect_rejected_design("lease", "READ_BEFORE_OWN_COMMIT", "no-superseded-read"),
    expect_reachable("lease", "REACH_READ_BY_LATER_LEADER", "read-by-later-leader"),
    expect_reachable(
        "lease", "REACH_READ_BESIDE_LATER_LEADER", "read-beside-later-term"
    ),
    expect_holds("sessions", "1 relay, 1 change", *ONE_CHANGE),
    expect_holds("sessions", "OLDER_BARRIER, no revert check", *OLDER_BARRIER),
    expect_rejected_design("sessions", "OLDER_BARRIER", "never-reverts", *ONE_CHANGE),
    expect_rejected_design(
        "sessions", "REPORTED_SESSIONS_ONLY", "in-force-everywhere", *ONE_CHANGE
    ),
    expect_rejected_design(
        "sessions", "RELAY_FORGETS_SESSIONS", "in-force-everywhere", *ONE_CHANGE
    ),
    expect_violation(
        "sessions", "ENTRY_IGNORES_DRIFT", "in-force-everywhere", *ONE_CHANGE
    ),
    expect_violation(
        "sessions", "RELAY_IGNORES_DRIFT", "in-force-everywhere", *OLDER_BARRIER
    ),
    expect_violation(
        "sessions", "RELAY_GRANTS_FULL_LEASE", "in-force-everywhere", *OLDER_BARRIER
    ),
    expect_violation(
        "sessions", "LEASE_FROM_RECEIPT", "in-force-everywhere", *ONE_CHANGE
    ),
    expect_violation(
        "sessions", "NEW_LEADER_DOES_NOT_WAIT", "in-force-everywhere", *ONE_CHANGE
    ),
    expect_violation(
        "sessions", "CONFIRMED_BY_SENDING", "in-force-everywhere", *ONE_CHANGE
    ),
    expect_reachable("sessions", "REACH_IN_FORCE", "in-force", *ONE_CHANGE),
    expect_reachable(
        "sessions", "REACH_IN_FORCE_BY_RELAY", "in-force-by-relay", *ONE_CHANGE
    ),
    expect_reachable("sessions", "REACH_LEASE_BY_RELAY", "lease-by-relay", *ONE_CHANGE),
    expect_holds("orders", "3 attempts", *THREE_ATTEMPTS),
    expect_violation(
        "orders", "DISPATCH_WITHOUT_TOKEN", "one-dispatch", *THREE_ATTEMPTS
    ),
    expect_violation(
        "orders", "TAKEOVER_AFTER_DISPATCH", "one-dispatch", *THREE_ATTEMPTS
    ),
    expect_violation("orders", "SEND_BEFORE_DISPATCH", "one-dispatch", *THREE_ATTEMPTS),
    expect_violation("orders", "SEND_WITHOUT_ANSWER", "one-dispatch", *THREE_ATTEMPTS),
    expect_violation("orders", "NOT_DURABLE=CLAIM", "claim-kept", *THREE_ATTEMPTS),
    expect_violation("orders", "NOT_DURABLE=DISPATCH", "one-dispatch", *THREE_ATTEMPTS),
    expect_violation(
        "orders", "NOT_DURABLE=RELEASE", "not-run-is-true", *THREE_ATTEMPTS
    ),
    expect_violation(
        "orders", "NOT_RUN_AFTER_LOST_ANSWER", "not-run-is-true", *THREE_ATTEMPTS
    ),
    expect_rejected_design(
        "orders", "RELEASE_FREES", "not-run-is-true", *THREE_ATTEMPTS
    ),
    expect_rejected_design(
        "orders", "EARLY_NOT_RUN", "not-run-is-true", *THREE_ATTEMPTS
    ),
    expect_reachable("orders", "REACH_DONE", "done", *THREE_ATTEMPTS),
    expect_reachable(
        "orders", "REACH_DONE_BY_RESEND", "done-by-resend", *THREE_ATTEMPTS
    ),
    expect_reachable(
        "orders", "REACH_DONE_AFTER_TAKEOVER", "done-after-takeover", *THREE_ATTEMPTS
    ),
    expect_reachable("orders", "REACH_NOT_RUN", "not-run", *THREE_ATTEMPTS),
    expect_holds("history", "2 operators"),
    expect_holds("history", "3 operators", "OPERATORS=3"),
    expect_violation("history", "EQUAL_REVISIONS_ACCEPTED", "one-winner-per-base"),
    expect_violation("history", "RESEND_IS_NEW", "conflict-is-true"),
    expect_violation(
        "history",
        "RESEND_IS_NEW",
        "change-applied-once",
        "EQUAL_REVISIONS_ACCEPTED",
    ),
    expect_reachable("history", "REACH_CONFLICT", "conflict"),
    expect_reachable("history", "REACH_ACCEPTED_BY_RESEND", "accepted-by-resend"),
    expect_holds("retention", "retention changes"),
    expect_holds("retention", "fixed, no floor", "FIXED_RETENTION", "NO_PURGE_FLOOR"),
    expect_rejected_design("retention", "NO_PURGE_FLOOR", "claimed-once"),
    expect_violation(
        "retention", "LEDGER_TIME_GOES_BACK", "claimed-once", "FIXED_RETENTION"
    ),
    expect_violation(
        "retention", "PURGE_BEFORE_EXPIRY", "claimed-once", "FIXED_RETENTION"
    ),
    expect_reachable("retention", "REACH_PURGE", "purge"),
    expect_reachable("retention", "REACH_EXPIRED", "key-expired"),
    expect_holds(
        "orders",
        "4 attempts",
        "MAX_ATTEMPTS=4",
        "MAX_TOKENS=5",
        "SLOTS=3",
        large=True,
    ),
    expect_holds("voters", "3 terms, 2 entries, lost disk", *TWO_ENTRIES, large=True),
    expect_holds("lease", "timeout of 12 units", *CLOCKS, large=True),
    expect_holds(
        "lease",
        "LEASE_FOR_BOTH_CLOCKS",
        "DRIFT_PER_CLOCK",
        "LEASE_FOR_BOTH_CLOCKS",
        *CLOCKS,
        large=True,
    ),
    expect_holds(
        "voters",
        "4 voters, 3 terms, 2 entries",
        *FOUR_VOTERS,
        *TWO_ENTRIES,
        large=True,
    ),
    expect_holds("voters", "half quorums, 3 terms", *HALVES_3_TERMS, large=True),
    expect_holds("voters", "half quorums, 3 entries", *HALVES_3_ENTRIES, large=True),
    expect_holds(
        "voters",
        "half quorums, 0 removed, 3 entries",
        *HALVES_3_ENTRIES,
        "GONE=0",
        large=True,
    ),
    expect_holds(
        "voters",
        "half quorums, 3 entries, put in force",
        *HALVES_3_ENTRIES,
        "PLAIN_AT_FIRST",
        large=True,
    ),
    expect_holds(
        "voters",
        "half quorums, 3 entries, earlier build",
        *HALVES_3_ENTRIES,
        "EARLIER_BUILD=1",
        large=True,
    ),
    expect_holds("sessions", "1 relay, 2 changes", "MAX_REVISION=2", large=True),
    expect_holds("sessions", "2 relays, 1 change", "RELAYS=2", *ONE_CHANGE, large=True),
    expect_holds(
        "replication", "4 terms, 2 entries", "MAX_TERM=4", "MAX_LOG=2", large=True
    ),
]


def verify(case: Case) -> VerifierResult:
    """Generate, compile and run the verifier of a case in a temporary folder."""
    started = time.monotonic()
    with tempfile.TemporaryDirectory(prefix="kingcuplug-models-") as temporary_name:
        folder = Path(temporary_name)
        source, names = _number_assertions(
            (MODELS_FOLDER / f"{case.model}.pml").read_text()
        )
        (folder / "model.pml").write_text(source)
        macros = [f"-D{macro}" for macro in case.defines]
        _run_command(folder, "spin", *macros, "-a", "model.pml")
        memory_mb = LARGE_MEMORY_LIMIT_MB if case.large else MEMORY_LIMIT_MB
        # Mutants and reachability checks end early, so compile time dominates.
        optimise = "-O2" if case.expected == "holds" else "-O0"
        options = [optimise, "-w", "-DSAFETY", f"-DMEMLIM={memory_mb}"]
        if case.large:
            options.append("-DCOLLAPSE")  # Less memory, about half the speed.
        _run_command(folder, "gcc", *options, "-o", "verifier", "pan.c")
        bits = HASH_TABLE_BITS if case.expected == "holds" else MUTANT_HASH_TABLE_BITS
        if case.large:
            bits = LARGE_HASH_TABLE_BITS
        report = _run_command(
            folder,
            "./verifier",
            f"-m{MAX_SEARCH_DEPTH}",
            f"-w{bits}",
            "-n",
            check=False,
        )
    violation = re.search(
        rf"assertion violated \D*({FIRST_ASSERTION_NUMBER // 100}\d\d)", report
    )
    outcome = names[int(violation[1])] if violation else _search_verdict(report)
    return VerifierResult(
        outcome,
        int(_parse_number(r"(\d+) states, stored", report)),
        int(_parse_number(r"depth reached (\d+)", report)),
        _parse_number(r"([\d.]+)\s+total actual memory usage", report),
        time.monotonic() - started,
    )


def _run_command(folder: Path, *command: str, check: bool = True) -> str:
    """Return the output of a command; raise `RuntimeError` with it on a failure."""
    completed = subprocess.run(
        command,
        cwd=folder,
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
        check=False,
    )
    if check and completed.returncode != 0:
        message = (
            f"{' '.join(command)} exited with {completed.returncode}: "
            f"{completed.stdout}"
        )
        raise RuntimeError(message)
    return completed.stdout


def _number_assertions(source: str) -> tuple[str, dict[int, str]]:
    """Return the source with numbered assertions and the name of each number.

    The verifier prints the text of a violated assertion, but its line numbers are
    wrong after conditional lines in an inline, so the number is made part of the
    text. The name comes from the comment above the assertion.
    """
    names: dict[int, str] = {}
    parts = re.split(r"(\bassert\()", source)
    for position in range(1, len(parts), 2):
        comments = re.findall(
            r"/\* (?:Property|Reachable) ([a-z0-9-]+)", parts[position - 1]
        )
        number = FIRST_ASSERTION_NUMBER + len(names)
        names[number] = comments[-1] if comments else "assertion without a name"
        parts[position] = f"assert(!{number} || "
    return "".join(parts), names


def _search_verdict(report: str) -> str:
    """Return ``holds`` or the reason why the search was inconclusive."""
    if "pan:1:" in report:
        return "error: " + report.split("pan:1:")[1].splitlines()[0].strip()
    if "max search depth too small" in report:
        return "incomplete: depth limit"
    if "out of memory" in report or "reached -DMEMLIM" in report:
        return "incomplete: memory limit"
    if "Search not completed" in report or "errors: 0" not in report:
        return "incomplete"
    return "holds"


def _parse_number(pattern: str, report: str) -> float:
    """Return the number that a pattern finds in the report, or 0."""
    match = re.search(pattern, report)
    return float(match[1]) if match else 0


def main() -> int:
    """Run the cases of the chosen size and print the table."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--size", choices=["ci", "large"], default="ci")
    parser.add_argument("--model", help="run this model only")
    parser.add_argument(
        "--jobs", type=int, default=min(DEFAULT_JOBS, os.cpu_count() or 1)
    )
    arguments = parser.parse_args()
    large = arguments.size == "large"
    cases = [
        case
        for case in CASES
        if case.large == large and arguments.model in (None, case.model)
    ]
    row_format = "{:<14} {:<42} {:<32} {:<32} {:>10} {:>6} {:>7} {:>8}"
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
    print(row_format.format(*header))
    failed = 0
    with ThreadPoolExecutor(arguments.jobs) as pool:
        # Long searches start first, so that short ones fill the remaining time.
        futures = {
            case: pool.submit(verify, case)
            for case in sorted(cases, key=lambda case: case.expected != "holds")
        }
        for case in cases:
            result = futures[case].result()
            print(
                row_format.format(
                    case.model,
                    case.variant,
                    case.expected,
                    result.outcome,
                    result.states,
                    result.depth,
                    f"{result.memory_mb:.0f}",
                    f"{result.seconds:.1f}",
                ),
                flush=True,
            )
            failed += result.outcome != case.expected
    print(f"{len(cases) - failed} passed, {failed} failed")
    return 1 if failed or not cases else 0


if __name__ == "__main__":
    sys.exit(main())
