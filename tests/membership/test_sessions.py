"""Sessions must survive lost control hosts, and never serve a superseded text."""

import asyncio
import contextlib
from collections.abc import Callable
from typing import Any

import pytest
from kingcuplug_membership import (
    CompletenessTracker,
    CrashVerdict,
    CrashVerdictTable,
    Directory,
    MembershipSettings,
    MessageInvalid,
    NotLeading,
    ServerEntry,
    SessionClient,
    rendezvous_order,
)
from kingcuplug_membership._directory_sync import DirectorySync
from kingcuplug_membership._messages import SessionReply

from .conftest import (
    BackendServer,
    EntryHost,
    System,
    make_announcement,
    now,
    wait_until,
)

RunScenario = Callable[..., None]


def all_confirmed(system: System) -> bool:
    return all(
        entry_host.client.is_confirmed() for entry_host in system.entry_hosts.values()
    )


def listed_everywhere(system: System, servers: list[str]) -> bool:
    return all(
        entry_host.live_servers() == servers
        for entry_host in system.entry_hosts.values()
    )


async def assert_holds(condition: Callable[[], bool], duration_s: float) -> None:
    """Fail if `condition` is ever false within `duration_s` seconds."""
    end = now() + duration_s
    while now() < end:
        assert condition()
        await asyncio.sleep(0.02)


async def start_servers(system: System) -> list[str]:
    names = [f"s{number}" for number in range(len(system.entry_hosts))]
    system.servers = [
        BackendServer(system, name, entry_index=number)
        for number, name in enumerate(names)
    ]
    await wait_until(lambda: listed_everywhere(system, names))
    return names


@pytest.mark.parametrize("control_count", [1, 3])
def test_control_host_restart_keeps_service(
    run_scenario: RunScenario, control_count: int
) -> None:
    # Guards against an outage while a control host with a new epoch collects the
    # directory, and against entry hosts that adopt its first, incomplete reply.
    async def scenario(system: System) -> None:
        names = await start_servers(system)
        for control in system.control_hosts.values():
            control.restart()
            await assert_holds(
                lambda: all_confirmed(system) and listed_everywhere(system, names), 5
            )

    run_scenario(scenario, control_count=control_count)


@pytest.mark.parametrize("silent", [True, False])
def test_loss_of_home_control_host_keeps_service(
    run_scenario: RunScenario, silent: bool
) -> None:
    # Guards against refusals while an entry host moves to another control host.
    async def scenario(system: System) -> None:
        names = await start_servers(system)
        home = system.home_of("e1")
        assert home != system.log.leader
        if silent:
            system.network.isolated.add(home)
        else:
            system.control_hosts[home].stop()
        await assert_holds(
            lambda: all_confirmed(system) and listed_everywhere(system, names), 10
        )
        assert system.home_of("e1") != home

    run_scenario(scenario)


def test_control_host_without_leader_releases_sessions(
    run_scenario: RunScenario,
) -> None:
    # Guards against sessions that stay with a control host until their lease
    # expires, although the other control hosts are confirmed by the leader.
    async def scenario(system: System) -> None:
        names = await start_servers(system)
        home = system.home_of("e1")
        assert home != system.log.leader
        others = set(system.control_hosts) - {home}
        system.network.severed_links |= {frozenset((home, other)) for other in others}
        await assert_holds(
            lambda: all_confirmed(system) and listed_everywhere(system, names), 10
        )

    run_scenario(scenario)


def test_session_returns_to_preferred_control_host(run_scenario: RunScenario) -> None:
    # Guards against sessions that accumulate at the control hosts that never restart.
    async def scenario(system: System) -> None:
        preferred = rendezvous_order("e0", system.control_hosts)[0]
        system.control_hosts[preferred].stop()
        await asyncio.sleep(4)
        system.control_hosts[preferred].start()
        await asyncio.sleep(4)
        assert system.home_of("e0") != preferred
        await asyncio.sleep(300)
        assert system.home_of("e0") == preferred
        assert all_confirmed(system)

    run_scenario(scenario, control_count=2, entry_count=1)


