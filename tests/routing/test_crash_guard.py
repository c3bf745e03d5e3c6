"""Quarantine of a crashing request after two servers, and of no other request."""

import asyncio
from random import Random

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule
from kingcuplug_common import Refusal, RefusalKind, RefusalReason
from kingcuplug_routing import AttemptOutcome, CrashGuard, CrashGuardSettings
from kingcuplug_testkit import VirtualTimeLoop, run_virtual

CRASHING = "crashing"


class Attempts:
    """Sends attempts to servers, which may crash."""

    def __init__(self, guard: CrashGuard) -> None:
        self.guard = guard
        self.number = 0
        self.crashed: list[str] = []

    def start(self, fingerprint: str, server: str, incarnation: int = 0) -> str:
        """Start an attempt and return its identifier."""
        self.number += 1
        attempt_id = f"attempt-{self.number}"
        self.guard.attempt_started(attempt_id, fingerprint, server, incarnation)
        return attempt_id

    def complete(self, fingerprint: str, server: str) -> None:
        """Run an attempt to its answer."""
        self.guard.attempt_ended(self.start(fingerprint, server), AttemptOutcome.OK)

    def crash(
        self,
        server: str,
        attempts: tuple[str, ...] = (),
        service: str = "stock",
        zone: str = "zone-0",
        incarnation: int = 0,
    ) -> None:
        """Break the connection and report the crash."""
        for attempt_id in attempts:
            self.guard.attempt_ended(attempt_id, AttemptOutcome.CONNECTION_LOST)
        self.crashed.append(server)
        self.guard.server_crashed(server, incarnation, service, zone)


@pytest.fixture
def attempts() -> Attempts:
    return Attempts(CrashGuard())


def _is_quarantined(guard: CrashGuard, fingerprint: str) -> bool:
    try:
        guard.check(fingerprint)
    except Refusal:
        return True
    return False


def test_crashing_request_is_quarantined_after_two_servers(attempts: Attempts) -> None:
    # Guards against a request that the caller resends until all servers have crashed.
    async def main() -> None:
        for index in range(10):
            if _is_quarantined(attempts.guard, CRASHING):
                break
            server = f"server-{index}"
            attempts.crash(server, (attempts.start(CRASHING, server),))
            await asyncio.sleep(3.0)
        assert len(attempts.crashed) == 2
        with pytest.raises(Refusal) as caught:
            attempts.guard.check(CRASHING)
        assert caught.value.kind is RefusalKind.NOT_RUN
        assert caught.value.reason is RefusalReason.CRASHING_REQUEST
        assert set(attempts.guard.quarantined()) == {CRASHING}
        await asyncio.sleep(600.0)
        assert not _is_quarantined(attempts.guard, CRASHING)

    run_virtual(main())


def test_crashing_request_is_quarantined_at_a_single_replica(
    attempts: Attempts,
) -> None:
    # Guards against a single replica that is crashed again after each restart.
    async def main() -> None:
        for incarnation in range(10):
            if _is_quarantined(attempts.guard, CRASHING):
                break
            attempt_id = attempts.start(CRASHING, "server-0", incarnation)
            attempts.crash("server-0", (attempt_id,), incarnation=incarnation)
            await asyncio.sleep(5.0)
        assert len(attempts.crashed) == 3

    run_virtual(main())


def test_equal_requests_crash_one_server_at_a_time(attempts: Attempts) -> None:
    # Guards against many requests with one fingerprint that reach many servers before
    # the first crash is detected.
    async def send(index: int) -> None:
        try:
            async with attempts.guard.canary(CRASHING) as alone:
                assert alone
                server = f"server-{index}"
                attempt_id = attempts.start(CRASHING, server)
                await asyncio.sleep(0.1)
                attempts.crash(server, (attempt_id,), zone=f"zone-{index % 3}")
        except Refusal:
            pass

    async def main() -> None:
        await asyncio.gather(*(send(index) for index in range(20)))
        assert len(attempts.crashed) == 2

    run_virtual(main())


