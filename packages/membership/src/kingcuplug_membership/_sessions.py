"""The sessions of one control host."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from kingcuplug_membership._changes import ChangeLog
from kingcuplug_membership._messages import HostRow, SessionRequest

__all__ = ["Session", "SessionTable"]

# A poll lasts at most 1 s, so a host that was answered longer ago has gone.
_IDLE_S = 3.0


@dataclass(slots=True)
class Session:
    """One entry host's session.

    Attributes
    ----------
    number : int
        Greatest request number seen.
    granted_until : float
        End of the longest lease granted.
    answered_at : float
        Time of the last answer.
    listed : bool
        Whether the leader is told of a running lease.
    behind : bool
        Whether the last answer left out entries for its size.
    """

    host: str
    incarnation: int
    availability_zone: str
    number: int
    services: frozenset[str]
    confirmed: int = -1
    granted_until: float = 0.0
    answered_at: float = 0.0
    listed: bool = False
    behind: bool = False
    wake: asyncio.Event = field(default_factory=asyncio.Event)

    def row(self) -> HostRow:
        """Return what the leader needs to know."""
        return HostRow(
            self.host, self.incarnation, self.availability_zone, self.confirmed
        )


class SessionTable:
    """Sessions by host, with the changes that the leader must learn."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._sessions: dict[str, Session] = {}
        self._changes: ChangeLog[str] = ChangeLog(clock)
        # A version above 0 tells the leader that rows are changes, not everything.
        self._changes.version = 1

    @property
    def version(self) -> int:
        """Return the number of the last change."""
        return self._changes.version

    def get(self, host: str) -> Session | None:
        """Return the session of `host`."""
        return self._sessions.get(host)

    def all(self) -> list[Session]:
        """Return all sessions."""
        return list(self._sessions.values())

    def open(self, request: SessionRequest) -> Session:
        """Start a session, or start it again."""
        known = self._sessions.get(request.host)
        session = Session(
            request.host,
            request.incarnation,
            request.availability_zone,
            request.number,
            frozenset(request.services or ()),
            # A session that waits for its first answer is not idle.
            answered_at=self._clock(),
        )
        if known is not None:
            known.wake.set()
            session.listed = known.listed
            if known.incarnation == request.incarnation:
                session.granted_until = known.granted_until
                session.confirmed = known.confirmed
        self._sessions[request.host] = session
        return session

    def confirm(self, session: Session, revision: int) -> None:
        """Record the revision in force at the host of `session`."""
        if revision > session.confirmed:
            session.confirmed = revision
            if session.listed:
                self._changes.touch(session.host)

    def grant(self, session: Session, until: float) -> None:
        """Record a lease that ends at `until`."""
        if not session.listed:
            session.listed = True
            self._changes.touch(session.host)
        session.granted_until = max(session.granted_until, until)

    def expire(self) -> None:
        """Drop the sessions whose lease is over and that poll no longer."""
        now = self._clock()
        for session in self.all():
            if session.granted_until > now:
                continue
            if session.listed:
                session.listed = False
                self._changes.touch(session.host)
            if session.answered_at < now - _IDLE_S:
                del self._sessions[session.host]
                session.wake.set()

    def wake(self, service: str | None = None) -> None:
        """Complete the polls that wait, or those that route `service`."""
        for session in self._sessions.values():
            if service is None or service in session.services:
                session.wake.set()

    def changes_since(
        self, version: int
    ) -> tuple[tuple[HostRow, ...], tuple[str, ...]]:
        """Return the granted sessions changed after `version`, and hosts that left."""
        rows, left = [], []
        for host in self._changes.since(version):
            session = self._sessions.get(host)
            if session is not None and session.listed:
                rows.append(session.row())
            else:
                left.append(host)
        return tuple(rows), tuple(left)