def test_quorum_loss_stops_service_and_keeps_servers(run_scenario: RunScenario) -> None:
    # Guards against an entry host that serves although no leader can confirm its text.
    async def scenario(system: System) -> None:
        names = await start_servers(system)
        system.log.elections_enabled = False
        system.log.elect(None)
        await asyncio.sleep(3.0)
        await assert_holds(
            lambda: (
                listed_everywhere(system, names)
                and not any(
                    entry_host.client.is_confirmed()
                    for entry_host in system.entry_hosts.values()
                )
            ),
            20,
        )
        system.log.elect("c1")
        await wait_until(lambda: all_confirmed(system), 2)
        await assert_holds(lambda: listed_everywhere(system, names), 5)

    run_scenario(scenario)


def test_new_leader_waits_one_lease_before_reporting_in_force(
    run_scenario: RunScenario,
) -> None:
    # Guards against "in force everywhere" while a host whose session only the former
    # leader knew still serves the old text.
    async def scenario(system: System) -> None:
        isolated_host = next(
            name for name in system.entry_hosts if system.home_of(name) == "c0"
        )
        system.network.isolated |= {isolated_host, "c0"}
        await wait_until(lambda: system.log.leader in ("c1", "c2"))
        elected_at = now()
        revision = system.log.accept_revision()
        await system.leader.wait_in_force(revision)
        assert now() - elected_at >= 3.0
        assert not system.entry_hosts[isolated_host].client.is_confirmed()

    run_scenario(scenario)


def test_wait_in_force_with_isolated_host(run_scenario: RunScenario) -> None:
    # Guards against an early "in force everywhere", and against a wait that never ends.
    async def scenario(system: System) -> None:
        await asyncio.sleep(4)
        system.network.isolated.add("e2")
        revision = system.log.accept_revision()
        await asyncio.wait_for(system.leader.wait_in_force(revision), 4)
        assert not system.entry_hosts["e2"].client.is_confirmed()
        assert system.entry_hosts["e0"].revision == revision
        assert [status.host for status in system.leader.hosts()] != []

    run_scenario(scenario)


def test_wait_in_force_is_quick_when_all_confirm(run_scenario: RunScenario) -> None:
    # Guards against a wait for the expiry of leases when all hosts have confirmed.
    async def scenario(system: System) -> None:
        await asyncio.sleep(4)
        started = now()
        await system.leader.wait_in_force(system.log.accept_revision())
        assert now() - started < 1.5
        assert {entry_host.revision for entry_host in system.entry_hosts.values()} == {
            1
        }

    run_scenario(scenario)


def test_wait_in_force_covers_new_session(run_scenario: RunScenario) -> None:
    # Guards against "in force everywhere" while a host serves the old text that it got
    # from a control host after that control host's last barrier exchange.
    async def scenario(system: System) -> None:
        preferred_homes = {
            name: rendezvous_order(name, system.control_hosts)[0]
            for name in system.entry_hosts
        }
        name, home = next(item for item in preferred_homes.items() if item[1] != "c0")
        entry_host = system.entry_hosts[name]
        for other in system.entry_hosts:
            if home in (preferred_homes[other], system.home_of(other)):
                system.entry_hosts[other].stop()
        entry_host.stop()
        await asyncio.sleep(5)
        entry_host.start()
        await wait_until(entry_host.client.is_confirmed, 1)
        assert name not in {status.host for status in system.leader.hosts()}
        system.network.drop_rules.append(
            lambda kind, source, peer, step: kind == "barrier" and source == home
        )
        assert system.home_of(name) == home
        system.control_hosts[home].replicates = False
        revision = system.log.accept_revision()
        await system.leader.wait_in_force(revision)
        assert entry_host.revision == revision or not entry_host.client.is_confirmed()

    run_scenario(scenario)


def test_session_start_needs_fresh_leader_confirmation(
    run_scenario: RunScenario,
) -> None:
    # Guards against a restarted entry host that serves an older text than before
    # its restart, because its home has not received the newer one yet.
    async def scenario(system: System) -> None:
        preferred_homes = {
            name: rendezvous_order(name, system.control_hosts)[0]
            for name in system.entry_hosts
        }
        name, home = next(item for item in preferred_homes.items() if item[1] != "c0")
        entry_host = system.entry_hosts[name]
        entry_host.stop()
        system.network.drop_rules.append(
            lambda kind, source, peer, step: kind == "barrier" and source == home
        )
        system.control_hosts[home].replicates = False
        revision = system.log.accept_revision()
        entry_host.start()
        await wait_until(entry_host.client.is_confirmed, 4)
        assert entry_host.revision == revision
        assert system.home_of(name) != home

    run_scenario(scenario)


