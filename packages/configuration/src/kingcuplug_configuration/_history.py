"""The history of accepted configurations, a state machine that the log applies.

A change replaces the configuration only if its base revision is still in force.
So a change that was accepted once can never be accepted again, whatever this
history has forgotten: its base revision stays behind. The memory of change ids
serves only to give a resend the same answer as the first one.
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
    difference,
    merge_deltas,
    replay,
)
from kingcuplug_configuration._faults import ConfigurationFault
from kingcuplug_configuration._graph import check_dependencies
from kingcuplug_configuration._models import ConfigurationText
from kingcuplug_configuration._parse import parse

__all__ = ["Change", "ConfigurationHistory", "DumpInvalid", "Revision"]

# 10 days at the target of 10,000 changes a day; a resend that is older gets a
# conflict in place of its acceptance.
MAX_STORED_CHANGES = 100_000
# 10 hours at the target rate. A host that missed more gets the whole text.
MAX_STORED_DELTAS = 4_096
# Four whole texts of the target size, so that wide changes cannot fill the memory.
MAX_SERVICES_IN_STORED_DELTAS = 65_536
# 64 bits tell an accidental reuse of a change id from a resend.
_SHORT_DIGEST_CHARACTERS = 16
_DUMP_FORMAT = 1


class DumpInvalid(KingcuplugError):
    """A dump that cannot be loaded."""


class Revision(NamedTuple):
    """One accepted configuration; number 0 is the empty text before any change."""

    number: int
    text: str
    digest: str
    change_id: str
    author: str
    time_ms: int


class Change(NamedTuple):
    """What is remembered of an accepted change."""

    revision: int
    short_digest: str
    author: str
    time_ms: int


class ConfigurationHistory:
    """All that voters agree on about the configuration."""

    def __init__(self) -> None:
        self.configuration = ConfigurationText()
        empty = self.configuration
        self.current = Revision(0, empty.text, empty.digest, "", "", 0)
        self._changes: dict[str, Change] = {}
        self._deltas: deque[Delta] = deque()
        self._services_in_deltas = 0

    def apply(self, command: ApplyConfiguration | Mapping[str, Any]) -> Result:
        """Apply a command from the log; a malformed one is `Rejected`.

        An exception here would end every voter that applies the same entry.
        """
        if not isinstance(command, ApplyConfiguration):
            try:
                command = ApplyConfiguration.from_json(command)
            except CommandInvalid as error:
                fault = ConfigurationFault("command", error.message, error.remedy)
                return Rejected((fault,))
        settled = self.settled(command)
        if settled is not None:
            return settled
        if command.base_revision > self.current.number:
            return self._conflict_since(command.base_revision)
        try:
            proposed = self._validate_proposal(command)
        except ExceptionGroup as group:
            return Rejected(_faults_from_group(group))
        self._accept_change(command, proposed)
        return Accepted(self.current.number)

    def settled(self, command: ApplyConfiguration) -> Result | None:
        """Return the result if it is certain without an entry in the log.

        A resend of a known change and a change whose base revision has been
        replaced have their results already, on any replica that knows the
        revision after the base. None means that the change must be proposed.
        """
        known = self._changes.get(command.change_id)
        if known is not None:
            return _resend_result(known, command)
        if command.base_revision < self.current.number:
            return self._conflict_since(command.base_revision)
        return None

    def condense(self, command: ApplyConfiguration) -> ApplyConfiguration:
        """Validate a change and return it with a delta in place of its text.

        Hosts that propose a change call this before they do so. A change whose
        base revision is not in force here is returned as it is: it may be a
        resend, and `apply` finds the answer.

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
        delta = difference(self.configuration, proposed)
        return ApplyConfiguration(
            command.change_id,
            command.base_revision,
            "",
            command.author,
            command.time_ms,
            delta,
        )

    def since(self, revision: int) -> list[Delta] | None:
        """Return the deltas after revision `number`.

        None means that they are not kept any more, or that the revision does not
        exist; the whole text is needed then.
        """
        missing = self.current.number - revision
        if missing < 0 or missing > len(self._deltas):
            return None
        return list(islice(self._deltas, len(self._deltas) - missing, None))

    def recent(self, limit: int) -> list[Change]:
        """Return what is remembered of the last changes, the newest first."""
        return list(islice(reversed(self._changes.values()), limit))

    def find_change(self, change_id: str) -> Change | None:
        """Return what is remembered of an accepted change."""
        return self._changes.get(change_id)

    def dump(self) -> dict[str, Any]:
        """Return the state as JSON values."""
        return {
            "format": _DUMP_FORMAT,
            "current": list(self.current),
            "changes": [[name, *change] for name, change in self._changes.items()],
            "deltas": [delta.to_json() for delta in self._deltas],
        }

    def load(self, state: Mapping[str, Any]) -> None:
        """Replace the state by a dump; on an error nothing is changed.

        Raises
        ------
        DumpInvalid
            If the dump has another format or its digest is wrong.
        """
        try:
            current, configuration = _load_current(state)
            changes = {name: Change(*rest) for name, *rest in state["changes"]}
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
        missed = self.since(base_revision)
        return Conflict(
            self.current.number,
            self.current.author,
            self.current.time_ms,
            merge_deltas(missed) if missed else None,
        )

    def _validate_proposal(self, command: ApplyConfiguration) -> ConfigurationText:
        if command.delta is None:
            return parse(command.text)
        try:
            proposed = replay(self.configuration, [command.delta])
        except DigestMismatch as error:
            fault = ConfigurationFault("delta", error.message, "send the whole text")
            raise ExceptionGroup("the delta does not fit", [fault]) from error
        _check_changed_dependencies(self.configuration, proposed, command.delta)
        return proposed

    def _accept_change(
        self, command: ApplyConfiguration, new: ConfigurationText
    ) -> None:
        digest = new.digest
        number = self.current.number + 1
        author = intern(command.author)
        delta = self._numbered_delta(command, new, number)
        self.current = Revision(
            number, new.text, digest, command.change_id, author, command.time_ms
        )
        self.configuration = new
        self._changes[command.change_id] = Change(
            number, digest[:_SHORT_DIGEST_CHARACTERS], author, command.time_ms
        )
        self._deltas.append(delta)
        self._services_in_deltas += len(delta)
        self._evict_oldest()

    def _numbered_delta(
        self, command: ApplyConfiguration, new: ConfigurationText, number: int
    ) -> Delta:
        if command.delta is None:
            return difference(self.configuration, new, number)
        base_digest = self.current.digest
        return dataclasses.replace(
            command.delta, base_digest=base_digest, revision=number
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
    """Raise an ExceptionGroup of the faults in the dependencies after a delta.

    Names and limits within one service need no check here, because a delta's
    services come from `parse` or `Delta.from_json`. The graph is searched only if
    the delta changes it, which most changes do not.
    """
    same = not delta.removed and all(
        name in old.services and old.services[name].depends_on == service.depends_on
        for name, service in delta.changed.items()
    )
    if same:
        return
    graph = {name: service.depends_on for name, service in new.services.items()}
    faults = list(check_dependencies(graph))
    if faults:
        raise ExceptionGroup("the delta breaks dependencies", faults)


def _resend_result(known: Change, command: ApplyConfiguration) -> Result:
    """Answer a resend, or tell that the change id is used for two changes."""
    if _short_digest(command) == known.short_digest:
        return Accepted(known.revision)
    fault = ConfigurationFault(
        "change_id",
        f"{command.change_id!r} names another change, revision {known.revision}"
        f" by {known.author}",
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
    return tuple(f for f in group.exceptions if isinstance(f, ConfigurationFault))


def _load_current(state: Mapping[str, Any]) -> tuple[Revision, ConfigurationText]:
    if state["format"] != _DUMP_FORMAT:
        raise ValueError(f"format {state['format']!r} is not {_DUMP_FORMAT}")
    current = Revision(*state["current"])
    configuration = parse(current.text)
    if configuration.digest != current.digest:
        raise ValueError(f"the text does not have the digest {current.digest}")
    return current, configuration
