"""Structured log lines on standard output, bounded in volume and never blocking.

One JSON object per line. A reader that stalls must not stop the host: lines wait in
a bounded buffer and are dropped and counted when it is full. Each kind of line has
its own rate, so that a flood of one kind neither hides the others nor costs
processor time; lines that were held back are counted in `suppressed`.
"""

import asyncio
import contextlib
import os
import time
from collections import deque
from typing import Any

import orjson

__all__ = ["EventLog"]

# A burst of failures should stay readable as a whole; beyond it samples suffice.
BURST_LINES = 40
LINES_PER_S = 20.0
FLUSH_INTERVAL_S = 0.25
BUFFER_BYTES = 262_144  # A fraction of the smallest host's memory.
MAX_WRITE_BYTES = 65_536  # Capacity of a pipe.
_US_PER_S = 1_000_000


class _TokenBucket:
    __slots__ = ("refilled_at", "suppressed", "tokens")

    def __init__(self, now: float) -> None:
        self.tokens = float(BURST_LINES)
        self.refilled_at = now
        self.suppressed = 0

    def try_acquire(self, now: float) -> bool:
        gained = (now - self.refilled_at) * LINES_PER_S
        self.refilled_at = now
        self.tokens = min(BURST_LINES, self.tokens + gained)
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
        Where lines go; made non-blocking.
    host : str
        Name of the host, part of each line.

    Attributes
    ----------
    dropped : int
        Lines lost because the reader was too slow.
    """

    def __init__(self, descriptor: int, host: str) -> None:
        self._descriptor = descriptor
        self._host = host
        self._buckets: dict[str, _TokenBucket] = {}
        self._queued_lines: deque[bytes] = deque()
        self._buffered_bytes = 0
        self._unwritten = b""
        self.dropped = 0
        with contextlib.suppress(OSError):
            os.set_blocking(descriptor, False)

    def admits(self, kind: str) -> bool:
        """Return whether a line of this kind is within its rate, and count it.

        Spares building the fields of a line that would not be written; the line is
        then written with `always`.
        """
        return self._bucket(kind).try_acquire(time.monotonic())

    def write(self, kind: str, fields: dict[str, Any], always: bool = False) -> None:
        """Queue one line, unless its kind exceeds its rate.

        Parameters
        ----------
        always : bool
            Skips the rate, for rare events such as start and stop.
        """
        now = time.monotonic()
        rate = self._bucket(kind)
        if not always and not rate.try_acquire(now):
            return
        line = {
            "event": kind,
            "host": self._host,
            "time_us": int(time.time() * _US_PER_S),
            "monotonic_us": int(now * _US_PER_S),
            **fields,
        }
        if rate.suppressed:
            line["suppressed"], rate.suppressed = rate.suppressed, 0
        if self.dropped:
            line["dropped"] = self.dropped
        data = orjson.dumps(line, default=str, option=orjson.OPT_APPEND_NEWLINE)
        if self._buffered_bytes + len(data) > BUFFER_BYTES:
            self.dropped += 1
            return
        self._queued_lines.append(data)
        self._buffered_bytes += len(data)

    def _bucket(self, kind: str) -> _TokenBucket:
        rate = self._buckets.get(kind)
        if rate is None:
            rate = self._buckets[kind] = _TokenBucket(time.monotonic())
        return rate

    def flush(self) -> None:
        """Write what the descriptor takes without blocking."""
        while self._unwritten or self._queued_lines:
            while self._queued_lines and len(self._unwritten) < MAX_WRITE_BYTES:
                self._unwritten += self._queued_lines.popleft()
            try:
                written = os.write(self._descriptor, self._unwritten)
            except OSError:  # The reader is slow or gone; lines wait or are dropped.
                return
            self._unwritten = self._unwritten[written:]
            self._buffered_bytes -= written

    async def run(self) -> None:
        """Flush at intervals for ever."""
        while True:
            await asyncio.sleep(FLUSH_INTERVAL_S)
            self.flush()
