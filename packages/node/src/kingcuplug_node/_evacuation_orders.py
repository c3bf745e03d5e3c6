"""Operators' orders to evacuate zones, and which of them are in force here."""

import asyncio
from collections.abc import Callable, Collection
from typing import TYPE_CHECKING

from kingcuplug_common import EventLog
from kingcuplug_fleet import Evacuation, EvacuationOrder, OrderSuperseded
from kingcuplug_gateway import ServerTable

from kingcuplug_node._errors import ZoneUnknown

if TYPE_CHECKING:
    from kingcuplug_fleet import ControlReplica

__all__ = ["EvacuationOrders"]

# After this host was suspended, the caller may have left already. The event loop reads
# the order and then the close in successive rounds, and cancels in a later one.
_DISCONNECT_CHECK_ROUNDS = 5
# Within the second after which an operator's client asks another host.
_SUBMIT_TIMEOUT_S = 0.8
_SUPERSEDED_DELAY_S = 0.05


class EvacuationOrders:
    """Commits orders to the replicated log, and shows which ones are in force here.

    Parameters
    ----------
    require_replica : callable
        Return the control replica of this host, or raise why there is none.
    zones : collection or None
        The availability zones that exist; ``None`` if the settings don't state them.
    """

    def __init__(
        self,
        require_replica: Callable[[], "ControlReplica"],
        zones: Collection[str] | None,
        servers: ServerTable,
        log: EventLog,
    ) -> None:
        self._require_replica = require_replica
        self._zones = zones
        self._servers = servers
        self._log = log
        self._version_in_force = 0

    async def submit(self, zone: str, evacuated: bool) -> None:
        """Commit an order to evacuate a zone, or to end that, to the replicated log.

        This call must be cancelled when the caller leaves, because it may then repeat
        the order elsewhere, or give a newer one. The base of the order is noted while
        the caller is still connected, so what is committed after its leaving is newer.

        Raises
        ------
        Elsewhere, CoreUnavailable
            If this host keeps no state or the commit was not confirmed.
        ZoneUnknown
            If there is no such zone.
        """
        replica = self._require_replica()
        if self._zones is not None and zone not in self._zones:
            raise ZoneUnknown(zone)
        deadline_at = asyncio.get_running_loop().time() + _SUBMIT_TIMEOUT_S
        while True:
            order = EvacuationOrder(zone, evacuated, replica.evacuation_version())
            for _ in range(_DISCONNECT_CHECK_ROUNDS):
                await asyncio.sleep(0)
            try:
                version = await replica.submit_evacuation(order)
                break
            except OrderSuperseded:
                if asyncio.get_running_loop().time() > deadline_at:
                    raise
                # This host may not have applied the newer order yet.
                await asyncio.sleep(_SUPERSEDED_DELAY_S)
        self._log.write(
            "evacuation_accepted",
            {"zone": zone, "evacuated": evacuated, "version": version},
            bypass_rate_limit=True,
        )

    def record_in_force(self, evacuation: Evacuation) -> None:
        """Record that the table of servers leaves out the evacuated zones."""
        if evacuation.version == self._version_in_force:
            return
        self._version_in_force = evacuation.version
        self._log.write(
            "evacuation_in_force",
            {
                "version": evacuation.version,
                "zones": sorted(evacuation.zones),
                "servers": self._servers.evacuated_count,
            },
            bypass_rate_limit=True,
        )

    def gauges(self) -> dict[str, float]:
        """Return the gauges of the orders in force, none before the first order."""
        if self._version_in_force == 0:
            return {}
        return {
            "evacuation_version": self._version_in_force,
            "servers_evacuated": self._servers.evacuated_count,
        }
