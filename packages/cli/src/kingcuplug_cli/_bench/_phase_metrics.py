"""Metrics of one policy in one phase, summed over rounds."""

import dataclasses
from collections import Counter
from collections.abc import Iterable
from typing import Any

from hdrh.histogram import HdrHistogram

from kingcuplug_cli._bench._ground_truth import GroundTruth, shard_values
from kingcuplug_cli._bench._load_generator import Sample

__all__ = ["PhaseMetrics"]

_MIN_LATENCY_US = 1
_MAX_LATENCY_US = 60_000_000
_SIGNIFICANT_DIGITS = 3
_US_PER_MS = 1_000
_PERCENTILES = {"p50_ms": 50.0, "p99_ms": 99.0, "p999_ms": 99.9}


def _make_histogram() -> Any:
    return HdrHistogram(_MIN_LATENCY_US, _MAX_LATENCY_US, _SIGNIFICANT_DIGITS)


@dataclasses.dataclass(slots=True)
class PhaseMetrics:
    """Sums and histograms of one phase.

    Attributes
    ----------
    latencies, urgent : HdrHistogram
        Latency of all answers, and of the answers to urgent requests, in microseconds
        from the planned arrival.
    needed, received, started, delivered : int
        Numbers of sub-requests: needed by the answered queries, received by the
        backend servers for these, started for any request, and those whose results
        reached a caller.
    worst_recovery_s : float
        Longest time from the first event to an arrival without a complete answer.
    """

    duration_s: float = 0.0
    latencies: Any = dataclasses.field(default_factory=_make_histogram)
    urgent: Any = dataclasses.field(default_factory=_make_histogram)
    counts: Counter[str] = dataclasses.field(default_factory=Counter)
    refusals: Counter[str] = dataclasses.field(default_factory=Counter)
    coverage_sum: float = 0.0
    needed: int = 0
    received: int = 0
    started: int = 0
    delivered: int = 0
    worst_recovery_s: float = 0.0

    def add_samples(
        self,
        samples: Iterable[Sample],
        truth: GroundTruth,
        duration_s: float,
        event_s: float | None,
    ) -> None:
        """Add the samples that one round has of this phase."""
        self.duration_s += duration_s
        for sample in samples:
            if sample.arrival.extra:
                self._count_extra_request(sample)
                continue
            self.counts["requests"] += 1
            self._count_sub_requests(sample, truth)
            if sample.answered:
                self._record_answer(sample)
            else:
                self._record_failure(sample, truth)
            self._update_recovery_time(sample, event_s)

    def _count_extra_request(self, sample: Sample) -> None:
        self.counts["extra_requests"] += 1
        if sample.answered:
            self.counts["extra_answered"] += 1

    def _record_answer(self, sample: Sample) -> None:
        self.counts["answered"] += 1
        latency_us = min(max(int(sample.latency_ms * _US_PER_MS), 1), _MAX_LATENCY_US)
        self.latencies.record_value(latency_us)
        if sample.arrival.priority == "urgent":
            self.urgent.record_value(latency_us)
        if sample.arrival.kind == "order":
            self.counts["orders"] += 1
            return
        self.counts["queries"] += 1
        self.coverage_sum += sample.answer["coverage"]
        self.counts["whole"] += not sample.answer["partial"]

    def _record_failure(self, sample: Sample, truth: GroundTruth) -> None:
        refusal = sample.answer.get("refusal")
        if refusal is None:
            # The connection broke, or no answer came in time.
            self.counts["cut"] += 1
            return
        self.refusals[f"{refusal['kind']}: {refusal['reason']}"] += 1
        undispatched = not truth.received.get(sample.request_id, 0)
        if not undispatched or refusal["kind"] != "not_run":
            self.counts["late_refusals"] += 1

    def _count_sub_requests(self, sample: Sample, truth: GroundTruth) -> None:
        received = truth.received.get(sample.request_id, 0)
        self.started += truth.started.get(sample.request_id, 0)
        if not sample.answered:
            return
        if sample.arrival.kind == "query":
            self.received += received
            self.needed += sample.answer["shard_count"]
            self.delivered += len(shard_values(sample.answer))
        else:
            # A resent order is answered from the ledger and may need no sub-request.
            self.delivered += truth.started.get(sample.request_id, 0)

    def _update_recovery_time(self, sample: Sample, event_s: float | None) -> None:
        if event_s is None or sample.arrival.at_s < event_s:
            return
        complete = sample.answered and not sample.answer.get("partial")
        if not complete:
            since_event_s = sample.arrival.at_s - event_s
            self.worst_recovery_s = max(self.worst_recovery_s, since_event_s)

    def summary(self) -> dict[str, Any]:
        """Return all metrics by name."""
        queries = self.counts["queries"]
        needed = max(self.needed, 1)
        metrics: dict[str, Any] = {
            "requests": self.counts["requests"],
            "answered": self.counts["answered"],
            "whole": self.counts["whole"],
            "cut": self.counts["cut"],
            "refused": self.refusals.total(),
            "late_refusals": self.counts["late_refusals"],
            "refusals": dict(self.refusals),
            "coverage": self.coverage_sum / queries if queries else 0.0,
            "goodput": (self.coverage_sum + self.counts["orders"])
            / max(self.duration_s, 1e-9),
            "extra_load": self.received / needed - 1 if self.needed else 0.0,
            "work_for_nobody": max(self.started - self.delivered, 0) / needed,
            "recovery_s": self.worst_recovery_s,
            "extra_requests": self.counts["extra_requests"],
            "extra_answered": self.counts["extra_answered"],
        }
        for name, percentile in _PERCENTILES.items():
            metrics[name] = _percentile_ms(self.latencies, percentile)
            metrics[f"urgent_{name}"] = _percentile_ms(self.urgent, percentile)
        return metrics


def _percentile_ms(histogram: Any, percentile: float) -> float:
    return float(histogram.get_value_at_percentile(percentile)) / _US_PER_MS
