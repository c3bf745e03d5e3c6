"""Replays of bursts against the number of requests that a host sends at once."""

from kingcuplug_routing import Turnstile, places


def _enter(
    turnstile: Turnstile, limit: int, rank: int, name: str, log: list[str]
) -> None:
    if turnstile.enter(limit):
        log.append(name)
        return

    def admit() -> bool:
        log.append(name)
        return True

    turnstile.wait(rank, admit)


def test_burst_after_a_start_does_not_overflow_the_servers_queues():
    """Guards against a hundred queries that reach a shard in the same millisecond.

    Ten hosts, three servers with three slots and room for 18 more each.
    """
    limit = places(slots=9, hosts=10)
    inside = 0
    for _ in range(10):
        turnstile, log = Turnstile(), []
        for number in range(12):
            _enter(turnstile, limit, 1, str(number), log)
        inside += len(log)
    assert inside <= 9 + 3 * 18


def test_urgent_requests_go_first_and_equals_in_order():
    """Guards against an urgent request behind a queue of others."""
    turnstile, log = Turnstile(), []
    _enter(turnstile, 1, 2, "first", log)
    for rank, name in ((2, "a"), (2, "b"), (0, "urgent"), (1, "c")):
        _enter(turnstile, 1, rank, name, log)
    for _ in range(4):
        turnstile.leave(1)
    assert log == ["first", "urgent", "c", "a", "b"]


def test_request_whose_caller_left_takes_no_place():
    """Guards against places lost to callers that are gone."""
    turnstile, log = Turnstile(), []
    _enter(turnstile, 1, 1, "first", log)
    turnstile.wait(0, lambda: False)
    _enter(turnstile, 1, 1, "second", log)
    turnstile.leave(1)
    assert log == ["first", "second"]
    turnstile.leave(1)
    assert turnstile.enter(1)
