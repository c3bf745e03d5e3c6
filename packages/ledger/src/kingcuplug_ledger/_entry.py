"""The ledger's mutable entry for one order, and its compact JSON."""

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

# An entry that is claimed and given back more often forgets its oldest tokens. A
# duplicate of such an old claim would reserve the key again; it dispatches nothing.
PAST_CLAIMS_LIMIT = 32


class SerializedOutcome(NamedTuple):
    """An outcome whose body is kept as JSON text.

    The text takes less than half of the memory of the value, and a snapshot of
    the ledger need not copy it.
    """

    kind: OutcomeKind
    status: str
    body_text: str
    body_digest: str

    @classmethod
    def from_command(cls, command: Outcome) -> "SerializedOutcome":
        """Return the outcome that a command states."""
        # Unlike orjson, the standard library writes every value that it reads.
        body_text = json.dumps(command.body, separators=(",", ":"), sort_keys=True)
        kind = cast(OutcomeKind, intern(command.kind))
        return cls(kind, intern(command.status), body_text, command.body_digest)

    def to_stored_outcome(self) -> StoredOutcome:
        """Return the outcome with its body as a value."""
        body = json.loads(self.body_text)
        return StoredOutcome(self.kind, self.status, body, self.body_digest)


@dataclasses.dataclass(slots=True)
class LedgerEntry:
    """State of one key; the fields are those of `OrderRecord`.

    `token` is empty while no claim holds the key. `digest` is empty while the
    entry only remembers a release that came before its claim.
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
        """Return what another claimant of the key is told."""
        outcome = self.outcome and self.outcome.to_stored_outcome()
        return Attached(self.state, outcome, self.host, self.host_incarnation)

    def end_claim(self, reason: Literal["released", "taken_over"], now_ms: int) -> None:
        """End the present claim without a dispatch."""
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
        """Remember a claim that ended without a dispatch."""
        self.past_claims = (*self.past_claims, past_claim)[-PAST_CLAIMS_LIMIT:]

    def is_revoked(self, token: str) -> bool:
        """Return whether a claim with this token has ended before."""
        return any(past.token == token for past in self.past_claims)

    def to_record(self) -> OrderRecord:
        """Return an immutable copy without the token."""
        fields = {name: getattr(self, name) for name in _RECORD_FIELD_NAMES}
        fields["outcome"] = self.outcome and self.outcome.to_stored_outcome()
        return OrderRecord(**fields)

    def dump(self) -> list[Any]:
        """Return the fields in order, as JSON values."""
        values = list(_entry_values(self))
        values[_OUTCOME_INDEX] = None if self.outcome is None else list(self.outcome)
        values[_PAST_CLAIMS_INDEX] = [
            list(_past_claim_values(past)) for past in self.past_claims
        ]
        return values

    @classmethod
    def load(cls, values: list[Any]) -> "LedgerEntry":
        """Read what `dump` returned."""
        entry = cls(*values)
        if entry.outcome is not None:
            kind, status, *rest = values[_OUTCOME_INDEX]
            kind = cast(OutcomeKind, intern(kind))
            entry.outcome = SerializedOutcome(kind, intern(status), *rest)
        entry.past_claims = tuple(
            PastClaim(*past) for past in values[_PAST_CLAIMS_INDEX]
        )
        entry.intern_strings()
        return entry

    def intern_strings(self) -> None:
        """Keep one copy of names that many entries have in common."""
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
