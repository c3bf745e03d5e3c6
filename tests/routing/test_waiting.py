"""Order in which the waiting queue serves requests."""

import asyncio

from hypothesis import given, settings
from hypothesis import strategies as st
from kingcuplug_routing import Priority
from kingcuplug_routing._waiting import Waiter, WaitingQueue

TURN_AFTER = 3


@settings(derandomize=True, max_examples=200, deadline=None)
@given(st.lists(st.one_of(st.sampled_from(Priority), st.just("pop")), max_size=60))
def test_priority_order_without_starvation(steps: list[Priority | str]) -> None:
    # Guards against classes served out of priority order, requests of a class served
    # out of arrival order, and a class that is passed over for ever.
    loop = asyncio.new_event_loop()
    queue = WaitingQueue(TURN_AFTER)
    expected: dict[Priority, list[Waiter]] = {p: [] for p in Priority}
    times_passed_over = dict.fromkeys(Priority, 0)
    for step in steps:
        if isinstance(step, Priority):
            waiter = Waiter(loop.create_future(), step)
            expected[step].append(waiter)
            queue.push(waiter)
            continue
        popped = queue.pop()
        waiting = [p for p in Priority if expected[p]]
        assert (popped is None) == (not waiting)
        if popped is None:
            continue
        assert popped is expected[popped.priority].pop(0)
        higher = [
            p
            for p in waiting
            if list(Priority).index(p) < list(Priority).index(popped.priority)
        ]
        assert not higher or times_passed_over[popped.priority] >= TURN_AFTER
        for priority in waiting:
            skipped = priority not in higher and priority is not popped.priority
            times_passed_over[priority] = (
                times_passed_over[priority] + 1
                if skipped
                else times_passed_over[priority]
            )
        times_passed_over[popped.priority] = 0
        assert max(times_passed_over.values()) <= TURN_AFTER + 1
    loop.close()


def test_abandoned_waiters_are_removed() -> None:
    # Guards against a queue that grows while callers of a stalled server disconnect.
    loop = asyncio.new_event_loop()
    queue = WaitingQueue(TURN_AFTER)
    for _ in range(10_000):
        waiter = Waiter(loop.create_future(), Priority.NORMAL)
        queue.push(waiter)
        waiter.future.cancel()
    assert queue.entry_count <= 64
    loop.close()
