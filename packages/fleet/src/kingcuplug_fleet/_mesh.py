"""Full-mesh replication of the server directory between control hosts.

Designed for many control hosts in several availability zones, where traffic between
zones is billed and most heartbeats of servers repeat the last record. A control host
pushes only the records that it received directly from servers, and pushes them to all
other control hosts at once. Heartbeats and the polls of hosts are reported to a single
coordinator, which aggregates them and pushes a summary to all others. Digests of the
directories reveal lost updates.

The coordinator is the leader of the log. While there is none, each side of a network
partition has its own: the control host with the lowest address among those that can
reach each other. Its summary needs no consensus. Such a coordinator receives
heartbeats from only a part of the servers, so it detects slow servers, but not silent
ones. Without a leader, every control host compares its digest with every other one.
"""

import asyncio
from collections.abc import Callable
from typing import Any

from kingcuplug_common import EventLog

from kingcuplug_fleet._fleet_view import FleetView
from kingcuplug_fleet._mesh_messages import Heartbeats, PushMessage, Report, Summary
from kingcuplug_fleet._peer_client import PeerClient, PeerFailed
from kingcuplug_fleet._server_record import ServerRecord
from kingcuplug_fleet._suspect_handover import SuspectHandover

__all__ = ["PUSH_PATH", "REPORT_PATH", "Mesh"]

PUSH_PATH = "/peer/v2/share"
REPORT_PATH = "/peer/v2/report"

# Short enough for several reports within the time-outs of servers and hosts.
_REPORT_INTERVAL_S = 1.0
# The leader pushes its summary on each change; the interval only reveals lost pushes.
_SUMMARY_INTERVAL_S = 2.0
# Other pairs of control hosts push only changes, apart from this keep-alive.
_KEEP_ALIVE_INTERVAL_S = 30.0
# Batches servers that start together into one push. A leaving server is replicated
# without this delay.
_BATCH_DELAY_S = 0.1
_PUSH_TIMEOUT_S = 0.6
_RETRY_DELAY_S = 0.9
_REPORT_TIMEOUT_S = 0.5
# Each forwarding stage of a report adds half of this interval to its delay on average.
_UPDATE_INTERVAL_S = 0.15
# How long the acknowledgement of a leaving server waits for a second control host to
# store its record, so that the record survives the loss of this control host.
_REPLICATE_TIMEOUT_S = 0.35
# Updates in flight make digests differ briefly; a longer mismatch means a lost update.
_MISMATCH_TIMEOUT_S = 2.0
# Two report intervals and a margin; a control host silent for longer may be gone.
_PEER_TIMEOUT_S = 2.5


class _Peer:
    """Replication state of another control host.

    Attributes
    ----------
    epoch : str
        Identifies the run of its process.
    acknowledged_version : int
        Version of the local directory up to which it holds the directly received
        records.
    last_push_at : float
        Event loop time of the last push received from it.
    acknowledged_summary : Summary or None
        The last summary that it acknowledged.
    last_coordinator : str or None
        The coordinator at the time of the last push to it.
    """

    def __init__(self, task: asyncio.Task[None]) -> None:
        self.task = task
        self.epoch = ""
        self.acknowledged_version = 0
        self.last_push_at = float("-inf")
        self.acknowledged_summary: Summary | None = None
        self.last_coordinator: str | None = None
        self._mismatch_since: float | None = None

    def record_comparison(self, equal: bool, now: float) -> None:
        """Record whether the digests of the two directories are equal."""
        if equal:
            self._mismatch_since = None
        elif self._mismatch_since is None:
            self._mismatch_since = now

    def needs_full_sync(self, now: float) -> bool:
        """Return whether the digests have differed for too long."""
        since = self._mismatch_since
        return since is not None and now - since > _MISMATCH_TIMEOUT_S

    def record_full_sync(self) -> None:
        """Reset the digest mismatch after the whole directory was sent."""
        self._mismatch_since = None


