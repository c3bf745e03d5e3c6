"""Changes of members must keep the quorum and tell when a loss is safe."""

import asyncio
import dataclasses

import pytest
from kingcuplug_log import ChangeRefused, MemberRole
from kingcuplug_testkit import LogGroup, run_virtual


def _safe(group: LogGroup) -> bool:
    leader = group.leader()
    return leader is not None and group.replica(leader.name).status().safe_to_lose_one


def test_second_loss_after_repair() -> None:
    # Guards against reporting a repair as done before a second loss is safe.
    async def main() -> None:
        group = LogGroup("second loss")
        await group.start("a", "b", "c")
        await group.propose({"n": 1})
        await group.until(lambda: _safe(group))
        lost = group.followers()[0]
        old = lost.member.id
        lost.disk.lose()
        await asyncio.sleep(group.settings.election_timeout)
        assert not _safe(group)
        await lost.start()
        await group.join(lost.name)
        # Four voters, one of them for ever lost: another loss takes the quorum.
        assert not _safe(group)
        await group.change(remove=old)
        await group.until(lambda: _safe(group))
        second = await group.wait_leader()
        second.disk.lose()
        second.gone = True
        await group.propose({"n": 2})
        await group.converge()
        assert [value["n"] for value in lost.machine.values] == [1, 2]
        await group.stop()

    run_virtual(main())


def test_one_change_at_a_time() -> None:
    # Guards against two changes whose quorums need not overlap.
    async def main() -> None:
        group = LogGroup("one change")
        await group.start("a", "b", "c")
        added = await group.add_host("d")
        leader = await group.wait_leader()
        replica = group.replica(leader.name)
        first = asyncio.ensure_future(replica.change(add=added.member))
        await asyncio.sleep(0)
        with pytest.raises(ChangeRefused):
            await replica.change(remove=group.followers()[0].member.id)
        await first
        await group.stop()

    run_virtual(main())


def test_change_waits_for_own_term() -> None:
    # Guards against a new leader that changes members on top of a change that it
    # does not know to be committed.
    async def main() -> None:
        group = LogGroup("own term")
        await group.start("a", "b", "c")
        old = await group.wait_leader()
        old.disk.crash()
        await group.until(lambda: group.leader() is not None, poll_s=0.0001)
        leader = group.leader()
        assert leader is not None
        with pytest.raises(ChangeRefused):
            await group.replica(leader.name).change(remove=old.member.id)
        await group.change(remove=old.member.id)
        await group.stop()

    run_virtual(main())


def test_last_quorum_is_not_removed() -> None:
    # Guards against an operator who removes a live voter in place of the dead one.
    async def main() -> None:
        group = LogGroup("last quorum")
        await group.start("a", "b", "c")
        dead, live = group.followers()
        dead.disk.crash()
        await asyncio.sleep(group.settings.election_timeout)
        leader = await group.wait_leader()
        with pytest.raises(ChangeRefused):
            await group.replica(leader.name).change(remove=live.member.id)
        await group.propose({"n": 1})
        await group.stop()

    run_virtual(main())


def test_observer_does_not_count() -> None:
    # Guards against a relay whose loss stops the group, or that becomes a voter.
    async def main() -> None:
        group = LogGroup("observer")
        await group.start("a")
        host = await group.add_host("o")
        observer = dataclasses.replace(host.member, role=MemberRole.OBSERVER)
        await group.change(add=observer)
        await group.propose({"n": 1})
        await group.converge()
        assert host.machine.values == [{"n": 1}]
        host.disk.crash()
        await group.propose({"n": 2})
        await host.start()
        await group.converge()
        assert not group.is_voter(observer.id)
        await group.stop()

    run_virtual(main())


def test_removed_leader_steps_down() -> None:
    # Guards against a removed host that goes on leading.
    async def main() -> None:
        group = LogGroup("removed leader")
        await group.start("a", "b", "c")
        old = await group.wait_leader()
        await group.replica(old.name).change(remove=old.member.id)
        await group.until(lambda: not group.replica(old.name).leading)
        await group.propose({"n": 1})
        assert group.leader() is not old
        await group.stop()

    run_virtual(main())
