"""Results of the commands about the configuration."""

import dataclasses
from collections.abc import Iterator
from datetime import UTC, datetime

from kingcuplug_cli._results import ExitCode

__all__ = [
    "ApplyConflict",
    "ApplyResult",
    "CheckResult",
    "CurrentConfiguration",
    "DiffResult",
    "HostRow",
    "InForceStatus",
    "RevisionHistory",
    "RevisionRow",
    "TextFault",
    "format_time",
]

_MS_PER_S = 1_000
_SHORT_DIGEST_CHARACTERS = 12


def format_time(time_ms: int) -> str:
    """Return a wall clock time in readable form."""
    moment = datetime.fromtimestamp(time_ms / _MS_PER_S, UTC)
    return moment.strftime("%Y-%m-%d %H:%M:%S UTC")


@dataclasses.dataclass(frozen=True, slots=True)
class TextFault:
    """One fault of a configuration text."""

    path: str
    message: str
    remedy: str


@dataclasses.dataclass(frozen=True, slots=True)
class CheckResult:
    """Whether a configuration text is valid, and its faults."""

    services: int
    faults: tuple[TextFault, ...] = ()

    @property
    def exit_code(self) -> ExitCode:
        """``REFUSED`` if there are faults."""
        return ExitCode.REFUSED if self.faults else ExitCode.DONE

    def lines(self) -> Iterator[str]:
        """Yield one line per fault."""
        if not self.faults:
            yield f"valid: {self.services} services"
            return
        yield f"{len(self.faults)} faults; nothing was sent"
        for fault in self.faults:
            yield f"  {fault.path}: {fault.message}; {fault.remedy}"


@dataclasses.dataclass(frozen=True, slots=True)
class DiffResult:
    """Changes that a text would make to the revision in force."""

    revision: int
    differs: bool
    changes: tuple[str, ...]
    exit_code: ExitCode = ExitCode.DONE

    def lines(self) -> Iterator[str]:
        """Yield one line per change."""
        if not self.differs:
            yield f"no difference to revision {self.revision}"
            return
        yield f"changes against revision {self.revision}:"
        yield from self.changes


@dataclasses.dataclass(frozen=True, slots=True)
class CurrentConfiguration:
    """The configuration in force.

    Attributes
    ----------
    raw : bool
        Whether only the text is printed.
    """

    number: int
    digest: str
    author: str
    time_ms: int
    text: str
    raw: bool = False
    exit_code: ExitCode = ExitCode.DONE

    def lines(self) -> Iterator[str]:
        """Yield a heading and the text."""
        if not self.raw:
            yield (
                f"revision {self.number} by {self.author or 'nobody'}, "
                f"{format_time(self.time_ms)}, "
                f"digest {self.digest[:_SHORT_DIGEST_CHARACTERS]}"
            )
        yield self.text


@dataclasses.dataclass(frozen=True, slots=True)
class RevisionRow:
    """One accepted revision."""

    revision: int
    short_digest: str
    author: str
    time_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class RevisionHistory:
    """Accepted revisions, the newest first."""

    revisions: tuple[RevisionRow, ...]
    exit_code: ExitCode = ExitCode.DONE

    def lines(self) -> Iterator[str]:
        """Yield one line per revision."""
        for row in self.revisions:
            yield (
                f"revision {row.revision}  {format_time(row.time_ms)}  "
                f"{row.short_digest}  {row.author}"
            )
        if not self.revisions:
            yield "no revision has been accepted"


@dataclasses.dataclass(frozen=True, slots=True)
class HostRow:
    """One host with a running lease."""

    host: str
    availability_zone: str
    confirmed_revision: int
    incarnation: int
    control_host: str

    def line(self) -> str:
        """Return the host as one line of readable text."""
        return (
            f"  {self.host}  {self.availability_zone}  confirmed revision "
            f"{self.confirmed_revision}  session at {self.control_host}"
        )


@dataclasses.dataclass(frozen=True, slots=True)
class InForceStatus:
    """Whether a revision is in force on all hosts."""

    revision: int
    in_force: bool
    waiting_for: tuple[str, ...]
    hosts: tuple[HostRow, ...]
    exit_code: ExitCode = ExitCode.DONE

    def lines(self) -> Iterator[str]:
        """Yield whether the revision is in force, and one line per host."""
        if self.in_force:
            yield f"revision {self.revision} is in force everywhere"
        else:
            names = ", ".join(self.waiting_for) or "leases of an earlier leader"
            yield f"revision {self.revision} is not yet in force: waiting for {names}"
        for host in self.hosts:
            yield host.line()


@dataclasses.dataclass(frozen=True, slots=True)
class ApplyResult:
    """An accepted change.

    Attributes
    ----------
    unchanged : bool
        Whether the text was in force already, so that nothing was sent.
    in_force : InForceStatus or None
        Status when the wait ended, or ``None`` if no wait was requested.
    """

    revision: int
    change_id: str
    resends: int
    unchanged: bool = False
    in_force: InForceStatus | None = None

    @property
    def exit_code(self) -> ExitCode:
        """``OUTCOME_UNKNOWN`` if the accepted change is not in force on all hosts."""
        if self.in_force is None or self.in_force.in_force:
            return ExitCode.DONE
        return ExitCode.OUTCOME_UNKNOWN

    def lines(self) -> Iterator[str]:
        """Yield the revision, and the hosts after a wait."""
        if self.unchanged:
            yield f"unchanged: this text is revision {self.revision} already"
        else:
            yield f"accepted as revision {self.revision}"
        if self.in_force is not None:
            yield from self.in_force.lines()


@dataclasses.dataclass(frozen=True, slots=True)
class ApplyConflict:
    """A change that was refused because another one was accepted first.

    Attributes
    ----------
    changed_since_base : tuple of str or None
        Services that changed between the base and the revision in force;
        ``None`` if that is no longer available.
    difference : tuple of str
        What the refused text would change against the revision in force.
    """

    base_revision: int
    current_revision: int
    winner_author: str
    winner_time_ms: int
    changed_since_base: tuple[str, ...] | None
    difference: tuple[str, ...]
    exit_code: ExitCode = ExitCode.REFUSED

    def lines(self) -> Iterator[str]:
        """Yield the accepted change, the differences and the remedy."""
        yield (
            f"conflict: revision {self.current_revision} by "
            f"{self.winner_author or 'nobody'}, {format_time(self.winner_time_ms)}, "
            f"is in force, not base revision {self.base_revision}"
        )
        if self.changed_since_base is None:
            yield "what changed since the base revision is not known any more"
        else:
            yield "changed since the base revision:"
            yield from (f"  {change}" for change in self.changed_since_base)
        yield "your text would change now:"
        yield from (f"  {change}" for change in self.difference)
        yield (
            "merge the other change into your text, then apply it with "
            f"--base-revision {self.current_revision}"
        )
