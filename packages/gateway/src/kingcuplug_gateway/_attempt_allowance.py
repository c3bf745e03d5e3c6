"""To how many servers another host may send what this host has sent itself.

Two hosts draw on the attempts that a route allows: one that loses its servers, and the
one that it has serve a request instead. Only servers that are cut off do not count.
"""

from collections.abc import Sequence

from kingcuplug_gateway._isolation_monitor import IsolationMonitor
from kingcuplug_gateway._service_call import ServiceCall

__all__ = ["attempts_left"]


async def attempts_left(
    max_attempts: int, calls: Sequence[ServiceCall], isolation: IsolationMonitor
) -> int:
    """Return to how many servers another host may send a request; 0 if to none.

    Once all attempts are used up, another one is allowed only if none of the servers
    that may have run the request can be reached.

    Parameters
    ----------
    calls : sequence of ServiceCall
        What this host has sent itself, each to one service.
    """
    tried = max((call.possible_runs for call in calls), default=0)
    if tried < max_attempts:
        return max_attempts - tried
    servers = {s.info.id: s for call in calls for s in call.possible_servers}
    return 0 if await isolation.reaches_any(list(servers.values())) else 1
