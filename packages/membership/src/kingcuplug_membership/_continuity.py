"""Whether a control host's directory can be trusted to be complete.

A control host that was cut off for longer than tombstones last may have missed the
end of a server for good. It then starts again as if the process were new.
"""

from collections.abc import Callable, Iterable

from kingcuplug_membership._settings import MembershipSettings

__all__ = ["Continuity"]


class Continuity:
    """Tracks contact with the leader and with the other control hosts.

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
        self._leader_at = self._started
        self._leader_seen = False
        self._mesh_at: dict[str, float] = {}

    def note_mesh(self, peer: str) -> None:
        """Record that everything `peer` has to tell is merged."""
        self._mesh_at[peer] = self._clock()

    def note_leader(self) -> None:
        """Record that everything the leader has to tell is merged."""
        self._leader_at = self._clock()
        self._leader_seen = True

    def interrupted(self) -> bool:
        """Return whether tombstones can have been missed."""
        contacts = [self._mesh_at.get(peer, self._started) for peer in self._peers()]
        mesh_at = min(contacts, default=self._clock())
        gap = self._clock() - max(self._leader_at, mesh_at)
        return gap > self._settings.tombstone_ms / 2_000

    def settled(self) -> bool:
        """Return whether the directory is complete enough to serve entry hosts."""
        age_ms = (self._clock() - self._started) * 1_000
        if age_ms >= self._settings.settle_limit_ms:
            return True
        heard = all(peer in self._mesh_at for peer in self._peers())
        return heard and self._leader_seen and age_ms >= self._settings.settle_ms
