"""Counters and state-change logs, without the libraries of traces.

Hosts that only count and log start faster and smaller without the tracing and
logging libraries, so eliot and statsd are imported on first use.
"""

from collections import Counter
from collections.abc import Callable
from typing import Any

__all__ = ["Metrics", "send_state_changes_to", "state_change"]

PREFIX = "kingcuplug"

StateSink = Callable[[str, str, dict[str, Any]], None]


class Metrics:
    """Counters and timers, kept in memory and sent to statsd if configured.

    Parameters
    ----------
    address : str, optional
        ``ip:port`` of the statsd server; without it nothing is sent.
    """

    def __init__(self, address: str | None = None) -> None:
        self.counts: Counter[str] = Counter()
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

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        if self._client is not None:
            self._client.gauge(name, value)

    def time(self, name: str, duration_ms: float) -> None:
        """Record a duration in milliseconds."""
        if self._client is not None:
            self._client.timing(name, duration_ms)


def _to_eliot(subject: str, state: str, fields: dict[str, Any]) -> None:
    import eliot

    eliot.log_message(f"{PREFIX}:{subject}", state=state, **fields)


_sink: StateSink = _to_eliot


def send_state_changes_to(sink: StateSink) -> None:
    """Give state changes to `sink` in place of eliot."""
    global _sink
    _sink = sink


def state_change(subject: str, state: str, **fields: Any) -> None:
    """Log that a subject (a replica, a session, a listener) changed its state."""
    _sink(subject, state, fields)
