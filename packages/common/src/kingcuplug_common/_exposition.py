"""Metrics in the Prometheus text format.

prometheus_client is imported on first use, so that a host that is never scraped does
not load it.
"""

from collections.abc import Iterable, Mapping
from typing import TYPE_CHECKING, Any

from kingcuplug_common._metrics import Histogram, Metrics

if TYPE_CHECKING:
    from prometheus_client.core import Metric

__all__ = ["render_metrics"]

_LABELS = {
    "request": ("rank", "outcome"),
    "attempt": ("service", "outcome"),
    "cost_error": ("side",),
}


def render_metrics(metrics: Metrics, gauges: Mapping[str, float]) -> bytes:
    """Return all metrics in the Prometheus text format.

    Parameters
    ----------
    gauges : mapping
        Current values, by name.
    """
    from prometheus_client import CollectorRegistry, generate_latest

    registry = CollectorRegistry(auto_describe=False)
    registry.register(_Collector(metrics, gauges))
    return generate_latest(registry)


class _Collector:
    """Collector in the sense of prometheus_client."""

    def __init__(self, metrics: Metrics, gauges: Mapping[str, float]) -> None:
        self._metrics = metrics
        self._gauges = gauges

    def collect(self) -> "Iterable[Metric]":
        """Yield the metric families."""
        from prometheus_client.core import (
            CounterMetricFamily,
            GaugeMetricFamily,
            HistogramMetricFamily,
        )

        events = CounterMetricFamily(
            "kingcuplug_events", "Events by name", labels=["event"]
        )
        for name, count in self._metrics.counts.items():
            events.add_metric([name], count)
        yield events
        for name, value in self._gauges.items():
            yield GaugeMetricFamily(f"kingcuplug_{name}", name, value)
        for name, by_labels in self._metrics.durations.items():
            family = HistogramMetricFamily(
                f"kingcuplug_{name}_seconds",
                f"Durations of {name}s",
                labels=_LABELS[name],
            )
            for labels, histogram in by_labels.items():
                family.add_metric(
                    labels, _cumulative_buckets(histogram), histogram.sum_s
                )
            yield family


def _cumulative_buckets(histogram: Histogram) -> list[Any]:
    cumulative_count, buckets = 0, []
    bounds = [*map(str, Histogram.BOUNDS_S), "+Inf"]
    for bound, count in zip(bounds, histogram.counts, strict=True):
        cumulative_count += count
        buckets.append((bound, cumulative_count))
    return buckets
