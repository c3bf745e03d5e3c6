"""Control hosts whose machines were suspended, so that their clocks have jumped."""

import pytest
from kingcuplug_testkit import run_virtual

_DAY_S = 86_400.0


@pytest.mark.parametrize("suspended", ["leader", "follower", "two", "all"])
@pytest.mark.parametrize("suspended_s", [1.0, 30.0, 7 * _DAY_S])
def test_group_goes_on_after_a_suspension(make_control_group, suspended, suspended_s):
    # Guards against a resumed leader that takes all others for lost and removes them,
    # and against timers that never expire again.
    async def main() -> None:
        group = make_control_group()
        await group.form("a", "b", "c", "d", "e")
        await group.submit(1)
        leader = group.leader()
        followers = [name for name in group.hosts if name != leader]
        names = {
            "leader": [leader],
            "follower": followers[:1],
            "two": [leader, followers[0]],
            "all": [leader, *followers],
        }[suspended]
        version = 1
        for _ in range(5):
            for name in names:
                group.hosts[name].clock_ahead_s += suspended_s
            version += 1
            await group.submit(version, timeout_s=4.0)
        await group.wait_until(
            lambda: {h.register.version for h in group.running()} == {version}
        )
        await group.wait_until(lambda: group.losses_borne() == 2)
        assert group.members() == set("abcde")
        await group.stop()

    run_virtual(main())
