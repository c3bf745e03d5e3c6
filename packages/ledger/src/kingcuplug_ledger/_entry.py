"""The ledger's mutable entry for one order, and its compact JSON form."""

import dataclasses
import json
from operator import attrgetter
from sys import intern
from typing import Any, Literal, NamedTuple, cast

from kingcuplug_ledger._commands import Outcome, OutcomeKind
from kingcuplug_ledger._records import (
    OrderRecord,
    OrderState,
    PastClaim,
    StoredOutcome,
)
from kingcuplug_ledger._results import Attached

__all__ = ["LedgerEntry", "SerializedOutcome"]

# Beyond this number the oldest revoked tokens are dropped. A duplicate of such an
# old claim would claim the key again, but it could not cause a dispatch.
PAST_CLAIMS_LIMIT = 32


class SerializedOutcome(NamedTuple):
    """Outcome whose body is stored as JSON text.

    The text takes less than half of the memory of the parsed value, and a snapshot
    of the ledger does not have to copy it.
    """

    kind: OutcomeKind
    status: str
    body_text: str
    body_digest: str

    @classmethod
    def from_command(cls, command: Outcome) -> "SerializedOutcome":
        """Return the outcome that a command records."""
        # Unlike orjson, the standard library can write every value that it reads.
        body_text = json.dumps(command.body, separators=(",", ":"), sort_keys=True)
        kind = cast(OutcomeKind, intern(command.kind))
        return cls(kind, intern(command.status), body_text, command.body_digest)

    def to_stored_outcome(self) -> StoredOutcome:
        """Return the outcome with its body as a parsed JSON value."""
        body = json.loads(self.body_text)
        return StoredOutcome(self.kind, self.status, body, self.body_digest)


@dataclasses.dataclass(slots=True)
class LedgerEntry:
    """State of one key; the fields are those of `OrderRecord`.

    `token` is empty while the key is not claimed. `digest` is empty while the entry
    only stores the token of a release that was applied before its claim.
    """

    key: str
    issue_ms: int
    expires_ms: int
    state: OrderState = "released"
    service: str = ""
    digest: str = ""
    token: str = ""
    host: str = ""
    host_incarnation: int = 0
    revision: int = 0
    retention_ms: int = 0
    claimed_ms: int = 0
    dispatched_ms: int = 0
    finished_ms: int = 0
    server: str = ""
    attempt_id: str = ""
    outcome: SerializedOutcome | None = None
    past_claims: tuple[PastClaim, ...] = ()

    def to_attached(self) -> Attached:
        """Return the result for another host that tries to claim the key."""
        outcome = self.outcome and self.outcome.to_stored_outcome()
        return Attached(self.state, outcome, self.host, self.host_incarnation)

    def end_claim(self, reason: Literal["released", "taken_over"], now_ms: int) -> None:
        """End the current claim, which was not dispatched, and revoke its token."""
        self.add_past_claim(
            PastClaim(
                self.token,
                self.host,
                self.host_incarnation,
                self.claimed_ms,
                now_ms,
                reason,
            )
        )
        self.state = "released"
        self.token = ""

    def add_past_claim(self, past_claim: PastClaim) -> None:
        """Store a claim that ended without a dispatch."""
        self.past_claims = (*self.past_claims, past_claim)[-PAST_CLAIMS_LIMIT:]

    def is_revoked(self, token: str) -> bool:
        """Return whether a claim with this token has ended without a dispatch."""
        return any(past_claim.token == token for past_claim in self.past_claims)

    def to_record(self) -> OrderRecord:
        """Return an immutable copy without the token."""
        fields = {name: getattr(self, name) for name in _RECORD_FIELD_NAMES}
        fields["outcome"] = self.outcome and self.outcome.to_stored_outcome()
        return OrderRecord(**fields)

    def dump(self) -> list[Any]:
        """Return the values of the fields in order, as JSON values."""
        values = list(_entry_values(self))
        values[_OUTCOME_INDEX] = None if self.outcome is None else list(self.outcome)
        values[_PAST_CLAIMS_INDEX] = [
            list(_past_claim_values(past_claim)) for past_claim in self.past_claims
        ]
        return values

    @classmethod
    def load(cls, values: list[Any]) -> "LedgerEntry":
        """Restore an entry from the result of `dump`."""
        entry = cls(*values)
        if entry.outcome is not None:
            kind, status, *body_fields = values[_OUTCOME_INDEX]
            kind = cast(OutcomeKind, intern(kind))
            entry.outcome = SerializedOutcome(kind, intern(status), *body_fields)
        entry.past_claims = tuple(
            PastClaim(*past_claim) for past_claim in values[_PAST_CLAIMS_INDEX]
        )
        entry.intern_strings()
        return entry

    def intern_strings(self) -> None:
        """Intern the names that many entries share, to save memory."""
        self.service = intern(self.service)
        self.host = intern(self.host)
        self.server = intern(self.server)


def _field_names(dataclass: type[Any]) -> tuple[str, ...]:
    return tuple(field.name for field in dataclasses.fields(dataclass))


_FIELD_NAMES = _field_names(LedgerEntry)
_RECORD_FIELD_NAMES = _field_names(OrderRecord)
_entry_values = attrgetter(*_FIELD_NAMES)
_past_claim_values = attrgetter(*_field_names(PastClaim))
_OUTCOME_INDEX = _FIELD_NAMES.index("outcome")
_PAST_CLAIMS_INDEX = _FIELD_NAMES.index("past_claims")
