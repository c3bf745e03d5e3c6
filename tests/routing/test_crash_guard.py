"""A crashing request is stopped after two servers; innocent ones are not."""

import asyncio
from random import Random

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule
from kingcuplug_common import Refusal, RefusalKind, RefusalReason
from kingcuplug_routing import AttemptOutcome, CrashGuard, CrashGuardSettings
from kingcuplug_testkit import VirtualTimeLoop, run_virtual

CRASHER = "crasher"


class Attempts:
    """Sends attempts of fingerprints to servers, which may crash."""

    def __init__(self, guard: CrashGuard) -> None:
        self.guard = guard
        self.number = 0
        self.crashed: list[str] = []

    def start(self, fingerprint: str, server: str, incarnation: int = 0) -> str:
        """Start an attempt and return its identifier."""
        self.number += 1
        attempt_id = f"attempt-{self.number}"
        self.guard.started(attempt_id, fingerprint, server, incarnation)
        return attempt_id

    def complete(self, fingerprint: str, server: str) -> None:
        """Run an attempt to its answer."""
        self.guard.ended(self.start(fingerprint, server), AttemptOutcome.OK)

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
            self.guard.ended(attempt_id, AttemptOutcome.CONNECTION_LOST)
        self.crashed.append(server)
        self.guard.server_crashed(server, incarnation, service, zone)


@pytest.fixture
def attempts() -> Attempts:
    return Attempts(CrashGuard())


def _is_condemned(guard: CrashGuard, fingerprint: str) -> bool:
    try:
        guard.check(fingerprint)
    except Refusal:
        return True
    return False


def test_stops_after_two_servers(attempts: Attempts) -> None:
    # Guards against a request that the caller sends again until all servers are down.
    async def main() -> None:
        for index in range(10):
            if _is_condemned(attempts.guard, CRASHER):
                break
            server = f"server-{index}"
            attempts.crash(server, (attempts.start(CRASHER, server),))
            await asyncio.sleep(3.0)
        assert len(attempts.crashed) == 2
        with pytest.raises(Refusal) as caught:
            attempts.guard.check(CRASHER)
        assert caught.value.kind is RefusalKind.NOT_RUN
        assert caught.value.reason is RefusalReason.CRASHING_REQUEST
        assert set(attempts.guard.condemned()) == {CRASHER}
        await asyncio.sleep(600.0)
        assert not _is_condemned(attempts.guard, CRASHER)

    run_virtual(main())


def test_stops_at_a_single_replica(attempts: Attempts) -> None:
    # Guards against a shard with one replica that is crashed for ever.
    async def main() -> None:
        for incarnation in range(10):
            if _is_condemned(attempts.guard, CRASHER):
                break
            attempt_id = attempts.start(CRASHER, "server-0", incarnation)
            attempts.crash("server-0", (attempt_id,), incarnation=incarnation)
            await asyncio.sleep(5.0)
        assert len(attempts.crashed) == 3

    run_virtual(main())


def test_equal_requests_crash_one_server_at_a_time(attempts: Attempts) -> None:
    # Guards against many equal requests that reach many servers before the first
    # crash is known.
    async def send(index: int) -> None:
        try:
            async with attempts.guard.canary(CRASHER) as alone:
                assert alone
                server = f"server-{index}"
                attempt_id = attempts.start(CRASHER, server)
                await asyncio.sleep(0.1)
                attempts.crash(server, (attempt_id,), zone=f"zone-{index % 3}")
        except Refusal:
            pass

    async def main() -> None:
        await asyncio.gather(*(send(index) for index in range(20)))
        assert len(attempts.crashed) == 2

    run_virtual(main())


def test_completed_fingerprint_needs_no_canary(attempts: Attempts) -> None:
    # Guards against a canary that slows down every query.
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


def test_cancelled_canary_lets_the_next_one_go(attempts: Attempts) -> None:
    # Guards against a canary that was given up and blocks all equal requests.
    async def main() -> None:
        async def hold() -> None:
            async with attempts.guard.canary("held"):
                await asyncio.sleep(60)

        first = asyncio.create_task(hold())
        await asyncio.sleep(0)
        first.cancel()
        async with attempts.guard.canary("held") as alone:
            assert alone
        assert first.done()

    run_virtual(main())


def test_later_completion_acquits(attempts: Attempts) -> None:
    # Guards against condemning a request that ran fine between two losses.
    async def main() -> None:
        attempts.crash("server-0", (attempts.start("innocent", "server-0"),))
        await asyncio.sleep(1.0)
        attempts.complete("innocent", "server-1")
        await asyncio.sleep(1.0)
        attempts.crash("server-2", (attempts.start("innocent", "server-2"),))
        assert not _is_condemned(attempts.guard, "innocent")

    run_virtual(main())


