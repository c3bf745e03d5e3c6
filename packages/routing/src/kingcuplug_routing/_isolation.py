"""Whether this host is cut off from all backend servers.

Handles this load pattern: connections of one host to all servers hang, are reset, or
live on while new ones are refused, although callers and other hosts still reach it.
Each request would find that out anew, and would be held or refused.

Servers that fail for everybody, one service, or one availability zone must not look the
same. So failures only lead to a check, in which servers of several services are tried.
"""

import math

__all__ = ["IsolationDetector"]

# Different servers that fail without any sign of life in between. A host with few
# callers sends a request to two servers at most.
_MIN_FAILED_SERVERS = 2
_MIN_CHECK_INTERVAL_S = 0.25


class IsolationDetector:
    """Decides when to check the servers, and holds the result.

    Attributes
    ----------
    isolated : bool
        Whether no server could be reached in the last check.
    """

    def __init__(self) -> None:
        self.isolated = False
        self._unconnected: set[str] = set()
        self._silent: set[str] = set()
        self._checked_at = -math.inf

    def record_connection(self) -> None:
        """Record that a server has accepted a connection."""
        self._unconnected.clear()

    def record_answer(self) -> None:
        """Record the answer of a server, which may come on an old connection."""
        self._silent.clear()

    def record_unconnected(self, server: str) -> None:
        """Record that a connection to a server could not be made."""
        self._unconnected.add(server)

    def record_silence(self, server: str) -> None:
        """Record that a server was lost, or is later than usual."""
        self._silent.add(server)

    def check_is_due(self, now: float) -> bool:
        """Return whether to try whether any server can be reached."""
        if now < self._checked_at + _MIN_CHECK_INTERVAL_S:
            return False
        failed = max(len(self._unconnected), len(self._silent))
        return self.isolated or failed >= _MIN_FAILED_SERVERS

    def record_check_start(self, now: float) -> None:
        """Record that a check begins."""
        self._checked_at = now

    def record_check(self, reached: int, tried: int) -> bool:
        """Record how many servers were reached; return whether the state has changed.

        With fewer than two servers to try there is no difference between a host that is
        cut off and a server that is down.
        """
        isolated = reached == 0 and tried >= _MIN_FAILED_SERVERS
        changed = isolated != self.isolated
        self.isolated = isolated
        if reached:
            self._unconnected.clear()
            self._silent.clear()
        return changed
