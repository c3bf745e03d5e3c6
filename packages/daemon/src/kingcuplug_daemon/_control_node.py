"""The control role of a host: log replica, sessions and mesh replication."""

import asyncio
import random
from collections.abc import Sequence
from typing import Any

from kingcuplug_common import (
    HostSettings,
    KingcuplugError,
    Metrics,
    boot_time,
    random_identifier,
    wall_ms,
)
from kingcuplug_configuration import ApplyConfiguration
from kingcuplug_ledger import command_from_json, result_to_json, with_command_time
from kingcuplug_log import (
    DiskFileSystem,
    LogSettings,
    Member,
    MemberRole,
    NotLeader,
    Replica,
    Storage,
    StorageFailed,
    member_id,
)
from kingcuplug_membership import (
    ConfigurationSource,
    LeaderSource,
    MembershipSettings,
    MeshReplicator,
    SessionServer,
)

from kingcuplug_daemon import _state_reads
from kingcuplug_daemon._peer_client import PeerClient, PeerError
from kingcuplug_daemon._state_machine import LEDGER_COMMANDS, SystemStateMachine
from kingcuplug_daemon._supervision import run_supervised

__all__ = ["BootstrapUnsafe", "ControlNode", "leader_address"]

_RPC_TIMEOUT_S = 0.15
_MESH_POLL_TIMEOUT_S = 5.0
_IDENTITY_TIMEOUT_S = 1.0
_MS_PER_S = 1_000
_MAX_WAIT_S = 60.0
_LOG_FOLDER = "log"


class BootstrapUnsafe(KingcuplugError):
    """A cluster may exist already, so this host must not bootstrap another."""


class HostNotAdded(KingcuplugError):
    """A host cannot become a member; nothing was changed."""