def test_wait_in_force_covers_leases_of_restarted_control_host(
    run_scenario: RunScenario,
) -> None:
    # Guards against "in force everywhere" while a lease still runs that a control host
    # granted before its restart.
    async def scenario(system: System) -> None:
        preferred_homes = {
            name: rendezvous_order(name, system.control_hosts)[0]
            for name in system.entry_hosts
        }
        name, home = next(item for item in preferred_homes.items() if item[1] != "c0")
        entry_host = system.entry_hosts[name]
        await wait_until(lambda: system.home_of(name) == home, 400)
        await wait_until(lambda: len(system.leader.hosts()) == len(system.entry_hosts))
        system.control_hosts[home].stop()
        system.network.isolated.add(name)
        revision = system.log.accept_revision()
        system.control_hosts[home].start()
        await system.leader.wait_in_force(revision)
        assert entry_host.revision == revision or not entry_host.client.is_confirmed()

    run_scenario(scenario)


def test_control_host_with_lagging_replica_grants_nothing(
    run_scenario: RunScenario,
) -> None:
    # Guards against grants for an old text by a control host that reaches the
    # leader but whose replica of the log is behind.
    async def scenario(system: System) -> None:
        home = system.home_of("e1")
        system.control_hosts[home].replicates = False
        revision = system.log.accept_revision()
        await wait_until(lambda: system.entry_hosts["e1"].revision == revision, 4)
        await asyncio.sleep(3)
        assert system.control_hosts[home].server.leader_exchange.is_failing()
        assert all_confirmed(system)

    run_scenario(scenario)


def test_wait_in_force_needs_the_leader(run_scenario: RunScenario) -> None:
    # Guards against a reply from a control host that does not know all sessions.
    async def scenario(system: System) -> None:
        with pytest.raises(NotLeading, match="c0"):
            await system.control_hosts["c1"].server.wait_in_force(0)

    run_scenario(scenario)


def test_digest_mismatch_stops_service_until_full_text(
    run_scenario: RunScenario,
) -> None:
    # Guards against an entry host that serves a text other than the accepted one.
    async def scenario(system: System) -> None:
        entry_host = system.entry_hosts["e1"]
        entry_host.failures_to_apply = 3
        revision = system.log.accept_revision()
        await wait_until(lambda: entry_host.failures_to_apply < 3)
        assert not entry_host.client.is_confirmed()
        await wait_until(lambda: entry_host.failures_to_apply == 0)
        await wait_until(entry_host.client.is_confirmed)
        assert (entry_host.revision, entry_host.text) == (revision, '{"n": 1}')

    run_scenario(scenario)


class StalenessChecker:
    """Fails if a confirmed host serves a superseded text or an outdated server."""

    def __init__(self, system: System) -> None:
        self.system = system
        self.drains: list[tuple[str, tuple[int, int], float]] = []
        self.tasks = [asyncio.ensure_future(self._run())]

    async def _run(self) -> None:
        while True:
            for entry_host in self.system.entry_hosts.values():
                if entry_host.client.is_confirmed():
                    self._check_text(entry_host)
                    self._check_drains(entry_host)
            await asyncio.sleep(0.02)

    def _check_text(self, entry_host: EntryHost) -> None:
        accepted_at = self.system.log.accepted_at
        superseded = entry_host.revision + 1 < len(accepted_at)
        if superseded and now() - accepted_at[entry_host.revision + 1] > 4.0:
            raise AssertionError(
                f"{entry_host.name} serves {entry_host.revision} at {now()}"
            )

    def _check_drains(self, entry_host: EntryHost) -> None:
        for name, rank, drained_at in self.drains:
            current = entry_host.client.directory.get("counter", name)
            stale = current and current.live and current.announcement.rank < rank
            if stale and now() - drained_at > 3.0:
                raise AssertionError(f"{entry_host.name} uses {name} at {now()}")

    def drain(self, server: BackendServer) -> None:
        """Drain a server, and record it once the leader has the change."""
        server.announce(state="draining")
        if server.entry_host is not None:
            recording = self._record_drain(
                server, server.entry_host.client, server.entry_host.leases.version
            )
            self.tasks.append(asyncio.ensure_future(recording))

    async def _record_drain(
        self, server: BackendServer, client: SessionClient, version: int
    ) -> None:
        name, rank = server.announcement.server, server.rank
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(client.wait_delivered(version), 3)
            self.drains.append((name, rank, now()))

    def stop(self) -> None:
        """End the checks and raise their failures."""
        for task in self.tasks:
            if task.done():
                task.result()
            task.cancel()


