"""Read-only records of orders."""

import dataclasses
from datetime import UTC, datetime
from typing import Any, Literal

from kingcuplug_ledger._commands import OutcomeKind

__all__ = ["OrderRecord", "OrderState", "PastClaim", "StoredOutcome"]

OrderState = Literal["claimed", "released", "dispatched", "finished"]


@dataclasses.dataclass(frozen=True, slots=True)
class StoredOutcome:
    """Recorded outcome of an order; see `Outcome`."""

    kind: OutcomeKind
    status: str
    body: Any
    body_digest: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class PastClaim:
    """Claim that ended without a dispatch, and whose token is revoked.

    `ended` is ``released``, ``taken_over``, or ``never_claimed`` if the release was
    applied before the claim.
    """

    token: str
    host: str
    host_incarnation: int
    claimed_ms: int
    ended_ms: int
    ended: Literal["released", "taken_over", "never_claimed"]


@dataclasses.dataclass(frozen=True, slots=True)
class OrderRecord:
    """Record of one order, for callers that wait for it and for operators.

    Times are ledger times in milliseconds since the epoch, 0 if the step has not
    happened. `host` and `host_incarnation` are those of the last claim, and of the
    dispatch if there was one. `server` and `attempt_id` are those of the dispatch.
    """

    key: str
    state: OrderState
    service: str
    digest: str
    host: str
    host_incarnation: int
    revision: int
    retention_ms: int
    claimed_ms: int
    dispatched_ms: int
    finished_ms: int
    server: str
    attempt_id: str
    outcome: StoredOutcome | None
    past_claims: tuple[PastClaim, ...]

    def explain(self) -> str:
        """Return the history of the order as text for operators, one line per step."""
        lines = [f"order {self.key} of service {self.service or 'unknown'}"]
        for past_claim in self.past_claims:
            holder = _format_holder(past_claim.host, past_claim.host_incarnation)
            lines.append(
                f"{_format_time(past_claim.claimed_ms)} claimed by {holder},"
                f" {past_claim.ended} at {_format_time(past_claim.ended_ms)}"
            )
        holder = _format_holder(self.host, self.host_incarnation)
        if self.claimed_ms:
            lines.append(
                f"{_format_time(self.claimed_ms)} claimed by {holder}"
                f" under revision {self.revision}"
            )
        if self.dispatched_ms:
            lines.append(
                f"{_format_time(self.dispatched_ms)} dispatched by {holder}"
                f" to {self.server} as attempt {self.attempt_id}"
            )
        lines.append(self._describe_final_state())
        return "\n".join(lines)

    def _describe_final_state(self) -> str:
        if self.outcome is not None:
            return (
                f"{_format_time(self.finished_ms)} finished: {self.outcome.kind},"
                f" status {self.outcome.status}"
            )
        if self.state == "dispatched":
            return f"no outcome recorded: ask {self.server} whether the order ran"
        return "never dispatched: the order has not run"


def _format_holder(host: str, incarnation: int) -> str:
    return f"{host} (incarnation {incarnation})" if host else "an unknown host"


def _format_time(time_ms: int) -> str:
    moment = datetime.fromtimestamp(time_ms / 1000, UTC)
    return moment.isoformat(timespec="milliseconds")
