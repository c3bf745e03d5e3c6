"""History of accepted configurations, a state machine replicated by the log.

A change replaces the configuration only if its base revision is the current one.
So an accepted change can never be accepted again, even after its id has been
evicted, because its base revision is outdated. Change ids are stored only so that a
resend gets the same result as the first submission.
"""

import dataclasses
from collections import deque
from collections.abc import Mapping
from itertools import islice
from sys import intern
from typing import Any, NamedTuple

from kingcuplug_common import KingcuplugError

from kingcuplug_configuration._commands import (
    Accepted,
    ApplyConfiguration,
    CommandInvalid,
    Conflict,
    Rejected,
    Result,
)
from kingcuplug_configuration._delta import (
    Delta,
    DigestMismatch,
    apply_deltas,
    compute_delta,
    merge_deltas,
)
from kingcuplug_configuration._faults import ConfigurationFault
from kingcuplug_configuration._graph import check_dependencies
from kingcuplug_configuration._models import ConfigurationText
from kingcuplug_configuration._parse import parse

__all__ = ["Change", "ConfigurationHistory", "DumpInvalid", "Revision"]

# 10 days at the target of 10,000 changes a day. A resend of an older change returns a
# conflict, although the change was accepted.
MAX_STORED_CHANGES = 100_000
# 10 hours at the target rate. A host that missed more deltas fetches the whole text.
MAX_STORED_DELTAS = 4_096
# Four whole texts of the target size; bounds the memory of deltas that change many
# services.
MAX_SERVICES_IN_STORED_DELTAS = 65_536
# 64 bits are enough to tell an accidental reuse of a change id from a resend.
_SHORT_DIGEST_CHARACTERS = 16
_DUMP_FORMAT = 1


class DumpInvalid(KingcuplugError):
    """A dump cannot be loaded."""


class Revision(NamedTuple):
    """One accepted configuration; number 0 is the empty text before any change."""

    number: int
    text: str
    digest: str
    change_id: str
    author: str
    time_ms: int


class Change(NamedTuple):
    """Summary of an accepted change."""

    revision: int
    short_digest: str
    author: str
    time_ms: int


class ConfigurationHistory:
    """Configuration state that is replicated on all voters."""

    def __init__(self) -> None:
        self.configuration = ConfigurationText()
        empty = self.configuration
        self.current = Revision(0, empty.text, empty.digest, "", "", 0)
        self._changes: dict[str, Change] = {}
        self._deltas: deque[Delta] = deque()
        self._services_in_deltas = 0

    def apply(self, command: ApplyConfiguration | Mapping[str, Any]) -> Result:
        """Apply a command from the log; return `Rejected` if it is malformed.

        An exception here would crash every voter that applies the same log entry.
        """
        if not isinstance(command, ApplyConfiguration):
            try:
                command = ApplyConfiguration.from_json(command)
            except CommandInvalid as error:
                fault = ConfigurationFault("command", error.message, error.remedy)
                return Rejected((fault,))
        known_result = self.known_result(command)
        if known_result is not None:
            return known_result
        if command.base_revision > self.current.number:
            return self._conflict_since(command.base_revision)
        try:
            proposed = self._validate_proposal(command)
        except ExceptionGroup as group:
            return Rejected(_faults_from_group(group))
        self._accept_change(command, proposed)
        return Accepted(self.current.number)

    def known_result(self, command: ApplyConfiguration) -> Result | None:
        """Return the result of a command if it is known without a log entry.

        The result of a resend of a stored change, and of a change whose base
        revision has been replaced, is already determined on any replica that has
        applied the revision after the base. None means that the change must be
        proposed.
        """
        accepted = self._changes.get(command.change_id)
        if accepted is not None:
            return _resend_result(accepted, command)
        if command.base_revision < self.current.number:
            return self._conflict_since(command.base_revision)
        return None

    def condense(self, command: ApplyConfiguration) -> ApplyConfiguration:
        """Validate a change and return it with a delta in place of its text.

        Hosts call this before they propose a change. A change whose base revision
        is not the current one is returned unchanged: it may be a resend, whose
        result `apply` determines.

        Raises
        ------
        ExceptionGroup
            Of `ConfigurationFault`, if the text has faults.
        """
        if command.delta is not None:
            return command
        proposed = parse(command.text)
        if command.base_revision != self.current.number:
            return command
        delta = compute_delta(self.configuration, proposed)
        return ApplyConfiguration(
            command.change_id,
            command.base_revision,
            "",
            command.author,
            command.time_ms,
            delta,
        )

    def deltas_since(self, revision: int) -> list[Delta] | None:
        """Return the deltas after a revision.

        None means that they have been evicted or that the revision does not exist,
        so that the whole text must be fetched.
        """
        missing = self.current.number - revision
        if missing < 0 or missing > len(self._deltas):
            return None
        return list(islice(self._deltas, len(self._deltas) - missing, None))

    def recent_changes(self, limit: int) -> list[Change]:
        """Return the last accepted changes, newest first."""
        return list(islice(reversed(self._changes.values()), limit))

    def find_change(self, change_id: str) -> Change | None:
        """Return an accepted change, or None if its id is not stored."""
        return self._changes.get(change_id)

    def dump(self) -> dict[str, Any]:
        """Return the state as JSON values."""
        return {
            "format": _DUMP_FORMAT,
            "current": list(self.current),
            "changes": [
                [change_id, *change] for change_id, change in self._changes.items()
            ],
            "deltas": [delta.to_json() for delta in self._deltas],
        }

    def load(self, state: Mapping[str, Any]) -> None:
        """Replace the state with a dump; on an error the state is unchanged.

        Raises
        ------
        DumpInvalid
            If the dump has another format, is malformed or has a wrong digest.
        """
        try:
            current, configuration = _load_current(state)
            changes = {
                change_id: Change(*fields) for change_id, *fields in state["changes"]
            }
            deltas = deque(Delta.from_json(item) for item in state["deltas"])
        except (KeyError, TypeError, ValueError, ExceptionGroup) as error:
            raise DumpInvalid(
                f"the dump of the configuration is malformed: {error!r:.200}",
                "load a dump of the same format, or replace this voter",
            ) from error
        self.current, self.configuration = current, configuration
        self._changes, self._deltas = changes, deltas
        self._services_in_deltas = sum(len(delta) for delta in deltas)

    def _conflict_since(self, base_revision: int) -> Conflict:
        deltas = self.deltas_since(base_revision)
        return Conflict(
            self.current.number,
            self.current.author,
            self.current.time_ms,
            merge_deltas(deltas) if deltas else None,
        )

    def _validate_proposal(self, command: ApplyConfiguration) -> ConfigurationText:
        if command.delta is None:
            return parse(command.text)
        try:
            proposed = apply_deltas(self.configuration, [command.delta])
        except DigestMismatch as error:
            fault = ConfigurationFault("delta", error.message, "send the whole text")
            raise ExceptionGroup(
                "the delta does not match its base", [fault]
            ) from error
        _check_changed_dependencies(self.configuration, proposed, command.delta)
        return proposed

    def _accept_change(
        self, command: ApplyConfiguration, new: ConfigurationText
    ) -> None:
        digest = new.digest
        revision = self.current.number + 1
        author = intern(command.author)
        delta = self._numbered_delta(command, new, revision)
        self.current = Revision(
            revision, new.text, digest, command.change_id, author, command.time_ms
        )
        self.configuration = new
        self._changes[command.change_id] = Change(
            revision, digest[:_SHORT_DIGEST_CHARACTERS], author, command.time_ms
        )
        self._deltas.append(delta)
        self._services_in_deltas += len(delta)
        self._evict_oldest()

    def _numbered_delta(
        self, command: ApplyConfiguration, new: ConfigurationText, revision: int
    ) -> Delta:
        if command.delta is None:
            return compute_delta(self.configuration, new, revision)
        base_digest = self.current.digest
        return dataclasses.replace(
            command.delta, base_digest=base_digest, revision=revision
        )

    def _evict_oldest(self) -> None:
        while len(self._changes) > MAX_STORED_CHANGES:
            del self._changes[next(iter(self._changes))]
        while (
            len(self._deltas) > MAX_STORED_DELTAS
            or self._services_in_deltas > MAX_SERVICES_IN_STORED_DELTAS
        ):
            self._services_in_deltas -= len(self._deltas.popleft())


