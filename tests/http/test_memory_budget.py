"""Which connections give up what they hold when there is no memory for all."""

import pytest
from kingcuplug_http._memory_budget import Hold, HoldKind, MemoryBudget

_KIB = 1_024


class _Holders:
    """Holds of a budget of 100 KiB, and the names of those that gave up."""

    def __init__(self) -> None:
        self.budget = MemoryBudget(100 * _KIB)
        self.ended: list[str] = []
        self.holds: dict[str, Hold] = {}

    def add(self, name: str, kind: HoldKind, size_kib: int, now: float) -> None:
        def give_up() -> None:
            self.ended.append(name)

        endable = kind is not HoldKind.SERVING
        hold = self.holds.get(name)
        if hold is None:
            hold = Hold(self.budget, kind, give_up if endable else None)
            self.holds[name] = hold
        hold.resize(size_kib * _KIB, now)


@pytest.fixture
def holders() -> _Holders:
    return _Holders()


def test_newest_of_equal_requests_is_refused(holders):
    """Guards against uploads of which none is ever finished under overload."""
    for number in range(4):
        holders.add(str(number), HoldKind.REQUEST, 24, now=number / 10)
    holders.add("4", HoldKind.REQUEST, 24, now=0.5)
    assert holders.ended == ["4", "3"]
    assert holders.budget.total_bytes <= 100 * _KIB


def test_large_hold_gives_up_before_a_small_one(holders):
    """Guards against small requests refused because of others' large ones."""
    holders.add("large", HoldKind.RESPONSE, 90, now=0.0)
    holders.add("small", HoldKind.REQUEST, 9, now=0.1)
    holders.add("next", HoldKind.REQUEST, 9, now=0.2)
    assert holders.ended == ["large"]


def test_stalled_hold_gives_up_before_one_that_grows(holders):
    """Guards against peers that send nothing more and shut out the others."""
    holders.add("stalled", HoldKind.REQUEST, 30, now=0.0)
    holders.add("growing", HoldKind.REQUEST, 60, now=0.0)
    holders.add("growing", HoldKind.REQUEST, 65, now=5.0)
    holders.add("newest", HoldKind.REQUEST, 20, now=5.0)
    assert holders.ended == ["stalled"]


def test_requests_in_progress_leave_room_for_small_ones(holders):
    """Guards against large requests in progress that leave no room for others."""
    assert holders.budget.may_serve(75 * _KIB)
    holders.add("serving", HoldKind.SERVING, 70, now=0.0)
    assert not holders.budget.may_serve(6 * _KIB)
    holders.add("upload", HoldKind.REQUEST, 31, now=0.1)
    assert holders.ended == ["upload"]
    holders.holds["serving"].release()
    assert holders.budget.total_bytes == 0
    assert holders.budget.may_serve(75 * _KIB)


def test_measured_hold_counts_with_its_current_size(holders):
    """Guards against closing readers that have taken most of their responses."""
    hold = Hold(holders.budget, HoldKind.RESPONSE, lambda: None, lambda: 10 * _KIB)
    hold.resize(90 * _KIB, 0.0)
    holders.add("upload", HoldKind.REQUEST, 40, now=3.0)
    assert (hold.size_bytes, holders.ended) == (10 * _KIB, [])
    assert holders.budget.held_bytes(HoldKind.RESPONSE) == 10 * _KIB
