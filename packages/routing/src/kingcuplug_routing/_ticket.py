"""A reserved place at a backend server."""

from collections.abc import Callable

from kingcuplug_routing._server import Server
from kingcuplug_routing._types import AttemptOutcome

__all__ = ["Ticket"]


class Ticket:
    """One attempt: the chosen server, and its capacity until `finish`.

    Attributes
    ----------
    server, address, availability_zone : str
        Where to send the sub-request.
    incarnation : int
        Incarnation of the server that was chosen.
    started : float
        Time of the loop at which the capacity was reserved.
    """

    __slots__ = (
        "_chosen",
        "_finished",
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
        chosen: Server,
        snapshot: int,
        shard: int,
        started: float,
        finished: Callable[["Ticket", Server, AttemptOutcome, float], None],
    ) -> None:
        self._chosen: Server | None = chosen
        self._finished = finished
        self.server = chosen.server
        self.address = chosen.address
        self.availability_zone = chosen.zone
        self.incarnation = chosen.incarnation
        self.snapshot = snapshot
        self.shard = shard
        self.started = started

    def finish(self, outcome: AttemptOutcome, latency_ms: float) -> None:
        """Release the capacity and learn from the outcome; only the first call counts.

        Parameters
        ----------
        outcome : AttemptOutcome
            How the attempt ended.
        latency_ms : float
            Time from sending to the end, also for attempts without an answer.
        """
        chosen = self._chosen
        if chosen is not None:
            self._chosen = None
            self._finished(self, chosen, outcome, latency_ms)
