"""Updates the routers of an entry host when the directory changes."""

import asyncio
from collections.abc import Callable

from kingcuplug_membership import ServerEntry, SessionClient
from kingcuplug_query import HttpBackendClient, RevisionView
from kingcuplug_routing import CrashGuard, Holding, ServerView

__all__ = ["RouterUpdater"]

_HOST_COUNT_CHECK_INTERVAL_S = 0.5
_POOL_CLOSE_DELAY_S = 60.0


class RouterUpdater:
    """Applies directory changes to routers, connection limits and the crash guard.

    Parameters
    ----------
    session : SessionClient
        Provides the directory and the number of live entry hosts.
    current_view : callable
        Returns the view of the revision in force.
    backend_client : HttpBackendClient
        Receives the connection limits.
    crash_guard : CrashGuard
        Receives crashes: servers that announced a new incarnation without having
        withdrawn the former one.
    """

    def __init__(
        self,
        session: SessionClient,
        current_view: Callable[[], RevisionView],
        backend_client: HttpBackendClient,
        crash_guard: CrashGuard,
    ) -> None:
        self._session = session
        self._current_view = current_view
        self._backend_client = backend_client
        self._crash_guard = crash_guard
        self._changed_services: set[str] = set()
        self._update_scheduled = False
        self._live_entry_hosts = 1
        self._last_entries: dict[tuple[str, str], ServerEntry] = {}
        self._addresses: dict[str, set[str]] = {}
        session.directory.subscribe(self._entry_changed)

    def update_all(self) -> None:
        """Update every router, after a new revision or number of entry hosts."""
        self._changed_services.update(self._current_view().services)
        self._schedule_update()

    async def run(self) -> None:
        """Update all routers when the number of live entry hosts changes."""
        while True:
            await asyncio.sleep(_HOST_COUNT_CHECK_INTERVAL_S)
            if self._session.live_entry_hosts != self._live_entry_hosts:
                self._live_entry_hosts = self._session.live_entry_hosts
                self.update_all()

    def _entry_changed(self, entry: ServerEntry) -> None:
        self._report_restart(entry)
        self._changed_services.add(entry.announcement.service)
        self._schedule_update()

    def _report_restart(self, entry: ServerEntry) -> None:
        previous = self._last_entries.pop(entry.key, None)
        if self._session.directory.get(*entry.key) is not None:
            self._last_entries[entry.key] = entry
        if previous is None or previous.announcement.state == "withdrawn":
            return
        old = previous.announcement
        if entry.announcement.incarnation > old.incarnation:
            self._crash_guard.server_crashed(
                old.server,
                old.incarnation,
                old.service,
                old.availability_zone,
            )

    def _schedule_update(self) -> None:
        if not self._update_scheduled:
            self._update_scheduled = True
            asyncio.get_running_loop().call_soon(self._update)

    def _update(self) -> None:
        """Update the routers of all changed services."""
        self._update_scheduled = False
        changed, self._changed_services = self._changed_services, set()
        view = self._current_view()
        for name in changed:
            runtime = view.services.get(name)
            if runtime is None:
                continue
            servers = [
                _server_view(entry)
                for entry in self._session.directory.servers(name)
                if entry.live
            ]
            runtime.router.update(servers, self._live_entry_hosts)
            self._set_connection_limits(name, servers)

    def _set_connection_limits(self, service: str, servers: list[ServerView]) -> None:
        addresses = {server.address for server in servers}
        for address in self._addresses.get(service, set()) - addresses:
            # A server whose lease ended may still answer requests in flight.
            loop = asyncio.get_running_loop()
            loop.call_later(
                _POOL_CLOSE_DELAY_S, self._close_unused_pool, service, address
            )
        self._addresses[service] = addresses
        for server in servers:
            limit = max(server.connections // self._live_entry_hosts, 1)
            self._backend_client.set_connection_limit(server.address, limit)

    def _close_unused_pool(self, service: str, address: str) -> None:
        if address not in self._addresses.get(service, set()):
            self._backend_client.close_pool(address)


def _server_view(entry: ServerEntry) -> ServerView:
    announcement = entry.announcement
    return ServerView(
        server=announcement.server,
        address=announcement.address,
        availability_zone=announcement.availability_zone,
        slots=announcement.slots,
        connections=announcement.connections,
        state=announcement.state,
        holdings=tuple(
            Holding(held.snapshot, held.shard_count, held.shards)
            for held in announcement.holdings
        ),
        incarnation=announcement.incarnation,
    )
