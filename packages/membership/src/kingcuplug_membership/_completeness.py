"""Completeness of a control host's directory.

After a start, and after a time without confirmation by the leader in which all
leases expired, the directory may lack changes that other control hosts received
meanwhile. A lease granted then would let entry hosts use servers that have left. A
control host that was cut off for longer than tombstones are kept may have missed
the end of a server for good; it then starts with an empty directory, as a new
process does.
"""

from collections.abc import Callable, Iterable

from kingcuplug_membership._settings import MembershipSettings

__all__ = ["CompletenessTracker"]


class CompletenessTracker:
    """Tracks contacts with the leader and the other control hosts.

    Parameters
    ----------
    clock : callable
        Monotonic time in seconds.
    peers : callable
        Addresses of the other control hosts.
    """

    def __init__(
        self,
        clock: Callable[[], float],
        peers: Callable[[], Iterable[str]],
        settings: MembershipSettings | None = None,
    ) -> None:
        self._clock = clock
        self._peers = peers
        self._settings = settings or MembershipSettings()
        self.restart()

    def restart(self) -> None:
        """Begin to collect the directory anew."""
        self._started = self._clock()
        self._leader_contact_at: float | None = None
        self._peer_synced_at: dict[str, float] = {}
        self._reset_completeness()

    def _reset_completeness(self) -> None:
        self._leader_resumed_at = self._clock()
        self._uploaded_peers: set[str] = set()
        self._relay_received = False
        self._complete = False

    def record_peer_sync(self, peer: str) -> None:
        """Record that all changes from `peer` are merged."""
        self._peer_synced_at[peer] = self._clock()

    def record_leader_contact(self) -> None:
        """Record a confirmation by the leader, or that this host leads."""
        now = self._clock()
        if (
            self._leader_contact_at is None
            or now - self._leader_contact_at > self._settings.lease_s
        ):
            self._reset_completeness()
        self._leader_contact_at = now

    def record_upload(self, peer: str) -> None:
        """Record that `peer` has sent all its changes to this host, the leader."""
        self._uploaded_peers.add(peer)

    def record_relay(self) -> None:
        """Record that the complete directory of the leader is merged."""
        self._relay_received = True

    def may_miss_tombstones(self) -> bool:
        """Return whether tombstones may have been missed."""
        synced = [
            self._peer_synced_at.get(peer, self._started) for peer in self._peers()
        ]
        peers_at = min(synced, default=self._clock())
        leader_at = (
            self._started
            if self._leader_contact_at is None
            else self._leader_contact_at
        )
        gap = self._clock() - max(leader_at, peers_at)
        return gap > self._settings.tombstone_ms / 2_000

    def is_complete(self) -> bool:
        """Return whether the directory is complete enough to serve entry hosts."""
        if not self._complete and self._leader_contact_at is not None:
            self._complete = self._check_complete()
        return self._complete

    def _check_complete(self) -> bool:
        now = self._clock()
        if (now - self._started) * 1_000 < self._settings.settle_ms:
            return False
        uploaded = all(peer in self._uploaded_peers for peer in self._peers())
        waited_ms = (now - self._leader_resumed_at) * 1_000
        waited = waited_ms >= self._settings.settle_limit_ms
        return self._relay_received or uploaded or waited
