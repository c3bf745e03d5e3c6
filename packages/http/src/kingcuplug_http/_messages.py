"""Requests and responses as both directions see them."""

from dataclasses import dataclass, field
from http import HTTPStatus

__all__ = [
    "Headers",
    "Request",
    "Response",
    "encode_response",
    "end_to_end",
    "error_response",
]

Headers = list[tuple[bytes, bytes]]

# Headers that concern one connection only (RFC 9110, section 7.6.1). The length
# is set anew for each hop, because bodies are always sent whole.
_HOP_BY_HOP = frozenset(
    (
        b"connection",
        b"content-length",
        b"expect",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    )
)
_REASONS = {status.value: status.phrase.encode() for status in HTTPStatus}
_BODILESS_STATUS = frozenset((204, 304))


@dataclass(slots=True)
class Request:
    """A request that was received whole.

    Attributes
    ----------
    headers : list of (bytes, bytes)
        Names as received.
    received_at : float
        Event loop time at which the last byte arrived.
    first : bool
        Whether it is the first on its connection.
    """

    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    keep_alive: bool
    received_at: float
    first: bool
    fields: dict[bytes, bytes] = field(default_factory=dict)

    def header(self, name: bytes) -> bytes | None:
        """Return a header's first value; `name` is in lower case."""
        return self.fields.get(name)


@dataclass(slots=True)
class Response:
    """A whole response."""

    status: int
    headers: Headers
    body: bytes
    fields: dict[bytes, bytes] = field(default_factory=dict)

    def header(self, name: bytes) -> bytes | None:
        """Return a header's first value; `name` is in lower case."""
        return self.fields.get(name)


def end_to_end(headers: Headers, dropped: frozenset[bytes] = frozenset()) -> Headers:
    """Return the headers that go to the next hop, without the names in `dropped`.

    Headers named by ``Connection`` concern one connection only, too.
    """
    named: set[bytes] = set()
    for name, value in headers:
        if name.lower() == b"connection":
            named.update(option.strip().lower() for option in value.split(b","))
    return [
        (name, value)
        for name, value in headers
        if (lower := name.lower()) not in _HOP_BY_HOP
        and lower not in named
        and lower not in dropped
    ]


def encode_response(response: Response, close: bool, head: bool = False) -> bytes:
    """Return the bytes of a response.

    Parameters
    ----------
    close : bool
        Tells the peer that the connection ends after this response.
    head : bool
        The request was a HEAD, which is answered without a body.
    """
    reason = _REASONS.get(response.status, b"Unknown")
    lines = [b"HTTP/1.1 %d %s\r\n" % (response.status, reason)]
    lines += [b"%s: %s\r\n" % pair for pair in response.headers]
    if response.status not in _BODILESS_STATUS:
        length = b"%d" % len(response.body)
        if head:
            # What a GET would have been answered with, as the server says.
            length = response.fields.get(b"content-length", length)
        lines.append(b"Content-Length: %s\r\n" % length)
    if close:
        lines.append(b"Connection: close\r\n")
    lines.append(b"\r\n")
    if not head and response.status not in _BODILESS_STATUS:
        lines.append(response.body)
    return b"".join(lines)


def error_response(
    status: int, message: str = "", retry_after_s: float | None = None
) -> Response:
    """Return a response of this host's own, with a short plain text."""
    headers: Headers = [(b"Content-Type", b"text/plain; charset=utf-8")]
    if retry_after_s is not None:
        headers.append((b"Retry-After", b"%.3f" % retry_after_s))
    return Response(status, headers, message.encode())
