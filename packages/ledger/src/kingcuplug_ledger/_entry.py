"""The ledger's mutable entry for one order, and its compact JSON."""

import dataclasses
from sys import intern
from typing import Any, Literal

from kingcuplug_ledger._records import (
    OrderRecord,
    OrderState,
    PastClaim,
    StoredOutcome,
)
from kingcuplug_ledger._results import Attached

__all__ = ["Entry"]

# An entry that is claimed and given back more often forgets its oldest tokens. A
# duplicate of such an old claim would reserve the key again; it dispatches nothing.
PAST_CLAIMS_LIMIT = 32


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
    outcome: StoredOutcome | None = None
    past_claims: tuple[PastClaim, ...] = ()

    def attached(self) -> Attached:
        """Return what another claimant of the key is told."""
        return Attached(self.state, self.outcome, self.host, self.host_incarnation)

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
        names = OrderRecord.__dataclass_fields__
        return OrderRecord(**{name: getattr(self, name) for name in names})

    def dump(self) -> list[Any]:
        """Return the fields in order, as JSON values."""
        values = [getattr(self, name) for name in _NAMES]
        if self.outcome is not None:
            values[_OUTCOME] = dataclasses.astuple(self.outcome)
        values[_PAST] = [list(dataclasses.astuple(past)) for past in self.past_claims]
        return values

    @classmethod
    def load(cls, values: list[Any]) -> "Entry":
        """Read what `dump` returned."""
        entry = cls(*values)
        if entry.outcome is not None:
            entry.outcome = StoredOutcome(*values[_OUTCOME])
        entry.past_claims = tuple(PastClaim(*past) for past in values[_PAST])
        entry.share_strings()
        return entry

    def share_strings(self) -> None:
        """Keep one copy of names that many entries have in common."""
        self.service = intern(self.service)
        self.host = intern(self.host)
        self.server = intern(self.server)


_NAMES = tuple(field.name for field in dataclasses.fields(Entry))
_OUTCOME = _NAMES.index("outcome")
_PAST = _NAMES.index("past_claims")
