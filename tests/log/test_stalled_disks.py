"""Disks that stall for seconds while their hosts and connections stay up."""

import asyncio
import base64

import pytest
from kingcuplug_log import LogSettings
from kingcuplug_testkit import Host, LogGroup, run_virtual

_STALL_S = 6.0
# An operator's client repeats a change after a second, so two rounds are an outage.
_ACKNOWLEDGED_WITHIN_S = 2.0
_SETTINGS = LogSettings(snapshot_entries=8, retained_entries=2)


async def _start_group(name: str, settings: LogSettings = _SETTINGS) -> LogGroup:
    group = LogGroup(name, settings)
    await group.start("a", "b", "c", "d", "e")
    await group.propose({"number": 0})
    await group.wait_until_converged()
    return group


def _select(group: LogGroup, whose: str) -> list[Host]:
    leader, followers = group.leader(), group.followers()
    assert leader is not None
    return {
        "leader": [leader],
        "follower": followers[:1],
        "leader and follower": [leader, followers[0]],
        "two followers": followers[:2],
    }[whose]


@pytest.mark.parametrize(
    "whose", ["leader", "follower", "leader and follower", "two followers"]
)
def test_changes_and_reads_go_on_while_a_minority_of_disks_stalls(whose) -> None:
    # Guards against a group that waits for a disk which takes no entry.
    async def main() -> None:
        group = await _start_group(f"stall of {whose}")
        loop = asyncio.get_running_loop()
        for host in _select(group, whose):
            host.disk.sync_s = _STALL_S
        stalled_until = loop.time() + _STALL_S
        number = 0
        while loop.time() < stalled_until:
            number += 1
            started_at = loop.time()
            await group.propose({"number": number}, timeout_s=_ACKNOWLEDGED_WITHIN_S)
            leader = await group.wait_for_leader(_ACKNOWLEDGED_WITHIN_S)
            await leader.replica.read_barrier()
            assert loop.time() - started_at < _ACKNOWLEDGED_WITHIN_S
            await asyncio.sleep(0.1)
        for host in group.running_hosts():
            host.disk.sync_s = 0.001
        await group.propose({"number": number + 1})
        await group.wait_until_converged(timeout_s=2 * _STALL_S)
        await group.stop()
        group.invariants.raise_if_violated()

    run_virtual(main())


@pytest.mark.parametrize("whose", ["leader", "follower"])
def test_stall_and_loss_of_another_host_in_the_same_second(whose) -> None:
    # Guards against a group that cannot elect a leader beside a stalled disk.
    async def main() -> None:
        group = await _start_group(f"stall of {whose} and a loss")
        (stalled,) = _select(group, whose)
        stalled.disk.sync_s = _STALL_S
        lost = next(host for host in group.running_hosts() if host is not stalled)
        lost.disk.crash()
        for number in range(1, 20):
            await group.propose({"number": number}, timeout_s=3.0)
            await asyncio.sleep(0.1)
        stalled.disk.sync_s = 0.001
        await lost.start()
        await group.wait_until_converged(timeout_s=2 * _STALL_S)
        await group.stop()
        group.invariants.raise_if_violated()

    run_virtual(main())


def test_age_of_the_state_grows_while_a_follower_cannot_store_entries() -> None:
    # Guards against a follower that looks current because its leader answers.
    async def main() -> None:
        group = await _start_group("age of the state")
        (follower,) = _select(group, "follower")
        follower.disk.sync_s = _STALL_S
        await group.propose({"number": 1})
        await asyncio.sleep(2.0)
        leader = group.leader()
        assert leader is not None
        assert group.replica(leader.name).state_age_s() == 0.0
        assert 1.5 < group.replica(follower.name).state_age_s() < 3.0
        others = [h for h in group.followers() if h is not follower]
        assert all(group.replica(h.name).state_age_s() < 0.2 for h in others)
        follower.disk.sync_s = 0.001
        await asyncio.sleep(_STALL_S)
        assert group.replica(follower.name).state_age_s() < 0.2
        await group.stop()

    run_virtual(main())


def test_stopped_replica_writes_nothing_after_its_stop() -> None:
    # Guards against a late write beside the replica that is opened after it.
    async def main() -> None:
        group = await _start_group("stop during a stall")
        (follower,) = _select(group, "follower")
        replica, disk = follower.replica, follower.disk
        leader = group.leader()
        assert replica is not None
        assert leader is not None
        disk.sync_s = _STALL_S
        header = {
            "cluster": "test",
            "sender": leader.member.id,
            "to": follower.member.id,
            "term": replica.status().term + 1,
        }
        index = replica.status().last_index
        message = {
            "kind": "append",
            "header": header,
            "previous_index": index,
            "previous_term": replica.status().term,
            "commit_index": index,
            "entries": [[index + 1, header["term"], "noop", None]],
        }
        handling = asyncio.ensure_future(replica.handle(message))
        # The replica waits for the sync of the entry, then for that of the term.
        await asyncio.sleep(_SETTINGS.heartbeat_interval / 2)
        await follower.stop()
        call_count = len(disk.calls)
        reply = await handling
        await asyncio.sleep(5 * _STALL_S)
        assert len(disk.calls) == call_count
        assert reply == {"kind": "rejected", "reason": "not_running"}
        await group.stop()

    run_virtual(main())


def test_stored_snapshot_is_applied_although_the_leaders_call_timed_out() -> None:
    # Guards against a follower that applies nothing any more: the entries before its
    # stored snapshot are gone, and it is sent none of them again.
    async def main() -> None:
        settings = LogSettings(snapshot_entries=8, retained_entries=16)
        group = await _start_group("snapshot on a slow disk", settings)
        (follower,) = _select(group, "follower")
        leader = group.leader()
        assert leader is not None
        for other in group.hosts:
            group.network.block_link(other, follower.name)
        for number in range(1, 21):
            await group.propose({"number": number})
        sender = group.replica(leader.name)
        data = await sender._storage.read_snapshot()
        status = sender.status()
        message = {
            "kind": "install",
            "header": {
                "cluster": "test",
                "sender": leader.member.id,
                "to": follower.member.id,
                "term": status.term,
            },
            "index": status.snapshot_index,
            "snapshot_term": status.term,
            "offset": 0,
            "total": len(data),
            "data": base64.b64encode(data).decode(),
        }
        follower.disk.sync_s = 0.1
        receiver = group.replica(follower.name)
        handling = asyncio.ensure_future(receiver.handle(message))
        await asyncio.sleep(0.15)
        handling.cancel()
        await asyncio.sleep(1.0)
        follower.disk.sync_s = 0.001
        # The next leader finds that the follower's log matches from the snapshot on.
        leader.disk.crash()
        await group.wait_for_leader()
        group.network.heal()
        await group.propose({"number": 21})
        await group.wait_until_converged(timeout_s=2.0)
        await group.stop()
        group.invariants.raise_if_violated()

    run_virtual(main())
