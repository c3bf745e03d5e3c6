"""Waterfall of one request from the spans of a trace file."""

import dataclasses
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any

import orjson

from kingcuplug_cli._results import CommandRefused, ExitCode, WrongUsage

__all__ = ["show_trace"]

_BAR_CHARACTERS = 40
_US_PER_MS = 1_000


@dataclasses.dataclass(frozen=True, slots=True)
class SpanRow:
    """One span, `depth` levels below the entry host's span."""

    name: str
    depth: int
    offset_us: int
    duration_us: int
    fields: dict[str, Any]


@dataclasses.dataclass(frozen=True, slots=True)
class Waterfall:
    """The spans of one request, parents before their children."""

    request_id: str
    trace: str
    spans: tuple[SpanRow, ...]
    exit_code: ExitCode = ExitCode.DONE

    def lines(self) -> Iterator[str]:
        """Yield one line with a bar per span."""
        yield f"request {self.request_id}, trace {self.trace}"
        end_us = max(span.offset_us + span.duration_us for span in self.spans)
        width = max(2 * span.depth + len(span.name) for span in self.spans)
        for span in self.spans:
            name = f"{'  ' * span.depth}{span.name}".ljust(width)
            fields = " ".join(f"{key}={value}" for key, value in span.fields.items())
            yield (
                f"{name} |{_bar(span, end_us)}| {span.offset_us / _US_PER_MS:8.2f} ms "
                f"+{span.duration_us / _US_PER_MS:.2f} ms  {fields}"
            ).rstrip()


def _bar(span: SpanRow, end_us: int) -> str:
    scale = _BAR_CHARACTERS / max(end_us, 1)
    start = min(int(span.offset_us * scale), _BAR_CHARACTERS - 1)
    length = max(int(span.duration_us * scale), 1)
    return f"{' ' * start}{'#' * length}"[:_BAR_CHARACTERS].ljust(_BAR_CHARACTERS)


async def show_trace(file: str, request_id: str) -> Waterfall:
    """Return the waterfall of one request.

    Parameters
    ----------
    file : str
        The trace file of the entry host, JSON lines.
    """
    spans = list(_read_spans(file))
    traces = {
        span["trace"]
        for span in spans
        if span["fields"].get("request_id") == request_id
    }
    if not traces:
        raise CommandRefused(
            f"file {file} has no span of request {request_id}",
            "look into the trace files of the other entry hosts; the request may "
            "not have been sampled (trace_share)",
            "NoSuchTrace",
        )
    # A resent request has the same id and another trace; the last trace is shown.
    trace = next(s["trace"] for s in reversed(spans) if s["trace"] in traces)
    return Waterfall(
        request_id, trace, tuple(_span_rows([s for s in spans if s["trace"] == trace]))
    )


def _span_rows(spans: list[dict[str, Any]]) -> Iterator[SpanRow]:
    span_ids = {span["span"] for span in spans}
    children: dict[str | None, list[dict[str, Any]]] = {}
    for span in sorted(spans, key=lambda span: span["start_us"]):
        parent = span["parent"] if span["parent"] in span_ids else None
        children.setdefault(parent, []).append(span)
    first_start_us = min(span["start_us"] for span in spans)
    pending = [(span, 0) for span in reversed(children.get(None, []))]
    while pending:
        span, depth = pending.pop()
        yield SpanRow(
            span["name"],
            depth,
            span["start_us"] - first_start_us,
            span["duration_us"],
            span["fields"],
        )
        child_spans = children.get(span["span"], [])
        pending += [(child, depth + 1) for child in reversed(child_spans)]


def _read_spans(file: str) -> Iterable[dict[str, Any]]:
    try:
        lines = Path(file).read_bytes().splitlines()
    except OSError as error:
        raise WrongUsage(
            f"trace file {file} cannot be read: {error}",
            "name the trace_file of the entry host's settings",
        ) from error
    for number, line in enumerate(lines, 1):
        try:
            yield orjson.loads(line)
        except orjson.JSONDecodeError as error:
            if number == len(lines):
                return  # The host is still writing the last line.
            raise WrongUsage(
                f"line {number} of {file} is not JSON: {error}",
                "name the trace_file of the entry host's settings",
            ) from error
