"""Spans of the hops of one request.

Sampling is decided once, at the request's span. In an unsampled trace each hop below
it costs only one lookup of a context variable.
"""

from collections.abc import Iterator, Mapping
from contextlib import AbstractAsyncContextManager, asynccontextmanager, contextmanager
from contextvars import ContextVar, Token
from typing import Any, TypeVar

from opentelemetry.trace import Span, SpanContext, Tracer, set_span_in_context

from kingcuplug_common._telemetry import propagator

__all__ = ["Hop", "request_span", "start_hop", "traced_entry", "traceparent"]

_T = TypeVar("_T")


class Hop:
    """Span of one hop; this base class is for unsampled traces and records nothing."""

    __slots__ = ()

    def end(self, **attributes: Any) -> None:
        """End the hop."""

    def __enter__(self) -> "Hop":
        """Return the hop, which is current since its start."""
        return self

    def __exit__(self, *error: object) -> None:
        """End the hop."""
        self.end()


class _SampledHop(Hop):
    """Span of one hop of a sampled trace.

    Parameters
    ----------
    tracer : Tracer
        Creates the span.
    parent : Span
        Parent of the new span.
    name : str
        Name of the hop.
    attributes : dict
        Attributes that are known at the start.
    """

    __slots__ = ("_span", "_token")

    def __init__(
        self, tracer: Tracer, parent: Span, name: str, attributes: dict[str, Any]
    ) -> None:
        self._span = tracer.start_span(
            name, context=set_span_in_context(parent), attributes=attributes
        )
        trace = _TraceContext(
            tracer, self._span, _format_traceparent(self._span.get_span_context())
        )
        self._token: Token[_TraceContext | None] = _current_trace.set(trace)

    def end(self, **attributes: Any) -> None:
        """End the hop and add attributes to its span."""
        self._span.set_attributes(attributes)
        self._span.end()
        _current_trace.reset(self._token)

    def __exit__(self, *error: object) -> None:
        """End the hop; an error's class name becomes its outcome."""
        if error[1] is not None:
            self.end(outcome=type(error[1]).__name__)
        else:
            self.end()


class _TraceContext:
    """The current trace; `tracer` is ``None`` if the trace is not sampled."""

    __slots__ = ("header", "span", "tracer")

    def __init__(self, tracer: Tracer | None, span: Span, header: str) -> None:
        self.tracer = tracer
        self.span = span
        self.header = header


_current_trace: ContextVar[_TraceContext | None] = ContextVar("trace", default=None)
_UNSAMPLED_HOP = Hop()


@contextmanager
def request_span(
    tracer: Tracer, name: str, headers: Mapping[str, str]
) -> Iterator[Span]:
    """Run a request in a span; a ``traceparent`` in `headers` decides on sampling."""
    parent = propagator.extract(headers)
    with tracer.start_as_current_span(name, context=parent) as span:
        header = _format_traceparent(span.get_span_context())
        trace = _TraceContext(tracer if span.is_recording() else None, span, header)
        token = _current_trace.set(trace)
        try:
            yield span
        finally:
            _current_trace.reset(token)


def start_hop(name: str, **attributes: Any) -> Hop:
    """Start a hop below the current one and make it current.

    It must be ended in the task that started it, by `Hop.end` or as a context
    manager.
    """
    trace = _current_trace.get()
    if trace is None or trace.tracer is None:
        return _UNSAMPLED_HOP
    return _SampledHop(trace.tracer, trace.span, name, attributes)


def traced_entry(
    name: str, manager: AbstractAsyncContextManager[_T]
) -> AbstractAsyncContextManager[_T]:
    """Return `manager` with a hop that spans its ``__aenter__``, which may wait."""
    trace = _current_trace.get()
    if trace is None or trace.tracer is None:
        return manager
    return _traced_entry(name, manager)


@asynccontextmanager
async def _traced_entry(
    name: str, manager: AbstractAsyncContextManager[_T]
) -> Any:  # An asynchronous iterator with one value.
    hop = start_hop(name)
    try:
        value = await manager.__aenter__()
    except BaseException as error:
        hop.end(outcome=type(error).__name__)
        raise
    hop.end()
    try:
        yield value
    except BaseException as error:
        if not await manager.__aexit__(type(error), error, error.__traceback__):
            raise
    else:
        await manager.__aexit__(None, None, None)


def traceparent() -> str | None:
    """Return the W3C header for the next hop; ``None`` outside of a request."""
    trace = _current_trace.get()
    return None if trace is None else trace.header


def _format_traceparent(context: SpanContext) -> str:
    flags = int(context.trace_flags)
    return f"00-{context.trace_id:032x}-{context.span_id:016x}-{flags:02x}"
