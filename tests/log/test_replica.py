"""A group must keep what it acknowledged and go on after a loss."""

from kingcuplug_testkit import LogGroup, run_virtual


def test_group_survives_loss_of_leader() -> None:
    # Guards against a group that loses commands or stalls when its leader dies.
    async def main() -> None:
        group = LogGroup("loss of leader")
        await group.start("a", "b", "c")
        for number in range(50):
            await group.propose({"number": number})
        leader = await group.wait_leader()
        leader.disk.crash()
        await group.propose({"number": 50})
        await leader.start()
        await group.converge()
        assert [value["number"] for value in leader.machine.values] == list(range(51))
        await group.stop()
        group.invariants.check()

    run_virtual(main())