def test_completed_fingerprint_needs_no_canary(attempts: Attempts) -> None:
    # Guards against the delay of a canary in every query.
    async def main() -> None:
        guard = attempts.guard
        async with guard.canary("known") as alone:
            assert alone
            attempts.complete("known", "server-0")
        async with guard.canary("known") as alone:
            assert not alone
        attempts.crash("server-1", (attempts.start("known", "server-1"),))
        async with guard.canary("known") as alone:
            assert alone

    run_virtual(main())


def test_cancelled_canary_is_followed_by_the_next_one(attempts: Attempts) -> None:
    # Guards against a cancelled canary that blocks all requests with its fingerprint.
    async def main() -> None:
        async def run_canary() -> None:
            async with attempts.guard.canary("held"):
                await asyncio.sleep(60)

        first = asyncio.create_task(run_canary())
        await asyncio.sleep(0)
        first.cancel()
        async with attempts.guard.canary("held") as alone:
            assert alone
        assert first.done()

    run_virtual(main())


def test_later_completion_clears_the_suspicion(attempts: Attempts) -> None:
    # Guards against quarantining a request that completed between two crashes.
    async def main() -> None:
        attempts.crash("server-0", (attempts.start("ordinary", "server-0"),))
        await asyncio.sleep(1.0)
        attempts.complete("ordinary", "server-1")
        await asyncio.sleep(1.0)
        attempts.crash("server-2", (attempts.start("ordinary", "server-2"),))
        assert not _is_quarantined(attempts.guard, "ordinary")

    run_virtual(main())


def test_answers_to_the_same_query_do_not_clear_the_suspicion(
    attempts: Attempts,
) -> None:
    # Guards against a request that crashes some shards and is cleared by the answers of
    # others.
    async def main() -> None:
        attempts.complete(CRASHING, "server-0")
        sent = [attempts.start(CRASHING, f"server-{i}") for i in range(6)]
        attempts.crash("server-1", (sent[1],), zone="zone-1")
        attempts.guard.attempt_ended(sent[2], AttemptOutcome.OK)
        attempts.crash("server-3", (sent[3],), zone="zone-0")
        # A request that completed before is sent as a canary until the suspects of
        # other entry hosts have arrived.
        assert not attempts.guard.has_completed(CRASHING)
        await asyncio.sleep(0.5)
        assert _is_quarantined(attempts.guard, CRASHING)

    run_virtual(main())


def test_restart_of_a_service_quarantines_no_request(attempts: Attempts) -> None:
    # Guards against refusing requests that were the only ones at two servers while all
    # servers of their service, in several zones, restarted.
    async def main() -> None:
        for index in range(12):
            server = f"server-{index}"
            sent = ()
            if index in (3, 7):
                sent = (attempts.start("ordinary", server),)
            attempts.crash(server, sent, zone=f"zone-{index % 4}")
            await asyncio.sleep(0.01)
        assert attempts.guard.quarantined() == {}

    run_virtual(main())


def test_crashing_request_is_identified_at_a_busy_server(attempts: Attempts) -> None:
    # Guards against a crashing request that is not identified among many others.
    async def main() -> None:
        for number in range(2):
            busy = []
            for query in range(20):
                attempts.complete(f"query-{query}", "server-9")
                busy.append(attempts.start(f"query-{query}", f"server-{number}"))
            crashing = attempts.start(CRASHING, f"server-{number}")
            attempts.crash(f"server-{number}", (*busy, crashing))
        assert set(attempts.guard.quarantined()) == {CRASHING}

    run_virtual(main())


