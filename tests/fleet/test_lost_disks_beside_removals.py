"""Control groups that lose disks beside a host that was removed without notice."""

import asyncio
import contextlib
from random import Random

import pytest
from kingcuplug_fleet import CoreUnavailable
from kingcuplug_testkit import run_virtual

_CATCH_UP_S = 4.0
_RECOVERY_S = 12.0
_FIRST_HOSTS = {1: "abc", 2: "abcde"}
_SUCCESSOR = "s"


async def _form_with_successor(group, tolerated_losses: int) -> str:
    """Form a group, add the successor of a host, and return the leader's name."""
    await group.form(*_FIRST_HOSTS[tolerated_losses])
    group.start(_SUCCESSOR)
    await asyncio.sleep(_CATCH_UP_S)
    leader = group.leader()
    assert leader is not None
    return leader


async def _lose_disk(group, name: str, back_after_s: float) -> None:
    group.power_off(name)
    group.hosts[name].disk.wipe()
    await asyncio.sleep(back_after_s)
    group.start(name)


@pytest.mark.parametrize("delay_s", [0.0, 0.5, 2.0])
@pytest.mark.parametrize("lost", ["voter", "successor"])
@pytest.mark.parametrize("removed", ["leader", "follower"])
def test_change_survives_a_lost_disk_right_after_an_unannounced_removal(
    make_control_group, removed, lost, delay_s
):
    # Guards against a group of an even number of voters that ends with the disk of one
    # because another one, which was replaced, has gone without notice.
    async def main() -> None:
        group = make_control_group()
        leader = await _form_with_successor(group, 1)
        await group.submit(7)
        followers = sorted({"a", "b", "c"} - {leader})
        group.power_off(leader if removed == "leader" else followers[0])
        await asyncio.sleep(delay_s)
        lost_host = _SUCCESSOR if lost == "successor" else followers[1]
        await _lose_disk(group, lost_host, back_after_s=1.0)
        assert await group.read_version(_RECOVERY_S) == 7
        await group.submit(9)
        await group.wait_until(lambda: group.voter_count() == 3)
        await group.wait_until(lambda: group.losses_borne() == 1)
        await group.stop()

    run_virtual(main())


def test_change_survives_a_removal_right_after_a_lost_disk(make_control_group):
    # Guards against the same end with the two in the other order.
    async def main() -> None:
        group = make_control_group()
        leader = await _form_with_successor(group, 1)
        await group.submit(7)
        followers = sorted({"a", "b", "c"} - {leader})
        group.power_off(followers[0])
        group.hosts[followers[0]].disk.wipe()
        await asyncio.sleep(0.3)
        group.power_off(leader)
        await asyncio.sleep(1.0)
        group.start(followers[0])
        assert await group.read_version(_RECOVERY_S) == 7
        await group.submit(9)
        await group.stop()

    run_virtual(main())


def test_half_of_the_voters_waits_while_no_disk_is_known_to_be_lost(
    make_control_group,
):
    # Guards against two halves of a partitioned group that both go on.
    async def main() -> None:
        group = make_control_group()
        leader = await _form_with_successor(group, 1)
        await group.submit(7)
        absent = sorted({"a", "b", "c"} - {leader})[0]
        group.power_off(leader)
        group.power_off(absent)
        await asyncio.sleep(_RECOVERY_S)
        assert group.leader() is None
        group.start(absent)
        assert await group.read_version() == 7
        await group.stop()

    run_virtual(main())


class _Operator:
    """Sends one change after another, and remembers the newest acknowledged one."""

    def __init__(self, group) -> None:
        self._group = group
        self.acknowledged = 0
        self._sent = 0

    async def run(self) -> None:
        while True:
            self._sent += 1
            with contextlib.suppress(TimeoutError):
                await self._group.submit(self._sent, timeout_s=2.0)
                self.acknowledged = self._sent
            await asyncio.sleep(0.05)

    async def check_reads(self, random: Random) -> None:
        """Check that no host reads an older change than was acknowledged before."""
        while True:
            before = self.acknowledged
            host = random.choice(self._group.running())
            with contextlib.suppress(CoreUnavailable):
                assert (await host.replica.read()).version >= before
            await asyncio.sleep(0.02)


@pytest.mark.parametrize("tolerated_losses", [1, 2])
@pytest.mark.parametrize("seed", range(12))
def test_group_goes_on_whatever_is_removed_beside_lost_disks(
    make_control_group, seed, tolerated_losses
):
    # Guards against any order and moments of a removal and the tolerated lost disks
    # that end the group, lose an acknowledged change, or show an older one.
    async def main() -> None:
        random = Random(f"removal {seed} {tolerated_losses}")
        group = make_control_group(tolerated_losses)
        await _form_with_successor(group, tolerated_losses)
        operator = _Operator(group)
        tasks = [
            asyncio.ensure_future(operator.run()),
            asyncio.ensure_future(operator.check_reads(random)),
        ]
        await asyncio.sleep(random.uniform(0, 2))
        names = random.sample(sorted(group.hosts), tolerated_losses + 1)
        removed, *lost = names

        async def remove() -> None:
            await asyncio.sleep(random.uniform(0, 3))
            group.power_off(removed)

        async def lose(name: str) -> None:
            await asyncio.sleep(random.uniform(0, 3))
            await _lose_disk(group, name, back_after_s=random.uniform(0.1, 3))

        await asyncio.gather(remove(), *(lose(name) for name in lost))
        await asyncio.sleep(_RECOVERY_S)
        before = operator.acknowledged
        await asyncio.sleep(2.0)
        assert operator.acknowledged > before
        for task in tasks:
            assert not task.done()
            task.cancel()
        assert await group.read_version() >= operator.acknowledged
        assert group.voter_count() == len(_FIRST_HOSTS[tolerated_losses])
        assert group.losses_borne() == tolerated_losses
        await group.stop()

    run_virtual(main())
