"""Leases of the backend servers that announced at this entry host."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from kingcuplug_membership._announcement import Announcement
from kingcuplug_membership._change_log import ChangeLog
from kingcuplug_membership._entry import ServerEntry
from kingcuplug_membership._errors import (
    AnnouncementInvalid,
    AnnouncementStale,
    HostUnconfirmed,
    LeaseUnknown,
)
from kingcuplug_membership._settings import MembershipSettings

__all__ = ["LeaseGranted", "LeaseTable"]

_EXPIRE_PERIOD_S = 0.1


@dataclass(frozen=True, slots=True)
class LeaseGranted:
    """Answer to an announcement or a renewal.

    Attributes
    ----------
    lease_ms : int
        Time after which the server counts as gone unless it renews.
    renew_address : str
        Address for renewals: the entry host itself, not the load balancer.
    renew_ms : int
        Period of renewal.
    """

    lease_ms: int
    renew_address: str
    renew_ms: int


@dataclass(slots=True)
class _Lease:
    announcement: Announcement
    expires_at: float
    ended: bool = False


class LeaseTable:
    """Leases granted by one run of an entry host.

    Parameters
    ----------
    holder : str
        Name of this run, from `holder_name`.
    renew_address : str
        ``ip:port`` at which servers renew.
    clock : callable
        Monotonic time in seconds.
    is_confirmed : callable
        Returns whether the host's session lease runs. Without one the host cannot
        publish a server, so it grants no lease and servers announce elsewhere; it
        also expires no lease, since it may itself be cut off.
    lookup : callable
        Returns the directory's entry of (service, server), or None.

    Attributes
    ----------
    on_change : callable
        Called after every change of a lease.
    """

    def __init__(
        self,
        holder: str,
        renew_address: str,
        clock: Callable[[], float],
        is_confirmed: Callable[[], bool] = lambda: True,
        lookup: Callable[[str, str], ServerEntry | None] = lambda service, server: None,
        settings: MembershipSettings | None = None,
    ) -> None:
        self.holder = holder
        self.on_change: Callable[[], None] = lambda: None
        self._settings = settings or MembershipSettings()
        self._renew_address = renew_address
        self._clock = clock
        self._is_confirmed = is_confirmed
        self._lookup = lookup
        self._leases: dict[str, _Lease] = {}
        self._former_service_leases: dict[tuple[str, str], _Lease] = {}
        self._changes: ChangeLog[tuple[str, str]] = ChangeLog(clock)
        self._earliest_expiry = clock()

    @property
    def version(self) -> int:
        """Return the version of the last change."""
        return self._changes.version

    def announce(self, announcement: Announcement) -> LeaseGranted:
        """Grant a lease, or record a withdrawal.

        Raises
        ------
        AnnouncementStale
            If a newer announcement of the server, or the end of its lease, is known.
        AnnouncementInvalid
            If the content changed under the same sequence.
        HostUnconfirmed
            If this host has no running session lease.
        """
        self._require_confirmed()
        lease = self._leases.get(announcement.server)
        if lease is not None and lease.announcement == announcement:
            return self._extend_lease(lease)
        if lease is not None:
            _check_successor(lease, announcement)
        self._check_directory(announcement)
        if lease is not None and lease.announcement.service != announcement.service:
            self._end_former_service(lease)
        ended = announcement.state == "withdrawn"
        self._former_service_leases.pop(
            (announcement.service, announcement.server), None
        )
        self._leases[announcement.server] = _Lease(
            announcement, self._next_expiry(), ended
        )
        self._record_change(announcement)
        return self._make_grant()

    def renew(self, server: str, incarnation: int, sequence: int) -> LeaseGranted:
        """Extend a lease.

        Raises
        ------
        LeaseUnknown
            If no such lease runs here.
        HostUnconfirmed
            If this host has no running session lease.
        """
        self._require_confirmed()
        lease = self._leases.get(server)
        rank = (incarnation, sequence)
        if lease is None or lease.ended or lease.announcement.rank != rank:
            raise LeaseUnknown(
                f"no lease of server {server} with incarnation {incarnation} and "
                f"sequence {sequence} runs at this entry host",
                "announce again through the load balancer with a greater sequence",
            )
        lease.expires_at = self._next_expiry()
        return self._make_grant()

    def expire(self) -> int:
        """End the leases that were not renewed in time; return their number."""
        now = self._clock()
        if not self._is_confirmed():
            # Servers cannot renew here meanwhile, so each gets a full lease afterwards.
            self._earliest_expiry = now + self._settings.server_lease_ms / 1_000
            return 0
        expired = [
            lease
            for lease in self._leases.values()
            if not lease.ended and max(lease.expires_at, self._earliest_expiry) <= now
        ]
        for lease in expired:
            self._end_lease(lease, now)
        self._purge_ended(now - self._settings.tombstone_ms / 1_000)
        return len(expired)

    async def run(self) -> None:
        """Expire leases until cancelled."""
        while True:
            self.expire()
            await asyncio.sleep(_EXPIRE_PERIOD_S)

    def end_if_overruled(self, entry: ServerEntry) -> None:
        """End the lease that `entry`, an entry of the directory, overrules, if any.

        The server's next renewal then fails, and it announces again with a greater
        sequence.
        """
        lease = self._leases.get(entry.announcement.server)
        if lease is None or lease.ended or lease.announcement.service != entry.key[0]:
            return
        newer = entry.announcement.rank > lease.announcement.rank
        same = entry.announcement.rank == lease.announcement.rank
        withdrawn = entry.announcement.state == "withdrawn"
        if newer or (same and (withdrawn or self.holder in entry.ended)):
            lease.ended = True
            lease.expires_at = self._clock()

    def changes_since(self, version: int) -> tuple[list[ServerEntry], int]:
        """Return the entries changed after `version`, and the version reached.

        Version 0 returns all running leases and those that ended within the tombstone
        period.
        """
        entries = [self._make_entry(key) for key in self._changes.keys_since(version)]
        return entries, self.version

    def _require_confirmed(self) -> None:
        if not self._is_confirmed():
            raise HostUnconfirmed(
                "this entry host has no running session lease",
                "announce again through the load balancer with a greater sequence",
            )

    def _extend_lease(self, lease: _Lease) -> LeaseGranted:
        if lease.ended and lease.announcement.state != "withdrawn":
            raise _stale_error(lease.announcement, "its lease has ended")
        lease.expires_at = self._next_expiry()
        return self._make_grant()

    def _check_directory(self, announcement: Announcement) -> None:
        entry = self._lookup(announcement.service, announcement.server)
        if entry is None or entry.announcement.rank < announcement.rank:
            return
        if entry.announcement.rank > announcement.rank:
            raise _stale_error(entry.announcement, "it has announced since")
        if not entry.live and announcement.state != "withdrawn":
            raise _stale_error(entry.announcement, "its lease has ended")

    def _end_former_service(self, lease: _Lease) -> None:
        self._former_service_leases[
            lease.announcement.service, lease.announcement.server
        ] = lease
        self._end_lease(lease, self._clock())

    def _end_lease(self, lease: _Lease, now: float) -> None:
        lease.ended = True
        lease.expires_at = now
        self._record_change(lease.announcement)

    def _purge_ended(self, cutoff: float) -> None:
        for server, lease in list(self._leases.items()):
            if lease.ended and lease.expires_at < cutoff:
                del self._leases[server]
                self._changes.remove((lease.announcement.service, server))
        for key, lease in list(self._former_service_leases.items()):
            if lease.expires_at < cutoff:
                del self._former_service_leases[key]
                self._changes.remove(key)

    def _record_change(self, announcement: Announcement) -> None:
        self._changes.record_change((announcement.service, announcement.server))
        self.on_change()

    def _make_entry(self, key: tuple[str, str]) -> ServerEntry:
        lease = self._leases.get(key[1])
        if lease is None or lease.announcement.service != key[0]:
            lease = self._former_service_leases[key]
        held = (self.holder,)
        return ServerEntry(lease.announcement, held, held if lease.ended else ())

    def _next_expiry(self) -> float:
        return self._clock() + self._settings.server_lease_ms / 1_000

    def _make_grant(self) -> LeaseGranted:
        settings = self._settings
        return LeaseGranted(
            settings.server_lease_ms, self._renew_address, settings.renew_ms
        )


def _check_successor(lease: _Lease, announcement: Announcement) -> None:
    current = lease.announcement
    if announcement.rank < current.rank:
        raise _stale_error(current, "it has announced since")
    if announcement.rank > current.rank:
        return
    if current.state == "withdrawn" or lease.ended:
        raise _stale_error(current, "its lease has ended")
    if announcement.state != "withdrawn":
        raise AnnouncementInvalid(
            f"server {current.server} announces other content under the same "
            f"incarnation {current.incarnation} and sequence {current.sequence}",
            "announce changed content with a greater sequence",
        )


def _stale_error(latest: Announcement, reason: str) -> AnnouncementStale:
    return AnnouncementStale(
        f"server {latest.server} of service {latest.service} is known with "
        f"incarnation {latest.incarnation} and sequence {latest.sequence}, "
        f"and {reason}",
        "announce with a greater sequence, or a greater incarnation after a restart",
    )
