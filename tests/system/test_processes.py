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
from kingcuplug_cli import Journal, StandIn, StandInService
from kingcuplug_common import identifier
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


async def _change_configuration(hosts: ProcessSet, history: ClientHistory) -> None:
    """Apply one change after the other, resending each until it is accepted."""
    revision = (await hosts.call_operator(hosts.hosts[0], "configuration/show", {}))[
        "number"
    ]
    while True:
        change = {
            "change_id": identifier(),
            "base_revision": revision,
            "text": _configuration_text(revision + 1),
            "author": "test",
        }
        status = 0
        while status != 200:
            status, answer = await hosts.post("operator/configuration", change)
            await asyncio.sleep(0.02)
        assert answer["type"] == "accepted", answer
        revision = int(answer["revision"])
        history.accepted_revisions.append(revision)


async def _place_orders(
    hosts: ProcessSet, history: ClientHistory, rng: random.Random
) -> None:
    while True:
        key = f"{time.time_ns() // 1_000_000}-{rng.randrange(16**12):012x}"
        await _place_order(hosts, history, key)


async def _place_order(hosts: ProcessSet, history: ClientHistory, key: str) -> None:
    """Send an order to one host after the other until its outcome is known."""
    outcomes = history.order_outcomes.setdefault(key, [])
    fields = {
        "body": {"embroider": key},
        "idempotency_key": key,
        "partition_key": key,
    }
    for number in range(_MAX_ORDER_ATTEMPTS):
        resend = {"resend": number > 0}
        status, answer = await hosts.post(f"services/{_SERVICE}/order", fields | resend)
        if status == 200:
            outcomes.append("done")
            return
        refusal = answer.get("refusal", {})
        outcomes.append(refusal.get("kind", "no answer"))
        if refusal.get("reason") == "order_not_run":
            return
        await asyncio.sleep(0.05)


def _check_orders(history: ClientHistory, journal: Journal) -> None:
    for key, outcomes in history.order_outcomes.items():
        runs = journal.orders[key]
        assert runs <= 1, f"order {key} ran {runs} times: {outcomes}"
        if "done" in outcomes:
            assert runs == 1, f"order {key} acknowledged but not run: {outcomes}"
        if outcomes and outcomes[-1] == "not_run":
            assert runs == 0, (
                f"order {key} ran after the last outcome not_run: {outcomes}"
            )


async def _check_configuration(hosts: ProcessSet, history: ClientHistory) -> None:
    assert history.accepted_revisions == sorted(set(history.accepted_revisions))
    host = next(host for host in hosts.hosts if host.is_running)
    shown = await hosts.call_operator(host, "history/show", {})
    numbers = {change["revision"] for change in shown["revisions"]}
    assert set(history.accepted_revisions) <= numbers
    current = await hosts.call_operator(host, "configuration/show", {})
    assert current["number"] >= history.accepted_revisions[-1]


async def _kill_leader_twice(hosts: ProcessSet) -> None:
    for _ in range(2):
        leader = await hosts.leader()
        leader.kill()
        await asyncio.sleep(1.0)
        leader.start()
        await hosts.wait_until_ready([leader])


async def _kill_each_in_turn(hosts: ProcessSet) -> None:
    for host in hosts.hosts:
        host.kill()
        await asyncio.sleep(0.3)
        host.start()
        await hosts.wait_until_ready([host])


async def _suspend_leader(hosts: ProcessSet) -> None:
    """Suspend the leader for longer than every lease."""
    leader = await hosts.leader()
    leader.suspend()
    await asyncio.sleep(4.5)
    leader.resume()
    # The resumed process must not serve the state from before the pause.
    status, answer = await hosts.post("operator/configuration/show", {}, leader)
    if status == 200:
        other = next(host for host in hosts.hosts if host is not leader)
        later = await hosts.call_operator(other, "configuration/show", {})
        assert answer["number"] <= later["number"]
    await hosts.wait_until_ready([leader])


async def _replace_disk_and_lose_a_second_host(hosts: ProcessSet) -> None:
    victim = hosts.hosts[-1]
    victim.kill()
    victim.delete_data_folder()
    victim.start()
    await hosts.wait_until_live(victim)
    leader = await hosts.leader()
    old = await _member_id(hosts, leader, victim)
    await hosts.call_operator(leader, "control/remove", {"member": old})
    await hosts.add_voter(leader, victim)
    await _wait_until_voter(hosts, victim)
    second = next(h for h in hosts.hosts if h is not victim and h is not leader)
    second.kill()
    second.delete_data_folder()
    await asyncio.sleep(1.0)


async def _member_id(hosts: ProcessSet, leader: HostProcess, host: HostProcess) -> str:
    status = await hosts.call_operator(leader, "control/status", {})
    return next(
        str(member["id"])
        for member in status["members"]
        if member["address"] == host.peer_address
    )


async def _wait_until_voter(hosts: ProcessSet, host: HostProcess) -> None:
    async with asyncio.timeout(20):
        while True:
            leader = await hosts.leader()
            status = await hosts.call_operator(leader, "control/status", {})
            roles = {m["address"]: m["role"] for m in status["members"]}
            if roles.get(host.peer_address) == "voter":
                return
            await asyncio.sleep(0.1)


def _make_servers(hosts: ProcessSet, journal: Journal) -> list[StandIn]:
    service = StandInService(_SERVICE, slots=3, connections=30, connection_cost_ms=1.0)
    return [
        StandIn(
            f"{_SERVICE}-s{number}",
            service,
            f"zone-{number + 1}",
            {1: (4, (0, 1, 2, 3))},
            journal,
            hosts.next_base_url,
            seed=number,
        )
        for number in range(3)
    ]


async def _run_scenario(folder: Path, fault: Fault) -> None:
    hosts = ProcessSet(_HOST_COUNT, folder)
    journal, history = Journal(), ClientHistory()
    servers = _make_servers(hosts, journal)
    load: list[asyncio.Task[Any]] = []
    try:
        await hosts.start()
        await hosts.call_operator(
            hosts.hosts[0],
            "configuration",
            {
                "change_id": identifier(),
                "base_revision": 0,
                "text": _configuration_text(0),
                "author": "test",
            },
        )
        await asyncio.gather(*(server.start() for server in servers))
        await hosts.wait_until_ready()
        load.append(asyncio.create_task(_change_configuration(hosts, history)))
        for number in range(4):
            work = _place_orders(hosts, history, random.Random(number))
            load.append(asyncio.create_task(work))
        await fault(hosts)
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
        await _check_configuration(hosts, history)
    finally:
        for task in load:
            task.cancel()
        await asyncio.gather(*(s.crash() for s in servers), return_exceptions=True)
        await hosts.stop()


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
        hosts = ProcessSet(1, tmp_path)
        try:
            await hosts.start()
            return await hosts.hosts[0].terminate()
        finally:
            await hosts.stop()

    assert asyncio.run(main()) == 0
