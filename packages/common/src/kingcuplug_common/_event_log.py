"""Structured log lines on standard output, bounded in volume and never blocking.

One JSON object per line. A stalled reader must not block the host: lines wait in a
bounded buffer, and are dropped and counted when it is full. Each kind of line has its
own rate limit, so that a flood of one kind neither crowds out the others nor costs
processor time; lines over the limit are counted in ``suppressed``.
"""

import asyncio
import contextlib
import os
import time
from collections import deque
from typing import Any

import orjson

__all__ = ["EventLog"]

# A burst of failures is logged in full; beyond it a sample is enough.
BURST_LINES = 40
LINES_PER_S = 20.0
FLUSH_INTERVAL_S = 0.25
BUFFER_BYTES = 262_144  # Small against the memory of the smallest host.
MAX_WRITE_BYTES = 65_536  # Default capacity of a Linux pipe.
_US_PER_S = 1_000_000


class _TokenBucket:
    """Token bucket that limits the lines of one kind, and counts suppressed ones."""

    __slots__ = ("refilled_at", "suppressed", "tokens")

    def __init__(self, now: float) -> None:
        self.tokens = float(BURST_LINES)
        self.refilled_at = now
        self.suppressed = 0

    def try_acquire(self, now: float) -> bool:
        added_tokens = (now - self.refilled_at) * LINES_PER_S
        self.refilled_at = now
        self.tokens = min(BURST_LINES, self.tokens + added_tokens)
        if self.tokens < 1:
            self.suppressed += 1
            return False
        self.tokens -= 1
        return True


class EventLog:
    """Writes events to a file descriptor.

    Parameters
    ----------
    descriptor : int
        Destination of the lines; set to non-blocking.
    host : str
        Name of the host, part of each line; empty until the settings are known.

    Attributes
    ----------
    host : str
        Name of the host in the lines that follow.
    dropped : int
        Lines lost because the reader was too slow.
    """

    def __init__(self, descriptor: int, host: str) -> None:
        self._descriptor = descriptor
        self.host = host
        self._buckets: dict[str, _TokenBucket] = {}
        self._queued_lines: deque[bytes] = deque()
        self._buffered_bytes = 0
        self._unwritten = b""
        self.dropped = 0
        with contextlib.suppress(OSError):
            os.set_blocking(descriptor, False)

    def try_acquire(self, kind: str) -> bool:
        """Take a token for one line of this kind and return whether there was one.

        For callers that build the fields of a line only if it will be written; they
        then pass `bypass_rate_limit` to `write`.
        """
        return self._bucket(kind).try_acquire(time.monotonic())

    def write(
        self, kind: str, fields: dict[str, Any], bypass_rate_limit: bool = False
    ) -> None:
        """Queue one line, unless its kind exceeds its rate limit.

        Parameters
        ----------
        bypass_rate_limit : bool
            Skips the rate limit, for rare events such as start and stop.
        """
        now = time.monotonic()
        bucket = self._bucket(kind)
        if not bypass_rate_limit and not bucket.try_acquire(now):
            return
        line = {
            "event": kind,
            "host": self.host,
            "time_us": int(time.time() * _US_PER_S),
            "monotonic_us": int(now * _US_PER_S),
            **fields,
        }
        if bucket.suppressed:
            line["suppressed"], bucket.suppressed = bucket.suppressed, 0
        if self.dropped:
            line["dropped"] = self.dropped
        data = orjson.dumps(line, default=str, option=orjson.OPT_APPEND_NEWLINE)
        if self._buffered_bytes + len(data) > BUFFER_BYTES:
            self.dropped += 1
            return
        self._queued_lines.append(data)
        self._buffered_bytes += len(data)

    def _bucket(self, kind: str) -> _TokenBucket:
        bucket = self._buckets.get(kind)
        if bucket is None:
            bucket = self._buckets[kind] = _TokenBucket(time.monotonic())
        return bucket

    def flush(self) -> None:
        """Write as many queued lines as the descriptor accepts without blocking."""
        while self._unwritten or self._queued_lines:
            while self._queued_lines and len(self._unwritten) < MAX_WRITE_BYTES:
                self._unwritten += self._queued_lines.popleft()
            try:
                written = os.write(self._descriptor, self._unwritten)
            except OSError:  # The reader is stalled or has closed the pipe.
                return
            self._unwritten = self._unwritten[written:]
            self._buffered_bytes -= written

    async def run(self) -> None:
        """Flush periodically until cancelled."""
        while True:
            await asyncio.sleep(FLUSH_INTERVAL_S)
            self.flush()
