"""Disks of control hosts that refuse one kind of operation for some seconds."""

import asyncio
import errno

import pytest
from kingcuplug_testkit import Failpoint, run_virtual

_REFUSED_FOR_S = 4.0
# A replica is reopened each 0.5 s, and each attempt meets at most one refusal. Those of
# the replica that ran before are added.
_MAX_REFUSALS = 16
_SNAPSHOT_CHANGES = 70
_FILES = ("log", "state", "snapshot")
_OPERATIONS = [
    ("*", "*"),
    ("list", ""),
    ("sync_folder", ""),
    *((method, "log") for method in ("write", "sync")),
    *((method, name) for method in ("read", "rename") for name in _FILES),
    *(
        (method, f"{name}.new")
        for method in ("open_append", "write", "sync", "remove")
        for name in _FILES
    ),
]


async def _submit_many(group, version: int, count: int) -> int:
    for _ in range(count):
        version += 1
        await group.submit(version, timeout_s=4.0)
    return version


def _restart_after_unfinished_writes(group, name: str) -> None:
    """Restart a host with what a crash during writes and replacements can leave."""
    disk = group.hosts[name].disk
    group.power_off(name)
    disk.append_torn_record("log")
    for file in _FILES:
        disk.files[f"{file}.new"] = type(disk.files[file])()
    group.start(name)


@pytest.mark.parametrize("leads", [False, True])
@pytest.mark.parametrize(("method", "file_name"), _OPERATIONS)
def test_group_outlives_a_disk_that_refuses_an_operation(
    make_control_group, method, file_name, leads
):
    # Guards against a host that ends, spins, leaks handles or stays away, and against
    # the loss of acknowledged changes.
    async def main() -> None:
        loop = asyncio.get_running_loop()
        group = make_control_group()
        await group.form("a", "b", "c")
        version = await _submit_many(group, 0, _SNAPSHOT_CHANGES)
        leader = group.leader()
        name = leader if leads else next(n for n in group.hosts if n != leader)
        host = group.hosts[name]
        host.disk.failpoints += [
            Failpoint(method, file_name, error=errno.ENOSPC) for _ in range(1_000)
        ]
        refused_until = loop.time() + _REFUSED_FOR_S
        version = await _submit_many(group, version, _SNAPSHOT_CHANGES)
        group.power_off(leader)
        group.start(leader)
        version = await _submit_many(group, version, 1)
        _restart_after_unfinished_writes(group, name)
        while loop.time() < refused_until:
            version = await _submit_many(group, version, 1)
            await asyncio.sleep(0.1)
        host.disk.failpoints.clear()
        assert 0 < len(host.disk.triggered) <= _MAX_REFUSALS
        version = await _submit_many(group, version, 1)
        await group.wait_until(
            lambda: all(h.register.version == version for h in group.running()), 5.0
        )
        assert not any(h.task.done() for h in group.running())
        await group.wait_until(lambda: group.losses_borne() == 1, 5.0)
        assert group.members() == {"a", "b", "c"}
        await group.wait_until(lambda: host.disk.open_handles == 1, 2.0)
        for other in group.hosts:
            group.power_off(other)
        for other in group.hosts:
            group.start(other)
        assert await group.read_version() == version
        await group.stop()

    run_virtual(main())
