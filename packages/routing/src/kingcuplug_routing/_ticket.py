"""Reserved capacity at a backend server."""

from collections.abc import Callable

from kingcuplug_routing._server import Server
from kingcuplug_routing._types import AttemptOutcome

__all__ = ["Ticket"]


class Ticket:
    """One attempt: the chosen server, with capacity reserved until `finish`.

    Attributes
    ----------
    server, address, availability_zone : str
        Server to which the sub-request is sent.
    incarnation : int
        Incarnation of the server that was chosen.
    started : float
        Event loop time at which the capacity was reserved.
    """

    __slots__ = (
        "_on_finish",
        "_reserved_server",
        "address",
        "availability_zone",
        "incarnation",
        "server",
        "shard",
        "snapshot",
        "started",
    )

    def __init__(
        self,
        server: Server,
        snapshot: int,
        shard: int,
        started: float,
        on_finish: Callable[["Ticket", Server, AttemptOutcome, float], None],
    ) -> None:
        self._reserved_server: Server | None = server
        self._on_finish = on_finish
        self.server = server.server
        self.address = server.address
        self.availability_zone = server.zone
        self.incarnation = server.incarnation
        self.snapshot = snapshot
        self.shard = shard
        self.started = started

    def finish(self, outcome: AttemptOutcome, latency_ms: float) -> None:
        """Release the capacity and record the outcome; later calls have no effect.

        Parameters
        ----------
        outcome : AttemptOutcome
            How the attempt ended.
        latency_ms : float
            Time from sending to the end of the attempt, also without an answer.
        """
        server = self._reserved_server
        if server is not None:
            self._reserved_server = None
            self._on_finish(self, server, outcome, latency_ms)
