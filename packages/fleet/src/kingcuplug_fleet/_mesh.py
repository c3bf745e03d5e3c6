"""How control hosts tell each other what servers and hosts have told them.

Answers this load pattern: many control hosts in several availability zones, where
bytes are priced, and most statements of servers repeat the last one. A control host
pushes only what servers themselves told it, to all others at once. Who has spoken and
who has asked goes to one coordinator alone, which tells all others what follows from
it. Digests of the directories show what got lost.

The coordinator is the leader of the log. While there is none, each side of a cut has
its own, the control host with the least address among those that hear each other: what
it sums up needs no agreement. It hears only a part of the servers then, so it judges
who is slow, but not who is silent. Without a leader, every control host compares its
digest with every other one.
"""

import asyncio
import contextlib
from collections.abc import Callable
from typing import Any

from kingcuplug_common import EventLog

from kingcuplug_fleet._knowledge import Knowledge
from kingcuplug_fleet._mesh_messages import Heard, Report, ShareMessage, Summary
from kingcuplug_fleet._peers import PeerFailed, Peers
from kingcuplug_fleet._records import ServerRecord

__all__ = ["REPORT_PATH", "SHARE_PATH", "Mesh"]

SHARE_PATH = "/peer/v2/share"
REPORT_PATH = "/peer/v2/report"

# Several reports fit into the time after which a server or a host counts as gone.
_REPORT_INTERVAL_S = 1.0
# The leader's summary is pushed when it changes; this only shows what got lost.
_SUMMARY_INTERVAL_S = 2.0
# Between other control hosts only news is pushed.
_QUIET_INTERVAL_S = 30.0
# Servers that start together share a push. A leaving server is told at once.
_GATHER_S = 0.1
_SHARE_TIMEOUT_S = 0.6
_RETRY_S = 0.9
_REPORT_TIMEOUT_S = 0.5
# Each stage on the way of a report to all hosts delays it by half of this on average.
_UPKEEP_S = 0.15
# Acknowledging a leaving server waits for one other control host this long, so that
# the news survives the loss of this one.
_TELL_TIMEOUT_S = 0.35
# News on its way makes digests differ for a moment; after this time something was lost.
_LOST_AFTER_S = 2.0
# A control host whose last report is older than two intervals may be gone.
_REACHABLE_S = 2.5


class _Peer:
    """What is known of another control host.

    Attributes
    ----------
    epoch : str
        Identifies the run of its process.
    sent : int
        Version of the own directory up to which it holds the first-hand statements.
    heard_at : float
        Event loop time of its last push.
    told : Summary or None
        The last summary that it took.
    under : str or None
        The coordinator at the last push.
    """

    def __init__(self, task: asyncio.Task[None]) -> None:
        self.task = task
        self.epoch = ""
        self.sent = 0
        self.heard_at = float("-inf")
        self.told: Summary | None = None
        self.under: str | None = None
        self._differs_since: float | None = None

    def compare(self, equal: bool, now: float) -> None:
        """Take a comparison of the digests of the two directories."""
        if equal:
            self._differs_since = None
        elif self._differs_since is None:
            self._differs_since = now

    def lacks(self, now: float) -> bool:
        """Return whether something was lost between the two hosts."""
        since = self._differs_since
        return since is not None and now - since > _LOST_AFTER_S

    def filled(self) -> None:
        """Take the news that it was sent the whole directory."""
        self._differs_since = None


