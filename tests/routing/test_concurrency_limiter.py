"""Limit on the concurrent requests of a host, and the queue behind it."""

import math
from collections.abc import Callable

import pytest
from hypothesis import given
from hypothesis import strategies as st
from kingcuplug_routing import (
    ConcurrencyLimiter,
    WaitingRequest,
    concurrency_limits,
)

FIXED_LIMIT = (1.0, 1.0)


def _make_request(
    name: str,
    admitted: list[str],
    rank: int = 1,
    target_at: float = 100.0,
    final_at: float = 1_000.0,
    returning: bool = False,
    refused: list[str] | None = None,
) -> WaitingRequest:
    def admit() -> bool:
        admitted.append(name)
        return True

    def refuse() -> None:
        if refused is not None:
            refused.append(name)

    return WaitingRequest(rank, target_at, final_at, returning, admit, refuse)


def _end(limiter: ConcurrencyLimiter, in_time: bool | None = None, now=1.0, rank=1):
    limiter.release(rank, now, 0.1, in_time)


def test_burst_after_a_restart_does_not_overflow_server_queues():
    """Guards against a hundred queries that reach a shard in the same millisecond.

    Ten hosts send to three servers with three slots and a queue of 18 requests each.
    """
    bounds = concurrency_limits(slots=9, hosts=10)
    in_flight = 0
    for _ in range(10):
        limiter, admitted = ConcurrencyLimiter(bounds), []
        for number in range(12):
            if limiter.try_acquire(1, 0.0):
                in_flight += 1
            else:
                limiter.enqueue(_make_request(str(number), admitted), 0.0)
        in_flight += len(admitted)
    assert in_flight <= 9 + 3 * 18


def test_requests_are_admitted_by_rank_and_then_by_target():
    """Guards against an urgent request that waits behind others."""
    limiter, admitted = ConcurrencyLimiter(FIXED_LIMIT), []
    assert limiter.try_acquire(2, 0.0)
    for rank, name in ((2, "a"), (2, "b"), (0, "urgent"), (1, "c")):
        limiter.enqueue(_make_request(name, admitted, rank), 0.0)
    for _ in range(4):
        _end(limiter)
    assert admitted == ["urgent", "c", "a", "b"]


def test_returning_caller_goes_before_a_new_one_of_equal_rank():
    """Guards against a caller that is refused again and again."""
    limiter, admitted = ConcurrencyLimiter(FIXED_LIMIT), []
    limiter.try_acquire(1, 0.0)
    limiter.enqueue(_make_request("new", admitted), 0.0)
    limiter.enqueue(_make_request("back", admitted, returning=True), 0.0)
    limiter.enqueue(_make_request("urgent", admitted, rank=0), 0.0)
    for _ in range(3):
        _end(limiter)
    assert admitted == ["urgent", "back", "new"]


def test_less_urgent_rank_does_not_starve():
    """Guards against a rank that gets no turn while more urgent ones keep coming."""
    limiter, admitted = ConcurrencyLimiter(FIXED_LIMIT), []
    limiter.try_acquire(1, 0.0)
    limiter.enqueue(_make_request("low", admitted, rank=2), 0.0)
    for number in range(20):
        limiter.enqueue(_make_request(str(number), admitted), 0.0)
        _end(limiter)
    assert 1 <= admitted.index("low") < 8


def test_abandoned_request_takes_no_capacity():
    """Guards against capacity that leaks to requests of disconnected callers."""
    limiter, admitted = ConcurrencyLimiter(FIXED_LIMIT), []
    limiter.try_acquire(1, 0.0)
    abandoned = WaitingRequest(0, 100.0, 100.0, False, lambda: False, lambda: None)
    limiter.enqueue(abandoned, 0.0)
    withdrawn = _make_request("withdrawn", admitted)
    limiter.enqueue(withdrawn, 0.0)
    limiter.enqueue(_make_request("second", admitted), 0.0)
    limiter.withdraw(withdrawn)
    _end(limiter)
    assert admitted == ["second"]
    _end(limiter)
    assert limiter.try_acquire(1, 2.0)


def test_request_that_cannot_be_in_time_is_refused_on_arrival():
    """Guards against holding a caller that will be refused in the end."""
    limiter, admitted = ConcurrencyLimiter(FIXED_LIMIT), []
    for _ in range(40):
        limiter.try_acquire(1, 0.0)
        limiter.release(1, 0.0, 0.1, True)
    limiter.try_acquire(1, 0.0)
    assert limiter.enqueue(_make_request("a", admitted, target_at=0.25), 0.0) is None
    wait_s = limiter.enqueue(_make_request("b", admitted, target_at=0.25), 0.0)
    assert wait_s == pytest.approx(0.2)


