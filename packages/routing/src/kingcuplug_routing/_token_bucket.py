"""Token bucket for extra sub-requests.

Every first sub-request adds a fraction of a token and every extra one takes a whole
token, so extra load stays within that fraction whatever the delays are.

A minimum refill rate adds tokens where traffic is too low for the fraction to add any
worth mentioning.
"""

import asyncio

__all__ = ["TokenBucket"]


class TokenBucket:
    """Limit on extra sub-requests as a fraction of the first ones.

    Parameters
    ----------
    tokens_per_request : float
        Tokens added per first sub-request.
    capacity : float
        Greatest number of tokens.
    initial_tokens : float
        Initial number of tokens.
    min_refill_per_s : float
        Tokens added per second whatever the traffic, unless the fraction is 0.
    """

    __slots__ = (
        "_capacity",
        "_min_refill_per_s",
        "_refilled_at",
        "_tokens_per_request",
        "tokens",
    )

    def __init__(
        self,
        tokens_per_request: float,
        capacity: float,
        initial_tokens: float,
        min_refill_per_s: float = 0.0,
    ) -> None:
        self._tokens_per_request = tokens_per_request
        self._capacity = capacity
        self._min_refill_per_s = min_refill_per_s if tokens_per_request > 0 else 0.0
        self._refilled_at: float | None = None
        self.tokens = initial_tokens if tokens_per_request > 0 else 0.0

    def raise_capacity(self, capacity: float) -> None:
        """Raise the capacity and add as many tokens."""
        if capacity > self._capacity:
            self.tokens += capacity - self._capacity
            self._capacity = capacity

    def add_for_request(self) -> None:
        """Add the fraction of a token for one first sub-request."""
        tokens = self.tokens + self._tokens_per_request
        self.tokens = tokens if tokens < self._capacity else self._capacity

    def has_token(self) -> bool:
        """Return whether there is a whole token."""
        if self._min_refill_per_s > 0:
            self._refill()
        return self.tokens >= 1.0

    def try_acquire(self) -> bool:
        """Take a token if there is one, and return whether there was."""
        if not self.has_token():
            return False
        self.tokens -= 1.0
        return True

    def add_tokens(self, tokens: float = 1.0) -> None:
        """Add tokens, by default one, for an attempt that was not sent."""
        self.tokens = min(self._capacity, self.tokens + tokens)

    def _refill(self) -> None:
        now = asyncio.get_running_loop().time()
        if self._refilled_at is not None:
            self.add_tokens((now - self._refilled_at) * self._min_refill_per_s)
        self._refilled_at = now
