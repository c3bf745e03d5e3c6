"""Retry budget of one host for one service.

Prevents retry storms: servers shed or fail, every host resends everything at once,
and the load doubles when capacity is lowest. All hosts together may add a ratio of
the requests plus a constant number of attempts in each window. Each host is limited to
the ratio of its own requests plus its share of the constant number. The load balancer
distributes callers unevenly, so that number is divided in proportion to each host's
requests: with equal shares, busy hosts lack what idle ones never use. Hedges may not
use the whole budget, so that some is left for retries of failed attempts.
"""

import random as random_module
from dataclasses import dataclass

__all__ = ["RetryBudget", "RetryBudgetSettings", "SlidingWindowCounter", "host_share"]

_BUCKET_COUNT = 10
_SETTLING_BUCKETS = 2
# Bounds of a host's share, in multiples of an even share. The minimum serves a host
# whose callers have just arrived or whose requests are not in the total yet; the
# maximum limits the error while the total of all requests lags.
_MIN_EVEN_SHARES = 0.25
_MAX_EVEN_SHARES = 6.0
# Hosts' windows start at different offsets, and servers may count a request later than
# the host does; the margin keeps the sum over all hosts within the bound.
_SAFETY_FACTOR = 0.8
_HEDGE_SHARE = 0.9


@dataclass(frozen=True, slots=True)
class RetryBudgetSettings:
    """Bound on the attempts that all hosts together may add to a service's load.

    Attributes
    ----------
    ratio : float
        Additional attempts as a share of the requests in a window.
    fixed_attempts : int
        Additional attempts in a window beyond that share.
    window_s : float
        Length of the window.
    """

    ratio: float = 0.2
    fixed_attempts: int = 60
    window_s: float = 10.0


class SlidingWindowCounter:
    """Counts events in a sliding window.

    Parameters
    ----------
    window_s : float
        Length of the window; events are counted for up to a tenth of it longer.
    """

    def __init__(self, window_s: float) -> None:
        self._width_s = window_s / _BUCKET_COUNT
        self._bucket = 0
        self._counts = [0] * (_BUCKET_COUNT + 1)

    def add(self, now: float, count: int = 1) -> None:
        """Count events at the current time."""
        self._advance(now)
        self._counts[self._bucket % len(self._counts)] += count

    def total(self, now: float) -> int:
        """Return the number of events in the window."""
        self._advance(now)
        return sum(self._counts)

    def settled_total(self, now: float) -> int:
        """Return the number without the newest events, which other hosts don't know.

        It leaves out between one and two tenths of the window.
        """
        total, size = self.total(now), len(self._counts)
        newest = range(self._bucket, self._bucket - _SETTLING_BUCKETS, -1)
        return total - sum(self._counts[bucket % size] for bucket in newest)

    def _advance(self, now: float) -> None:
        bucket = int(now / self._width_s)
        size = len(self._counts)
        for expired in range(max(self._bucket + 1, bucket - size + 1), bucket + 1):
            self._counts[expired % size] = 0
        self._bucket = max(self._bucket, bucket)


def host_share(own: int, total: int, hosts: int) -> float:
    """Return a host's share of what all hosts together may use, between 0 and 1.

    Parameters
    ----------
    own, total : int
        Requests of this host and of all hosts in the last window; a total of 0 means
        unknown and makes the shares equal.
    hosts : int
        Live hosts; 0 if unknown.
    """
    if hosts <= 0:
        return 0.0
    if total <= 0:
        return 1 / hosts
    own_share = max(own / total, _MIN_EVEN_SHARES / hosts)
    return min(own_share, _MAX_EVEN_SHARES / hosts, 1.0)


class RetryBudget:
    """Counts requests and additional attempts of one service in a sliding window.

    Parameters
    ----------
    share : float
        Share of the common bound that this budget may use. Where hosts gather for
        others, both the gatherer and the requesting host count a request.
    random : Random
        Source of the random rounding. A host's budget is often less than one attempt;
        rounding it up at some hosts and down at others keeps the sum over all hosts.
    """

    def __init__(
        self,
        settings: RetryBudgetSettings,
        random: random_module.Random,
        share: float = 1.0,
    ) -> None:
        self._settings = settings
        self._share = share
        self._rounding = random.random()
        self._requests = SlidingWindowCounter(settings.window_s)
        self._extra_attempts = SlidingWindowCounter(settings.window_s)

    def record_request(self, now: float) -> None:
        """Count a request for the service."""
        self._requests.add(now)

    def try_acquire(
        self, now: float, fixed_share: float, hedge: bool, extra_share: float = 0.0
    ) -> bool:
        """Return whether one more attempt may be sent, and count it if so.

        Parameters
        ----------
        fixed_share : float
            This host's share of the constant number, see `host_share`.
        hedge : bool
            Whether the attempt is a hedge, which replaces no failed attempt.
        extra_share : float
            Share of the common bound that others currently leave unused.
        """
        settings = self._settings
        allowed = (
            self._requests.total(now) * settings.ratio
            + settings.fixed_attempts * fixed_share
        )
        allowed *= (self._share + extra_share) * _SAFETY_FACTOR
        allowed *= _HEDGE_SHARE if hedge else 1.0
        if self._extra_attempts.total(now) + 1 > allowed + self._rounding:
            return False
        self._extra_attempts.add(now)
        return True