def test_waiting_request_is_refused_when_it_can_no_longer_be_in_time():
    """Guards against a queue of requests whose target has passed."""
    limiter, admitted, refused = ConcurrencyLimiter(FIXED_LIMIT), [], []
    limiter.try_acquire(1, 0.0)
    request = _make_request("late", admitted, target_at=0.25, refused=refused)
    limiter.enqueue(request, 0.0)
    _end(limiter, now=0.3)
    assert (admitted, refused) == ([], ["late"])
    expired = _make_request("expired", admitted, target_at=1.0, refused=refused)
    limiter.try_acquire(1, 0.3)
    limiter.enqueue(expired, 0.3)
    limiter.expire(expired)
    limiter.expire(expired)
    assert refused == ["late", "expired"]


def test_request_held_by_a_start_waits_behind_the_others():
    """Guards against refusing all callers that waited for the routes after a start."""
    limiter, admitted = ConcurrencyLimiter(FIXED_LIMIT), []
    limiter.try_acquire(1, 5.0)
    for name, target_at in (("held", 4.0), ("new", 6.0)):
        assert limiter.enqueue(_make_request(name, admitted, 1, target_at), 5.0) is None
    _end(limiter, now=5.1)
    _end(limiter, now=5.2)
    assert admitted == ["new", "held"]


def test_late_answers_lower_the_limit_and_answers_in_time_raise_it():
    """Guards against a constant that fits neither slow nor fast servers."""
    limiter = ConcurrencyLimiter((1.0, 8.0))
    for step in range(40):
        limiter.try_acquire(1, step)
        limiter.release(1, float(step), 0.5, False)
    assert limiter.limit == 1.0
    for step in range(40, 600):
        limiter.try_acquire(1, step)
        limiter.release(1, float(step), 0.1, True)
    assert limiter.limit == 8.0


def test_answers_that_are_late_together_lower_the_limit_once():
    """Guards against a single pause of a server that closes the host."""
    limiter = ConcurrencyLimiter((1.0, 8.0))
    for _ in range(8):
        limiter.try_acquire(1, 1.0)
    for _ in range(8):
        limiter.release(1, 1.2, 0.5, False)
    assert limiter.limit > 6.0


def test_less_urgent_late_answers_do_not_lower_the_limit():
    """Guards against a short target of a less urgent kind that slows the others."""
    limiter = ConcurrencyLimiter((1.0, 8.0))
    for step in range(10):
        limiter.try_acquire(1, step)
        limiter.try_acquire(2, step)
        limiter.release(2, float(step), 0.5, False)
        limiter.release(1, float(step), 0.1, True)
    assert limiter.limit == 8.0


@pytest.mark.parametrize("hosts", [0, 1, 10, 77, 200])
def test_hosts_together_may_always_use_every_slot(hosts):
    """Guards against refusing a request that a free server could run."""
    lower, upper = concurrency_limits(slots=9, hosts=hosts)
    assert math.ceil(lower) * max(1, hosts) >= 9
    assert lower <= upper


_STEPS = st.lists(
    st.tuples(
        st.sampled_from(["arrive", "end", "leave"]),
        st.integers(0, 2),
        st.booleans(),
        st.floats(0.0, 0.2),
    ),
    max_size=80,
)


@given(_STEPS)
def test_each_request_is_admitted_refused_or_withdrawn_once(steps):
    """Guards against a request that is forgotten, or whose capacity leaks."""
    limiter, now = ConcurrencyLimiter((1.0, 3.0)), 0.0
    in_flight: list[int] = []
    waiting: dict[int, WaitingRequest] = {}
    settled: list[int] = []

    def settle(number: int, admitted: bool) -> Callable[[], bool]:
        def callback() -> bool:
            settled.append(number)
            del waiting[number]
            if admitted:
                in_flight.append(number)
            return True

        return callback

    for number, (action, rank, in_time, delay_s) in enumerate(steps):
        now += delay_s
        if action == "arrive":
            if limiter.try_acquire(rank, now):
                in_flight.append(number)
                continue
            request = WaitingRequest(
                rank,
                now + 0.2,
                now + 1.0,
                in_time,
                settle(number, True),
                settle(number, False),
            )
            if limiter.enqueue(request, now) is None:
                waiting[number] = request
        elif action == "end" and in_flight:
            in_flight.pop()
            limiter.release(rank, now, delay_s, in_time)
        elif action == "leave" and waiting:
            limiter.withdraw(waiting.pop(min(waiting)))
        assert len(in_flight) <= 3
    while in_flight:
        in_flight.pop()
        now += 0.01
        limiter.release(1, now, 0.01, True)
    assert not waiting
    assert len(settled) == len(set(settled))
    assert limiter.try_acquire(1, now)
