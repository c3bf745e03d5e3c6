"""Counters and state-change logs, without the libraries of traces.

Hosts that only count and log start faster and smaller without the tracing and
logging libraries, so eliot and statsd are imported on first use.
"""

from collections import Counter
from collections.abc import Callable
from math import frexp
from typing import Any

__all__ = ["Histogram", "Metrics", "send_state_changes_to", "state_change"]

PREFIX = "kingcuplug"

StateChangeSink = Callable[[str, str, dict[str, Any]], None]


# Beyond so many combinations of labels, durations are counted together.
_MAX_LABEL_SETS = 512
_OTHER_LABEL = "other"
# Upper bounds of buckets: powers of two from 1/1024 s to 64 s.
_MIN_EXPONENT = -10
_BUCKET_COUNT = 17
_CLOCK_RESOLUTION_S = 1e-6  # Resolution of the clock; shorter durations count as this.


class Histogram:
    """Durations in buckets whose bounds double.

    Attributes
    ----------
    counts : list of int
        By bucket; the last one takes everything above its bound.
    """

    BOUNDS_S = tuple(2.0 ** (_MIN_EXPONENT + i) for i in range(_BUCKET_COUNT))

    def __init__(self) -> None:
        self.counts = [0] * (_BUCKET_COUNT + 1)
        self.sum_s = 0.0

    def record(self, duration_s: float) -> None:
        """Count one duration."""
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
            import statsd

            host, _, port = address.rpartition(":")
            self._client = statsd.StatsClient(host, int(port), prefix=PREFIX)

    def count(self, name: str, value: int = 1) -> None:
        """Add `value` to a counter."""
        self.counts[name] += value
        if self._client is not None:
            self._client.incr(name, value)

    def observe(self, name: str, labels: tuple[str, ...], duration_s: float) -> None:
        """Record a duration in a histogram in memory.

        Parameters
        ----------
        labels : tuple of str
            From small sets: never an id of a request or a server.
        """
        by_labels = self.durations.setdefault(name, {})
        histogram = by_labels.get(labels)
        if histogram is None:
            if len(by_labels) >= _MAX_LABEL_SETS:
                labels = (_OTHER_LABEL,) * len(labels)
            histogram = by_labels.setdefault(labels, Histogram())
        histogram.record(duration_s)

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        if self._client is not None:
            self._client.gauge(name, value)

    def send_timing(self, name: str, duration_ms: float) -> None:
        """Record a duration in milliseconds."""
        if self._client is not None:
            self._client.timing(name, duration_ms)


def _log_with_eliot(subject: str, state: str, fields: dict[str, Any]) -> None:
    import eliot

    eliot.log_message(f"{PREFIX}:{subject}", state=state, **fields)


_sink: StateChangeSink = _log_with_eliot


def send_state_changes_to(sink: StateChangeSink) -> None:
    """Give state changes to `sink` in place of eliot."""
    global _sink
    _sink = sink


def state_change(subject: str, state: str, **fields: Any) -> None:
    """Log that a subject (a replica, a session, a listener) changed its state."""
    _sink(subject, state, fields)
