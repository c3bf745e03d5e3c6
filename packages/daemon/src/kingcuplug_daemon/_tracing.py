"""Spans around calls to other hosts."""

from typing import Any

from kingcuplug_common import request_span, start_hop
from kingcuplug_ledger import Submit
from kingcuplug_membership import PeerCall
from opentelemetry.trace import Tracer

__all__ = ["traced_session", "traced_submit"]


def traced_submit(submit: Submit) -> Submit:
    """Return `submit` with a hop per ledger step, including calls that fail."""

    async def traced(command: dict[str, Any]) -> dict[str, Any]:
        with start_hop("ledger", step=command["type"]):
            return await submit(command)

    return traced


def traced_session(call: PeerCall, tracer: Tracer) -> PeerCall:
    """Return `call` with a separate trace per exchange of the session."""

    async def traced(address: str, message: dict[str, Any]) -> dict[str, Any]:
        with request_span(tracer, "session", {}) as span:
            span.set_attribute("control_host", address)
            return await call(address, message)

    return traced