class ControlNode:
    """A control host's state and its handlers for requests of other hosts.

    Parameters
    ----------
    settings : HostSettings
        Settings of this host.
    peer_address : str
        Address at which other hosts reach this one.
    peers : PeerClient
        Calls other hosts.
    metrics : Metrics
        Counters.
    log_settings, membership_settings : optional
        Timeouts and limits.
    """

    def __init__(
        self,
        settings: HostSettings,
        peer_address: str,
        peers: PeerClient,
        metrics: Metrics,
        log_settings: LogSettings | None = None,
        membership_settings: MembershipSettings | None = None,
    ) -> None:
        if settings.data_folder is None:
            raise ValueError(f"control host {settings.host} has no data_folder")
        self._settings = settings
        self._address = peer_address
        self._peers = peers
        self._metrics = metrics
        self._log_settings = log_settings or LogSettings()
        self._membership_settings = membership_settings or MembershipSettings()
        self._folder = settings.data_folder / _LOG_FOLDER
        self._background_task: asyncio.Task[None] | None = None
        self.state_machine = SystemStateMachine()
        self.replica: Replica
        self.sessions: SessionServer
        self.mesh: MeshReplicator

    async def start(self) -> None:
        """Open the data folder, start the log replica and serve sessions.

        Raises
        ------
        CorruptLog, StorageFailed
            If the data folder cannot be used.
        """
        try:
            storage = Storage(DiskFileSystem(self._folder))
        except OSError as error:
            raise StorageFailed(error) from error
        await storage.open()
        identity = member_id(self._settings.host, storage.disk_id)
        self.replica = Replica(
            Member(identity, self._settings.host, self._address),
            storage,
            self._send_log_message,
            self.state_machine,
            self._log_settings,
            boot_time,
            random.Random(),
            self._metrics,
        )
        self.sessions = SessionServer(
            self._address,
            self._other_member_addresses,
            self._configuration_source(),
            self._leader_source(),
            self._peers.bind_path("/peer/v1/barrier", _RPC_TIMEOUT_S * 2),
            boot_time,
            self._membership_settings,
        )
        self.mesh = MeshReplicator(
            self._address,
            self.sessions.directory,
            self.sessions.verdicts,
            self.sessions.completeness,
            self._other_member_addresses,
            self._peers.bind_path("/peer/v1/mesh", _MESH_POLL_TIMEOUT_S),
            boot_time,
            self._membership_settings,
        )
        self.state_machine.revision_callbacks.append(self.sessions.wake_polls)
        await self.replica.start()
        self._background_task = asyncio.create_task(self._run_exchanges())

    async def stop(self) -> None:
        """Stop the sessions, the mesh and the log replica."""
        if self._background_task is not None:
            self._background_task.cancel()
            await asyncio.gather(self._background_task, return_exceptions=True)
        await self.replica.stop()

    async def _run_exchanges(self) -> None:
        await run_supervised(self.sessions.run, self.mesh.run)

    # Requests of other hosts

    async def submit(self, command: dict[str, Any]) -> dict[str, Any]:
        """Commit a command and return its result."""
        kind = command.get("type")
        if kind == "lookup":
            return await self._look_up_order(command)
        if kind in LEDGER_COMMANDS:
            command = with_command_time(command, wall_ms())
        elif kind == "apply_configuration":
            return await self._apply_configuration(command)
        result = await self.replica.propose(command)
        return dict(result)

    async def read(self, request: dict[str, Any]) -> dict[str, Any]:
        """Answer a read request from state that a quorum has confirmed."""
        await self.replica.read_barrier()
        kind = request.get("type")
        read_handlers = {
            "configuration": lambda: _state_reads.current_configuration(
                self.state_machine
            ),
            "history": lambda: _state_reads.configuration_history(self.state_machine),
            "order": lambda: _state_reads.order_state(
                self.state_machine, str(request.get("key"))
            ),
            "keys": lambda: _state_reads.public_keys(self.state_machine),
            "hosts": lambda: _state_reads.live_entry_hosts(self.sessions),
            "servers": lambda: _state_reads.known_servers(self.sessions),
            "control_status": self.status,
        }
        if kind == "in_force":
            return await self._wait_in_force(request)
        if kind not in read_handlers:
            raise KingcuplugError(
                f"read request {kind!r} is unknown", "run one version on all hosts"
            )
        return read_handlers[kind]()

    async def bootstrap(self) -> dict[str, Any]:
        """Bootstrap a cluster on this host, unless one may exist.

        Raises
        ------
        BootstrapUnsafe
            If any configured control host is unreachable or belongs to a cluster.
        BootstrapRefused
            If this host belongs to a cluster.
        """
        for address in self._settings.control_seeds:
            if address != self._address:
                await self._require_no_cluster(address)
        cluster_id = random_identifier()
        await self.replica.bootstrap(cluster_id)
        return {"cluster": cluster_id, "member": self.replica.status().member.id}

    async def change_members(self, change: dict[str, Any]) -> dict[str, Any]:
        """Add the control host at an address, or remove a member by its id."""
        if "remove" in change:
            await self.replica.change_members(remove=str(change["remove"]))
            return {"removed": change["remove"]}
        address = str(change["add"])
        role = _parse_role(str(change.get("role", MemberRole.VOTER.value)))
        try:
            identity = await self._fetch_identity(address)
        except (OSError, TimeoutError, PeerError) as error:
            raise HostNotAdded(
                f"control host at {address} did not return its identity: {error}",
                "start it with the role 'control' and pass its peer_address",
            ) from error
        member = Member(identity["member"], identity["host"], address, role)
        await self.replica.change_members(add=member)
        return {"added": member.id, "role": role.value}

    def identity(self) -> dict[str, Any]:
        """Return this host's identity, for the checks of bootstrap and add."""
        status = self.replica.status()
        return {
            "host": self._settings.host,
            "member": status.member.id,
            "blank": not status.members,
        }

    def status(self) -> dict[str, Any]:
        """Return the replica's state for operators."""
        status = self.replica.status()
        return {
            "member": status.member.id,
            "role": status.role.value,
            "term": status.term,
            "leader": None if status.leader is None else status.leader.id,
            "commit_index": status.commit_index,
            "applied_index": status.applied_index,
            "snapshot_index": status.snapshot_index,
            "lease_valid": status.lease_valid,
            "storage_failed": status.storage_failed,
            "safe_to_lose_one": status.safe_to_lose_one,
            "members": [member.to_json() for member in status.members],
            "peers": [
                {
                    "member": peer.member.id,
                    "match_index": peer.match_index,
                    "caught_up": peer.caught_up,
                    "answered_ms_ago": peer.answered_ms_ago,
                }
                for peer in status.peers
            ],
        }

    # Internals

    async def _look_up_order(self, command: dict[str, Any]) -> dict[str, Any]:
        await self.replica.read_barrier()
        return result_to_json(
            self.state_machine.ledger.apply(command_from_json(command))
        )

    async def _apply_configuration(self, command: dict[str, Any]) -> dict[str, Any]:
        change = ApplyConfiguration.from_json(command | {"time_ms": wall_ms()})
        await self.replica.read_barrier()
        history = self.state_machine.configuration
        known_result = history.known_result(change)
        if known_result is not None:
            return known_result.to_json()
        # Checking a text of the largest supported size takes longer than an election
        # timeout, so it runs in a thread.
        command_with_delta = await asyncio.to_thread(history.condense, change)
        return dict(await self.replica.propose(command_with_delta.to_json()))

    async def _wait_in_force(self, request: dict[str, Any]) -> dict[str, Any]:
        """Wait for a revision; the result lists hosts that may serve an older one."""
        revision = int(request["revision"])
        wait_s = min(float(request["wait_ms"]) / _MS_PER_S, _MAX_WAIT_S)
        try:
            async with asyncio.timeout(wait_s):
                await self.sessions.wait_in_force(revision)
            in_force, lagging_hosts = True, []
        except TimeoutError:
            # The list may be empty: leases of an earlier leader also delay a revision.
            in_force = False
            lagging_hosts = self.sessions.leader_exchange.lagging(revision)
        return {
            "revision": revision,
            "in_force": in_force,
            "waiting_for": lagging_hosts,
            **_state_reads.live_entry_hosts(self.sessions),
        }

    async def _fetch_identity(self, address: str) -> dict[str, Any]:
        return await self._peers.post(
            address, "/peer/v1/identity", {}, _IDENTITY_TIMEOUT_S
        )

    async def _require_no_cluster(self, address: str) -> None:
        try:
            identity = await self._fetch_identity(address)
        except (OSError, TimeoutError, PeerError) as error:
            raise BootstrapUnsafe(
                f"control host at {address} did not return whether it belongs to a"
                f" cluster: {error}",
                "start all configured control hosts, then bootstrap one of them",
            ) from error
        if not identity["blank"]:
            raise BootstrapUnsafe(
                f"control host {identity['host']} belongs to a cluster",
                "add this host to it with `kingcuplug control add`",
            )

    def _other_member_addresses(self) -> Sequence[str]:
        members = self.replica.status().members
        return [m.address for m in members if m.address != self._address]

    async def _send_log_message(
        self, peer_id: str, message: dict[str, Any]
    ) -> dict[str, Any]:
        for member in self.replica.status().members:
            if member.id == peer_id:
                return await self._peers.post(
                    member.address,
                    "/peer/v1/log",
                    message,
                    self._log_settings.rpc_timeout,
                )
        raise ConnectionError(f"member {peer_id} is not in the group")

    def _configuration_source(self) -> ConfigurationSource:
        history = self.state_machine.configuration
        return ConfigurationSource(
            revision=lambda: history.current.number,
            deltas_since=lambda number: _deltas_to_json(history.deltas_since(number)),
            text=lambda: history.current.text,
            digest=lambda: history.current.digest,
        )

    def _leader_source(self) -> LeaderSource:
        status = self.replica.status
        return LeaderSource(
            leading_until=self.replica.lease_expires_at,
            leader=self._leader_address,
            term=lambda: status().term,
            commit_index=lambda: status().commit_index,
            applied_index=lambda: status().applied_index,
        )

    def _leader_address(self) -> str | None:
        leader = self.replica.status().leader
        return None if leader is None else leader.address


def _parse_role(name: str) -> MemberRole:
    try:
        return MemberRole(name)
    except ValueError as error:
        raise HostNotAdded(
            f"role {name!r} is unknown", "use voter, learner or observer"
        ) from error


def leader_address(error: NotLeader) -> str | None:
    """Return the address of the leader that an error refers to."""
    return None if error.leader is None else error.leader.address


def _deltas_to_json(deltas: Sequence[Any] | None) -> list[Any] | None:
    return None if deltas is None else [delta.to_json() for delta in deltas]
