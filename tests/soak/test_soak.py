"""A short soak with fixed seeds, and violations that its checker must report."""

import asyncio
import random

import pytest
from kingcuplug_gateway import merge_records
from kingcuplug_http import Response
from kingcuplug_soak import SoakSettings, soak
from kingcuplug_soak._consistency import CallerAttempt, ConsistencyChecker
from kingcuplug_soak._fake_servers import Execution, FakeServer, FakeServerPool
from kingcuplug_soak._run import caller_traffic, soak_environment
from kingcuplug_soak._service_check import find_unserving_hosts
from kingcuplug_soak._start_faults import START_FAULTS
from kingcuplug_soak._traffic import DEFAULT_ATTEMPTS

_FORMING_SEED = 2
_ZONE_SEED = 1
_DISKLESS_SEED = 1
_REMOVAL_SEED = 1
_RECOVERY_S = 12.0
_DRAWS_PER_FAULT = 3


@pytest.mark.system
@pytest.mark.parametrize("seed", [1])
def test_soak_finds_no_violation(seed):
    """Guards against violations that callers and backend servers can observe."""
    result = asyncio.run(soak(SoakSettings(seed, duration_s=4.0)))
    assert result.violations == []
    assert result.served > 0


@pytest.mark.system
def test_acknowledged_configuration_survives_two_lost_disks_while_forming():
    """Guards against acknowledging changes on fewer disks than may be lost.

    With this seed the disks are lost right after the first acknowledgement.
    """
    settings = SoakSettings(_FORMING_SEED, 2.0, disks=5, tolerated_losses=2)
    assert asyncio.run(soak(settings)).violations == []


@pytest.mark.system
def test_acknowledged_configuration_survives_a_lost_zone_while_forming():
    """Guards against a majority of the voters in the zone of most disks.

    With this seed the disks of this zone are lost right after the first
    acknowledgement; all seeds are in it.
    """
    settings = SoakSettings(_ZONE_SEED, 2.0, disks=5, tolerated_zones=1)
    assert asyncio.run(soak(settings)).violations == []


@pytest.mark.system
def test_group_goes_on_after_a_removal_without_notice_beside_a_lost_disk():
    """Guards against a removed host that counts among an even number of voters."""
    settings = SoakSettings(_REMOVAL_SEED, 3.0, has_removal=True)
    result = asyncio.run(soak(settings))
    assert result.violations == []
    assert any("for good" in trouble for trouble in result.troubles)


@pytest.mark.system
def test_hosts_are_served_where_no_seed_has_a_disk():
    """Guards against hosts with a disk that wait for seeds without one."""
    settings = SoakSettings(
        _DISKLESS_SEED, 2.0, hosts=6, diskless_seeds=True, max_attempts=DEFAULT_ATTEMPTS
    )
    result = asyncio.run(soak(settings))
    assert result.violations == []
    assert result.served > 0


@pytest.mark.system
@pytest.mark.parametrize("fault", dict.fromkeys(START_FAULTS), ids=lambda f: f.__name__)
def test_fault_at_the_start_neither_ends_a_process_nor_the_service(fault, tmp_path):
    """Guards against processes that a passing state at their start ends or hinders."""

    async def run() -> list[str]:
        async with soak_environment(SoakSettings(seed=1), tmp_path) as env:
            async with caller_traffic(env):
                draws = [random.Random(number) for number in range(_DRAWS_PER_FAULT)]
                print(await asyncio.gather(*(fault(env.cluster, r) for r in draws)))
            return env.checker.check_executions() + await find_unserving_hosts(
                env.cluster.hosts, _RECOVERY_S
            )

    assert asyncio.run(run()) == []


@pytest.fixture
def checker() -> ConsistencyChecker:
    allowed_services = {"query": {"s0", "s1"}, "read": {"reads"}, "order": {"orders"}}
    checker = ConsistencyChecker(
        FakeServerPool([], random.Random(1)),
        allowed_services,
        top_records=5,
        max_attempts={"query": 1, "read": 2, "order": 3},
    )
    checker.shards_by_version[1] = frozenset(("s0", "s1"))
    return checker