def test_queries_concurrent_with_a_crashing_request_are_not_quarantined(
    attempts: Attempts,
) -> None:
    # Guards against quarantining a query because it was in flight, as every query is,
    # at both servers that a crashing request crashed within milliseconds.
    async def main() -> None:
        attempts.complete("popular", "server-9")
        popular = [attempts.start("popular", f"server-{i}") for i in range(3)]
        for number in range(2):
            crashing = attempts.start(CRASHING, f"server-{number}")
            attempts.crash(f"server-{number}", (popular[number], crashing))
        assert _is_quarantined(attempts.guard, CRASHING)
        assert not _is_quarantined(attempts.guard, "popular")
        await asyncio.sleep(5)
        assert not _is_quarantined(attempts.guard, "popular")

    run_virtual(main())


@pytest.mark.parametrize("services", [4, 1])
def test_zone_loss_quarantines_no_request(attempts: Attempts, services: int) -> None:
    # Guards against refusing ordinary queries because a zone was lost. With several
    # services, the loss is recognised by crashes of other services; with one service,
    # by all crashes being in one zone.
    async def main() -> None:
        attempts.complete("popular", "server-99")
        sent = {
            f"server-{i}": attempts.start("popular", f"server-{i}") for i in range(8)
        }
        for index, (server, attempt_id) in enumerate(sent.items()):
            service = f"service-{index % services}"
            attempts.crash(server, (attempt_id,), service)
            await asyncio.sleep(0.01)
        assert not _is_quarantined(attempts.guard, "popular")
        assert attempts.guard.quarantined() == {}

    run_virtual(main())


def test_crash_with_many_requests_in_flight_quarantines_no_request(
    attempts: Attempts,
) -> None:
    # Guards against quarantining all requests of two busy servers that crashed.
    async def main() -> None:
        for server in ("server-0", "server-1"):
            sent = [attempts.start(f"request-{i}", server) for i in range(9)]
            attempts.crash(server, tuple(sent), zone=server)
            await asyncio.sleep(10.0)
        assert attempts.guard.quarantined() == {}

    run_virtual(main())


def test_requests_concurrent_with_a_crashing_request_are_not_quarantined(
    attempts: Attempts,
) -> None:
    # Guards against more false positives than the bound in the decision record, which
    # allows only requests that were in flight at both crashes and did not complete in
    # between.
    async def main() -> None:
        for server in ("server-0", "server-1"):
            crashing = attempts.start(CRASHING, server)
            others = [attempts.start(f"other-{i}", server) for i in range(7)]
            attempts.crash(server, (crashing, *others), zone=server)
            for i in range(7):
                attempts.complete(f"other-{i}", "server-2")
            await asyncio.sleep(2.0)
        assert set(attempts.guard.quarantined()) == {CRASHING}

    run_virtual(main())


def test_broken_connection_counts_until_the_crash_is_confirmed(
    attempts: Attempts,
) -> None:
    # Guards against missing a crash that is confirmed only by the next incarnation,
    # when the attempt has already ended, and against suspects that are kept for ever.
    async def main() -> None:
        for server, delay_s in (("server-0", 2.0), ("server-1", 6.0)):
            attempt_id = attempts.start(CRASHING, server)
            attempts.guard.attempt_ended(attempt_id, AttemptOutcome.CONNECTION_LOST)
            await asyncio.sleep(delay_s)
            attempts.crash(server)
        assert not _is_quarantined(attempts.guard, CRASHING)
        attempts.crash("server-2", (attempts.start(CRASHING, "server-2"),))
        assert _is_quarantined(attempts.guard, CRASHING)

    run_virtual(main())


def test_suspects_are_shared_between_entry_hosts() -> None:
    # Guards against two crashed servers per entry host instead of two in all.
    async def main() -> None:
        first, second = Attempts(CrashGuard()), Attempts(CrashGuard())
        first.crash("server-0", (first.start(CRASHING, "server-0"),))
        suspects = first.guard.drain_new_suspects()
        assert first.guard.drain_new_suspects() == []
        second.guard.add_suspects(suspects)
        second.guard.add_suspects(suspects)
        assert not _is_quarantined(second.guard, CRASHING)
        second.crash("server-1", (second.start(CRASHING, "server-1"),))
        assert _is_quarantined(second.guard, CRASHING)
        first.guard.add_suspects(second.guard.drain_new_suspects())
        assert _is_quarantined(first.guard, CRASHING)

    run_virtual(main())


