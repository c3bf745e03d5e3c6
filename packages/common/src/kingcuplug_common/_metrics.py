"""Counters, histograms and state-change logs.

eliot and statsd are imported on first use: hosts that need neither start faster and
use less memory.
"""

from collections import Counter
from collections.abc import Callable
from math import frexp
from typing import Any

__all__ = ["Histogram", "Metrics", "log_state_change", "set_state_change_sink"]

PREFIX = "kingcuplug"

StateChangeSink = Callable[[str, str, dict[str, Any]], None]


# Label sets beyond this number share one histogram, to bound memory.
_MAX_LABEL_SETS = 512
_OTHER_LABEL = "other"
# Upper bounds of buckets: powers of two from 1/1024 s to 64 s.
_MIN_EXPONENT = -10
_BUCKET_COUNT = 17
_CLOCK_RESOLUTION_S = 1e-6  # Shorter durations are recorded as this.


class Histogram:
    """Histogram of durations; each bucket's bound is twice the one before.

    Attributes
    ----------
    counts : list of int
        Counts by bucket; the last one holds all durations above the greatest bound.
    """

    BOUNDS_S = tuple(2.0 ** (_MIN_EXPONENT + i) for i in range(_BUCKET_COUNT))

    def __init__(self) -> None:
        self.counts = [0] * (_BUCKET_COUNT + 1)
        self.sum_s = 0.0

    def record(self, duration_s: float) -> None:
        """Add one duration."""
        mantissa, exponent = frexp(max(duration_s, _CLOCK_RESOLUTION_S))
        if mantissa == 0.5:
            exponent -= 1
        bucket = min(max(exponent - _MIN_EXPONENT, 0), _BUCKET_COUNT)
        self.counts[bucket] += 1
        self.sum_s += duration_s


class Metrics:
    """Counters and timers, kept in memory and sent to statsd if configured.

    Parameters
    ----------
    address : str, optional
        ``ip:port`` of the statsd server; without it nothing is sent.
    """

    def __init__(self, address: str | None = None) -> None:
        self.counts: Counter[str] = Counter()
        self.durations: dict[str, dict[tuple[str, ...], Histogram]] = {}
        self._client: Any = None
        if address is not None:
            try:
                self._client = _open_statsd(address)
            except OSError as error:
                # Nothing of a host depends on statsd; the counters remain in memory.
                log_state_change("statsd", "unavailable", why=str(error))

    def count(self, name: str, value: int = 1) -> None:
        """Add `value` to a counter."""
        self.counts[name] += value
        if self._client is not None:
            self._client.incr(name, value)

    def observe(self, name: str, labels: tuple[str, ...], duration_s: float) -> None:
        """Record a duration in the histogram of its labels.

        Parameters
        ----------
        labels : tuple of str
            Label values from small sets; never ids of requests or servers.
        """
        by_labels = self.durations.setdefault(name, {})
        histogram = by_labels.get(labels)
        if histogram is None:
            if len(by_labels) >= _MAX_LABEL_SETS:
                labels = (_OTHER_LABEL,) * len(labels)
            histogram = by_labels.setdefault(labels, Histogram())
        histogram.record(duration_s)

    def gauge(self, name: str, value: float) -> None:
        """Send the value of a gauge to statsd."""
        if self._client is not None:
            self._client.gauge(name, value)

    def send_timing(self, name: str, duration_ms: float) -> None:
        """Send a duration in milliseconds to statsd."""
        if self._client is not None:
            self._client.timing(name, duration_ms)


def _open_statsd(address: str) -> Any:
    import statsd

    host, _, port = address.rpartition(":")
    host = host.strip("[]")
    return statsd.StatsClient(host, int(port), prefix=PREFIX, ipv6=":" in host)


def _log_with_eliot(subject: str, state: str, fields: dict[str, Any]) -> None:
    import eliot

    eliot.log_message(f"{PREFIX}:{subject}", state=state, **fields)


_sink: StateChangeSink = _log_with_eliot


def set_state_change_sink(sink: StateChangeSink) -> None:
    """Send state changes to `sink` instead of eliot."""
    global _sink
    _sink = sink


def log_state_change(subject: str, state: str, **fields: Any) -> None:
    """Log that a subject (a replica, a session, a listener) changed its state."""
    _sink(subject, state, fields)
