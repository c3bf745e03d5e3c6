"""Log of the servers to which this host limits its requests because they are cold."""

from collections.abc import Sequence

from kingcuplug_common import EventLog
from kingcuplug_gateway import Server

__all__ = ["ColdServerLog"]


class ColdServerLog:
    """Logs when the limit of a cold server begins and ends."""

    def __init__(self, log: EventLog) -> None:
        self._log = log
        self._cold_ids: frozenset[str] = frozenset()

    def record(self, servers: Sequence[Server], now: float) -> None:
        """Record the cold servers; to be called several times a second."""
        cold_ids = frozenset(server.info.id for server in servers)
        if cold_ids == self._cold_ids:
            return
        for server in servers:
            if server.info.id not in self._cold_ids:
                remaining_s = round(server.signals.cold_until - now, 1)
                fields = {"service": server.info.service, "remaining_s": remaining_s}
                self._log.write("server_cold", {"server": server.info.id, **fields})
        for identifier in sorted(self._cold_ids - cold_ids):
            self._log.write("server_warm", {"server": identifier})
        self._cold_ids = cold_ids