def _record_execution(
    checker: ConsistencyChecker, attempt_id: str, service: str, kind: str, seal: str
) -> bytes:
    body = seal.encode().ljust(16, b"-")
    execution = Execution(
        attempt_id, service, f"{service}-1", f"/{kind}/1", body, seal, True
    )
    checker.backends.executions.setdefault(attempt_id, []).append(execution)
    return body


def _make_response(body: bytes, **headers: str) -> Response:
    fields = {k.replace("_", "-").encode(): v.encode() for k, v in headers.items()}
    return Response(200, list(fields.items()), body, fields)


def test_checker_reports_order_that_ran_twice(checker):
    """Guards against a checker that misses an order executed twice."""
    checker.record_attempt(CallerAttempt("a", "order"))
    for seal in ("1", "2"):
        _record_execution(checker, "a", "orders", "order", seal)
    assert any("ran 2 times" in violation for violation in checker.check_executions())


@pytest.mark.parametrize(("count", "is_reported"), [(3, False), (4, True)])
def test_checker_reports_requests_that_ran_on_too_many_servers(
    checker, count, is_reported
):
    """Guards against a checker that misses attempts beyond ``max_attempts``.

    A second run by the same server, or by one that has ended, doesn't count.
    """
    checker.backends.servers = [
        FakeServer(checker.backends, name, "s0", "z") for name in ("s0-1", "s0-2")
    ]

    def record(attempt_id: str, *servers: str) -> None:
        checker.backends.executions[attempt_id] = [
            Execution(attempt_id, "s0", server, "/query/1", b"", server, True)
            for server in servers
        ]

    for number in range(count):
        record(f"q{number}", "s0-1", "s0-2")
    record("same server", "s0-1", "s0-1")
    record("ended server", "s0-1", "s0-3")
    violations = checker.check_executions()
    assert any("max_attempts" in v for v in violations) is is_reported


def test_checker_reports_refused_order_that_ran(checker):
    """Guards against a checker that takes each refusal for an order that never ran."""
    attempt = CallerAttempt("a", "order")
    checker.record_attempt(attempt)
    _record_execution(checker, "a", "orders", "order", "1")
    checker.check_response(attempt, Response(503, [], b""))
    assert any(
        "refused as not run" in violation for violation in checker.check_executions()
    )


def test_checker_reports_mixed_responses(checker):
    """Guards against a checker that accepts any body, part or shard.

    The four bad responses name a missing part that is not missing, carry the body of
    another set of parts, name one part twice and carry a body that no server sent.
    """
    query, read = CallerAttempt("q", "query"), CallerAttempt("r", "read")
    first = _record_execution(checker, "q", "s0", "query", "1")
    second = _record_execution(checker, "q", "s1", "query", "2")
    body = merge_records([first, second], 5)
    checker.check_response(
        query, _make_response(body, part_seals="1, 2", missing_parts="0")
    )
    assert checker.violations == []
    checker.check_response(
        query, _make_response(body, part_seals="1, 2", missing_parts="1")
    )
    checker.check_response(
        query, _make_response(first, part_seals="1, 2", missing_parts="0")
    )
    checker.check_response(
        query, _make_response(first, part_seals="1, 1", missing_parts="0")
    )
    _record_execution(checker, "r", "reads", "read", "3")
    checker.check_response(read, _make_response(b"other", server_seal="3"))
    assert len(checker.violations) == 4


def test_checker_reports_stale_read_and_wrong_service(checker):
    """Guards against a checker that misses a lost configuration or a wrong service."""
    checker.check_configuration_read(4, acknowledged_before=5)
    _record_execution(checker, "r", "orders", "read", "1")
    assert len(checker.check_executions()) == 2