async def inject_random_fault(system: System, checker: StalenessChecker) -> None:
    """Inject one random fault, repair or change."""
    random = system.network.random
    name = random.choice([*system.entry_hosts, *system.control_hosts])
    choice = random.randrange(9)
    if choice == 0:
        system.network.isolated.add(name)
    elif choice == 1:
        system.network.isolated.clear()
        system.network.severed_links.clear()
    elif choice == 2:
        system.network.severed_links.add(
            frozenset((name, random.choice(["c0", "c1", "c2"])))
        )
    elif choice == 3 and name in system.entry_hosts:
        system.entry_hosts[name].restart()
    elif choice == 4 and name in system.control_hosts and name != system.log.leader:
        system.control_hosts[name].restart()
    elif choice == 5:
        system.log.elect(None)
    elif choice in (6, 7):
        checker.drain(random.choice(system.servers))
    else:
        system.log.accept_revision()


@pytest.mark.parametrize("seed", range(4))
def test_nothing_superseded_is_served(run_scenario: RunScenario, seed: int) -> None:
    # Guards against a host that serves a text 4 s after its successor was accepted,
    # or a server 3 s after the leader received that it drains, whatever is lost, cut
    # off, duplicated, reordered or restarted meanwhile.
    async def scenario(system: System) -> None:
        names = await start_servers(system)
        network = system.network
        network.delay_range_s = (0.001, 0.15)
        network.drop_share = network.duplicate_share = 0.03
        checker = StalenessChecker(system)
        for _ in range(50):
            await inject_random_fault(system, checker)
            await asyncio.sleep(network.random.uniform(0, 1.5))
        network.isolated.clear()
        network.severed_links.clear()
        network.drop_share = network.duplicate_share = 0
        network.delay_range_s = (0.001, 0.002)
        await asyncio.sleep(1)
        revision = system.log.accept_revision()
        await asyncio.sleep(10)
        await system.leader.wait_in_force(revision)
        assert all_confirmed(system)
        assert listed_everywhere(system, names)
        assert {entry_host.revision for entry_host in system.entry_hosts.values()} == {
            revision
        }
        checker.stop()

    run_scenario(scenario, seed=seed)


def test_verdicts_reach_all_entry_hosts(run_scenario: RunScenario) -> None:
    # Guards against a request that crashes servers through one entry host after
    # another.
    async def scenario(system: System) -> None:
        system.entry_hosts["e0"].client.report(CrashVerdict("f1", "s1", 1))
        system.entry_hosts["e1"].client.report(CrashVerdict("f1"))
        clients = [entry_host.client for entry_host in system.entry_hosts.values()]
        await wait_until(
            lambda: all(len(client.verdicts) == 2 for client in clients), 1
        )

    run_scenario(scenario)


def test_verdicts_are_bounded_and_expire() -> None:
    # Guards against a table that grows without bound, and against a request that is
    # refused for good.
    time = [0.0]
    table = CrashVerdictTable(lambda: time[0], MembershipSettings(verdict_limit=3))
    for number in range(5):
        assert table.add(CrashVerdict(f"f{number}"))
    assert not table.add(CrashVerdict("f4"))
    assert [verdict.fingerprint for verdict in table.added_since(0)] == [
        "f2",
        "f3",
        "f4",
    ]
    time[0] = 601.0
    assert table.added_since(0) == ()
    assert table.add(CrashVerdict("f4"))
    assert len(table) == 1


def test_liveness_of_a_run_of_an_entry_host(run_scenario: RunScenario) -> None:
    # Guards against the takeover of an order from a host that still runs, and
    # against an order that stays with a lost host.
    async def scenario(system: System) -> None:
        await asyncio.sleep(5)
        client = system.entry_hosts["e0"].client
        assert client.live_entry_hosts == 3
        assert await client.is_live("e1", 1)
        system.entry_hosts["e1"].restart()
        await asyncio.sleep(2)
        assert not await client.is_live("e1", 1)
        assert await client.is_live("e1", 2)
        system.entry_hosts["e2"].stop()
        await asyncio.sleep(5)
        assert not await client.is_live("e2", 1)
        assert client.live_entry_hosts == 2

    run_scenario(scenario)


