"""Measure the cost of a sub-request's spans: no request, not sampled, sampled."""

import tempfile
import timeit
from collections.abc import Callable
from contextlib import nullcontext
from pathlib import Path

from kingcuplug_common import open_tracer, request_span, start_hop, traceparent

_RUNS_PER_REPEAT = 20_000
_REPEATS = 7
_US_PER_S = 1e6
_TRACEPARENT_PREFIX = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-0"


def trace_sub_request() -> None:
    """Create and end the spans of one sub-request."""
    with start_hop("capacity"):
        pass
    hop = start_hop("sub-request")
    traceparent()
    hop.end(shard=7, server="counter-01-s2", attempt_id="a1", hedge=False, outcome="ok")


def run_empty() -> None:
    """Do nothing; its time is the overhead of the measurement."""


def best_us(work: Callable[[], None]) -> float:
    """Return the minimum time of one run, in microseconds."""
    times = timeit.repeat(work, number=_RUNS_PER_REPEAT, repeat=_REPEATS)
    return min(times) / _RUNS_PER_REPEAT * _US_PER_S


def main() -> None:
    """Measure and print."""
    with (
        tempfile.TemporaryDirectory() as folder,
        open_tracer(Path(folder) / "trace.jsonl", 1.0) as spans,
    ):
        overhead_us = best_us(run_empty)
        for name, flag in (("no request", None), ("not sampled", 0), ("sampled", 1)):
            headers = {"traceparent": f"{_TRACEPARENT_PREFIX}{flag}"}
            request = (
                nullcontext() if flag is None else request_span(spans, "query", headers)
            )
            with request:
                print(
                    f"{name}: {best_us(trace_sub_request) - overhead_us:.2f} us "
                    "per sub-request"
                )


if __name__ == "__main__":
    main()