class Mesh:
    """Pushes what servers tell this control host to the other ones.

    Parameters
    ----------
    own : str
        Control address of this host.
    leader : callable
        Address of the control host that leads, ``None`` if none is known.
    """

    def __init__(
        self,
        host: str,
        knowledge: Knowledge,
        peers: Peers,
        own: str,
        availability_zone: str,
        leader: Callable[[], str | None],
        log: EventLog,
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self._host = host
        self._knowledge = knowledge
        self._calls = peers
        self._own = own
        self._zone = availability_zone
        self._leader = leader
        self._log = log
        self._peers: dict[str, _Peer] = {}
        self._heard: Heard = {}
        self._report = Report()
        self._followed = ""
        self._led = False

    async def run(self) -> None:
        """Keep one task for each other control host, and what ages."""
        self._knowledge.zones[self._own] = self._zone
        try:
            while True:
                self._follow_members()
                self._age(self._loop.time())
                await asyncio.gather(asyncio.sleep(_UPKEEP_S), self._forward_report())
        finally:
            for peer in self._peers.values():
                peer.task.cancel()

    def hear(self, record: ServerRecord) -> None:
        """Note that a server has spoken to this host."""
        self._heard[record.id] = (record.born_ms, record.sequence)

    def take_report(self, report: Report) -> None:
        """Take what a host, perhaps this one, has seen.

        The coordinator alone sums the reports up, as all to all would cost more bytes
        than the queries.
        """
        if self._coordinator() != self._own:
            self._report.add(report)
            return
        self._knowledge.paces.add(report.samples, self._loop.time())
        self._knowledge.count_requests(report.requests)

    async def tell(self, record: ServerRecord) -> bool:
        """Return once one other control host knows a record, or in vain."""
        others = list(self._peers)
        if not others:
            return True
        value = self._message([record]).to_json()
        calls = [asyncio.ensure_future(self._knows(other, value)) for other in others]
        for call in asyncio.as_completed(calls):
            if await call:
                return True
        self._log.write("leaving_server_untold", {"server": record.id})
        return False

    async def _knows(self, other: str, value: Any) -> bool:
        """Return whether another control host has taken a push."""
        try:
            await self._calls.call(other, SHARE_PATH, value, _TELL_TIMEOUT_S)
        except PeerFailed:
            return False
        return True

    def take(self, value: Any) -> dict[str, Any]:
        """Take what another control host pushes."""
        message = ShareMessage.from_json(value)
        knowledge, now = self._knowledge, self._loop.time()
        knowledge.learn_servers(message.servers)
        for identifier, (born_ms, sequence) in message.heard.items():
            knowledge.directory.heard(identifier, born_ms, sequence, now)
        for host in message.hosts:
            knowledge.hear_of_host(host)
        knowledge.zones[message.address] = message.availability_zone
        peer = self._peers.get(message.address)
        if peer is not None:
            peer.heard_at = now
            self._compare(message.address, peer, message.digest)
        if message.summary is not None and self._coordinator() == message.address:
            self._take_summary(message.summary, now)
        return {"epoch": knowledge.epoch, "digest": knowledge.directory.digest}

    def _compare(self, address: str, peer: _Peer, digest: int) -> None:
        """Compare directories with the leader, or with all if there is none."""
        if self._leader() not in (None, self._own, address):
            return
        now = self._loop.time()
        peer.compare(digest == self._knowledge.directory.digest, now)
        if peer.lacks(now):
            self._knowledge.changed.notify()

    def _take_summary(self, summary: Summary, now: float) -> None:
        knowledge = self._knowledge
        knowledge.learn_slow(summary.slow)
        if self._leader() is None:
            return
        knowledge.learn_silent(set(summary.silent))
        knowledge.directory.refresh(now, knowledge.silent)
        knowledge.learn_hosts(summary.hosts)
        knowledge.learn_requests(summary.requests)
        knowledge.zones.update(summary.reachable)
        knowledge.learn_reachable(tuple(summary.reachable))

    def _coordinator(self) -> str:
        leader = self._leader()
        if leader is not None:
            return leader
        return min((self._own, *self._heard_peers()))

    def _heard_peers(self) -> list[str]:
        oldest = self._loop.time() - _REACHABLE_S
        return [a for a, peer in self._peers.items() if peer.heard_at > oldest]

    def _follow_members(self) -> None:
        wanted = set(self._knowledge.control) - {self._own}
        for address in self._peers.keys() - wanted:
            self._peers.pop(address).task.cancel()
        for address in wanted - self._peers.keys():
            task = asyncio.ensure_future(self._push_to(address))
            task.add_done_callback(self._on_push_ended)
            self._peers[address] = _Peer(task)

    def _on_push_ended(self, task: asyncio.Task[None]) -> None:
        """Begin anew with a control host whose answer could not be understood."""
        if task.cancelled():
            return
        self._log.write("push_failed", {"error": repr(task.exception())})
        self._peers = {a: p for a, p in self._peers.items() if p.task is not task}

    async def _forward_report(self) -> None:
        coordinator = self._coordinator()
        if coordinator == self._own or self._report == Report():
            return
        report, self._report = self._report, Report()
        with contextlib.suppress(PeerFailed):
            await self._calls.call(
                coordinator, REPORT_PATH, report.to_json(), _REPORT_TIMEOUT_S
            )

    def _age(self, now: float) -> None:
        """Find who is gone, and who is slow; only the coordinator hears enough."""
        knowledge = self._knowledge
        knowledge.meet_host(self._host)
        knowledge.directory.forget(now)
        coordinator, leads = self._coordinator(), self._leader() == self._own
        if leads and not self._led:
            # Reports went to another leader until now.
            knowledge.directory.refresh(now, knowledge.silent)
            knowledge.expect_hosts(knowledge.hosts)
            knowledge.begin_counting_requests()
        self._led = leads
        if coordinator != self._followed:
            self._followed = coordinator
            knowledge.changed.notify()
        if coordinator == self._own:
            knowledge.learn_slow(knowledge.paces.slow(now))
        if leads:
            knowledge.learn_silent(knowledge.directory.silent(now))
            knowledge.count_hosts()
            knowledge.learn_reachable((self._own, *sorted(self._heard_peers())))
        elif self._leader() is None:
            # Without reports the number of requests grows old.
            knowledge.learn_requests(0)

    async def _push_to(self, address: str) -> None:
        while True:
            peer = self._peers[address]
            if not await self._push(address, peer):
                await asyncio.sleep(_RETRY_S)
                continue
            await asyncio.sleep(_GATHER_S)
            await self._knowledge.changed.until(
                lambda peer=peer: self._has_news(peer),  # type: ignore[misc]
                self._interval_s(address) - _GATHER_S,
            )

    async def _push(self, address: str, peer: _Peer) -> bool:
        directory = self._knowledge.directory
        version, summary = directory.version, self._summary()
        whole = peer.lacks(self._loop.time())
        records = directory.since(0 if whole else peer.sent, first_hand=not whole)
        coordinator = self._coordinator()
        reports = self._leader() is None or coordinator == address
        heard = {}
        if reports:
            heard, self._heard = self._heard, {}
        message = self._message(records, heard, summary, with_hosts=reports)
        try:
            reply = await self._calls.call(
                address, SHARE_PATH, message.to_json(), _SHARE_TIMEOUT_S
            )
        except PeerFailed:
            # What was heard meanwhile is soon said again by the servers.
            return False
        if whole:
            self._log.write("directory_sent_whole", {"to": address})
            peer.filled()
        else:
            self._compare(address, peer, reply["digest"])
        if reply["epoch"] == peer.epoch or not peer.epoch:
            peer.sent = version
        else:
            peer.sent = 0
        peer.epoch = reply["epoch"]
        peer.told, peer.under = summary, coordinator
        return True

    def _has_news(self, peer: _Peer) -> bool:
        newer = self._knowledge.directory.first_hand_version > peer.sent
        moved = self._coordinator() != peer.under
        lacks = peer.lacks(self._loop.time())
        return newer or moved or lacks or self._summary() != peer.told

    def _interval_s(self, address: str) -> float:
        leader = self._leader()
        if leader is None or leader == address:
            return _REPORT_INTERVAL_S
        return _SUMMARY_INTERVAL_S if leader == self._own else _QUIET_INTERVAL_S

    def _summary(self) -> Summary | None:
        if self._coordinator() != self._own:
            return None
        knowledge = self._knowledge
        return Summary(
            sorted(knowledge.silent),
            knowledge.slow,
            knowledge.hosts,
            knowledge.requests,
            {a: knowledge.zones.get(a, "") for a in knowledge.reachable},
        )

    def _message(
        self,
        records: list[ServerRecord],
        heard: Heard | None = None,
        summary: Summary | None = None,
        with_hosts: bool = False,
    ) -> ShareMessage:
        return ShareMessage(
            self._own,
            self._zone,
            self._knowledge.directory.digest,
            records,
            heard or {},
            self._knowledge.met_hosts() if with_hosts else [],
            summary,
        )
