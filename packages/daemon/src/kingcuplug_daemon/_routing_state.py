"""Keeps the routers of an entry host in step with the directory."""

import asyncio
from collections.abc import Callable

from kingcuplug_membership import ServerEntry, SessionClient
from kingcuplug_query import HttpBackend, RevisionView
from kingcuplug_routing import CrashGuard, Holding, ServerView

__all__ = ["RoutingState"]

_HOSTS_PERIOD_S = 0.5
_FORGET_S = 60.0


class RoutingState:
    """Feeds routers, connection limits and the crash guard from the directory.

    Parameters
    ----------
    session : SessionClient
        Holds the directory and the number of live entry hosts.
    view : callable
        Returns the revision in force.
    backend : HttpBackend
        Gets the connection limits.
    guard : CrashGuard
        Learns of servers that came back without having withdrawn.
    """

    def __init__(
        self,
        session: SessionClient,
        view: Callable[[], RevisionView],
        backend: HttpBackend,
        guard: CrashGuard,
    ) -> None:
        self._session = session
        self._view = view
        self._backend = backend
        self._guard = guard
        self._dirty: set[str] = set()
        self._scheduled = False
        self._live_entry_hosts = 1
        self._last: dict[tuple[str, str], ServerEntry] = {}
        self._addresses: dict[str, set[str]] = {}
        session.directory.watch(self._entry_changed)

    def refresh(self) -> None:
        """Update every router, after a new revision or number of entry hosts."""
        self._dirty.update(self._view().services)
        self._schedule()

    async def run(self) -> None:
        """Follow the number of live entry hosts until cancelled."""
        while True:
            await asyncio.sleep(_HOSTS_PERIOD_S)
            if self._session.live_entry_hosts != self._live_entry_hosts:
                self._live_entry_hosts = self._session.live_entry_hosts
                self.refresh()

    def _entry_changed(self, entry: ServerEntry) -> None:
        self._note_restart(entry)
        self._dirty.add(entry.announcement.service)
        self._schedule()

    def _note_restart(self, entry: ServerEntry) -> None:
        former = self._last.pop(entry.key, None)
        if self._session.directory.get(*entry.key) is not None:
            self._last[entry.key] = entry
        if former is None or former.announcement.state == "withdrawn":
            return
        before = former.announcement
        if entry.announcement.incarnation > before.incarnation:
            self._guard.server_crashed(
                before.server,
                before.incarnation,
                before.service,
                before.availability_zone,
            )

    def _schedule(self) -> None:
        if not self._scheduled:
            self._scheduled = True
            asyncio.get_running_loop().call_soon(self._update)

    def _update(self) -> None:
        """Update the routers of all changed services at once."""
        self._scheduled = False
        dirty, self._dirty = self._dirty, set()
        view = self._view()
        for name in dirty:
            runtime = view.services.get(name)
            if runtime is None:
                continue
            servers = [
                _server_view(entry)
                for entry in self._session.directory.servers(name)
                if entry.live
            ]
            runtime.router.update(servers, self._live_entry_hosts)
            self._share_connections(name, servers)

    def _share_connections(self, service: str, servers: list[ServerView]) -> None:
        addresses = {server.address for server in servers}
        for address in self._addresses.get(service, set()) - addresses:
            # A server whose lease ended may still answer what it was asked.
            loop = asyncio.get_running_loop()
            loop.call_later(_FORGET_S, self._forget, service, address)
        self._addresses[service] = addresses
        for server in servers:
            share = max(server.connections // self._live_entry_hosts, 1)
            self._backend.limit(server.address, share)

    def _forget(self, service: str, address: str) -> None:
        if address not in self._addresses.get(service, set()):
            self._backend.forget(address)


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
