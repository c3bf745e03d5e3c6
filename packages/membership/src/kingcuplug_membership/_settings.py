"""Periods and bounds of membership."""

from dataclasses import dataclass

__all__ = ["MembershipSettings"]


@dataclass(frozen=True, slots=True)
class MembershipSettings:
    """Periods and bounds; every host of a system uses the same values.

    Attributes
    ----------
    lease_ms : int
        Longest session lease. Together with the long poll it ensures that no host
        serves a superseded text 4 s after its successor was accepted.
    poll_ms, mesh_poll_ms : int
        Longest wait of a session poll and of a poll between control hosts.
    spacing_ms : int
        Shortest time between two replies to one poller under constant change, so
        that a burst costs a bounded number of exchanges.
    grace_ms : int
        Time for which a requester waits beyond the poll period. Poll, grace and one
        more exchange fit into the lease, so that the loss of a home control host
        leaves no gap.
    barrier_ms : int
        Period of the barrier exchange with the leader.
    server_lease_ms, renew_ms : int
        Lease of a backend server and the period of its renewal.
    tombstone_ms : int
        Time for which an ended server is kept as a tombstone.
    settle_ms, settle_limit_ms : int
        Time in which a started control host collects the directory before it
        grants sessions, and longest wait for other control hosts after a time
        without a leader.
    drift_bound : float
        Greatest relative difference between two monotonic clocks.
    verdict_ms : int
        Time for which crash verdicts are kept.
    verdict_limit : int
        Greatest number of crash verdicts kept.
    session_batch_limit, batch_limit : int
        Greatest number of directory entries in one reply to an entry host, and in
        one message between control hosts. 2,000 entries take about 60 ms of CPU to
        encode; after the loss of a control host, several entry hosts need a reply
        within the grace at the same moment, so these replies are shorter.
    return_ms : int
        Time after which an entry host returns to its preferred control host.
    """

    lease_ms: int = 3_000
    poll_ms: int = 1_000
    mesh_poll_ms: int = 2_000
    spacing_ms: int = 200
    grace_ms: int = 400
    barrier_ms: int = 500
    server_lease_ms: int = 2_000
    renew_ms: int = 500
    tombstone_ms: int = 60_000
    settle_ms: int = 1_000
    settle_limit_ms: int = 3_000
    drift_bound: float = 0.01
    verdict_ms: int = 600_000
    verdict_limit: int = 10_000
    session_batch_limit: int = 250
    batch_limit: int = 2_000
    return_ms: int = 300_000

    @property
    def lease_s(self) -> float:
        """Return the session lease in seconds as the granting side counts it."""
        return self.lease_ms / 1_000

    @property
    def safe_lease_s(self) -> float:
        """Return the session lease in seconds, shortened by the drift bound."""
        return self.lease_s * (1 - self.drift_bound)