def _check_changed_dependencies(
    old: ConfigurationText, new: ConfigurationText, delta: Delta
) -> None:
    """Raise an ExceptionGroup if a delta makes the dependencies invalid.

    Names and limits within one service need no check here, because the services of
    a delta were validated by `parse` or `Delta.from_json`. The graph is checked only
    if the delta changes it, which few changes do.
    """
    graph_is_unchanged = not delta.removed and all(
        name in old.services and old.services[name].depends_on == service.depends_on
        for name, service in delta.changed.items()
    )
    if graph_is_unchanged:
        return
    graph = {name: service.depends_on for name, service in new.services.items()}
    faults = list(check_dependencies(graph))
    if faults:
        raise ExceptionGroup("the delta breaks dependencies", faults)


def _resend_result(accepted: Change, command: ApplyConfiguration) -> Result:
    """Return the result of a resend, or reject the reuse of a change id."""
    if _short_digest(command) == accepted.short_digest:
        return Accepted(accepted.revision)
    fault = ConfigurationFault(
        "change_id",
        f"{command.change_id!r} names another change, revision {accepted.revision}"
        f" by {accepted.author}",
        "use a new change id for each change",
    )
    return Rejected((fault,))


def _short_digest(command: ApplyConfiguration) -> str:
    if command.delta is not None:
        return command.delta.digest[:_SHORT_DIGEST_CHARACTERS]
    try:
        proposed = parse(command.text)
    except ExceptionGroup:
        return ""
    return proposed.digest[:_SHORT_DIGEST_CHARACTERS]


def _faults_from_group(group: ExceptionGroup[Any]) -> tuple[ConfigurationFault, ...]:
    return tuple(
        fault for fault in group.exceptions if isinstance(fault, ConfigurationFault)
    )


def _load_current(state: Mapping[str, Any]) -> tuple[Revision, ConfigurationText]:
    if state["format"] != _DUMP_FORMAT:
        raise ValueError(f"format {state['format']!r} is not {_DUMP_FORMAT}")
    current = Revision(*state["current"])
    configuration = parse(current.text)
    if configuration.digest != current.digest:
        raise ValueError(f"the text does not have the digest {current.digest}")
    return current, configuration
