"""Limit on the concurrent requests of a host under replayed bursts."""

from kingcuplug_routing import ConcurrencyLimiter, concurrency_limit


def _send_or_enqueue(
    limiter: ConcurrencyLimiter, limit: int, rank: int, name: str, admitted: list[str]
) -> None:
    if limiter.try_acquire(limit):
        admitted.append(name)
        return

    def admit() -> bool:
        admitted.append(name)
        return True

    limiter.enqueue(rank, admit)


def test_burst_after_a_restart_does_not_overflow_server_queues():
    """Guards against a hundred queries that reach a shard in the same millisecond.

    Ten hosts send to three servers with three slots and a queue of 18 requests each.
    """
    limit = concurrency_limit(slots=9, hosts=10)
    in_flight = 0
    for _ in range(10):
        limiter, admitted = ConcurrencyLimiter(), []
        for number in range(12):
            _send_or_enqueue(limiter, limit, 1, str(number), admitted)
        in_flight += len(admitted)
    assert in_flight <= 9 + 3 * 18


def test_requests_are_admitted_by_rank_and_then_by_arrival():
    """Guards against an urgent request that waits behind others."""
    limiter, admitted = ConcurrencyLimiter(), []
    _send_or_enqueue(limiter, 1, 2, "first", admitted)
    for rank, name in ((2, "a"), (2, "b"), (0, "urgent"), (1, "c")):
        _send_or_enqueue(limiter, 1, rank, name, admitted)
    for _ in range(4):
        limiter.release(1)
    assert admitted == ["first", "urgent", "c", "a", "b"]


def test_abandoned_request_takes_no_capacity():
    """Guards against capacity that leaks to requests of disconnected callers."""
    limiter, admitted = ConcurrencyLimiter(), []
    _send_or_enqueue(limiter, 1, 1, "first", admitted)
    limiter.enqueue(0, lambda: False)
    _send_or_enqueue(limiter, 1, 1, "second", admitted)
    limiter.release(1)
    assert admitted == ["first", "second"]
    limiter.release(1)
    assert limiter.try_acquire(1)
