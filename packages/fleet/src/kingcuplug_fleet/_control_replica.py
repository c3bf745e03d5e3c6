"""The control part of a host with a disk: its replica of the replicated route log."""

import asyncio
import contextlib
import math
import random as random_module
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from kingcuplug_common import (
    EventLog,
    Metrics,
    boot_time,
    require_boolean,
    require_count,
    require_string,
)
from kingcuplug_log import (
    BootstrapRefused,
    ChangeRefused,
    Clock,
    CorruptLog,
    DiskFileSystem,
    FileSystem,
    LogSettings,
    LogStatus,
    LostLeadership,
    Member,
    MemberRole,
    NotLeader,
    Replica,
    Storage,
    StorageFailed,
    member_id,
)

from kingcuplug_fleet._disk_tolerance import DiskTolerance
from kingcuplug_fleet._errors import CoreUnavailable, OrderSuperseded
from kingcuplug_fleet._evacuation import (
    EvacuationOrder,
    encode_evacuation_command,
)
from kingcuplug_fleet._founding import (
    Founding,
    FoundingRecord,
    InitialGroup,
    announce_group,
    joined_reply,
    log_no_group,
)
from kingcuplug_fleet._founding_messages import (
    FOUND_PATH,
    FOUNDED_REPLY,
    JOIN_PATH,
    NO_SEED_REPLY,
)
from kingcuplug_fleet._group_health import GroupHealth, group_health
from kingcuplug_fleet._join_requests import JoinRequests
from kingcuplug_fleet._membership import (
    JoinRequest,
    is_formed,
    may_leave,
    next_membership_change,
    voter_zones,
)
from kingcuplug_fleet._peer_client import PeerClient, PeerFailed
from kingcuplug_fleet._route_register import RouteRegister, require_command

__all__ = ["ControlReplica", "ControlReplicaSettings"]

LOG_PATH = "/peer/v2/log"
BARRIER_PATH = "/peer/v2/barrier"
PROPOSE_PATH = "/peer/v2/propose"
LEAVE_PATH = "/peer/v2/leave"

# On small hosts the log shares a processor with the request path, and a sync of the
# disk may take 150 ms, so the election time-out is longer than the log's default. An
# operator's client tries another host after one second without a response.
LOG_SETTINGS = LogSettings(
    election_timeout_ms=480,
    heartbeat_ms=100,
    rpc_timeout_ms=300,
    snapshot_entries=64,
    snapshot_bytes=8_388_608,
    retained_entries=8,
    retained_bytes=2_097_152,
)
_CALL_TIMEOUT_S = 0.8
_JOIN_INTERVAL_S = 0.4
_NO_GROUP_LOG_INTERVAL_S = 10.0
# Between proposals of one seed, at random up to twice as long.
_FOUNDING_INTERVAL_S = 0.1
# Two requests in the time for which one counts.
_OBSERVER_JOIN_INTERVAL_S = 0.7
_MEMBERSHIP_INTERVAL_S = 0.2
_CHANGE_TIMEOUT_S = 2.0
# Part of the time in which a process that stops must end.
_LEAVE_TIMEOUT_S = 3.0
_LEAVE_INTERVAL_S = 0.1
_REOPEN_DELAY_S = 0.5
# Longer than the forming of a group with all hosts, or the repair of one.
_TOLERANCE_LOG_DELAY_S = 7.0
# Several syncs of a slow disk; beyond it the hosts that poll this one go to another.
_MAX_STATE_AGE_S = 1.0
_MS_PER_S = 1_000


@dataclass(frozen=True)
class ControlReplicaSettings:
    """Settings of the control part.

    Attributes
    ----------
    address : str
        ``ip:port`` at which other hosts reach this one.
    seeds : tuple of str
        Addresses of control hosts, which found the group by agreement.
    first_start : bool
        Whether the whole system starts for the first time.
    tolerated_losses : int
        Number of disks that may be lost at the same time.
    tolerated_zones : int
        Number of zones whose disks may all be lost at the same time.
    """

    host: str
    address: str
    folder: Path
    seeds: tuple[str, ...]
    first_start: bool
    tolerated_losses: int = 1
    tolerated_zones: int = 0
    availability_zone: str = ""

    @property
    def tolerance(self) -> DiskTolerance:
        """Losses that every acknowledged change must survive."""
        return DiskTolerance(self.tolerated_losses, self.tolerated_zones)


