"""Token bucket for extra sub-requests.

Every first sub-request earns a share of a token and every extra one spends a whole
token, so extra load stays within the share whatever the delays are.

A floor keeps some tokens coming where traffic is so low that the share earns next to
none.
"""

import asyncio

__all__ = ["Budget"]


class Budget:
    """Extra sub-requests as a share of the first ones.

    Parameters
    ----------
    share : float
        Tokens earned per first sub-request.
    burst : float
        Most tokens kept.
    start : float
        Tokens at the start.
    floor_per_s : float
        Tokens earned per second without any traffic, unless the share is 0.
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
        """Raise the burst and fill the tokens that it adds."""
        if burst > self._burst:
            self.tokens += burst - self._burst
            self._burst = burst

    def earn(self) -> None:
        """Add the share for one first sub-request."""
        tokens = self.tokens + self._share
        self.tokens = tokens if tokens < self._burst else self._burst

    def available(self) -> bool:
        """Return whether a whole token is there."""
        if self._floor_per_s > 0:
            self._fill()
        return self.tokens >= 1.0

    def spend(self) -> bool:
        """Take a token; return whether there was one."""
        if not self.available():
            return False
        self.tokens -= 1.0
        return True

    def credit(self, tokens: float = 1.0) -> None:
        """Give back tokens, one for an attempt that was not sent after all."""
        self.tokens = min(self._burst, self.tokens + tokens)

    def _fill(self) -> None:
        now = asyncio.get_running_loop().time()
        if self._filled_at is not None:
            self.credit((now - self._filled_at) * self._floor_per_s)
        self._filled_at = now
