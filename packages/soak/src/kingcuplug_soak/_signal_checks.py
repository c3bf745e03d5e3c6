"""Checks of what servers say of themselves, from what these servers see.

A server's statement binds the host to which it was made, a limit binds all hosts
together. The host of an arrival is the one that the caller asked, so the checks of
single hosts hold for requests that no other host gathers or relays.
"""

from bisect import bisect_left
from collections.abc import Sequence
from dataclasses import dataclass

__all__ = [
    "Arrival",
    "arrivals_after_leaving",
    "arrivals_while_pushed_back",
    "most_over_limit",
]

_LIMIT_WINDOW_S = 4.0
_LIMIT_RATIO = 1.5
_LIMIT_SLACK = 5
_STABILITY_WINDOW_S = 5.0
_DRAIN_S = 3.0
_PUSH_BACK_DELAY_S = 0.5


@dataclass(frozen=True, slots=True)
class Arrival:
    """A request that reached a server.

    Attributes
    ----------
    retry_after_s : float
        Time for which the answer asked the host for no requests; 0 if it did not.
    says_leaving : bool
        Whether the answer said that the server leaves.
    """

    at_s: float
    host: str
    retry_after_s: float = 0.0
    says_leaving: bool = False


def most_over_limit(
    arrivals: Sequence[Arrival], limit_per_s: float, limited_at_s: float
) -> float:
    """Return the most arrivals in a window, divided by the number that is allowed.

    Windows count from the time at which all hosts have heard of the limit.
    """
    from_s = limited_at_s + _STABILITY_WINDOW_S
    times_s = sorted(a.at_s for a in arrivals if a.at_s >= from_s)
    allowed = _LIMIT_RATIO * limit_per_s * _LIMIT_WINDOW_S + _LIMIT_SLACK
    counts = [
        bisect_left(times_s, start_s + _LIMIT_WINDOW_S) - index
        for index, start_s in enumerate(times_s)
    ]
    return max(counts, default=0) / allowed


def arrivals_after_leaving(arrivals: Sequence[Arrival]) -> int:
    """Return how many requests hosts sent after they were told of the leaving."""
    told_at_s: dict[str, float] = {}
    late = 0
    for arrival in sorted(arrivals, key=lambda a: a.at_s):
        if arrival.at_s > told_at_s.get(arrival.host, arrival.at_s) + _DRAIN_S:
            late += 1
        if arrival.says_leaving:
            told_at_s.setdefault(arrival.host, arrival.at_s)
    return late


def arrivals_while_pushed_back(arrivals: Sequence[Arrival]) -> int:
    """Return the most requests of one host in the time for which it was told off."""
    most = 0
    for told in arrivals:
        if told.retry_after_s:
            from_s = told.at_s + _PUSH_BACK_DELAY_S
            until_s = told.at_s + told.retry_after_s
            count = sum(
                a.host == told.host and from_s < a.at_s < until_s for a in arrivals
            )
            most = max(most, count)
    return most
