"""Checks of what servers say of themselves, from what these servers see.

A statement binds the host to which it was made. The host of an arrival is the one that
the caller asked, so the checks hold for requests that no other host gathers or relays.
"""

from collections.abc import Sequence
from dataclasses import dataclass

__all__ = [
    "Arrival",
    "arrivals_after_leaving",
    "arrivals_while_pushed_back",
]

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
