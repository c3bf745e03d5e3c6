"""Typed errors whose messages state a remedy.

A refusal tells the caller whether the request can have run, so the kind of a
refusal is part of its type and never inferred from its text.
"""

from enum import StrEnum

__all__ = [
    "KingcuplugError",
    "Refusal",
    "RefusalKind",
    "RefusalReason",
    "not_run_refusal",
]


class KingcuplugError(Exception):
    """Base class of all errors of the project.

    Parameters
    ----------
    message : str
        What is wrong, with the offending value.
    remedy : str
        What the reader can do about it.
    """

    def __init__(self, message: str, remedy: str) -> None:
        super().__init__(f"{message}; {remedy}")
        self.message = message
        self.remedy = remedy


class RefusalKind(StrEnum):
    """Whether a refused request can have run."""

    NOT_RUN = "not_run"
    OUTCOME_UNKNOWN = "outcome_unknown"


class RefusalReason(StrEnum):
    """Why a request was refused."""

    INVALID_REQUEST = "invalid_request"
    UNAUTHENTICATED = "unauthenticated"
    UNKNOWN_SERVICE = "unknown_service"
    BODY_TOO_LARGE = "body_too_large"
    DEADLINE_EXCEEDED = "deadline_exceeded"
    OVERLOADED = "overloaded"
    CONFIGURATION_UNCONFIRMED = "configuration_unconfirmed"
    SHUTTING_DOWN = "shutting_down"
    SNAPSHOT_UNKNOWN = "snapshot_unknown"
    COVERAGE_TOO_LOW = "coverage_too_low"
    DEPENDENCY_UNAVAILABLE = "dependency_unavailable"
    CRASHING_REQUEST = "crashing_request"
    NO_QUORUM = "no_quorum"
    KEY_REUSED = "key_reused"
    KEY_EXPIRED = "key_expired"
    KEY_FROM_FUTURE = "key_from_future"
    ORDER_NOT_RUN = "order_not_run"
    ORDER_UNKNOWN = "order_unknown"
    BACKEND_SERVER_FAILED = "backend_server_failed"


class Refusal(KingcuplugError):
    """Raised when a request is refused.

    Parameters
    ----------
    kind : RefusalKind
        ``NOT_RUN`` only if no backend server can have acted on the request.
    reason : RefusalReason
        Machine-readable cause.
    message, remedy : str
        Human-readable text.
    retry_after_ms : int, optional
        Earliest time at which sending the request again can succeed.
    """

    def __init__(
        self,
        kind: RefusalKind,
        reason: RefusalReason,
        message: str,
        remedy: str,
        retry_after_ms: int | None = None,
    ) -> None:
        super().__init__(message, remedy)
        self.kind = kind
        self.reason = reason
        self.retry_after_ms = retry_after_ms


def not_run_refusal(
    reason: RefusalReason,
    message: str,
    remedy: str,
    retry_after_ms: int | None = None,
) -> Refusal:
    """Return a refusal of a request on which no backend server can have acted."""
    return Refusal(RefusalKind.NOT_RUN, reason, message, remedy, retry_after_ms)
