"""JSON request bodies and responses over HTTP, with limits and typed refusals."""

from collections.abc import Awaitable, Callable
from typing import Any, TypeVar

import orjson
from kingcuplug_common import (
    KingcuplugError,
    Refusal,
    RefusalReason,
    not_run_refusal,
)
from pydantic import BaseModel, ValidationError
from starlette.requests import Request
from starlette.responses import Response

__all__ = [
    "error_fields",
    "json_response",
    "read_json",
    "read_model",
    "refusal_fields",
    "status_code",
]

_NON_REPEATABLE_HEADERS = (
    b"content-length",
    b"content-type",
    b"authorization",
    b"host",
)
_MILLISECONDS = 1_000

_STATUS_OF_REASON = {
    RefusalReason.INVALID_REQUEST: 400,
    RefusalReason.UNAUTHENTICATED: 401,
    RefusalReason.UNKNOWN_SERVICE: 404,
    RefusalReason.KEY_REUSED: 409,
    RefusalReason.KEY_EXPIRED: 410,
    RefusalReason.KEY_FROM_FUTURE: 400,
    RefusalReason.BODY_TOO_LARGE: 413,
    RefusalReason.CRASHING_REQUEST: 422,
    RefusalReason.OVERLOADED: 429,
    RefusalReason.DEADLINE_EXCEEDED: 504,
    RefusalReason.ORDER_UNKNOWN: 504,
    RefusalReason.BACKEND_SERVER_FAILED: 502,
}
_UNAVAILABLE = 503

_Model = TypeVar("_Model", bound=BaseModel)
Handler = Callable[[Request], Awaitable[Response]]


def json_response(value: Any, status: int = 200) -> Response:
    """Return `value` as a JSON response."""
    return Response(orjson.dumps(value), status, media_type="application/json")


def status_code(refusal: Refusal) -> int:
    """Return the HTTP status of a refusal."""
    return _STATUS_OF_REASON.get(refusal.reason, _UNAVAILABLE)


def refusal_fields(refusal: Refusal) -> dict[str, Any]:
    """Return a refusal as JSON value."""
    return {
        "kind": refusal.kind.value,
        "reason": refusal.reason.value,
        "message": refusal.message,
        "remedy": refusal.remedy,
        "retry_after_ms": refusal.retry_after_ms,
    }


def error_fields(error: KingcuplugError) -> dict[str, Any]:
    """Return a typed error as JSON value; a refusal has its kind and reason."""
    fields: dict[str, Any] = {"error": type(error).__name__}
    if isinstance(error, Refusal):
        return fields | refusal_fields(error)
    return fields | {"message": error.message, "remedy": error.remedy}


async def read_json(request: Request, limit_bytes: int) -> Any:
    """Read the body of a request as JSON.

    Raises
    ------
    Refusal
        If a header is repeated, the body is too large or is not JSON.
    """
    _reject_repeated_headers(request)
    body = bytearray()
    async for chunk in request.stream():
        body += chunk
        if len(body) > limit_bytes:
            raise not_run_refusal(
                RefusalReason.BODY_TOO_LARGE,
                f"the body has more than {limit_bytes} bytes",
                "send a smaller request or raise body_limit_bytes in the settings",
            )
    try:
        return orjson.loads(body)
    except orjson.JSONDecodeError as error:
        raise not_run_refusal(
            RefusalReason.INVALID_REQUEST,
            f"the body is not JSON: {error}",
            "send one JSON object encoded in UTF-8",
        ) from error


async def read_model(request: Request, model: type[_Model], limit_bytes: int) -> _Model:
    """Read and validate the body of a request; all faults are reported at once."""
    value = await read_json(request, limit_bytes)
    try:
        return model.model_validate(value)
    except ValidationError as error:
        faults = "; ".join(
            f"{'.'.join(str(part) for part in fault['loc']) or 'body'}: {fault['msg']}"
            for fault in error.errors(include_url=False)
        )
        raise not_run_refusal(
            RefusalReason.INVALID_REQUEST,
            f"the request has {error.error_count()} faults: {faults}",
            "correct the named fields; see docs/interfaces.md",
        ) from error


def _reject_repeated_headers(request: Request) -> None:
    names: set[bytes] = set()
    for name, _ in request.headers.raw:
        if name in _NON_REPEATABLE_HEADERS and name in names:
            raise not_run_refusal(
                RefusalReason.INVALID_REQUEST,
                f"the header {name.decode()!r} is given twice",
                "send it once",
            )
        names.add(name)
