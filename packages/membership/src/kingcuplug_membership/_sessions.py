"""Sessions of the entry hosts at one control host."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from kingcuplug_membership._change_log import ChangeLog
from kingcuplug_membership._messages import HostRow, SessionRequest

__all__ = ["Session", "SessionTable"]

# A poll lasts at most 1 s, so a host that got its last reply longer ago has gone.
_IDLE_TIMEOUT_S = 3.0


@dataclass(slots=True)
class Session:
    """One entry host's session.

    Attributes
    ----------
    number : int
        Greatest request number seen.
    granted_until : float
        End of the longest lease granted.
    replied_at : float
        Time of the last reply.
    reported : bool
        Whether the leader is told that the host holds a lease.
    truncated : bool
        Whether the last reply left out entries beyond the batch limit.
    undelivered_version : int
        Directory version that the leader must have before the host's updates count
        as delivered; 0 once a reply has reported the delivery.
    """

    host: str
    incarnation: int
    availability_zone: str
    number: int
    services: frozenset[str]
    confirmed_revision: int = -1
    granted_until: float = 0.0
    replied_at: float = 0.0
    reported: bool = False
    truncated: bool = False
    undelivered_version: int = 0
    wakeup: asyncio.Event = field(default_factory=asyncio.Event)

    def to_row(self) -> HostRow:
        """Return the row that is sent to the leader."""
        return HostRow(
            self.host, self.incarnation, self.availability_zone, self.confirmed_revision
        )


class SessionTable:
    """Sessions by host, with a change log for the reports to the leader."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._sessions: dict[str, Session] = {}
        self._changes: ChangeLog[str] = ChangeLog(clock)
        # Start at version 1: `since` 0 in a barrier request marks a full report.
        self._changes.version = 1

    @property
    def version(self) -> int:
        """Return the version of the last change."""
        return self._changes.version

    def get(self, host: str) -> Session | None:
        """Return the session of `host`."""
        return self._sessions.get(host)

    def sessions(self) -> list[Session]:
        """Return all sessions."""
        return list(self._sessions.values())

    def open(self, request: SessionRequest) -> Session:
        """Open a session, in place of an earlier one of the same host."""
        previous = self._sessions.get(request.host)
        session = Session(
            request.host,
            request.incarnation,
            request.availability_zone,
            request.number,
            frozenset(request.services or ()),
            # A session that waits for its first reply is not idle.
            replied_at=self._clock(),
        )
        if previous is not None:
            previous.wakeup.set()
            session.reported = previous.reported
            if previous.incarnation == request.incarnation:
                session.granted_until = previous.granted_until
                session.confirmed_revision = previous.confirmed_revision
        self._sessions[request.host] = session
        return session

    def record_revision(self, session: Session, revision: int) -> None:
        """Record the revision in force at the host of `session`."""
        if revision > session.confirmed_revision:
            session.confirmed_revision = revision
            if session.reported:
                self._changes.record_change(session.host)

    def record_grant(self, session: Session, until: float) -> None:
        """Record a lease that ends at `until`."""
        if not session.reported:
            session.reported = True
            self._changes.record_change(session.host)
        session.granted_until = max(session.granted_until, until)

    def expire(self) -> None:
        """Report expired leases to the leader, and drop sessions without polls."""
        now = self._clock()
        for session in self.sessions():
            if session.granted_until > now:
                continue
            if session.reported:
                session.reported = False
                self._changes.record_change(session.host)
            if session.replied_at < now - _IDLE_TIMEOUT_S:
                del self._sessions[session.host]
                session.wakeup.set()

    def wake_polls(self, service: str | None = None) -> None:
        """Complete all pending polls, or those of hosts that route `service`."""
        for session in self._sessions.values():
            if service is None or service in session.services:
                session.wakeup.set()

    def changes_since(
        self, version: int
    ) -> tuple[tuple[HostRow, ...], tuple[str, ...]]:
        """Return the granted sessions changed after `version`, and hosts that left."""
        rows, left = [], []
        for host in self._changes.keys_since(version):
            session = self._sessions.get(host)
            if session is not None and session.reported:
                rows.append(session.to_row())
            else:
                left.append(host)
        return tuple(rows), tuple(left)