@pytest.mark.parametrize("kind", ["session", "mesh", "barrier"])
def test_invalid_message_is_rejected(run_scenario: RunScenario, kind: str) -> None:
    # Guards against an invalid message that stops a control host.
    async def scenario(system: System) -> None:
        call = system.network.make_call(kind, "e0")
        for message in ({}, [], {"host": 3}, {"sender": None}):
            with pytest.raises(MessageInvalid, match="same version"):
                await call("c0", message)
        await asyncio.sleep(4)
        assert all_confirmed(system)

    run_scenario(scenario)


def make_request(number: int, **fields: Any) -> dict[str, Any]:
    values = {"host": "e9", "incarnation": 1, "availability_zone": "z1"}
    return values | {"number": number, "services": ["counter"]} | fields


def test_overtaken_request_changes_nothing(run_scenario: RunScenario) -> None:
    # Guards against a delayed request that resets a session which is already ahead.
    async def scenario(system: System) -> None:
        call = system.network.make_call("session", "e9")
        first = await call("c0", make_request(5))
        delayed = await call("c0", make_request(4, services=["cutting"]))
        assert first["lease_ms"] > 0
        assert "lease_ms" not in delayed
        assert "overtaken" in delayed["reason"]
        BackendServer(system, "s1")
        third = make_request(6, epoch=first["epoch"], confirmed=0)
        del third["services"]
        reply = await call("c0", third)
        assert [entry["announcement"]["server"] for entry in reply["entries"]] == ["s1"]

    run_scenario(scenario)


def test_control_host_behind_an_entry_host_grants_nothing(
    run_scenario: RunScenario,
) -> None:
    # Guards against an entry host that goes back to an older text.
    async def scenario(system: System) -> None:
        call = system.network.make_call("session", "e9")
        reply = await call("c0", make_request(1, confirmed=3))
        assert "lease_ms" not in reply
        assert "behind" in reply["reason"]

    run_scenario(scenario)


def test_restarted_control_host_grants_nothing_at_first(
    run_scenario: RunScenario,
) -> None:
    # Guards against grants with an empty directory before the sessions of a lost
    # control host have moved here.
    async def scenario(system: System) -> None:
        system.control_hosts["c0"].restart()
        await asyncio.sleep(0.3)
        reply = await system.network.make_call("session", "e9")("c0", make_request(1))
        assert "lease_ms" not in reply
        assert "not complete" in reply["reason"]

    run_scenario(scenario, control_count=1)


def test_new_leader_grants_nothing_before_others_upload(
    run_scenario: RunScenario,
) -> None:
    # Guards against grants between an election that ends a time without a leader
    # and the new leader's first exchanges.
    async def scenario(system: System) -> None:
        system.log.elections_enabled = False
        system.log.elect(None)
        await asyncio.sleep(5)
        system.log.elect("c1")
        await wait_until(lambda: system.log.leading_until("c1") > now())
        reply = await system.network.make_call("session", "e9")("c1", make_request(1))
        assert "lease_ms" not in reply
        assert "not complete" in reply["reason"]

    run_scenario(scenario)


def test_directory_is_incomplete_after_time_without_leader() -> None:
    # Guards against grants from a directory that lacks changes that other control
    # hosts received while there was no leader.
    time = [0.0]
    tracker = CompletenessTracker(lambda: time[0], lambda: ["c1", "c2"])
    tracker.record_leader_contact()
    assert not tracker.is_complete()
    time[0] = 1.1
    tracker.record_leader_contact()
    tracker.record_upload("c1")
    assert not tracker.is_complete()
    tracker.record_upload("c2")
    assert tracker.is_complete()
    time[0] = 3.0
    tracker.record_leader_contact()
    assert tracker.is_complete()
    time[0] = 7.0
    tracker.record_leader_contact()
    assert not tracker.is_complete()
    tracker.record_relay()
    assert tracker.is_complete()


def test_completeness_does_not_wait_for_lost_peers() -> None:
    # Guards against a system that refuses all work because one control host is
    # lost, and against a start before the sessions had time to arrive.
    time = [0.0]
    tracker = CompletenessTracker(lambda: time[0], lambda: ["c1"])
    tracker.record_relay()
    tracker.record_leader_contact()
    time[0] = 0.9
    assert not tracker.is_complete()
    time[0] = 3.0
    assert tracker.is_complete()