class ControlReplica:
    """Runs a replica of the log, and reopens it after a failure of the disk.

    Parameters
    ----------
    known_control_hosts : callable
        Return the addresses of the control hosts that this host has discovered.
    clock : callable
        Monotonic seconds.
    open_files : callable
        Return the files in a folder.
    """

    def __init__(
        self,
        settings: ControlReplicaSettings,
        client: PeerClient,
        register: RouteRegister,
        known_control_hosts: Callable[[], set[str]],
        log: EventLog,
        metrics: Metrics,
        clock: Clock = boot_time,
        open_files: Callable[[Path], FileSystem] = DiskFileSystem,
    ) -> None:
        self._clock = clock
        self._open_files = open_files
        self._settings = settings
        self._client = client
        self._register = register
        self._known_control_hosts = known_control_hosts
        self._log = log
        self._metrics = metrics
        self._replica: Replica | None = None
        self._disk_was_empty = False
        self._founding: Founding | None = None
        self._chosen_group: asyncio.Future[InitialGroup]
        self._has_founding_record = False
        self._join_requests = JoinRequests(clock)
        self._silent_voters: tuple[str, ...] = ()
        self._tolerance_log_due_at: float | None = None
        self._order_lock = asyncio.Lock()
        self._is_leaving = False
        self._has_left = False
        self._random = random_module.Random()

    async def run(self) -> None:
        """Run the replica until cancelled."""
        while True:
            try:
                await self._run_replica()
            except (StorageFailed, CorruptLog, OSError) as error:
                self._log.write("storage_unusable", {"error": str(error)})
            await asyncio.sleep(_REOPEN_DELAY_S)

    def connected(self) -> bool:
        """Return whether the applied state is at most one second old.

        A replica that cannot store entries, because its disk stalls, hears its leader
        but applies nothing.
        """
        replica = self._replica
        return (
            replica is not None
            and replica.has_active_leader()
            and replica.state_age_s() < _MAX_STATE_AGE_S
        )

    def members(self) -> list[str]:
        """Return the addresses of all members of the group."""
        if self._replica is None:
            return []
        return [member.address for member in self._replica.status().members]

    def leader(self) -> str | None:
        """Return the leader's address while it is heard, otherwise ``None``."""
        if self._replica is None or not self._replica.has_active_leader():
            return None
        leader = self._replica.status().leader
        return leader.address if leader is not None else None

    def is_leader(self) -> bool:
        """Return whether this host is the leader of the group."""
        return self._replica is not None and self._replica.leading

    def health(self) -> GroupHealth | None:
        """Return the health of the group if this host leads it."""
        if self._replica is None or not self._replica.leading:
            return None
        return group_health(self._replica.status())

    def state_age_s(self) -> float:
        """Return how old the applied state may be, infinite if nothing is known."""
        return math.inf if self._replica is None else self._replica.state_age_s()

    async def submit(self, version: int, document: str) -> int:
        """Replicate a document durably; return the version held afterwards.

        Raises
        ------
        CoreUnavailable
            If the replication could not be confirmed.
        """
        return await self._submit({"version": version, "document": document})

    def evacuation_version(self) -> int:
        """Return the version of the evacuated zones that this host knows."""
        return self._register.evacuation.version

    async def submit_evacuation(self, order: EvacuationOrder) -> int:
        """Replicate an order durably; return the version of the set that has it.

        Raises
        ------
        OrderSuperseded
            If another order for the zone came after the base of this one.
        CoreUnavailable
            If the replication could not be confirmed.
        """
        return await self._submit(order.to_json())

    async def _submit(self, command: dict[str, Any]) -> int:
        try:
            async with asyncio.timeout(_CALL_TIMEOUT_S):
                replica = self._require_replica()
                if replica.leading:
                    return await self._propose(replica, command)
                leader = self._leader_address(replica)
                value = await self._client.call(
                    leader, PROPOSE_PATH, command, _CALL_TIMEOUT_S
                )
                if "superseded_by" in value:
                    raise OrderSuperseded(require_count(value["superseded_by"]))
                return int(value["version"])
        except (TimeoutError, PeerFailed, NotLeader, LostLeadership) as error:
            raise CoreUnavailable(f"change not confirmed: {error!r}") from error
        except StorageFailed as error:
            raise CoreUnavailable(f"log storage failed: {error}") from error

    async def read(self) -> RouteRegister:
        """Return the register once it reflects all changes acknowledged before.

        Raises
        ------
        CoreUnavailable
            If this host cannot confirm that it does.
        """
        try:
            async with asyncio.timeout(_CALL_TIMEOUT_S):
                replica = self._require_replica()
                if replica.leading:
                    await replica.read_barrier()
                else:
                    leader = self._leader_address(replica)
                    value = await self._client.call(
                        leader, BARRIER_PATH, {}, _CALL_TIMEOUT_S
                    )
                    await replica.wait_applied(int(value["index"]))
        except (TimeoutError, PeerFailed, NotLeader) as error:
            raise CoreUnavailable(f"read not confirmed: {error!r}") from error
        return self._register

    async def leave(self) -> None:
        """Leave the group before this process ends, if another host has replaced it.

        Otherwise the group would have this voter until the leader gives it up, and
        would bear one loss less meanwhile. A process that starts again with the same
        disk joins again.
        """
        self._is_leaving = True
        ends_at = self._clock() + _LEAVE_TIMEOUT_S
        while self._clock() < ends_at:
            if await self._try_to_leave():
                return
            await asyncio.sleep(_LEAVE_INTERVAL_S)
        self._log.write("group_not_left", {}, bypass_rate_limit=True)

    async def _try_to_leave(self) -> bool:
        """Ask the leader once; return whether nothing is left to do."""
        replica = self._replica
        if replica is None:
            return True
        status = replica.status()
        if not may_leave(status, status.member.id, self._settings.tolerance):
            return True
        value = {"member": status.member.id}
        try:
            if replica.leading:
                reply = await self._remove_leaving(replica, value)
            else:
                leader = self._leader_address(replica)
                reply = await self._client.call(
                    leader, LEAVE_PATH, value, _CALL_TIMEOUT_S
                )
            self._has_left = require_boolean(reply["left"])
        except (CoreUnavailable, PeerFailed, LookupError, TypeError, ValueError):
            return False
        return True

    async def _remove_leaving(self, replica: Replica, value: Any) -> Any:
        """Remove a voter that stops, as the leader, unless it is needed."""
        identifier = require_string(value["member"])
        if not replica.leading:
            raise CoreUnavailable("this host does not lead the control group")
        leaves = may_leave(replica.status(), identifier, self._settings.tolerance)
        if leaves:
            try:
                async with asyncio.timeout(_CALL_TIMEOUT_S):
                    await replica.change_members(remove=identifier)
            except (
                ChangeRefused,
                NotLeader,
                LostLeadership,
                StorageFailed,
                TimeoutError,
            ) as error:
                raise CoreUnavailable(f"voter not removed: {error!r}") from error
            self._log_members_changed(None, identifier)
        return {"left": leaves is not False}

    async def handle_call(self, path: str, value: Any) -> Any:
        """Execute a call of another control host and return the reply.

        Raises
        ------
        CoreUnavailable
            If this host cannot execute the call.
        """
        try:
            if path == FOUND_PATH:
                return await self._answer_founding(self._require_replica(), value)
            return await self._dispatch_call(self._require_replica(), path, value)
        except (NotLeader, LostLeadership, StorageFailed, TimeoutError) as error:
            raise CoreUnavailable(f"call not executed: {error!r}") from error

    async def _dispatch_call(self, replica: Replica, path: str, value: Any) -> Any:
        if path == LOG_PATH:
            return await replica.handle(value)
        if path == JOIN_PATH:
            return await self._receive_join_request(replica, value)
        if path == LEAVE_PATH:
            return await self._remove_leaving(replica, value)
        async with asyncio.timeout(_CALL_TIMEOUT_S):
            if path == BARRIER_PATH:
                return {"index": await replica.read_barrier()}
            try:
                return {"version": await self._propose(replica, value)}
            except OrderSuperseded as error:
                return {"superseded_by": error.version}

    async def _answer_founding(self, replica: Replica, value: Any) -> Any:
        if "chosen" in value:
            group = InitialGroup.from_json(value["chosen"])
            if not self._chosen_group.done():
                self._chosen_group.set_result(group)
            return FOUNDED_REPLY
        if self._founding is not None:
            return await self._founding.handle(value)
        return _joined_reply(replica) or NO_SEED_REPLY

    def _require_replica(self) -> Replica:
        if self._replica is None:
            raise CoreUnavailable("the log replica of this host is not open")
        return self._replica

    def _leader_address(self, replica: Replica) -> str:
        if self._has_left:
            raise CoreUnavailable("this host has left the control group")
        leader = replica.status().leader
        if leader is None or leader.address == self._settings.address:
            raise CoreUnavailable("no leader is known")
        return leader.address

    async def _propose(self, replica: Replica, command: Any) -> int:
        require_command(command)
        if not self._is_formed(replica.status()):
            raise CoreUnavailable("too few control hosts have joined the new group")
        order = EvacuationOrder.from_json(command)
        if order is not None:
            return await self._propose_order(replica, order)
        return int(await replica.propose(command))

    async def _propose_order(self, replica: Replica, order: EvacuationOrder) -> int:
        """Append an order unless another one for its zone came after its base.

        Nothing is appended between the check and the order, and nothing that is in the
        log before it is missing in the state that is checked.
        """
        async with self._order_lock:
            while (status := replica.status()).applied_index < status.last_index:
                await replica.wait_applied(status.last_index)
            if not self._register.check_order(order):
                return self._register.evacuation.version
            command = encode_evacuation_command(order.zone, order.evacuated)
            return int(await replica.propose(command))

    def _is_formed(self, status: LogStatus) -> bool:
        """Return whether the group has enough voters to acknowledge changes.

        A group that has acknowledged one goes on while a lost voter is replaced.
        """
        if not self._register.is_empty:
            return True
        settings = self._settings
        known_ids = {
            member.id for member in status.members
        } | self._join_requests.recent().keys()
        zones = voter_zones(status.members)
        formed = is_formed(
            zones,
            len(settings.seeds),
            settings.tolerance,
            len(known_ids),
            self._clock() - self._started_at,
        )
        required = settings.tolerance.required_voters
        if formed and len(zones) < required and len(settings.seeds) > 1:
            self._log.write(
                "group_formed_too_small",
                {"voters": len(zones), "required": required},
                bypass_rate_limit=True,
            )
        return formed

    async def _run_replica(self) -> None:
        self._started_at = self._clock()
        storage = Storage(self._open_files(self._settings.folder))
        await storage.open()
        try:
            await self._run_replica_on(storage)
        finally:
            await storage.close()

    async def _run_replica_on(self, storage: Storage) -> None:
        settings = self._settings
        self._disk_was_empty = storage.last_index == 0
        name = settings.host
        member = Member(
            member_id(name, storage.disk_id),
            name,
            settings.address,
            MemberRole.VOTER,
            settings.availability_zone if settings.tolerated_zones else "",
            half_quorums=True,
        )
        replica = Replica(
            member,
            storage,
            self._send,
            self._register,
            LOG_SETTINGS,
            self._clock,
            self._random,
            self._metrics,
        )
        self._founding = await self._open_founding(storage, replica, member)
        self._replica = replica
        self._chosen_group = asyncio.get_running_loop().create_future()
        found_task = None
        try:
            await replica.start()
            self._log.write(
                "replica_started",
                {
                    "member": member.id,
                    "fresh": self._disk_was_empty,
                    "first_start": self._is_first_start(),
                },
                bypass_rate_limit=True,
            )
            found_task = asyncio.create_task(self._found_group(replica, member))
            await self._maintain_membership(replica, member)
        finally:
            self._replica = None
            if found_task is not None:
                found_task.cancel()
            with contextlib.suppress(Exception):
                await replica.stop()

    async def _open_founding(
        self, storage: Storage, replica: Replica, member: Member
    ) -> Founding | None:
        """Return this host's part in the founding of the group, if it has one.

        A process of the first start notes that on the disk, because it may end before
        the group exists. A folder that became empty while the process runs, for example
        by an unmounted volume, has lost promises; this host then only joins.
        """
        settings = self._settings
        if storage.founding is None:
            may_note = self._disk_was_empty and not self._has_founding_record
            if not settings.first_start or not may_note:
                return None
            record = FoundingRecord(settings.seeds)
            await storage.save_founding(record.to_json())
        else:
            try:
                record = FoundingRecord.from_json(storage.founding)
            except (LookupError, TypeError, ValueError) as error:
                raise CorruptLog("founding", 0, repr(error)) from error
        self._has_founding_record = True
        return Founding(
            record,
            storage.save_founding,
            settings.address,
            member,
            lambda: _joined_reply(replica),
            self._join_requests.applicants,
            settings.tolerance,
            self._client,
            self._clock,
        )

    def _is_first_start(self) -> bool:
        """Return whether this host starts with the whole system."""
        has_noted = self._founding is not None and self._disk_was_empty
        return self._settings.first_start or has_noted

    async def _found_group(self, replica: Replica, member: Member) -> None:
        """Found or join the first group, and tell its members until it has a leader.

        A leader's first act is to append an entry.
        """
        logged_at = self._clock()
        while not replica.status().storage_failed:
            waited_s = self._clock() - logged_at
            if replica.cluster is None and waited_s > _NO_GROUP_LOG_INTERVAL_S:
                logged_at = self._clock()
                founding = self._founding
                seeds = self._settings.seeds if founding is None else founding.answers
                log_no_group(self._log, seeds)
            try:
                if await self._try_to_found_group(replica, member):
                    return
            except StorageFailed:
                return
            except Exception as error:
                # Without this task the system would never have a group.
                self._log.write("founding_failed", {"error": repr(error)})
                await asyncio.sleep(self._pause_s())

    async def _try_to_found_group(self, replica: Replica, member: Member) -> bool:
        """Take one step of the founding; return whether nothing is left to do."""
        founding, group = self._founding, None
        if replica.cluster is None:
            if founding is not None:
                group = await founding.propose()
            if group is None:
                await asyncio.wait([self._chosen_group], timeout=self._pause_s())
                if not self._chosen_group.done():
                    return False
                group = self._chosen_group.result()
            await self._begin_group(replica, member, group)
            if replica.cluster is None:
                # No member of it; those that are may not know that it was chosen.
                await self._announce(group)
        if replica.status().last_index != 1 or not (joined := _joined_group(replica)):
            return True
        await self._announce(joined)
        await asyncio.sleep(self._pause_s())
        return False

    def _pause_s(self) -> float:
        return self._random.uniform(1, 2) * _FOUNDING_INTERVAL_S

    async def _begin_group(
        self, replica: Replica, member: Member, group: InitialGroup
    ) -> None:
        """Write the group's first entry if this host is one of its members."""
        # A proposer of an earlier version drops the member's zone.
        if member.id not in {m.id for m in group.members}:
            return
        # Refused if the leader has sent the first entry already.
        with contextlib.suppress(BootstrapRefused):
            await replica.bootstrap(group.cluster, group.members)
        self._log.write(
            "group_founded",
            {"cluster": group.cluster, "members": [m.id for m in group.members]},
            bypass_rate_limit=True,
        )

    async def _announce(self, group: InitialGroup) -> None:
        settings = self._settings
        await announce_group(
            self._client, group, settings.seeds, excluded=settings.address
        )

    async def _maintain_membership(self, replica: Replica, member: Member) -> None:
        """Ask to join while this host is no voter; change members while it leads."""
        while not (status := replica.status()).storage_failed:
            if replica.leading:
                self._log_silent_voters(status)
                await self._change_members(replica, status, member)
                self._log_tolerance(replica.status())
                await asyncio.sleep(_MEMBERSHIP_INTERVAL_S)
                continue
            self._silent_voters = ()
            if self._is_leaving:
                await asyncio.sleep(_JOIN_INTERVAL_S)
                continue
            own = replica.find_member(member.id)
            is_listed = (
                own is not None
                and own.role is MemberRole.VOTER
                and member.zone in ("", own.zone)
                and own.half_quorums
            )
            is_observer = own is not None and own.role is MemberRole.OBSERVER
            leader = self.leader()
            if is_observer and leader is not None:
                # Asks until its vote is needed, which may be never.
                await self._request_join(member, {leader})
                await asyncio.sleep(_OBSERVER_JOIN_INTERVAL_S)
                continue
            if not is_listed or not replica.has_active_leader():
                await self._request_join(member, self._join_targets())
            await asyncio.sleep(_JOIN_INTERVAL_S)
        raise OSError("log storage failed")

    def _log_silent_voters(self, status: LogStatus) -> None:
        """Log which voters do not answer the leader, whenever that changes."""
        health = group_health(status)
        if health.silent == self._silent_voters:
            return
        self._silent_voters = health.silent
        self._log.write(
            "voters_silent",
            {
                "silent": {
                    peer.member.id: peer.answered_ms_ago
                    for peer in status.peers
                    if peer.member.id in health.silent
                },
                "voters": health.voters,
                "losses_borne": health.losses_borne,
            },
            bypass_rate_limit=True,
        )

    def _log_tolerance(self, status: LogStatus) -> None:
        """Log once if the voters have not borne the losses by zones for some time."""
        tolerance = self._settings.tolerance
        zones = voter_zones(status.members)
        now = self._clock()
        if not tolerance.zones or tolerance.is_met(zones):
            self._tolerance_log_due_at = None
            return
        if self._tolerance_log_due_at is None:
            self._tolerance_log_due_at = now + _TOLERANCE_LOG_DELAY_S
        if now < self._tolerance_log_due_at:
            return
        self._tolerance_log_due_at = math.inf
        self._log.write(
            "tolerance_not_met",
            {
                "voters": dict(Counter(zones)),
                "machines": tolerance.machines,
                "zones": tolerance.zones,
                "remedy": (
                    f"run at least {tolerance.required_voters} control hosts, spread "
                    "over zones so that those outside any lost zones are a majority"
                ),
            },
            bypass_rate_limit=True,
        )

    def _join_targets(self) -> set[str]:
        """Return the addresses of hosts that may know the leader."""
        return (
            self._known_control_hosts()
            | set(self.members())
            | set(self._settings.seeds)
        )

    async def _request_join(self, member: Member, addresses: set[str]) -> None:
        value = {
            "member": member.to_json(),
            "fresh": self._disk_was_empty,
            "founding": self._is_first_start(),
        }
        targets = sorted(addresses - {self._settings.address})
        self._random.shuffle(targets)
        calls = [
            self._client.call(address, JOIN_PATH, value, _CALL_TIMEOUT_S)
            for address in targets[:3]
        ]
        await asyncio.gather(*calls, return_exceptions=True)

    async def _receive_join_request(self, replica: Replica, value: Any) -> Any:
        request = JoinRequest.from_json(value)
        if not replica.leading:
            if replica.cluster is None:
                self._join_requests.add(request)
            leader = self._leader_address(replica)
            if value.get("forwarded"):
                raise CoreUnavailable("no leader is known")
            forwarded = {**value, "forwarded": True}
            return await self._client.call(
                leader, JOIN_PATH, forwarded, _CALL_TIMEOUT_S
            )
        self._join_requests.add(request)
        return {}

    async def _change_members(
        self, replica: Replica, status: LogStatus, member: Member
    ) -> None:
        requests = self._join_requests.recent()
        if member.id in {listed.id for listed in status.members}:
            # The log may list this leader without its zone or its version.
            requests[member.id] = JoinRequest(member, False, False)
        change = next_membership_change(status, requests, self._settings.tolerance)
        if change is None:
            return
        added = change if isinstance(change, Member) else None
        removed = change if isinstance(change, str) else None
        # A host that joins later takes the place of a lost one.
        voting = {m.id for m in status.members if m.role is not MemberRole.OBSERVER}
        enlarge = (
            added is not None
            and added.role is MemberRole.VOTER
            and added.id not in voting
            and requests[added.id].first_start
        )
        try:
            async with asyncio.timeout(_CHANGE_TIMEOUT_S):
                await replica.change_members(added, removed, enlarge)
        except (ChangeRefused, NotLeader, LostLeadership, StorageFailed, TimeoutError):
            return
        self._log_members_changed(added, removed)

    def _log_members_changed(self, added: Member | None, removed: str | None) -> None:
        self._log.write(
            "members_changed",
            {"added": added.id if added else None, "removed": removed},
            bypass_rate_limit=True,
        )

    async def _send(self, peer: str, message: dict[str, Any]) -> dict[str, Any]:
        replica = self._replica
        member = replica.find_member(peer) if replica is not None else None
        if member is None:
            raise ConnectionError(f"{peer} is not a member of the group")
        timeout_s = LOG_SETTINGS.rpc_timeout_ms / _MS_PER_S
        try:
            value = await self._client.call(
                member.address, LOG_PATH, message, timeout_s
            )
        except PeerFailed as error:
            raise ConnectionError(str(error)) from error
        return dict(value)


def _joined_group(replica: Replica) -> InitialGroup | None:
    """Return the beginning of this host's group, ``None`` if it is not known here."""
    members = replica.first_members()
    return (
        InitialGroup(replica.cluster, members) if replica.cluster and members else None
    )


def _joined_reply(replica: Replica) -> dict[str, Any] | None:
    """Return the answer to seeds that found a group, ``None`` without a group."""
    if replica.cluster is None:
        return None
    return joined_reply(_joined_group(replica))
