"""Token bucket for extra sub-requests.

Every first sub-request adds a fraction of a token and every extra one takes a whole
token, so extra load stays within that fraction whatever the delays are.

A minimum refill rate adds tokens where traffic is too low for the fraction to add any
worth mentioning.
"""

import asyncio

__all__ = ["Budget"]


class Budget:
    """Limit on extra sub-requests as a fraction of the first ones.

    Parameters
    ----------
    share : float
        Tokens added per first sub-request.
    burst : float
        Greatest number of tokens.
    start : float
        Initial number of tokens.
    floor_per_s : float
        Tokens added per second whatever the traffic, unless the fraction is 0.
    """

    __slots__ = ("_burst", "_filled_at", "_floor_per_s", "_share", "tokens")

    def __init__(
        self, share: float, burst: float, start: float, floor_per_s: float = 0.0
    ) -> None:
        self._share = share
        self._burst = burst
        self._floor_per_s = floor_per_s if share > 0 else 0.0
        self._filled_at: float | None = None
        self.tokens = start if share > 0 else 0.0

    def widen(self, burst: float) -> None:
        """Raise the capacity and add as many tokens."""
        if burst > self._burst:
            self.tokens += burst - self._burst
            self._burst = burst

    def earn(self) -> None:
        """Add the fraction of a token for one first sub-request."""
        tokens = self.tokens + self._share
        self.tokens = tokens if tokens < self._burst else self._burst

    def available(self) -> bool:
        """Return whether there is a whole token."""
        if self._floor_per_s > 0:
            self._fill()
        return self.tokens >= 1.0

    def spend(self) -> bool:
        """Take a token if there is one, and return whether there was."""
        if not self.available():
            return False
        self.tokens -= 1.0
        return True

    def credit(self, tokens: float = 1.0) -> None:
        """Add tokens, by default one, for an attempt that was not sent."""
        self.tokens = min(self._burst, self.tokens + tokens)

    def _fill(self) -> None:
        now = asyncio.get_running_loop().time()
        if self._filled_at is not None:
            self.credit((now - self._filled_at) * self._floor_per_s)
        self._filled_at = now
