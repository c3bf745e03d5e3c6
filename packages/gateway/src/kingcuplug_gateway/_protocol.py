"""Names of the headers that a deployment uses on the request path."""

from dataclasses import dataclass

__all__ = ["HeaderNames"]


@dataclass(frozen=True, slots=True)
class HeaderNames:
    """Header names as they are written; lookups use their lower case.

    Attributes
    ----------
    attempt_id : bytes
        Identifies one caller attempt; servers echo it.
    deadline_ms : bytes
        Milliseconds for which the sender will wait.
    expected_server : bytes
        Id of the only server that may run the request.
    seal : bytes
        A server's signature of its answer.
    not_run : bytes
        Present if the server did not run the request.
    part_seals : bytes
        Signatures of the parts of a merged answer.
    missing_parts : bytes
        Number of shards that are not in a merged answer.
    """

    attempt_id: bytes
    deadline_ms: bytes
    expected_server: bytes
    seal: bytes
    not_run: bytes
    part_seals: bytes
    missing_parts: bytes