def test_long_directory_arrives_in_parts(run_scenario: RunScenario) -> None:
    # Guards against entries that are lost between the parts of a long reply, in a
    # session, between control hosts and from the leader.
    async def scenario(system: System) -> None:
        for number in range(2_100):
            entry = ServerEntry(make_announcement(f"s{number}"), ("e0/1",))
            system.leader.directory.merge(entry, local=True)
        system.control_hosts["c1"].restart()
        system.entry_hosts["e1"].restart()
        await asyncio.sleep(4)
        for control in system.control_hosts.values():
            assert len(control.server.directory) == 2_100
        for entry_host in system.entry_hosts.values():
            assert len(entry_host.live_servers()) == 2_100

    run_scenario(scenario)


def test_unlisted_servers_are_dropped_after_delay() -> None:
    # Guards against an outage when a new home's directory is not complete yet.
    time = [0.0]
    directory = Directory(lambda: time[0])
    sync = DirectorySync(directory, lambda: time[0], 2.0)
    entries = tuple(
        ServerEntry(make_announcement(name), ("e0/1",)) for name in ("s1", "s2", "s3")
    )
    sync.apply_reply(SessionReply(full=True, entries=entries))
    sync.restart()
    sync.apply_reply(SessionReply(full=True, entries=entries[:1]))
    time[0] = 1.9
    sync.apply_reply(SessionReply(entries=entries[1:2]))
    assert len(directory) == 3
    time[0] = 2.1
    sync.apply_reply(SessionReply())
    assert sorted(key[1] for key in directory.keys()) == ["s1", "s2"]  # noqa: SIM118


FAULTS = ("request lost", "reply lost", "refused", "twice", "slow")
STEPS = ("start", "idle", "announce", "drain", "withdraw", "revision", "verdict")


@pytest.mark.parametrize("fault", FAULTS)
@pytest.mark.parametrize("step", STEPS)
def test_fault_at_step_of_session(
    run_scenario: RunScenario, fault: str, step: str
) -> None:
    # Guards against an exchange that loses a change when one of its messages is lost,
    # duplicated or late: every step must end as without the fault.
    async def scenario(system: System) -> None:
        server = BackendServer(system, "s0", entry_index=0)
        await wait_until(lambda: listed_everywhere(system, ["s0"]))
        entry_host = system.entry_hosts["e0"]
        undo = inject_fault(system, fault)
        await run_step(system, entry_host, server, step)
        await asyncio.sleep(1.3)
        undo()
        await system.wait_ready()
        await asyncio.sleep(2.5)
        check_outcome(system, step)

    run_scenario(scenario)


def inject_fault(system: System, fault: str) -> Callable[[], None]:
    network = system.network
    if fault in ("request lost", "reply lost"):
        lost_step = fault.split()[0]
        network.drop_rules.append(
            lambda kind, source, peer, step: (
                (kind, source, step) == ("session", "e0", lost_step)
            )
        )
        return network.drop_rules.clear
    if fault == "refused":
        handlers = dict(network.handlers)
        for key in [key for key in handlers if key[0] == "session"]:
            del network.handlers[key]
        return lambda: network.handlers.update(handlers)
    if fault == "twice":
        network.duplicate_share = 1.0
        return lambda: setattr(network, "duplicate_share", 0.0)
    network.delay_range_s = (0.1, 0.19)
    return lambda: setattr(network, "delay_range_s", (0.001, 0.002))


async def run_step(
    system: System, entry_host: EntryHost, server: BackendServer, step: str
) -> None:
    if step == "start":
        entry_host.restart()
    elif step == "announce":
        BackendServer(system, "s9", entry_index=0)
    elif step == "drain":
        server.announce(state="draining")
    elif step == "withdraw":
        server.stop()
        server.announce(state="withdrawn")
    elif step == "revision":
        system.log.accept_revision()
    elif step == "verdict":
        entry_host.client.report(CrashVerdict("f1"))
    await asyncio.sleep(0)


def check_outcome(system: System, step: str) -> None:
    names = {"announce": ["s0", "s9"], "withdraw": []}.get(step, ["s0"])
    state = {"drain": "draining", "withdraw": None}.get(step, "serving")
    for entry_host in system.entry_hosts.values():
        assert entry_host.live_servers() == names
        assert entry_host.server_state("s0") == state
        assert entry_host.revision == (1 if step == "revision" else 0)
        assert len(entry_host.client.verdicts) == (1 if step == "verdict" else 0)
