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

__all__ = ["Entry", "KeptOutcome"]

# An entry that is claimed and given back more often forgets its oldest tokens. A
# duplicate of such an old claim would reserve the key again; it dispatches nothing.
PAST_CLAIMS_LIMIT = 32


class KeptOutcome(NamedTuple):
    """An outcome whose body is kept as JSON text.

    The text takes less than half of the memory of the value, and a snapshot of
    the ledger need not copy it.
    """

    kind: OutcomeKind
    status: str
    body_text: str
    body_digest: str

    @classmethod
    def of(cls, command: Outcome) -> "KeptOutcome":
        """Return the outcome that a command states."""
        # Unlike orjson, the standard library writes every value that it reads.
        body_text = json.dumps(command.body, separators=(",", ":"), sort_keys=True)
        kind = cast(OutcomeKind, intern(command.kind))
        return cls(kind, intern(command.status), body_text, command.body_digest)

    def stored(self) -> StoredOutcome:
        """Return the outcome with its body as a value."""
        body = json.loads(self.body_text)
        return StoredOutcome(self.kind, self.status, body, self.body_digest)


@dataclasses.dataclass(slots=True)
class Entry:
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
    outcome: KeptOutcome | None = None
    past_claims: tuple[PastClaim, ...] = ()

    def attached(self) -> Attached:
        """Return what another claimant of the key is told."""
        outcome = self.outcome and self.outcome.stored()
        return Attached(self.state, outcome, self.host, self.host_incarnation)

    def end(self, how: Literal["released", "taken_over"], now_ms: int) -> None:
        """End the present claim without a dispatch."""
        self.spend(
            PastClaim(
                self.token,
                self.host,
                self.host_incarnation,
                self.claimed_ms,
                now_ms,
                how,
            )
        )
        self.state = "released"
        self.token = ""

    def spend(self, past: PastClaim) -> None:
        """Remember a claim that ended without a dispatch."""
        self.past_claims = (*self.past_claims, past)[-PAST_CLAIMS_LIMIT:]

    def is_spent(self, token: str) -> bool:
        """Return whether a claim with this token has ended before."""
        return any(past.token == token for past in self.past_claims)

    def record(self) -> OrderRecord:
        """Return an immutable copy without the token."""
        fields = {name: getattr(self, name) for name in _RECORD_NAMES}
        fields["outcome"] = self.outcome and self.outcome.stored()
        return OrderRecord(**fields)

    def dump(self) -> list[Any]:
        """Return the fields in order, as JSON values."""
        values = list(_values(self))
        values[_OUTCOME] = None if self.outcome is None else list(self.outcome)
        values[_PAST] = [list(_past_values(past)) for past in self.past_claims]
        return values

    @classmethod
    def load(cls, values: list[Any]) -> "Entry":
        """Read what `dump` returned."""
        entry = cls(*values)
        if entry.outcome is not None:
            kind, status, *rest = values[_OUTCOME]
            kind = cast(OutcomeKind, intern(kind))
            entry.outcome = KeptOutcome(kind, intern(status), *rest)
        entry.past_claims = tuple(PastClaim(*past) for past in values[_PAST])
        entry.share_strings()
        return entry

    def share_strings(self) -> None:
        """Keep one copy of names that many entries have in common."""
        self.service = intern(self.service)
        self.host = intern(self.host)
        self.server = intern(self.server)


def _names(kind: type[Any]) -> tuple[str, ...]:
    return tuple(field.name for field in dataclasses.fields(kind))


_NAMES = _names(Entry)
_RECORD_NAMES = _names(OrderRecord)
_values = attrgetter(*_NAMES)
_past_values = attrgetter(*_names(PastClaim))
_OUTCOME = _NAMES.index("outcome")
_PAST = _NAMES.index("past_claims")
