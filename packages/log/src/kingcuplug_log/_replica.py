"""One replica of the replicated log."""

import asyncio
import contextlib
import math
import random as random_module
from collections.abc import Sequence
from typing import Any

import orjson
from kingcuplug_common import Metrics

from kingcuplug_log._applier import Applier
from kingcuplug_log._elections import Elections
from kingcuplug_log._errors import (
    BootstrapRefused,
    NotLeader,
    StorageClosed,
    StorageFailed,
    WrongIdentity,
)
from kingcuplug_log._follower import Follower
from kingcuplug_log._group_membership import members_entry_data, without_half_quorums
from kingcuplug_log._leadership import Leadership
from kingcuplug_log._messages import (
    AppendRequest,
    Header,
    InstallRequest,
    PreVoteRequest,
    Rejected,
    Reply,
    Request,
    decode_request,
    to_json,
)
from kingcuplug_log._replica_state import ReplicaState
from kingcuplug_log._storage import Storage
from kingcuplug_log._types import (
    Clock,
    Entry,
    EntryKind,
    LogSettings,
    LogStatus,
    Member,
    StateMachine,
    Transport,
    member_id,
)

__all__ = ["Replica"]


class Replica:
    """Member of a group that replicates one log.

    Parameters
    ----------
    member : Member
        This replica; its id must be ``<name>/<disk_id of the storage>``.
    storage : Storage
        Opened storage, used by this replica only and closed by `stop`.
    transport : Transport
        Sends a message to a peer id and returns the reply.
    machine : StateMachine
        State machine to which committed commands are applied; `start` loads it from
        the snapshot.
    clock : callable
        Monotonic seconds.
    random : random.Random
        Source of the election timeouts.
    metrics : Metrics, optional
        Counters ``log.*``.
    """

    def __init__(
        self,
        member: Member,
        storage: Storage,
        transport: Transport,
        machine: StateMachine,
        settings: LogSettings,
        clock: Clock,
        random: random_module.Random,
        metrics: Metrics | None = None,
    ) -> None:
        self._state = ReplicaState(
            member, storage, transport, settings, clock, random, metrics or Metrics()
        )
        self._storage = storage
        self._machine = machine
        self._applier = Applier(self._state, machine)
        self._elections = Elections(self._state)
        self._follower = Follower(self._state, self._applier)
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Load the state and start the replica's tasks.

        Raises
        ------
        WrongIdentity
            If the member's id does not match the storage's disk.
        """
        state = self._state
        expected = member_id(state.member.name, self._storage.disk_id)
        if state.member.id != expected:
            raise WrongIdentity(
                f"member {state.member.id} does not match this disk's {expected}",
                "build the id with member_id() from the opened storage",
            )
        self._load_storage()
        # Whether this replica supported a leader's lease before a restart is not
        # stored, so it refuses votes until such a lease would have expired.
        state.record_leader_contact()
        self._tasks = [
            asyncio.create_task(state.supervise(self._run_elections())),
            asyncio.create_task(state.supervise(self._applier.run())),
        ]

    async def stop(self) -> None:
        """Stop the replica's tasks; the outcome of pending proposals is unknown.

        Raises the error of a task that has failed unexpectedly.
        """
        self._state.step_down(None)
        for task in self._tasks:
            task.cancel()
        results = await asyncio.gather(*self._tasks, return_exceptions=True)
        self._tasks = []
        await self._storage.close()
        for result in results:
            if isinstance(result, Exception):
                raise result

    @property
    def leading(self) -> bool:
        """Whether this replica considers itself the leader; it may be partitioned."""
        return self._state.leadership is not None

    @property
    def cluster(self) -> str | None:
        """Identifier of the cluster, ``None`` while the log is empty."""
        return self._state.group.cluster

    def first_members(self) -> tuple[Member, ...]:
        """Return the members with which the cluster began.

        Empty if the first entry of the log is not stored here, or not any more.
        """
        entries = self._storage.entries(1, 1) if self._storage.first_index == 1 else []
        if not entries or entries[0].kind is not EntryKind.MEMBERS:
            return ()
        return tuple(map(Member.from_json, entries[0].data["members"]))

    def find_member(self, identifier: str) -> Member | None:
        """Return the member with this identifier."""
        return self._state.group.find_member(identifier)

    def has_active_leader(self) -> bool:
        """Return whether this replica holds the lease or follows an active leader.

        A follower whose disk stalls may still be behind, see `state_age_s`.
        """
        if self.leading:
            return self.lease_expires_at() > self._state.clock()
        return self._state.leader is not None and self._state.must_refuse_votes()

    def state_age_s(self) -> float:
        """Return how old the applied state may be compared with the leader's.

        Infinite before the first contact to a leader.
        """
        if self.leading:
            return max(0.0, self._state.clock() - self.lease_expires_at())
        return self._state.clock() - self._state.current_at

    async def bootstrap(
        self, cluster_id: str, members: Sequence[Member] | None = None
    ) -> None:
        """Create a cluster, or this replica's part of one that several create.

        Parameters
        ----------
        members : sequence of Member, optional
            The first members, the same at each of them; by default this replica alone.

        Raises
        ------
        BootstrapRefused
            If the data folder already belongs to a cluster.
        """
        if self._storage.last_index > 0 or self._state.group.cluster is not None:
            raise BootstrapRefused(
                f"the data folder belongs to cluster {self._state.group.cluster}",
                "use an empty data folder, or add this host to that cluster",
            )
        # Hosts of earlier versions write the first entry without the versions of the
        # members, and it must be the same at all of them.
        first_members = without_half_quorums(members or [self._state.member])
        data = members_entry_data(cluster_id, first_members, len(first_members))
        entry = Entry(1, 1, EntryKind.MEMBERS, data)
        self._state.advance_term(1)
        self._storage.stage([entry])
        self._state.group.append_entries([entry])
        await self._storage.persist_term_and_vote()
        await self._storage.flush()

    async def propose(self, command: Any) -> Any:
        """Append a command and return the state machine's result after the commit.

        Parameters
        ----------
        command : JSON value
            Command to append. It is copied, and the state machine gets the copy.

        Raises
        ------
        NotLeader
            If this replica is not the leader; the command is not applied.
        StorageFailed
            If the storage has failed; the command is not applied.
        LostLeadership
            If the leadership ends before the commit; the outcome is unknown.
        """
        # Followers apply the decoded JSON value, so the leader must apply the same.
        command_copy = orjson.loads(orjson.dumps(command))
        leadership = self._current_leadership()
        index = leadership.append(EntryKind.COMMAND, command_copy)
        return await self._applier.wait_result(index, leadership.term)

    async def read_barrier(self) -> int:
        """Wait for a linearizable read point and return its index.

        The state applied here then includes every command that was completed before
        the call.

        Raises
        ------
        NotLeader
            If the leader's lease has expired and no quorum confirms the leadership.
        """
        try:
            index = await self._current_leadership().confirm_read_index()
        except NotLeader:
            raise NotLeader(self._known_leader()) from None
        await self.wait_applied(index)
        return index

    async def wait_applied(self, index: int) -> None:
        """Wait until entry `index` is applied here, without a timeout."""
        state = self._state
        await state.changed.wait_for(lambda: state.applied_index >= index)

    async def change_members(
        self,
        add: Member | None = None,
        remove: str | None = None,
        enlarge: bool = True,
    ) -> None:
        """Add or remove one member and return once the change is committed.

        A new voter is added as a learner and promoted automatically once it is
        caught up and synced.

        Parameters
        ----------
        enlarge : bool
            Whether an added member enlarges the group. Otherwise it takes the place of
            one that is still to be removed, or was.

        Raises
        ------
        ChangeRefused
            If the change is not allowed now; nothing was done.
        NotLeader, StorageFailed, LostLeadership
            As for `propose`.
        """
        if (add is None) == (remove is None):
            raise ValueError("specify exactly one of add and remove")
        leadership = self._current_leadership()
        changes = leadership.membership_changes
        index = changes.start(add, remove, enlarge)
        await self._applier.wait_result(index, leadership.term)
        if remove is not None:
            await changes.wait_completed(index)

    async def handle(self, message: dict[str, Any]) -> dict[str, Any]:
        """Handle a message from a peer and return the reply."""
        try:
            request = decode_request(message)
        except ValueError:
            return to_json(Rejected("malformed"))
        rejected = self._rejection(request.header)
        if rejected is not None:
            return to_json(rejected)
        try:
            return to_json(await self._dispatch_request(request))
        except StorageClosed:
            return to_json(Rejected("not_running"))
        except StorageFailed:
            self._state.handle_storage_failure()
            return to_json(Rejected("storage_failed"))

    def lease_expires_at(self) -> float:
        """Return the expiry time of this leader's lease on the clock, or -inf."""
        leadership = self._state.leadership
        if leadership is None or not leadership.lease_valid():
            return -math.inf
        if self._state.applied_index < leadership.term_start_index:
            return -math.inf
        return leadership.quorum_contact_at() + self._state.settings.lease_duration

    def status(self) -> LogStatus:
        """Return the state of this replica for operators."""
        state, leadership = self._state, self._state.leadership
        return LogStatus(
            member=state.group.find_member(state.member.id) or state.member,
            term=self._storage.term,
            role=state.role,
            leader=self._known_leader(),
            commit_index=state.commit_index,
            applied_index=state.applied_index,
            last_index=self._storage.last_index,
            snapshot_index=self._storage.snapshot_index,
            members=state.group.members,
            intended_size=state.group.intended_size,
            peers=leadership.peer_statuses() if leadership else (),
            lease_valid=leadership is not None and leadership.lease_valid(),
            storage_failed=self._storage.failure is not None,
            safe_to_lose_one=leadership is not None and leadership.safe_to_lose_one(),
        )

    def _load_storage(self) -> None:
        storage, state = self._storage, self._state
        snapshot, storage.recovered_snapshot = storage.recovered_snapshot, None
        if snapshot is not None:
            self._machine.load(snapshot.state)
            state.commit_index = state.applied_index = snapshot.index
        state.group.restore(snapshot, storage.entries(storage.first_index))

    async def _run_elections(self) -> None:
        with contextlib.suppress(StorageFailed):
            while True:
                await self._elections.run_until_elected()
                await self._run_leadership()
        self._state.handle_storage_failure()

    async def _run_leadership(self) -> None:
        leadership = Leadership(self._state, self._applier.fail_pending)
        self._state.become_leader(leadership)
        try:
            await leadership.run()
        except* StorageFailed as failures:
            raise failures.exceptions[0] from None
        finally:
            if self._state.leadership is leadership:
                self._state.step_down(None)

    def _current_leadership(self) -> Leadership:
        if self._storage.failure is not None:
            raise StorageFailed(self._storage.failure)
        leadership = self._state.leadership
        if leadership is None:
            raise NotLeader(self._known_leader())
        return leadership

    def _known_leader(self) -> Member | None:
        return self._state.group.find_member(self._state.leader)

    def _rejection(self, header: Header) -> Rejected | None:
        if not self._tasks:
            return Rejected("not_running")
        if self._storage.failure is not None:
            return Rejected("storage_failed")
        if header.to != self._state.member.id:
            return Rejected("wrong_identity", self._state.member.id)
        if self._state.group.cluster not in (None, header.cluster):
            return Rejected("wrong_cluster")
        return None

    async def _dispatch_request(self, request: Request) -> Reply:
        if isinstance(request, AppendRequest):
            return await self._follower.handle_append(request)
        if isinstance(request, InstallRequest):
            return await self._follower.handle_install(request)
        if isinstance(request, PreVoteRequest):
            return await self._elections.handle_pre_vote(request)
        return await self._elections.handle_vote(request)
