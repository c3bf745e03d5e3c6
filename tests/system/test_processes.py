"""Real processes are killed, suspended and replaced under load.

Every acknowledged change and order must survive, and no order may run twice.
"""

import asyncio
import dataclasses
import json
import random
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import pytest
from kingcuplug_cli import ExecutionCounts, StandInServer, StandInService
from kingcuplug_common import random_identifier
from kingcuplug_testkit import HostProcess, ProcessSet

pytestmark = pytest.mark.system

_SERVICE = "counter-01"
_HOST_COUNT = 5
_MAX_ORDER_ATTEMPTS = 40

Fault = Callable[[ProcessSet], Awaitable[None]]


def _configuration_text(revision: int) -> str:
    policy = {"deadline_ms": 1_000 + revision, "canary": "off"}
    return json.dumps({"services": {_SERVICE: {"policy": policy}}})


@dataclasses.dataclass
class ClientHistory:
    """Outcomes that the hosts reported to operators and callers."""

    accepted_revisions: list[int] = dataclasses.field(default_factory=list)
    order_outcomes: dict[str, list[str]] = dataclasses.field(default_factory=dict)


async def _change_configuration(
    process_set: ProcessSet, history: ClientHistory
) -> None:
    """Apply one change after the other, resending each until it is accepted."""
    revision = (
        await process_set.call_operator(process_set.hosts[0], "configuration/show", {})
    )["number"]
    while True:
        change = {
            "change_id": random_identifier(),
            "base_revision": revision,
            "text": _configuration_text(revision + 1),
            "author": "test",
        }
        status = 0
        while status != 200:
            status, answer = await process_set.post("operator/configuration", change)
            await asyncio.sleep(0.02)
        assert answer["type"] == "accepted", answer
        revision = int(answer["revision"])
        history.accepted_revisions.append(revision)


async def _place_orders(
    process_set: ProcessSet, history: ClientHistory, rng: random.Random
) -> None:
    while True:
        key = f"{time.time_ns() // 1_000_000}-{rng.randrange(16**12):012x}"
        await _place_order(process_set, history, key)


async def _place_order(
    process_set: ProcessSet, history: ClientHistory, key: str
) -> None:
    """Send an order to one host after the other until its outcome is known."""
    outcomes = history.order_outcomes.setdefault(key, [])
    fields = {
        "body": {"embroider": key},
        "idempotency_key": key,
        "partition_key": key,
    }
    for number in range(_MAX_ORDER_ATTEMPTS):
        resend = {"resend": number > 0}
        status, answer = await process_set.post(
            f"services/{_SERVICE}/order", fields | resend
        )
        if status == 200:
            outcomes.append("done")
            return
        refusal = answer.get("refusal", {})
        outcomes.append(refusal.get("kind", "no answer"))
        if refusal.get("reason") == "order_not_run":
            return
        await asyncio.sleep(0.05)


def _check_orders(history: ClientHistory, journal: ExecutionCounts) -> None:
    for key, outcomes in history.order_outcomes.items():
        runs = journal.orders[key]
        assert runs <= 1, f"order {key} ran {runs} times: {outcomes}"
        if "done" in outcomes:
            assert runs == 1, f"order {key} acknowledged but not run: {outcomes}"
        if outcomes and outcomes[-1] == "not_run":
            assert runs == 0, (
                f"order {key} ran after the last outcome not_run: {outcomes}"
            )


async def _check_configuration(process_set: ProcessSet, history: ClientHistory) -> None:
    assert history.accepted_revisions == sorted(set(history.accepted_revisions))
    host = next(host for host in process_set.hosts if host.is_running)
    shown = await process_set.call_operator(host, "history/show", {})
    numbers = {change["revision"] for change in shown["revisions"]}
    assert set(history.accepted_revisions) <= numbers
    current = await process_set.call_operator(host, "configuration/show", {})
    assert current["number"] >= history.accepted_revisions[-1]


async def _kill_leader_twice(process_set: ProcessSet) -> None:
    for _ in range(2):
        leader = await process_set.leader()
        leader.kill()
        await asyncio.sleep(1.0)
        leader.start()
        await process_set.wait_until_ready([leader])


async def _kill_each_in_turn(process_set: ProcessSet) -> None:
    for host in process_set.hosts:
        host.kill()
        await asyncio.sleep(0.3)
        host.start()
        await process_set.wait_until_ready([host])


