"""A group must keep acknowledged commands and stay available after a loss."""

import asyncio
import contextlib
import errno
from collections.abc import Callable
from typing import Any

import pytest
from kingcuplug_log import (
    BootstrapRefused,
    LogSettings,
    LostLeadership,
    NotLeader,
    Replica,
    StorageFailed,
    WrongIdentity,
    _progress,
)
from kingcuplug_log._messages import AppendRequest
from kingcuplug_testkit import Failpoint, Host, LogGroup, run_virtual

_SLOW_SYNC_S = 0.2  # Longer than a heartbeat, shorter than the lease.


async def _start_three_voters(
    name: str, settings: LogSettings | None = None
) -> LogGroup:
    group = LogGroup(name, settings)
    await group.start("a", "b", "c")
    await group.propose({"number": 0})
    await group.wait_until_converged()
    return group


def _leader_and_followers(group: LogGroup) -> tuple[Host, list[Host]]:
    leader = group.leader()
    assert leader is not None
    return leader, group.followers()


def test_group_survives_loss_of_leader() -> None:
    # Guards against lost commands or a blocked group after the leader crashes.
    async def main() -> None:
        group = await _start_three_voters("loss of leader")
        for number in range(1, 50):
            await group.propose({"number": number})
        leader = await group.wait_for_leader()
        leader.disk.crash()
        await group.propose({"number": 50})
        await leader.start()
        await group.wait_until_converged()
        assert [value["number"] for value in leader.state_machine.values] == list(
            range(51)
        )
        await group.stop()
        group.invariants.raise_if_violated()

    run_virtual(main())


@pytest.mark.parametrize("slow_leader", [False, True])
def test_commit_waits_for_sync_of_quorum(slow_leader: bool) -> None:
    # Guards against acknowledging a command that a power failure can revert.
    async def main() -> None:
        group = await _start_three_voters("slow sync")
        leader, (follower, crashed) = _leader_and_followers(group)
        crashed.disk.crash()
        (leader if slow_leader else follower).disk.sync_s = _SLOW_SYNC_S
        proposal = asyncio.ensure_future(group.replica(leader.name).propose({"n": 1}))
        await asyncio.sleep(_SLOW_SYNC_S * 0.9)
        assert not proposal.done()
        await proposal
        await group.stop()

    run_virtual(main())


def test_leader_with_failed_storage_steps_down() -> None:
    # Guards against acknowledgements after a failed sync has dropped dirty pages.
    async def main() -> None:
        group = await _start_three_voters("failed storage")
        leader, _ = _leader_and_followers(group)
        replica = group.replica(leader.name)
        leader.disk.failpoints.append(Failpoint("sync", "log", error=errno.EIO))
        with pytest.raises(LostLeadership):
            await replica.propose({"n": 1})
        with pytest.raises(StorageFailed):
            await replica.propose({"n": 2})
        assert replica.status().storage_failed
        await group.propose({"n": 3})
        assert group.leader() is not leader
        await group.stop()

    run_virtual(main())


def _unserializable_state() -> dict[str, Any]:
    return {"state": object()}


def _failing_dump() -> dict[str, Any]:
    raise RuntimeError("the machine cannot be dumped")


@pytest.mark.parametrize("dump", [_failing_dump, _unserializable_state])
def test_failed_task_halts_replica(
    monkeypatch: pytest.MonkeyPatch, dump: Callable[[], dict[str, Any]]
) -> None:
    # Guards against a leader that keeps its lease but no longer applies entries.
    async def main() -> None:
        group = await _start_three_voters(
            "failed task", LogSettings(snapshot_entries=5)
        )
        leader, _ = _leader_and_followers(group)

        monkeypatch.setattr(leader.state_machine, "dump", dump)
        for number in range(1, 10):
            await group.propose({"number": number})
        assert group.leader() is not leader
        assert group.replica(leader.name).status().storage_failed
        with contextlib.suppress(RuntimeError):
            await leader.stop()
        await group.stop()

    run_virtual(main())


@pytest.mark.parametrize("seed", range(5))
def test_lease_allows_for_drift(seed: int) -> None:
    # Guards against stale reads from a partitioned leader whose clock is slow by the
    # drift bound. The bound is large here, so that a lease computed without it
    # overlaps the next term.
    async def main() -> None:
        settings = LogSettings(drift_bound=0.4)
        group = await _start_three_voters(f"drift {seed}", settings)
        old_leader, followers = _leader_and_followers(group)
        old_replica = group.replica(old_leader.name)
        old_leader.clock.set_rate(1 - settings.drift_bound)
        group.network.isolate(old_leader.name, list(group.hosts))
        await group.wait_until(
            lambda: any(group.replica(host.name).leading for host in followers),
            poll_interval_s=0.001,
        )
        assert not old_replica.status().lease_valid
        with pytest.raises(NotLeader):
            await old_replica.read_barrier()
        await group.stop()

    run_virtual(main())