def test_memory_is_bounded() -> None:
    # Guards against a guard that grows with the number of different requests.
    async def main() -> None:
        attempts = Attempts(CrashGuard(CrashGuardSettings(max_entries=20)))
        for index in range(200):
            attempts.complete(f"completed-{index}", "server-0")
            server = f"server-{index}"
            sent = attempts.start(f"suspect-{index}", server)
            attempts.crash(server, (sent,))
            sent = attempts.start(f"suspect-{index}", f"other-{index}")
            attempts.crash(f"other-{index}", (sent,), zone="zone-1")
            await asyncio.sleep(3.0)
        assert 5 <= len(attempts.guard.quarantined()) <= 20

    run_virtual(main())


class GuardMachine(RuleBasedStateMachine):
    """Runs one crashing request among ordinary ones, with events in any order."""

    @initialize(seed=st.integers(0, 99))
    def start(self, seed: int) -> None:
        """Make a guard."""
        self.loop = VirtualTimeLoop()
        self.random = Random(seed)
        self.attempts = Attempts(CrashGuard())
        self.fresh_servers = 0
        self.canary_crashes = 0

    def teardown(self) -> None:
        """Close the loop."""
        self.loop.close()

    def advance(self, seconds: float = 0.0) -> None:
        """Advance the virtual time."""
        self.loop.run_until_complete(asyncio.sleep(seconds))

    @rule(name=st.integers(0, 9))
    def complete_request(self, name: int) -> None:
        """Complete an ordinary request."""

        async def act() -> None:
            self.attempts.complete(f"ordinary-{name}", f"idle-{name % 3}")

        self.loop.run_until_complete(act())

    @rule(others=st.integers(0, 12), zone=st.integers(0, 2))
    def send_crashing(self, others: int, zone: int) -> None:
        """Resend the crashing request."""

        async def act() -> None:
            if _is_quarantined(self.attempts.guard, CRASHING):
                return
            server = f"server-{self.fresh_servers}"
            self.fresh_servers += 1
            sent = [self.attempts.start(CRASHING, server)]
            sent += [
                self.attempts.start(f"ordinary-{i}", server) for i in range(others)
            ]
            self.attempts.crash(server, tuple(sent), zone=f"zone-{zone}")
            self.canary_crashes += others < 8
            for i in range(others):
                self.attempts.complete(f"ordinary-{i}", "idle-0")

        self.loop.run_until_complete(act())
        self.advance(2.0)

    @rule(services=st.integers(4, 6))
    def zone_loss(self, services: int) -> None:
        """Crash servers of many services while ordinary requests run."""

        async def act() -> None:
            for index in range(services):
                server = f"server-{self.fresh_servers}"
                self.fresh_servers += 1
                sent = self.attempts.start("ordinary-0", server)
                self.attempts.crash(server, (sent,), service=f"service-{index}")
            self.attempts.complete("ordinary-0", "idle-0")

        self.loop.run_until_complete(act())
        self.advance(2.0)

    @invariant()
    def check_crashing_request_is_stopped(self) -> None:
        """Check that at most two servers crash, of those whose crash makes suspects."""
        assert getattr(self, "canary_crashes", 0) <= 2

    @invariant()
    def check_other_requests_run(self) -> None:
        """Check that only the crashing request is ever quarantined."""
        if not hasattr(self, "loop"):
            return

        async def act() -> None:
            assert set(self.attempts.guard.quarantined()) <= {CRASHING}

        self.loop.run_until_complete(act())


TestGuardMachine = GuardMachine.TestCase
TestGuardMachine.settings = settings(
    derandomize=True, max_examples=60, stateful_step_count=20, deadline=None
)