async def _suspend_leader(process_set: ProcessSet) -> None:
    """Suspend the leader for longer than every lease."""
    leader = await process_set.leader()
    leader.suspend()
    await asyncio.sleep(4.5)
    leader.resume()
    # The resumed process must not serve the state from before the pause.
    status, answer = await process_set.post("operator/configuration/show", {}, leader)
    if status == 200:
        other = next(host for host in process_set.hosts if host is not leader)
        later = await process_set.call_operator(other, "configuration/show", {})
        assert answer["number"] <= later["number"]
    await process_set.wait_until_ready([leader])


async def _replace_disk_and_lose_a_second_host(process_set: ProcessSet) -> None:
    replaced = process_set.hosts[-1]
    replaced.kill()
    replaced.delete_data_folder()
    replaced.start()
    await process_set.wait_until_live(replaced)
    leader = await process_set.leader()
    old = await _member_id(process_set, leader, replaced)
    await process_set.call_operator(leader, "control/remove", {"member": old})
    await process_set.add_voter(leader, replaced)
    await _wait_until_voter(process_set, replaced)
    second = next(h for h in process_set.hosts if h is not replaced and h is not leader)
    second.kill()
    second.delete_data_folder()
    await asyncio.sleep(1.0)


async def _member_id(
    process_set: ProcessSet, leader: HostProcess, host: HostProcess
) -> str:
    status = await process_set.call_operator(leader, "control/status", {})
    return next(
        str(member["id"])
        for member in status["members"]
        if member["address"] == host.peer_address
    )


async def _wait_until_voter(process_set: ProcessSet, host: HostProcess) -> None:
    async with asyncio.timeout(20):
        while True:
            leader = await process_set.leader()
            status = await process_set.call_operator(leader, "control/status", {})
            roles = {m["address"]: m["role"] for m in status["members"]}
            if roles.get(host.peer_address) == "voter":
                return
            await asyncio.sleep(0.1)


def _make_servers(
    process_set: ProcessSet, journal: ExecutionCounts
) -> list[StandInServer]:
    service = StandInService(_SERVICE, slots=3, connections=30, connection_cost_ms=1.0)
    return [
        StandInServer(
            f"{_SERVICE}-s{number}",
            service,
            f"zone-{number + 1}",
            {1: (4, (0, 1, 2, 3))},
            journal,
            process_set.next_base_url,
            seed=number,
        )
        for number in range(3)
    ]


async def _run_scenario(folder: Path, fault: Fault) -> None:
    process_set = ProcessSet(_HOST_COUNT, folder)
    journal, history = ExecutionCounts(), ClientHistory()
    servers = _make_servers(process_set, journal)
    load: list[asyncio.Task[Any]] = []
    try:
        await process_set.start()
        await process_set.call_operator(
            process_set.hosts[0],
            "configuration",
            {
                "change_id": random_identifier(),
                "base_revision": 0,
                "text": _configuration_text(0),
                "author": "test",
            },
        )
        await asyncio.gather(*(server.start() for server in servers))
        await process_set.wait_until_ready()
        load.append(asyncio.create_task(_change_configuration(process_set, history)))
        for number in range(4):
            work = _place_orders(process_set, history, random.Random(number))
            load.append(asyncio.create_task(work))
        await fault(process_set)
        await asyncio.sleep(0.5)
        failed = [task for task in load if task.done()]
        for task in failed:
            task.result()
        for task in load:
            task.cancel()
        await asyncio.gather(*load, return_exceptions=True)
        await asyncio.sleep(1.0)
        assert history.accepted_revisions
        assert any("done" in outcomes for outcomes in history.order_outcomes.values())
        _check_orders(history, journal)
        await _check_configuration(process_set, history)
    finally:
        for task in load:
            task.cancel()
        await asyncio.gather(*(s.crash() for s in servers), return_exceptions=True)
        await process_set.stop()


@pytest.mark.parametrize(
    "fault",
    [
        _kill_leader_twice,
        _kill_each_in_turn,
        _suspend_leader,
        _replace_disk_and_lose_a_second_host,
    ],
)
def test_acknowledged_work_survives(tmp_path: Path, fault: Fault) -> None:
    # Guards against losing an acknowledged change or order, and against running an
    # order twice, when processes of a five-host set are killed under load.
    asyncio.run(_run_scenario(tmp_path, fault))


def test_terminated_host_exits_cleanly(tmp_path: Path) -> None:
    # Guards against a SIGTERM that aborts running work or never ends the process.
    async def main() -> int:
        process_set = ProcessSet(1, tmp_path)
        try:
            await process_set.start()
            return await process_set.hosts[0].terminate()
        finally:
            await process_set.stop()

    assert asyncio.run(main()) == 0
