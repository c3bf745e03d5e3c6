"""HTTP application for the other hosts of the system."""

from collections.abc import Awaitable, Callable
from typing import Any

from kingcuplug_common import KingcuplugError, Metrics, request_span
from kingcuplug_log import NotLeader
from opentelemetry.trace import Tracer
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from kingcuplug_daemon._control_node import ControlNode, leader_address
from kingcuplug_daemon._http import error_fields, json_response, read_json

__all__ = ["peer_application"]

_BODY_LIMIT_BYTES = 64 * 1024 * 1024
_CONFLICT = 409

Handler = Callable[[dict[str, Any]], Awaitable[dict[str, Any]]]


def peer_application(
    control: ControlNode | None, metrics: Metrics, tracer: Tracer
) -> Starlette:
    """Return the application; a host without the control role has no endpoints."""
    if control is None:
        return Starlette()

    async def handle_barrier(message: dict[str, Any]) -> dict[str, Any]:
        return control.sessions.leader_exchange.handle(message)

    async def handle_identity(message: dict[str, Any]) -> dict[str, Any]:
        return control.identity()

    handlers: dict[str, Handler] = {
        "log": control.replica.handle,
        "session": control.sessions.handle,
        "mesh": control.mesh.handle,
        "barrier": handle_barrier,
        "identity": handle_identity,
        "submit": control.submit,
        "read": control.read,
        "change": control.change_members,
    }
    return Starlette(
        routes=[
            Route(
                f"/peer/v1/{name}",
                _endpoint(name, handler, metrics, tracer),
                methods=["POST"],
            )
            for name, handler in handlers.items()
        ]
    )


def _endpoint(
    name: str, handler: Handler, metrics: Metrics, tracer: Tracer
) -> Callable[[Request], Awaitable[Response]]:
    async def endpoint(request: Request) -> Response:
        metrics.count(f"peer.{name}")
        try:
            message = await read_json(request, _BODY_LIMIT_BYTES)
            if not isinstance(message, dict):
                raise KingcuplugError(
                    f"message is {type(message).__name__}, not an object",
                    "run one version on all hosts",
                )
            # Periodic messages such as heartbeats carry no trace and get no span.
            if "traceparent" not in request.headers:
                return json_response(await handler(message))
            with request_span(tracer, f"peer.{name}", request.headers):
                return json_response(await handler(message))
        except NotLeader as error:
            fields = error_fields(error) | {"leader": leader_address(error)}
            return json_response(fields, _CONFLICT)
        except KingcuplugError as error:
            return json_response(error_fields(error), _CONFLICT)
        except ExceptionGroup as group:
            return json_response(_group_fields(group), _CONFLICT)

    return endpoint


def _group_fields(group: ExceptionGroup[Any]) -> dict[str, Any]:
    faults = [
        {
            "path": getattr(fault, "path", ""),
            "message": getattr(fault, "message", str(fault)),
            "remedy": getattr(fault, "remedy", ""),
        }
        for fault in group.exceptions
    ]
    return {
        "error": "Rejected",
        "message": f"{group.message}: {len(faults)} faults",
        "remedy": "correct the listed faults",
        "faults": faults,
    }
