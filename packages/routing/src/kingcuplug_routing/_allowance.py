"""The share of one host in the retries that a service bears.

Answers this load pattern: servers shed or fail, and every host sends everything
again at once, so that the load doubles when there is least room. All hosts together
may add a share of the requests and a fixed number in each window; each host keeps
to its own requests' share and to its part of the fixed number. The balancer spreads
callers unevenly, so the parts of the fixed number follow the requests that each host
has: with equal parts busy hosts lack what idle ones never use. Second attempts that
only save time leave a rest for those that replace a failed one.
"""

import random as random_module
from dataclasses import dataclass

__all__ = ["AllowanceSettings", "RetryAllowance", "WindowCount", "fixed_part"]

_BUCKETS = 10
# A host whose callers have just come, or whose requests are not counted elsewhere yet,
# keeps this share of an even part; a host takes at most so many even parts, as the
# count of all requests lags.
_LEAST_EVEN_PARTS = 0.25
_MOST_EVEN_PARTS = 6.0
# Hosts count windows at their own offsets, and requests may be counted later by
# the servers than here; the margin keeps the sum within the bound.
_SAFE_SHARE = 0.8
_HEDGE_SHARE = 0.9


@dataclass(frozen=True, slots=True)
class AllowanceSettings:
    """What all hosts together may add to a service's load.

    Attributes
    ----------
    ratio : float
        Additional attempts as a share of the requests in a window.
    fixed : int
        Additional attempts in a window beyond that share.
    window_s : float
        Length of the window.
    """

    ratio: float = 0.2
    fixed: int = 60
    window_s: float = 10.0


class WindowCount:
    """Counts events in a sliding window.

    Parameters
    ----------
    window_s : float
        Events count for this long, and up to a tenth of it longer.
    """

    def __init__(self, window_s: float) -> None:
        self._width_s = window_s / _BUCKETS
        self._bucket = 0
        self._counts = [0] * (_BUCKETS + 1)

    def add(self, now: float, count: int = 1) -> None:
        """Count events that happen now."""
        self._advance(now)
        self._counts[self._bucket % len(self._counts)] += count

    def total(self, now: float) -> int:
        """Return the number of events in the window."""
        self._advance(now)
        return sum(self._counts)

    def _advance(self, now: float) -> None:
        bucket = int(now / self._width_s)
        size = len(self._counts)
        for passed in range(max(self._bucket + 1, bucket - size + 1), bucket + 1):
            self._counts[passed % size] = 0
        self._bucket = max(self._bucket, bucket)


def fixed_part(own: int, total: int, hosts: int) -> float:
    """Return a host's part of what all hosts together have, between 0 and 1.

    Parameters
    ----------
    own, total : int
        Requests of this host and of all hosts in the last window; a total of 0 is
        unknown and makes the parts equal.
    hosts : int
        Live hosts; 0 if unknown.
    """
    if hosts <= 0:
        return 0.0
    if total <= 0:
        return 1 / hosts
    part = max(own / total, _LEAST_EVEN_PARTS / hosts)
    return min(part, _MOST_EVEN_PARTS / hosts, 1.0)


class RetryAllowance:
    """Counts requests and additional attempts of one service in a sliding window.

    Parameters
    ----------
    share : float
        Share of the common bound from which this one is taken. Where hosts gather
        for others, both the gatherer and the host that asks count a request.
    random : Random
        Rounds what a host may add, which is often less than one attempt, up at some
        hosts and down at others, so that the sum over all hosts stays the same.
    """

    def __init__(
        self,
        settings: AllowanceSettings,
        random: random_module.Random,
        share: float = 1.0,
    ) -> None:
        self._settings = settings
        self._share = share
        self._rounding = random.random()
        self._requests = WindowCount(settings.window_s)
        self._extra = WindowCount(settings.window_s)

    def request(self, now: float) -> None:
        """Count a request for the service."""
        self._requests.add(now)

    def take(self, now: float, part: float, hedge: bool) -> bool:
        """Return whether one more attempt may be sent, and count it if so.

        Parameters
        ----------
        part : float
            This host's part of the fixed number, see `fixed_part`.
        hedge : bool
            Whether the attempt only saves time.
        """
        settings = self._settings
        allowed = self._requests.total(now) * settings.ratio + settings.fixed * part
        allowed *= self._share * _SAFE_SHARE * (_HEDGE_SHARE if hedge else 1.0)
        if self._extra.total(now) + 1 > allowed + self._rounding:
            return False
        self._extra.add(now)
        return True
