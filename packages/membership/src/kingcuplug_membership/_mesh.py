"""Replication of the directory and of verdicts between the control hosts.

Every control host serves the changes that it received first; its peers poll for them.
"""

import asyncio
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any

from kingcuplug_common import KingcuplugError

from kingcuplug_membership._completeness import CompletenessTracker
from kingcuplug_membership._directory import Directory
from kingcuplug_membership._messages import MeshReply, MeshRequest, decode, encode
from kingcuplug_membership._settings import MembershipSettings
from kingcuplug_membership._sources import PeerCall
from kingcuplug_membership._verdicts import CrashVerdictTable

__all__ = ["MeshReplicator"]

_PEER_REFRESH_PERIOD_S = 1.0


@dataclass(slots=True)
class _PeerCursor:
    """Versions up to which a peer's changes are merged, and into which local epoch."""

    local_epoch: str
    peer_epoch: str = ""
    version: int = 0
    verdict_version: int = 0


class MeshReplicator:
    """Polls every peer in a task of its own; a reply is held until there are changes.

    Parameters
    ----------
    name : str
        Peer address of this control host.
    peers : callable
        Returns the peer addresses of the other control hosts, which can change.
    call : callable
        Sends a mesh message to a peer.
    """

    def __init__(
        self,
        name: str,
        directory: Directory,
        verdicts: CrashVerdictTable,
        completeness: CompletenessTracker,
        peers: Callable[[], Iterable[str]],
        call: PeerCall,
        clock: Callable[[], float],
        settings: MembershipSettings | None = None,
    ) -> None:
        self._name = name
        self._directory = directory
        self._verdicts = verdicts
        self._completeness = completeness
        self._peers = peers
        self._call = call
        self._clock = clock
        self._settings = settings or MembershipSettings()
        self._changed = asyncio.Event()
        self._notified_versions = (directory.local_version, verdicts.local_version)
        self._replied_at: dict[str, float] = {}
        directory.subscribe(lambda entry: self._wake_polls())
        verdicts.subscribe(lambda verdict: self._wake_polls())

    def _wake_polls(self) -> None:
        versions = (self._directory.local_version, self._verdicts.local_version)
        if versions != self._notified_versions:
            self._notified_versions = versions
            changed, self._changed = self._changed, asyncio.Event()
            changed.set()

    async def run(self) -> None:
        """Poll every peer until cancelled."""
        poll_tasks: dict[str, asyncio.Task[None]] = {}
        async with asyncio.TaskGroup() as tasks:
            while True:
                peers = set(self._peers()) - {self._name}
                for peer in sorted(peers - poll_tasks.keys()):
                    poll_tasks[peer] = tasks.create_task(self._poll_peer(peer))
                for peer in sorted(poll_tasks.keys() - peers):
                    poll_tasks.pop(peer).cancel()
                await asyncio.sleep(_PEER_REFRESH_PERIOD_S)

    async def _poll_peer(self, peer: str) -> None:
        cursor = _PeerCursor(self._directory.epoch)
        while True:
            try:
                await self._poll_once(peer, cursor)
            except (OSError, TimeoutError, KingcuplugError):
                await asyncio.sleep(self._settings.spacing_ms / 1_000)

    async def _poll_once(self, peer: str, cursor: _PeerCursor) -> None:
        if cursor.local_epoch != self._directory.epoch:
            cursor.local_epoch, cursor.peer_epoch = self._directory.epoch, ""
        request = MeshRequest(
            self._name, cursor.peer_epoch, cursor.version, cursor.verdict_version
        )
        wait_ms = self._settings.mesh_poll_ms + self._settings.grace_ms
        async with asyncio.timeout(wait_ms / 1_000):
            answer = await self._call(peer, encode(request))
        reply = decode(MeshReply, answer)
        if cursor.local_epoch != self._directory.epoch:
            return
        for entry in reply.entries:
            self._directory.merge(entry)
        for verdict in reply.verdicts:
            self._verdicts.add(verdict)
        cursor.peer_epoch = reply.epoch
        cursor.version = reply.version
        cursor.verdict_version = reply.verdict_version
        if not reply.more:
            self._completeness.record_peer_sync(peer)

    async def handle(self, message: dict[str, Any]) -> dict[str, Any]:
        """Answer a peer's poll, after a wait if there are no changes for it.

        Raises
        ------
        MessageInvalid
            If the request cannot be read.
        """
        request = decode(MeshRequest, message)
        if request.epoch == self._directory.epoch:
            await self._wait_for_changes(request)
        self._replied_at[request.sender] = self._clock()
        return encode(self._build_reply(request))

    def _build_reply(self, request: MeshRequest) -> MeshReply:
        full = request.epoch != self._directory.epoch
        changes = self._directory.changes_since(
            0 if full else request.version,
            local=True,
            limit=self._settings.batch_limit,
        )
        verdicts = self._verdicts.added_since(
            0 if full else request.verdict_version, local=True
        )
        return MeshReply(
            self._directory.epoch,
            changes.version,
            changes.entries,
            changes.more,
            verdicts,
            self._verdicts.version,
        )

    async def _wait_for_changes(self, request: MeshRequest) -> None:
        """Wait for changes, for at most the poll period."""
        deadline = self._clock() + self._settings.mesh_poll_ms / 1_000
        while not self._has_changes(request):
            try:
                async with asyncio.timeout(deadline - self._clock()):
                    await self._changed.wait()
            except TimeoutError:
                return
        elapsed = self._clock() - self._replied_at.get(request.sender, float("-inf"))
        await asyncio.sleep(max(0.0, self._settings.spacing_ms / 1_000 - elapsed))

    def _has_changes(self, request: MeshRequest) -> bool:
        return (
            request.epoch != self._directory.epoch
            or self._directory.local_version > request.version
            or self._verdicts.local_version > request.verdict_version
        )
