"""Recent requests of control hosts to join the group."""

from kingcuplug_log import Clock, Member

from kingcuplug_fleet._membership import JoinRequest

__all__ = ["JoinRequests"]

_TTL_S = 1.5


class JoinRequests:
    """The latest request of each control host, forgotten unless it is repeated.

    Parameters
    ----------
    clock : callable
        Monotonic seconds.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._received: dict[str, tuple[JoinRequest, float]] = {}

    def add(self, request: JoinRequest) -> None:
        """Remember a request that has just been received."""
        self._received[request.member.id] = (request, self._clock())

    def recent(self) -> dict[str, JoinRequest]:
        """Return the requests that still count, by member id."""
        limit = self._clock() - _TTL_S
        self._received = {
            i: entry for i, entry in self._received.items() if entry[1] > limit
        }
        return {i: request for i, (request, _) in self._received.items()}

    def applicants(self) -> list[Member]:
        """Return the hosts of the system's first start that ask to join."""
        requests = self.recent().values()
        return [r.member for r in requests if r.empty_disk and r.first_start]