class Mesh:
    """Replicates the records that servers send to this control host to all others.

    Parameters
    ----------
    own_address : str
        Control address of this host.
    leader : callable
        Return the address of the log's leader, ``None`` if none is known.
    """

    def __init__(
        self,
        host: str,
        view: FleetView,
        client: PeerClient,
        own_address: str,
        availability_zone: str,
        leader: Callable[[], str | None],
        log: EventLog,
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self._host = host
        self._view = view
        self._client = client
        self._own_address = own_address
        self._zone = availability_zone
        self._leader = leader
        self._log = log
        self._peers: dict[str, _Peer] = {}
        self._heartbeats: Heartbeats = {}
        self._report = Report()
        self._suspect_handover = SuspectHandover()
        self._last_coordinator = ""
        self._is_leader = False

    async def run(self) -> None:
        """Run one push task per other control host, and expire old state."""
        self._view.zones[self._own_address] = self._zone
        try:
            while True:
                self._update_peers()
                self._update_liveness(self._loop.time())
                await asyncio.gather(
                    asyncio.sleep(_UPDATE_INTERVAL_S), self._forward_report()
                )
        finally:
            for peer in self._peers.values():
                peer.task.cancel()
            self._peers.clear()

    def record_heartbeat(self, record: ServerRecord) -> None:
        """Record a heartbeat of a server for the next report."""
        self._heartbeats[record.id] = (record.start_ms, record.sequence)

    def receive_report(self, report: Report) -> None:
        """Add the report of a host, which may be this one.

        Only the coordinator aggregates reports, because sending all reports to all
        control hosts would cost more bytes than the queries.
        """
        if self._coordinator() != self._own_address:
            self._report.add(report)
            return
        self._view.paces.record(report.samples, self._loop.time())
        self._update_leadership()
        if self._is_leader:
            # Without a leader there are several coordinators, and none has all reports.
            self._view.add_requests(report.requests)
            self._view.add_demand(report.demand)
            self._view.quotas.record(report.quotas, self._loop.time())
            self._view.quotas.update(self._view.host_count, self._loop.time())
        if report.suspects or report.answered:
            self._view.update_suspects(report.suspects, report.answered)

    async def replicate(self, record: ServerRecord) -> bool:
        """Push a record until one other control host has acknowledged it.

        Returns
        -------
        bool
            Whether one did, or there is no other control host.
        """
        addresses = list(self._peers)
        if not addresses:
            return True
        value = self._message([record]).to_json()
        calls = [
            asyncio.ensure_future(self._push_acknowledged(address, value))
            for address in addresses
        ]
        for call in asyncio.as_completed(calls):
            if await call:
                return True
        self._log.write("leaving_server_untold", {"server": record.id})
        return False

    async def _push_acknowledged(self, address: str, value: Any) -> bool:
        """Push a message; return whether the other control host acknowledged it."""
        try:
            await self._client.call(address, PUSH_PATH, value, _REPLICATE_TIMEOUT_S)
        except PeerFailed:
            return False
        return True

    def receive_push(self, value: Any) -> dict[str, Any]:
        """Apply a push of another control host and return the reply."""
        message = PushMessage.from_json(value)
        view, now = self._view, self._loop.time()
        view.merge_servers(message.servers)
        for server_id, (start_ms, sequence) in message.heartbeats.items():
            view.directory.record_heartbeat(server_id, start_ms, sequence, now)
        for host in message.hosts:
            view.record_remote_host_poll(host)
        view.zones[message.address] = message.availability_zone
        peer = self._peers.get(message.address)
        if peer is not None:
            peer.last_push_at = now
            self._compare_digests(message.address, peer, message.digest)
        if message.summary is not None and self._coordinator() == message.address:
            self._apply_summary(message.address, message.summary, now)
        return {"epoch": view.epoch, "digest": view.directory.digest}

    def _compare_digests(self, address: str, peer: _Peer, digest: int) -> None:
        """Compare digests with the leader, or with every peer if there is none."""
        if self._leader() not in (None, self._own_address, address):
            return
        now = self._loop.time()
        peer.record_comparison(digest == self._view.directory.digest, now)
        if peer.needs_full_sync(now):
            self._view.changed.notify()

    def _apply_summary(self, address: str, summary: Summary, now: float) -> None:
        view = self._view
        view.set_slow_servers(summary.slow)
        suspects, to_report = self._suspect_handover.follow(
            (address, summary.run), view.suspects, summary.suspects, now
        )
        view.set_suspects(suspects)
        self._report.add(Report(suspects=dict(to_report)))
        if self._leader() is None:
            return
        view.set_silent_servers(set(summary.silent))
        view.directory.reset_heartbeat_times(now, view.silent_servers)
        view.set_host_count(summary.hosts)
        view.set_request_count(summary.requests)
        view.set_demand(summary.demand)
        view.quotas.set_ratios(summary.quotas, now)
        view.zones.update(summary.reachable)
        view.set_reachable_control_hosts(tuple(summary.reachable))

    def _coordinator(self) -> str:
        leader = self._leader()
        if leader is not None:
            return leader
        return min((self._own_address, *self._reachable_peers()))

    def _reachable_peers(self) -> list[str]:
        limit = self._loop.time() - _PEER_TIMEOUT_S
        return [a for a, peer in self._peers.items() if peer.last_push_at > limit]

    def _update_peers(self) -> None:
        addresses = set(self._view.control_hosts) - {self._own_address}
        for address in self._peers.keys() - addresses:
            self._peers.pop(address).task.cancel()
        for address in addresses - self._peers.keys():
            task = asyncio.ensure_future(self._push_to(address))
            task.add_done_callback(self._on_push_ended)
            self._peers[address] = _Peer(task)

    def _on_push_ended(self, task: asyncio.Task[None]) -> None:
        """Drop the state of a peer whose reply was malformed; it is added again."""
        if task.cancelled():
            return
        self._log.write("push_failed", {"error": repr(task.exception())})
        self._peers = {a: p for a, p in self._peers.items() if p.task is not task}

    async def _forward_report(self) -> None:
        coordinator = self._coordinator()
        if coordinator == self._own_address or self._report == Report():
            return
        report, self._report = self._report, Report()
        try:
            await self._client.call(
                coordinator, REPORT_PATH, report.to_json(), _REPORT_TIMEOUT_S
            )
        except PeerFailed:
            # Samples are soon out of date; a total without this demand is too low.
            self._report.add(
                Report(
                    demand=report.demand,
                    suspects=report.suspects,
                    answered=report.answered,
                    quotas=report.quotas,
                )
            )

    def _update_liveness(self, now: float) -> None:
        """Expire old entries; as coordinator, detect slow and silent servers."""
        view = self._view
        view.record_host_poll(self._host)
        view.directory.evict_expired(now)
        coordinator = self._coordinator()
        self._update_leadership()
        if coordinator != self._last_coordinator:
            self._last_coordinator = coordinator
            view.changed.notify()
        if coordinator == self._own_address:
            view.set_slow_servers(view.paces.slow_servers(now))
            view.update_suspects({}, [])
        if self._is_leader:
            view.set_silent_servers(view.directory.silent(now))
            view.update_host_count()
            view.update_demand()
            view.quotas.update(view.host_count, now)
            for team, ratio in view.quotas.pop_newly_held().items():
                self._log.write(
                    "team_held",
                    {"team": team, "ratio": ratio, "hosts": view.host_count},
                )
            view.set_reachable_control_hosts(
                (self._own_address, *sorted(self._reachable_peers()))
            )
        elif self._leader() is None:
            view.forget_totals()

    def _update_leadership(self) -> None:
        """Start anew what only a leader counts, if this host has just become one.

        Reports were sent to another leader until now, so the local times of heartbeats
        and polls are out of date, and so are the totals of requests.
        """
        was_leader, self._is_leader = (
            self._is_leader,
            self._leader() == self._own_address,
        )
        if self._is_leader and not was_leader:
            view = self._view
            view.directory.reset_heartbeat_times(self._loop.time(), view.silent_servers)
            view.assume_host_count(view.host_count)
            view.restart_totals()

    async def _push_to(self, address: str) -> None:
        while True:
            peer = self._peers[address]
            if not await self._push(address, peer):
                await asyncio.sleep(_RETRY_DELAY_S)
                continue
            await asyncio.sleep(_BATCH_DELAY_S)
            await self._view.changed.wait_for(
                lambda peer=peer: self._push_is_due(peer),  # type: ignore[misc]
                self._push_interval_s(address) - _BATCH_DELAY_S,
            )

    async def _push(self, address: str, peer: _Peer) -> bool:
        directory = self._view.directory
        version, summary = directory.version, self._summary()
        full_sync = peer.needs_full_sync(self._loop.time())
        records = directory.changed_since(
            0 if full_sync else peer.acknowledged_version,
            direct=not full_sync,
            now=self._loop.time(),
        )
        coordinator = self._coordinator()
        include_report = self._leader() is None or coordinator == address
        heartbeats = {}
        if include_report:
            heartbeats, self._heartbeats = self._heartbeats, {}
        message = self._message(records, heartbeats, summary, with_hosts=include_report)
        try:
            reply = await self._client.call(
                address, PUSH_PATH, message.to_json(), _PUSH_TIMEOUT_S
            )
        except PeerFailed:
            # The heartbeats of this report are lost; servers soon repeat them.
            return False
        if full_sync:
            self._log.write("directory_sent_whole", {"to": address})
            peer.record_full_sync()
        else:
            self._compare_digests(address, peer, reply["digest"])
        if reply["epoch"] == peer.epoch or not peer.epoch:
            peer.acknowledged_version = version
        else:
            peer.acknowledged_version = 0
        peer.epoch = reply["epoch"]
        peer.acknowledged_summary, peer.last_coordinator = summary, coordinator
        return True

    def _push_is_due(self, peer: _Peer) -> bool:
        has_new_records = (
            self._view.directory.direct_version > peer.acknowledged_version
        )
        new_coordinator = self._coordinator() != peer.last_coordinator
        full_sync = peer.needs_full_sync(self._loop.time())
        return (
            has_new_records
            or new_coordinator
            or full_sync
            or self._summary() != peer.acknowledged_summary
        )

    def _push_interval_s(self, address: str) -> float:
        leader = self._leader()
        if leader is None or leader == address:
            return _REPORT_INTERVAL_S
        return (
            _SUMMARY_INTERVAL_S
            if leader == self._own_address
            else _KEEP_ALIVE_INTERVAL_S
        )

    def _summary(self) -> Summary | None:
        if self._coordinator() != self._own_address:
            return None
        view = self._view
        return Summary(
            sorted(view.silent_servers),
            view.slow_servers,
            view.host_count,
            view.request_count,
            {a: view.zones.get(a, "") for a in view.reachable_control_hosts},
            view.demand,
            view.suspects,
            view.epoch,
            view.quotas.ratios,
        )

    def _message(
        self,
        records: list[ServerRecord],
        heartbeats: Heartbeats | None = None,
        summary: Summary | None = None,
        with_hosts: bool = False,
    ) -> PushMessage:
        return PushMessage(
            self._own_address,
            self._zone,
            self._view.directory.digest,
            records,
            heartbeats or {},
            self._view.local_hosts() if with_hosts else [],
            summary,
        )
