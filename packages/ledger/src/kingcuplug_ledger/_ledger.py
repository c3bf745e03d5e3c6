"""The order ledger, a deterministic state machine replicated by the log.

A key goes from claimed to dispatched to finished and never back from dispatched,
so it is dispatched at most once in its lifetime. In every state, commands may be
duplicated, delayed or reordered.
"""

import heapq
from collections.abc import Mapping
from typing import Any

from kingcuplug_common import KingcuplugError

from kingcuplug_ledger._codec import MessageInvalid
from kingcuplug_ledger._commands import (
    Claim,
    Command,
    Dispatch,
    Lookup,
    Outcome,
    Release,
    command_from_json,
)
from kingcuplug_ledger._entry import LedgerEntry, SerializedOutcome
from kingcuplug_ledger._keys import KeyInvalid, parse_key
from kingcuplug_ledger._records import OrderRecord, PastClaim
from kingcuplug_ledger._results import (
    Claimed,
    DispatchRecorded,
    DispatchRefused,
    KeyExpired,
    KeyFromFuture,
    KeyReused,
    LookupResult,
    MalformedCommand,
    OutcomeRecorded,
    OutcomeRefused,
    Released,
    ReleaseRefused,
    Result,
)

__all__ = ["DumpInvalid", "OrderLedger"]

# Greatest tolerated difference between a caller's clock and the leader's.
MAX_CLOCK_SKEW_MS = 300_000
# How long the ledger keeps the token of a release that was applied before its claim.
# It exceeds the longest deadline of a request (10 min), so that a delayed claim still
# finds its token revoked.
TOMBSTONE_RETENTION_MS = 900_000
# Bounds the time of one command when many records have expired, as after a long
# period without commands.
MAX_PURGED_RECORDS_PER_COMMAND = 64
_DUMP_FORMAT = 1


class DumpInvalid(KingcuplugError):
    """A dump cannot be loaded."""