def test_answers_of_the_same_query_do_not_acquit(attempts: Attempts) -> None:
    # Guards against a request that crashes some shards and is acquitted by others.
    async def main() -> None:
        attempts.complete(CRASHER, "server-0")
        sent = [attempts.start(CRASHER, f"server-{i}") for i in range(6)]
        attempts.crash("server-1", (sent[1],), zone="zone-1")
        attempts.guard.ended(sent[2], AttemptOutcome.OK)
        attempts.crash("server-3", (sent[3],), zone="zone-0")
        # What completed before goes alone until the blames of others have come.
        assert not attempts.guard.proven(CRASHER)
        await asyncio.sleep(0.5)
        assert _is_condemned(attempts.guard, CRASHER)

    run_virtual(main())


def test_restart_of_a_service_condemns_nobody(attempts: Attempts) -> None:
    # Guards against refusing requests that were alone at two servers while all
    # servers of their service, in several zones, restarted.
    async def main() -> None:
        for index in range(12):
            server = f"server-{index}"
            sent = ()
            if index in (3, 7):
                sent = (attempts.start("innocent", server),)
            attempts.crash(server, sent, zone=f"zone-{index % 4}")
            await asyncio.sleep(0.01)
        assert attempts.guard.condemned() == {}

    run_virtual(main())


def test_crasher_is_found_at_a_busy_server(attempts: Attempts) -> None:
    # Guards against a crashing request that hides among many ordinary ones.
    async def main() -> None:
        for number in range(2):
            busy = []
            for query in range(20):
                attempts.complete(f"query-{query}", "server-9")
                busy.append(attempts.start(f"query-{query}", f"server-{number}"))
            crasher = attempts.start(CRASHER, f"server-{number}")
            attempts.crash(f"server-{number}", (*busy, crasher))
        assert set(attempts.guard.condemned()) == {CRASHER}

    run_virtual(main())


def test_queries_beside_a_crasher_go_free(attempts: Attempts) -> None:
    # Guards against condemning a query because it was in flight, as every query is,
    # at both servers that a crashing request took down within milliseconds.
    async def main() -> None:
        attempts.complete("popular", "server-9")
        popular = [attempts.start("popular", f"server-{i}") for i in range(3)]
        for number in range(2):
            crasher = attempts.start(CRASHER, f"server-{number}")
            attempts.crash(f"server-{number}", (popular[number], crasher))
        assert _is_condemned(attempts.guard, CRASHER)
        assert not _is_condemned(attempts.guard, "popular")
        await asyncio.sleep(5)
        assert not _is_condemned(attempts.guard, "popular")

    run_virtual(main())


@pytest.mark.parametrize("services", [4, 1])
def test_zone_loss_condemns_nobody(attempts: Attempts, services: int) -> None:
    # Guards against refusing ordinary queries because a zone was lost. With several
    # services their losses tell; with one, that all losses are in one zone.
    async def main() -> None:
        attempts.complete("popular", "server-99")
        sent = {
            f"server-{i}": attempts.start("popular", f"server-{i}") for i in range(8)
        }
        for index, (server, attempt_id) in enumerate(sent.items()):
            service = f"service-{index % services}"
            attempts.crash(server, (attempt_id,), service)
            await asyncio.sleep(0.01)
        assert not _is_condemned(attempts.guard, "popular")
        assert attempts.guard.condemned() == {}

    run_virtual(main())


def test_crowded_server_condemns_nobody(attempts: Attempts) -> None:
    # Guards against condemning all requests of two busy servers that were lost.
    async def main() -> None:
        for server in ("server-0", "server-1"):
            sent = [attempts.start(f"request-{i}", server) for i in range(9)]
            attempts.crash(server, tuple(sent), zone=server)
            await asyncio.sleep(10.0)
        assert attempts.guard.condemned() == {}

    run_virtual(main())


def test_bystanders_of_a_crasher_go_free(attempts: Attempts) -> None:
    # Guards against more false positives than the bound in the decision record:
    # requests that were in flight at both crashes and ran nowhere in between.
    async def main() -> None:
        for server in ("server-0", "server-1"):
            crasher = attempts.start(CRASHER, server)
            bystanders = [attempts.start(f"other-{i}", server) for i in range(7)]
            attempts.crash(server, (crasher, *bystanders), zone=server)
            for i in range(7):
                attempts.complete(f"other-{i}", "server-2")
            await asyncio.sleep(2.0)
        assert set(attempts.guard.condemned()) == {CRASHER}

    run_virtual(main())


