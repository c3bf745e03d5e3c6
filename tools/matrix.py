"""Print the fault matrix of the replicated log, one cell per fault and step."""

import sys
import time
import traceback

from kingcuplug_testkit import FAULTS, PROTOCOL_STEPS, run_matrix_cell

_FAULT_COLUMN_WIDTH = 48


def _run_cell(fault: str, step: str, seed: str) -> str:
    try:
        result = run_matrix_cell([fault], step, seed)
    except Exception:
        traceback.print_exc()
        return "FAIL"
    return f"{result.acknowledged_commands}/{result.checked_reads}" + (
        "" if result.all_triggered else "?"
    )


def main(seed: str = "0") -> int:
    """Print the table; cells show acknowledged commands / read checks.

    A question mark means that a failpoint of the fault was not triggered.
    """
    started = time.monotonic()
    print(" " * _FAULT_COLUMN_WIDTH + "".join(f"{step:>17}" for step in PROTOCOL_STEPS))
    failed = 0
    for fault in FAULTS:
        cells = [_run_cell(fault, step, seed) for step in PROTOCOL_STEPS]
        failed += cells.count("FAIL")
        print(
            f"{fault:<{_FAULT_COLUMN_WIDTH}}" + "".join(f"{cell:>17}" for cell in cells)
        )
    print(f"{len(FAULTS) * len(PROTOCOL_STEPS)} cells, {failed} failed, seed {seed}")
    print(f"{time.monotonic() - started:.1f} s", file=sys.stderr)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main(*sys.argv[1:]))