class OrderLedger:
    """All orders within the retention.

    Attributes
    ----------
    time_ms : int
        Ledger time: the latest `time_ms` of all applied commands, milliseconds
        since the epoch. It never decreases, so an expired key stays expired.
    """

    def __init__(self) -> None:
        self.time_ms = 0
        # The latest issue time of all purged orders. Without it, a purged key could
        # be claimed again after the retention has been increased.
        self._max_purged_issue_ms = -1
        self._entries: dict[str, LedgerEntry] = {}
        self._expiry_heap: list[tuple[int, str]] = []

    def __len__(self) -> int:
        """Return the number of records."""
        return len(self._entries)

    def apply(self, command: Command | Mapping[str, Any]) -> Result:
        """Apply a command; return `MalformedCommand` if it is malformed."""
        try:
            if isinstance(command, Mapping):
                command = command_from_json(command)
            issue_ms = parse_key(command.key).issue_ms
        except (MessageInvalid, KeyInvalid) as error:
            return MalformedCommand(error.message, error.remedy)
        if isinstance(command, Lookup):
            return LookupResult(self.lookup(command.key))
        self.time_ms = max(self.time_ms, command.time_ms)
        self._purge_expired()
        match command:
            case Claim():
                return self._apply_claim(command, issue_ms)
            case Dispatch():
                return self._apply_dispatch(command)
            case Outcome():
                return self._apply_outcome(command)
            case Release():
                return self._apply_release(command, issue_ms)

    def lookup(self, key: str) -> OrderRecord | None:
        """Return the record of an order, or None if there is none."""
        entry = self._entries.get(key)
        return None if entry is None else entry.to_record()

    def explain(self, key: str) -> str:
        """Return the history of an order as text for operators.

        Raises
        ------
        KeyInvalid
            If `key` is not an idempotency key.
        """
        issue_ms = parse_key(key).issue_ms
        entry = self._entries.get(key)
        if entry is not None:
            return entry.to_record().explain()
        if issue_ms <= self._max_purged_issue_ms:
            return f"order {key}: unknown, or purged after the retention"
        return f"order {key}: never claimed, so it has not run"

    def dump(self) -> dict[str, Any]:
        """Return the state as JSON values."""
        return {
            "format": _DUMP_FORMAT,
            "time_ms": self.time_ms,
            "purged_issue_ms": self._max_purged_issue_ms,
            "entries": [entry.dump() for entry in self._entries.values()],
        }

    def load(self, state: Mapping[str, Any]) -> None:
        """Replace the state with a dump; on an error the state is unchanged.

        Raises
        ------
        DumpInvalid
            If the dump has another format or is malformed.
        """
        try:
            if state["format"] != _DUMP_FORMAT:
                raise ValueError(f"format {state['format']!r} is not {_DUMP_FORMAT}")
            entries = [LedgerEntry.load(values) for values in state["entries"]]
            time_ms, max_purged_issue_ms = (
                int(state["time_ms"]),
                int(state["purged_issue_ms"]),
            )
        except (KeyError, TypeError, ValueError, IndexError) as error:
            raise DumpInvalid(
                f"the dump of the ledger is malformed: {error!r:.200}",
                "load a dump of the same format, or replace this voter",
            ) from error
        self.time_ms, self._max_purged_issue_ms = time_ms, max_purged_issue_ms
        self._entries = {entry.key: entry for entry in entries}
        self._expiry_heap = [(entry.expires_ms, entry.key) for entry in entries]
        heapq.heapify(self._expiry_heap)

    def _apply_claim(self, command: Claim, issue_ms: int) -> Result:
        entry = self._entries.get(command.key)
        if entry is None or not entry.digest:
            return self._claim_new_key(command, issue_ms, entry)
        if (entry.digest, entry.service) != (command.digest, command.service):
            return KeyReused()
        if entry.state == "claimed" and entry.token == command.token:
            return Claimed(command.token)
        claimable = entry.state == "released" or (
            entry.state == "claimed" and command.takeover
        )
        if not claimable or entry.is_revoked(command.token):
            return entry.to_attached()
        if self._is_expired(issue_ms, command.retention_ms):
            return KeyExpired()
        if entry.state == "claimed":
            entry.end_claim("taken_over", self.time_ms)
        return self._grant_claim(entry, command)

    def _claim_new_key(
        self, command: Claim, issue_ms: int, entry: LedgerEntry | None
    ) -> Result:
        """Claim a key for the first time; `entry` may hold an earlier release."""
        if entry is not None and entry.is_revoked(command.token):
            return entry.to_attached()
        ahead_ms = issue_ms - self.time_ms - MAX_CLOCK_SKEW_MS
        if ahead_ms > 0:
            return KeyFromFuture(ahead_ms)
        if issue_ms <= self._max_purged_issue_ms or self._is_expired(
            issue_ms, command.retention_ms
        ):
            return KeyExpired()
        if entry is None:
            entry = self._entries[command.key] = LedgerEntry(command.key, issue_ms, 0)
        return self._grant_claim(entry, command)

    def _grant_claim(self, entry: LedgerEntry, command: Claim) -> Claimed:
        entry.state = "claimed"
        entry.service = command.service
        entry.digest = command.digest
        entry.token = command.token
        entry.host = command.host
        entry.host_incarnation = command.host_incarnation
        entry.revision = command.revision
        entry.retention_ms = max(entry.retention_ms, command.retention_ms)
        entry.claimed_ms = self.time_ms
        entry.intern_strings()
        self._set_expiry(entry, entry.issue_ms + entry.retention_ms + MAX_CLOCK_SKEW_MS)
        return Claimed(command.token)

    def _apply_dispatch(self, command: Dispatch) -> Result:
        entry = self._entries.get(command.key)
        if entry is None:
            return DispatchRefused("unknown_key")
        if entry.token != command.token:
            return DispatchRefused("superseded")
        if entry.state == "dispatched" and entry.attempt_id == command.attempt_id:
            return DispatchRecorded(command.attempt_id)
        if entry.state != "claimed":
            return DispatchRefused("already_dispatched")
        if self._is_expired(entry.issue_ms, entry.retention_ms):
            return DispatchRefused("expired")
        entry.state = "dispatched"
        entry.server = command.server
        entry.attempt_id = command.attempt_id
        entry.dispatched_ms = self.time_ms
        entry.intern_strings()
        return DispatchRecorded(command.attempt_id)

    def _apply_outcome(self, command: Outcome) -> Result:
        entry = self._entries.get(command.key)
        if entry is None:
            return OutcomeRefused("unknown_key")
        if entry.token != command.token:
            return OutcomeRefused("superseded")
        if entry.state == "claimed":
            return OutcomeRefused("not_dispatched")
        serialized = SerializedOutcome.from_command(command)
        if entry.outcome == serialized:
            return OutcomeRecorded()
        # A late reply of the backend server replaces an unknown outcome.
        if entry.outcome is not None and entry.outcome.kind != "unknown":
            return OutcomeRefused("already_finished", entry.outcome.to_stored_outcome())
        entry.state = "finished"
        entry.outcome = serialized
        entry.finished_ms = self.time_ms
        return OutcomeRecorded()

    def _apply_release(self, command: Release, issue_ms: int) -> Result:
        entry = self._entries.get(command.key)
        if entry is None:
            if issue_ms <= self._max_purged_issue_ms:
                # The order may have run, but a new entry would state that it has not.
                return Released()
            entry = self._entries[command.key] = LedgerEntry(command.key, issue_ms, 0)
            self._set_expiry(entry, self.time_ms + TOMBSTONE_RETENTION_MS)
        if entry.is_revoked(command.token):
            return Released()
        if entry.token != command.token:
            # A claim that is still in flight must find its token revoked.
            now_ms = self.time_ms
            entry.add_past_claim(
                PastClaim(command.token, "", 0, now_ms, now_ms, "never_claimed")
            )
            return Released()
        if entry.state != "claimed":
            return ReleaseRefused("already_dispatched")
        entry.end_claim("released", self.time_ms)
        return Released()

    def _is_expired(self, issue_ms: int, retention_ms: int) -> bool:
        return issue_ms + retention_ms < self.time_ms

    def _set_expiry(self, entry: LedgerEntry, expires_ms: int) -> None:
        if entry.expires_ms != expires_ms:
            entry.expires_ms = expires_ms
            heapq.heappush(self._expiry_heap, (expires_ms, entry.key))

    def _purge_expired(self) -> None:
        """Delete expired records, up to the limit per command.

        All replicas must delete the same records. Therefore only records count
        towards the limit, not stale items of the heap: a replica that has loaded a
        dump has no stale items.
        """
        remaining = MAX_PURGED_RECORDS_PER_COMMAND
        while (
            remaining and self._expiry_heap and self._expiry_heap[0][0] < self.time_ms
        ):
            expires_ms, key = heapq.heappop(self._expiry_heap)
            entry = self._entries.get(key)
            if entry is None or entry.expires_ms != expires_ms:
                continue
            del self._entries[key]
            remaining -= 1
            if entry.digest:
                self._max_purged_issue_ms = max(
                    self._max_purged_issue_ms, entry.issue_ms
                )