def test_broken_connection_counts_until_the_crash_is_confirmed(
    attempts: Attempts,
) -> None:
    # Guards against a crash that is confirmed only by the next incarnation, when
    # the attempt has already ended; and against blaming for ever.
    async def main() -> None:
        for server, delay_s in (("server-0", 2.0), ("server-1", 6.0)):
            attempt_id = attempts.start(CRASHER, server)
            attempts.guard.ended(attempt_id, AttemptOutcome.CONNECTION_LOST)
            await asyncio.sleep(delay_s)
            attempts.crash(server)
        assert not _is_condemned(attempts.guard, CRASHER)
        attempts.crash("server-2", (attempts.start(CRASHER, "server-2"),))
        assert _is_condemned(attempts.guard, CRASHER)

    run_virtual(main())


def test_blames_are_shared_between_entry_hosts() -> None:
    # Guards against two servers lost per entry host instead of two in all.
    async def main() -> None:
        one, other = Attempts(CrashGuard()), Attempts(CrashGuard())
        one.crash("server-0", (one.start(CRASHER, "server-0"),))
        blames = one.guard.fresh()
        assert one.guard.fresh() == []
        other.guard.merge(blames)
        other.guard.merge(blames)
        assert not _is_condemned(other.guard, CRASHER)
        other.crash("server-1", (other.start(CRASHER, "server-1"),))
        assert _is_condemned(other.guard, CRASHER)
        one.guard.merge(other.guard.fresh())
        assert _is_condemned(one.guard, CRASHER)

    run_virtual(main())


def test_memory_is_bounded() -> None:
    # Guards against a guard that grows with the number of different requests.
    async def main() -> None:
        attempts = Attempts(CrashGuard(CrashGuardSettings(most_entries=20)))
        for index in range(200):
            attempts.complete(f"completed-{index}", "server-0")
            server = f"server-{index}"
            sent = attempts.start(f"blamed-{index}", server)
            attempts.crash(server, (sent,))
            sent = attempts.start(f"blamed-{index}", f"other-{index}")
            attempts.crash(f"other-{index}", (sent,), zone="zone-1")
            await asyncio.sleep(3.0)
        assert 5 <= len(attempts.guard.condemned()) <= 20

    run_virtual(main())


class GuardMachine(RuleBasedStateMachine):
    """One crasher among innocent requests, in any order of events."""

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

    def run(self, seconds: float = 0.0) -> None:
        """Let time pass."""
        self.loop.run_until_complete(asyncio.sleep(seconds))

    @rule(name=st.integers(0, 9))
    def innocent(self, name: int) -> None:
        """Complete an innocent request."""

        async def one() -> None:
            self.attempts.complete(f"innocent-{name}", f"idle-{name % 3}")

        self.loop.run_until_complete(one())

    @rule(bystanders=st.integers(0, 12), zone=st.integers(0, 2))
    def crasher(self, bystanders: int, zone: int) -> None:
        """Send the crashing request again."""

        async def one() -> None:
            if _is_condemned(self.attempts.guard, CRASHER):
                return
            server = f"server-{self.fresh_servers}"
            self.fresh_servers += 1
            sent = [self.attempts.start(CRASHER, server)]
            sent += [
                self.attempts.start(f"innocent-{i}", server) for i in range(bystanders)
            ]
            self.attempts.crash(server, tuple(sent), zone=f"zone-{zone}")
            self.canary_crashes += bystanders < 8
            for i in range(bystanders):
                self.attempts.complete(f"innocent-{i}", "idle-0")

        self.loop.run_until_complete(one())
        self.run(2.0)

    @rule(services=st.integers(4, 6))
    def zone_loss(self, services: int) -> None:
        """Break servers of many services while innocent requests run."""

        async def one() -> None:
            for index in range(services):
                server = f"server-{self.fresh_servers}"
                self.fresh_servers += 1
                sent = self.attempts.start("innocent-0", server)
                self.attempts.crash(server, (sent,), service=f"service-{index}")
            self.attempts.complete("innocent-0", "idle-0")

        self.loop.run_until_complete(one())
        self.run(2.0)

    @invariant()
    def crasher_is_stopped(self) -> None:
        """Two servers at most, counting crashes that can be blamed."""
        assert getattr(self, "canary_crashes", 0) <= 2

    @invariant()
    def innocent_requests_run(self) -> None:
        """Only the crasher is ever condemned."""
        if not hasattr(self, "loop"):
            return

        async def one() -> None:
            assert set(self.attempts.guard.condemned()) <= {CRASHER}

        self.loop.run_until_complete(one())


TestGuardMachine = GuardMachine.TestCase
TestGuardMachine.settings = settings(
    derandomize=True, max_examples=60, stateful_step_count=20, deadline=None
)