def test_read_without_lease_needs_quorum_round() -> None:
    # Guards against refusing reads although a quorum still follows the leader, and
    # against serving them without confirmation by the quorum.
    async def main() -> None:
        group = await _start_three_voters("quorum round", LogSettings(drift_bound=0.9))
        leader, _ = _leader_and_followers(group)
        replica = group.replica(leader.name)
        await group.wait_until(
            lambda: not replica.status().lease_valid, poll_interval_s=0.001
        )
        applied = replica.status().applied_index
        assert await replica.read_barrier() == applied
        group.network.isolate(leader.name, list(group.hosts))
        await asyncio.sleep(0.04)
        with pytest.raises(NotLeader):
            await replica.read_barrier()
        await group.stop()

    run_virtual(main())


def test_follower_error_names_leader() -> None:
    # Guards against a caller that cannot learn who the leader is.
    async def main() -> None:
        group = await _start_three_voters("hint")
        leader, (follower, _) = _leader_and_followers(group)
        with pytest.raises(NotLeader) as caught:
            await group.replica(follower.name).propose({"n": 1})
        assert caught.value.leader == leader.member
        await group.stop()

    run_virtual(main())


def test_unserializable_command_is_rejected_by_propose() -> None:
    # Guards against a command that stops the leader's log writer.
    async def main() -> None:
        group = await _start_three_voters("unusable")
        leader, _ = _leader_and_followers(group)
        with pytest.raises(TypeError):
            await group.replica(leader.name).propose({"n": object()})
        await group.propose({"n": 1})
        await group.stop()

    run_virtual(main())


def test_used_folder_is_not_bootstrapped() -> None:
    # Guards against bootstrapping a second cluster on the disk of a voter.
    async def main() -> None:
        group = await _start_three_voters("bootstrap")
        with pytest.raises(BootstrapRefused):
            await group.replica("b").bootstrap("other")
        await group.stop()

    run_virtual(main())


def test_identity_must_match_disk() -> None:
    # Guards against a host that votes under another identity, such as the one of
    # its former disk.
    async def main() -> None:
        group = await _start_three_voters("identity")
        replica = group.replica("a")
        state = replica._state
        replica_with_wrong_id = Replica(
            group.hosts["b"].member,
            state.storage,
            group.network.make_transport("a"),
            group.hosts["a"].state_machine,
            group.settings,
            state.clock,
            group.random,
        )
        with pytest.raises(WrongIdentity):
            await replica_with_wrong_id.start()
        await group.stop()

    run_virtual(main())


def test_large_commands_are_sent_and_kept_within_bounds(monkeypatch) -> None:
    # Guards against messages that a member refuses for their size, and against a log
    # that grows with the size of its commands.
    settings = LogSettings(
        batch_bytes=10_000,
        snapshot_bytes=40_000,
        retained_entries=100,
        retained_bytes=9_000,
    )
    sent_bytes: list[int] = []

    def record(**fields: Any) -> AppendRequest:
        sizes = [entry.size_bytes() for entry in fields["entries"]]
        sent_bytes.append(sum(sizes) if len(sizes) > 1 else 0)
        return AppendRequest(**fields)

    async def main() -> None:
        group = await _start_three_voters("large commands", settings)
        leader, followers = _leader_and_followers(group)
        followers[0].disk.crash()
        await asyncio.gather(
            *(group.propose({"number": n, "text": "x" * 4_000}) for n in range(1, 9))
        )
        await followers[0].start()
        for number in range(9, 41):
            await group.propose({"number": number, "text": "x" * 4_000})
        await group.wait_until_converged()
        leader = await group.wait_for_leader()
        assert len(leader.state_machine.values) == 41
        storage = leader.replica._storage
        assert storage.snapshot_index > 30
        assert storage.last_index - storage.first_index < 15
        await group.stop()
        group.invariants.raise_if_violated()

    monkeypatch.setattr(_progress, "AppendRequest", record)
    run_virtual(main())
    assert 0 < max(sent_bytes) <= 10_000
