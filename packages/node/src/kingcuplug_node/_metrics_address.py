"""Requests to the metrics address: the metrics, and reports on placements."""

from collections.abc import Awaitable, Callable
from typing import Any

import orjson
from kingcuplug_common import Metrics, render_metrics
from kingcuplug_gateway import Gateway, PlacementQuestion
from kingcuplug_http import Request, Response, error_response

__all__ = ["metrics_response", "serve_metrics_address"]

_EXPLAIN_PATH = b"/explain"


def metrics_response(metrics: Metrics, gauges: dict[str, float]) -> Response:
    """Return the response with all metrics."""
    headers = [(b"Content-Type", b"text/plain; version=0.0.4")]
    return Response(200, headers, render_metrics(metrics, gauges))


async def serve_metrics_address(
    gateway: Gateway,
    serve_metrics: Callable[[Request], Awaitable[Response]],
    request: Request,
) -> Response:
    """Return the response to a request at the metrics address.

    Parameters
    ----------
    serve_metrics : callable
        Serves all paths but ``/explain``.
    """
    path, _, query = request.target.partition(b"?")
    if path != _EXPLAIN_PATH:
        return await serve_metrics(request)
    if request.method != b"GET":
        return error_response(405, "only GET")
    if b"authorization" in request.fields:
        return error_response(400, "no keys here: name the team")
    try:
        question = PlacementQuestion.from_query(query.decode("ascii"))
    except ValueError as error:
        # A message about undecodable bytes would repeat them.
        is_own = not isinstance(error, UnicodeError)
        return error_response(400, str(error) if is_own else "the query is no ASCII")
    report: dict[str, Any] = gateway.report_placement(question)
    headers = [(b"Content-Type", b"application/json")]
    return Response(200, headers, orjson.dumps(report))
