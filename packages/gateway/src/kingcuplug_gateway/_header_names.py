"""Names of the headers that a deployment uses for requests and responses."""

from dataclasses import dataclass

__all__ = ["HeaderNames"]


@dataclass(frozen=True, slots=True)
class HeaderNames:
    """Header names as sent; lookups use them in lower case.

    Attributes
    ----------
    attempt_id : bytes
        Identifies one attempt of a caller; servers echo it.
    deadline_ms : bytes
        Milliseconds for which the sender waits for the response.
    expected_server : bytes
        Id of the only server that may run the request.
    signature : bytes
        Server's signature of its response.
    not_run : bytes
        Present on a response if the server did not run the request.
    part_signatures : bytes
        Signatures of the parts of a merged answer.
    missing_parts : bytes
        Number of shards without a part in a merged answer.
    server_limit : bytes
        Requests a second that the server takes from all hosts together.
    server_leaving : bytes
        ``1`` if the server leaves and must get no more requests.
    team : bytes
        Name of the caller's team, for servers.
    key_scheme : bytes
        Scheme of the ``Authorization`` header that holds a caller's key; not a header.
    cold_ms : bytes
        Milliseconds for which the server is still cold, in responses to health checks.
    """

    attempt_id: bytes
    deadline_ms: bytes
    expected_server: bytes
    signature: bytes
    not_run: bytes
    part_signatures: bytes
    missing_parts: bytes
    server_limit: bytes
    server_leaving: bytes
    team: bytes = b"Team"
    key_scheme: bytes = b"Token"
    cold_ms: bytes = b"Cold-Ms"

    @property
    def required(self) -> frozenset[bytes]:
        """Names, in lower case, of headers of callers that servers must get."""
        return frozenset((b"host", self.attempt_id.lower(), self.team.lower()))
