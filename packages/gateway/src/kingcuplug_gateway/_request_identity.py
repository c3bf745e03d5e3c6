"""What identifies a request that a caller sends again."""

import hashlib
from collections.abc import Iterable
from dataclasses import dataclass

__all__ = ["RequestIdentity", "request_identity"]

_FINGERPRINT_BYTES = 8
_CALLER_HEADERS = frozenset((b"host", b"authorization"))
# A cookie may name the caller, or differ each time the request comes again.
_COOKIE = b"cookie"


@dataclass(frozen=True, slots=True)
class RequestIdentity:
    """Fingerprints of a request.

    Attributes
    ----------
    fingerprint : str
        Of all that servers see of a request and that may decide how they behave.
    path_fingerprint : str
        The same without the query string and cookies, which may differ each time a
        request comes again.
    """

    fingerprint: str
    path_fingerprint: str

    @property
    def fingerprints(self) -> tuple[str, str]:
        """Both fingerprints."""
        return self.fingerprint, self.path_fingerprint


def request_identity(
    head: bytes, body: bytes, team_header: bytes | None = None
) -> RequestIdentity:
    """Return the identity of a request.

    Parameters
    ----------
    head : bytes
        Request line and headers as sent to servers.
    team_header : bytes
        Name, in lower case, of the header with the caller's team.
    """
    caller_headers = _CALLER_HEADERS
    if team_header is not None:
        caller_headers |= {team_header}
    request_line, *headers = head.split(b"\r\n")
    method, target = request_line.split(b" ")[:2]
    path = target.partition(b"?")[0]
    return RequestIdentity(
        _digest([request_line, *_select(headers, caller_headers | {_COOKIE}), body]),
        _digest([method, path, *_select(headers, caller_headers), body]),
    )


def _select(headers: Iterable[bytes], names: frozenset[bytes]) -> list[bytes]:
    return [line for line in headers if line.partition(b":")[0].lower() in names]


def _digest(parts: Iterable[bytes]) -> str:
    data = b"\0".join(parts)
    return hashlib.blake2b(data, digest_size=_FINGERPRINT_BYTES).hexdigest()
