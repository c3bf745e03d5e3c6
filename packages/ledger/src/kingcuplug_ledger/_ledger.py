"""The order ledger, a state machine that the log applies.

A key goes from claimed to dispatched to finished and never back from dispatched,
so a key is dispatched at most once in its lifetime. Whatever a key's state, every
command can be repeated, delayed or overtaken by another.
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
from kingcuplug_ledger._entry import Entry, KeptOutcome
from kingcuplug_ledger._keys import KeyInvalid, parse_key
from kingcuplug_ledger._records import OrderRecord, PastClaim
from kingcuplug_ledger._results import (
    Claimed,
    Dispatched,
    DispatchRefused,
    Found,
    KeyExpired,
    KeyFromFuture,
    KeyReused,
    Malformed,
    OutcomeRefused,
    Recorded,
    Released,
    ReleaseRefused,
    Result,
)

__all__ = ["DumpInvalid", "OrderLedger"]

# Callers' clocks may be this far from the leader's.
SKEW_ALLOWANCE_MS = 300_000
# How long a release that came before its claim is remembered. A claim that is
# still under way after that has outlived every request's deadline (10 min).
TOMBSTONE_MS = 900_000
# Bounds the time of one command after a long silence, when many records are due.
PURGE_LIMIT = 64
_FORMAT = 1


class DumpInvalid(KingcuplugError):
    """A dump that cannot be loaded."""


class OrderLedger:
    """All orders within the retention.

    Attributes
    ----------
    time_ms : int
        Ledger time: the greatest time of any command, milliseconds since the
        epoch. It never goes back, so an expired key stays expired.
    """

    def __init__(self) -> None:
        self.time_ms = 0
        # The greatest issue time of a purged order. Without it, a key that was
        # purged could run again after the retention is made longer.
        self._purged_issue_ms = -1
        self._entries: dict[str, Entry] = {}
        self._due: list[tuple[int, str]] = []

    def __len__(self) -> int:
        """Return the number of records."""
        return len(self._entries)

    def apply(self, command: Command | Mapping[str, Any]) -> Result:
        """Apply a command from the log; `Malformed` if it is none."""
        try:
            if isinstance(command, Mapping):
                command = command_from_json(command)
            issue_ms = parse_key(command.key).issue_ms
        except (MessageInvalid, KeyInvalid) as error:
            return Malformed(error.message, error.remedy)
        if isinstance(command, Lookup):
            return Found(self.lookup(command.key))
        self.time_ms = max(self.time_ms, command.time_ms)
        self._purge()
        match command:
            case Claim():
                return self._claim(command, issue_ms)
            case Dispatch():
                return self._dispatch(command)
            case Outcome():
                return self._finish(command)
            case Release():
                return self._release(command, issue_ms)

    def lookup(self, key: str) -> OrderRecord | None:
        """Return what is known of an order."""
        entry = self._entries.get(key)
        return None if entry is None else entry.record()

    def explain(self, key: str) -> str:
        """Return what happened to an order, for an operator.

        Raises
        ------
        KeyInvalid
            If `key` is not an idempotency key.
        """
        issue_ms = parse_key(key).issue_ms
        entry = self._entries.get(key)
        if entry is not None:
            return entry.record().explain()
        if issue_ms <= self._purged_issue_ms:
            return f"order {key}: unknown, or purged after the retention"
        return f"order {key}: never claimed, so it has not run"

    def dump(self) -> dict[str, Any]:
        """Return the state as JSON values."""
        return {
            "format": _FORMAT,
            "time_ms": self.time_ms,
            "purged_issue_ms": self._purged_issue_ms,
            "entries": [entry.dump() for entry in self._entries.values()],
        }

    def load(self, state: Mapping[str, Any]) -> None:
        """Replace the state by a dump; on an error nothing is changed.

        Raises
        ------
        DumpInvalid
            If the dump has another format.
        """
        try:
            if state["format"] != _FORMAT:
                raise ValueError(f"format {state['format']!r} is not {_FORMAT}")
            entries = [Entry.load(values) for values in state["entries"]]
            time_ms, purged = int(state["time_ms"]), int(state["purged_issue_ms"])
        except (KeyError, TypeError, ValueError, IndexError) as error:
            raise DumpInvalid(
                f"the dump of the ledger is malformed: {error!r:.200}",
                "load a dump of the same format, or replace this voter",
            ) from error
        self.time_ms, self._purged_issue_ms = time_ms, purged
        self._entries = {entry.key: entry for entry in entries}
        self._due = [(entry.expires_ms, entry.key) for entry in entries]
        heapq.heapify(self._due)

    def _claim(self, command: Claim, issue_ms: int) -> Result:
        entry = self._entries.get(command.key)
        if entry is None or not entry.digest:
            return self._claim_first(command, issue_ms, entry)
        if (entry.digest, entry.service) != (command.digest, command.service):
            return KeyReused()
        if entry.state == "claimed" and entry.token == command.token:
            return Claimed(command.token)
        free = entry.state == "released" or (
            entry.state == "claimed" and command.takeover
        )
        if not free or entry.is_spent(command.token):
            return entry.attached()
        if self._is_expired(issue_ms, command.retention_ms):
            return KeyExpired()
        if entry.state == "claimed":
            entry.end("taken_over", self.time_ms)
        return self._hold(entry, command)

    def _claim_first(
        self, command: Claim, issue_ms: int, entry: Entry | None
    ) -> Result:
        """Claim a key that no claim has held; `entry` may remember a release."""
        if entry is not None and entry.is_spent(command.token):
            return entry.attached()
        ahead_ms = issue_ms - self.time_ms - SKEW_ALLOWANCE_MS
        if ahead_ms > 0:
            return KeyFromFuture(ahead_ms)
        if issue_ms <= self._purged_issue_ms or self._is_expired(
            issue_ms, command.retention_ms
        ):
            return KeyExpired()
        if entry is None:
            entry = self._entries[command.key] = Entry(command.key, issue_ms, 0)
        return self._hold(entry, command)

    def _hold(self, entry: Entry, command: Claim) -> Claimed:
        entry.state = "claimed"
        entry.service = command.service
        entry.digest = command.digest
        entry.token = command.token
        entry.host = command.host
        entry.host_incarnation = command.host_incarnation
        entry.revision = command.revision
        entry.retention_ms = max(entry.retention_ms, command.retention_ms)
        entry.claimed_ms = self.time_ms
        entry.share_strings()
        self._keep_until(entry, entry.issue_ms + entry.retention_ms + SKEW_ALLOWANCE_MS)
        return Claimed(command.token)

    def _dispatch(self, command: Dispatch) -> Result:
        entry = self._entries.get(command.key)
        if entry is None:
            return DispatchRefused("unknown_key")
        if entry.token != command.token:
            return DispatchRefused("superseded")
        if entry.state == "dispatched" and entry.attempt_id == command.attempt_id:
            return Dispatched(command.attempt_id)
        if entry.state != "claimed":
            return DispatchRefused("already_dispatched")
        if self._is_expired(entry.issue_ms, entry.retention_ms):
            return DispatchRefused("expired")
        entry.state = "dispatched"
        entry.server = command.server
        entry.attempt_id = command.attempt_id
        entry.dispatched_ms = self.time_ms
        entry.share_strings()
        return Dispatched(command.attempt_id)

    def _finish(self, command: Outcome) -> Result:
        entry = self._entries.get(command.key)
        if entry is None:
            return OutcomeRefused("unknown_key")
        if entry.token != command.token:
            return OutcomeRefused("superseded")
        if entry.state == "claimed":
            return OutcomeRefused("not_dispatched")
        kept = KeptOutcome.of(command)
        if entry.outcome == kept:
            return Recorded()
        # What the backend server said late is better than not knowing.
        if entry.outcome is not None and entry.outcome.kind != "unknown":
            return OutcomeRefused("already_finished", entry.outcome.stored())
        entry.state = "finished"
        entry.outcome = kept
        entry.finished_ms = self.time_ms
        return Recorded()

    def _release(self, command: Release, issue_ms: int) -> Result:
        entry = self._entries.get(command.key)
        if entry is None:
            if issue_ms <= self._purged_issue_ms:
                # The order may have run; an entry would say that it has not.
                return Released()
            entry = self._entries[command.key] = Entry(command.key, issue_ms, 0)
            self._keep_until(entry, self.time_ms + TOMBSTONE_MS)
        if entry.is_spent(command.token):
            return Released()
        if entry.token != command.token:
            # The claim may still be under way; it must find its token spent.
            now_ms = self.time_ms
            entry.spend(
                PastClaim(command.token, "", 0, now_ms, now_ms, "never_claimed")
            )
            return Released()
        if entry.state != "claimed":
            return ReleaseRefused("already_dispatched")
        entry.end("released", self.time_ms)
        return Released()

    def _is_expired(self, issue_ms: int, retention_ms: int) -> bool:
        return issue_ms + retention_ms < self.time_ms

    def _keep_until(self, entry: Entry, expires_ms: int) -> None:
        if entry.expires_ms != expires_ms:
            entry.expires_ms = expires_ms
            heapq.heappush(self._due, (expires_ms, entry.key))

    def _purge(self) -> None:
        """Forget some of the records that are due, always the same ones.

        Only records count towards the limit, not left-over items of the heap:
        a replica that has loaded a dump has none of these.
        """
        left = PURGE_LIMIT
        while left and self._due and self._due[0][0] < self.time_ms:
            expires_ms, key = heapq.heappop(self._due)
            entry = self._entries.get(key)
            if entry is None or entry.expires_ms != expires_ms:
                continue
            del self._entries[key]
            left -= 1
            if entry.digest:
                self._purged_issue_ms = max(self._purged_issue_ms, entry.issue_ms)
