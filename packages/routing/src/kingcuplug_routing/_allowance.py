"""The share of one host in the retries that a service bears.

Answers this load pattern: servers shed or fail, and every host sends everything
again at once, so that the load doubles when there is least room. All hosts together
may add a share of the requests and a fixed number in each window; each host keeps
to its own requests' share and to its part of the fixed number. Second attempts that
only save time leave a rest for those that replace a failed one.
"""

from dataclasses import dataclass

__all__ = ["AllowanceSettings", "RetryAllowance"]

_BUCKETS = 10
# Hosts count windows at their own offsets, and requests may be counted later by
# the servers than here; the margin keeps the sum within the bound.
_SAFE_SHARE = 0.8
_HEDGE_SHARE = 0.8


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


class RetryAllowance:
    """Counts requests and additional attempts of one service in a sliding window."""

    def __init__(self, settings: AllowanceSettings) -> None:
        self._settings = settings
        self._width_s = settings.window_s / _BUCKETS
        self._bucket = 0
        self._requests = [0] * (_BUCKETS + 1)
        self._extra = [0] * (_BUCKETS + 1)

    def request(self, now: float) -> None:
        """Count a request for the service."""
        self._advance(now)
        self._requests[self._bucket % len(self._requests)] += 1

    def take(self, now: float, hosts: int, hedge: bool) -> bool:
        """Return whether one more attempt may be sent, and count it if so.

        Parameters
        ----------
        hosts : int
            Live hosts that share the fixed number; 0 if unknown.
        hedge : bool
            Whether the attempt only saves time.
        """
        self._advance(now)
        settings = self._settings
        allowed = sum(self._requests) * settings.ratio
        if hosts > 0:
            allowed += settings.fixed / hosts
        allowed *= _SAFE_SHARE * (_HEDGE_SHARE if hedge else 1.0)
        if sum(self._extra) + 1 > allowed:
            return False
        self._extra[self._bucket % len(self._extra)] += 1
        return True

    def _advance(self, now: float) -> None:
        bucket = int(now / self._width_s)
        size = len(self._requests)
        for passed in range(max(self._bucket + 1, bucket - size + 1), bucket + 1):
            self._requests[passed % size] = self._extra[passed % size] = 0
        self._bucket = max(self._bucket, bucket)
