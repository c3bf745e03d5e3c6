"""Trace spans and the log file of a host.

Spans go to a JSON-lines file, one span per hop.
"""

import json
from collections.abc import Iterator, Sequence
from contextlib import contextmanager
from pathlib import Path
from typing import Any

import eliot
from opentelemetry.sdk.trace import ReadableSpan, TracerProvider
from opentelemetry.sdk.trace.export import (
    BatchSpanProcessor,
    SpanExporter,
    SpanExportResult,
)
from opentelemetry.sdk.trace.sampling import ParentBased, TraceIdRatioBased
from opentelemetry.trace import Tracer
from opentelemetry.trace.propagation.tracecontext import TraceContextTextMapPropagator

from kingcuplug_common._line_file import LineFile
from kingcuplug_common._metrics import PREFIX

__all__ = ["TraceFileExporter", "log_to_file", "open_tracer", "propagator"]

# Short, since operators view a trace right after its request.
_TRACE_FILE_DELAY_MS = 500.0
_NANOSECONDS_PER_MICROSECOND = 1_000

propagator = TraceContextTextMapPropagator()


@contextmanager
def log_to_file(path: Path) -> Iterator[None]:
    """Append eliot's log messages to a file, one JSON object per line."""
    file = LineFile(path)
    destination = eliot.FileDestination(file=file)
    eliot.add_destinations(destination)
    try:
        yield
    finally:
        eliot.remove_destination(destination)
        file.close()


class TraceFileExporter(SpanExporter):
    """Exports spans to a file as JSON lines; spans are lost if it cannot be written."""

    def __init__(self, path: Path) -> None:
        self._file = LineFile(path)

    def export(self, spans: Sequence[ReadableSpan]) -> SpanExportResult:
        """Append `spans`."""
        lines = "".join(json.dumps(_span_fields(span)) + "\n" for span in spans)
        if self._file.write(lines.encode()):
            return SpanExportResult.SUCCESS
        return SpanExportResult.FAILURE

    def shutdown(self) -> None:
        """Close the file."""
        self._file.close()


def _span_fields(span: ReadableSpan) -> dict[str, Any]:
    context = span.get_span_context()
    start = span.start_time or 0
    end = span.end_time or start
    return {
        "trace": f"{context.trace_id:032x}" if context else None,
        "span": f"{context.span_id:016x}" if context else None,
        "parent": f"{span.parent.span_id:016x}" if span.parent else None,
        "name": span.name,
        "start_us": start // _NANOSECONDS_PER_MICROSECOND,
        "duration_us": (end - start) // _NANOSECONDS_PER_MICROSECOND,
        "fields": dict(span.attributes or {}),
    }


@contextmanager
def open_tracer(path: Path | None, share: float) -> Iterator[Tracer]:
    """Yield a tracer that writes to `path`, or one that records nothing.

    Parameters
    ----------
    path : Path or None
        JSON-lines file for spans.
    share : float
        Share of traces that are sampled, 0 to 1; a caller's own decision in the
        ``traceparent`` header takes precedence.
    """
    sampled_share = share if path is not None else 0.0
    provider = TracerProvider(
        sampler=ParentBased(TraceIdRatioBased(sampled_share)), shutdown_on_exit=False
    )
    if path is not None:
        provider.add_span_processor(
            BatchSpanProcessor(
                TraceFileExporter(path), schedule_delay_millis=_TRACE_FILE_DELAY_MS
            )
        )
    try:
        yield provider.get_tracer(PREFIX)
    finally:
        provider.shutdown()
