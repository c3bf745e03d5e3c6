"""Every fault at every protocol step must preserve the log's guarantees.

Each cell checks: one leader per term, no acknowledged command lost or reverted, the
same sequence on all state machines, no stale read under a lease, and progress after the
fault has ended.
"""

import itertools
from random import Random

import pytest
from kingcuplug_testkit import FAULTS, PROTOCOL_STEPS, run_matrix_cell

_PAIR_COUNT = 24


def _sample_fault_pairs() -> list[tuple[str, str, str]]:
    possible = [
        (first, second, step)
        for first, second in itertools.combinations(FAULTS, 2)
        for step in PROTOCOL_STEPS
        # Three voters tolerate the loss of one disk at a time.
        if not (FAULTS[first].loses_disk and FAULTS[second].loses_disk)
    ]
    return Random(0).sample(possible, _PAIR_COUNT)


@pytest.mark.parametrize("step", PROTOCOL_STEPS)
@pytest.mark.parametrize("fault", FAULTS)
def test_single_fault(fault: str, step: str) -> None:
    # Guards against a fault at this step that violates a guarantee or blocks the group.
    result = run_matrix_cell([fault], step)
    assert result.all_triggered, "the fault did not happen"
    assert result.checked_reads > 0


@pytest.mark.parametrize(("first", "second", "step"), _sample_fault_pairs())
def test_pair_of_faults(first: str, second: str, step: str) -> None:
    # Guards against two simultaneous faults that violate a guarantee or block the
    # group.
    run_matrix_cell([first, second], step)
