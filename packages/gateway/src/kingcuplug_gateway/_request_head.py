"""Request line and headers of a caller's request."""

from kingcuplug_http import Request, end_to_end_headers

__all__ = ["caller_limit_ms", "encode_head", "host_and_path"]

_MAX_DEADLINE_DIGITS = 12  # A deadline header with more digits is ignored.
_METHODS_WITH_BODY = frozenset((b"POST", b"PUT", b"PATCH"))


def caller_limit_ms(request: Request, deadline_header: bytes) -> int | None:
    """Return the caller's own time limit, if it sent a usable one.

    Parameters
    ----------
    deadline_header : bytes
        Name of the header that holds it, in lower case.
    """
    value = request.header(deadline_header)
    if value is None or not value.isdigit() or len(value) > _MAX_DEADLINE_DIGITS:
        return None
    return int(value)


def encode_head(
    request: Request,
    excluded: frozenset[bytes],
    kept: frozenset[bytes] = frozenset(),
) -> bytes:
    """Return the request line and headers for servers, each ended by a line break.

    Parameters
    ----------
    excluded : frozenset of bytes
        Names, in lower case, of headers that are left out.
    kept : frozenset of bytes
        Names, in lower case, of headers that the caller can't have left out.
    """
    lines = [b"%s %s HTTP/1.1\r\n" % (request.method, request.target)]
    for name, value in end_to_end_headers(request.headers, excluded, kept):
        lines.append(b"%s: %s\r\n" % (name, value))
    if (
        request.body
        or b"content-length" in request.fields
        or request.method in _METHODS_WITH_BODY
    ):
        lines.append(b"Content-Length: %d\r\n" % len(request.body))
    return b"".join(lines)


def host_and_path(request: Request) -> tuple[str | None, str | None]:
    """Return the host name and the path that select the route."""
    host = request.header(b"host")
    path = request.target.partition(b"?")[0]
    if host is None or not path.startswith(b"/"):
        return None, None
    name = host.decode("latin-1").lower().partition(":")[0]
    return name, path.decode("latin-1")
