"""Host processes that end by themselves or do not serve, which the soak must report."""

import asyncio
import contextlib
import dataclasses
import os
import signal
from collections.abc import AsyncIterator
from pathlib import Path

import pytest
from kingcuplug_fleet import PeerFailed
from kingcuplug_soak._host_run import is_requested_end
from kingcuplug_soak._hosts import HostCluster, HostProcess, reserved_network
from kingcuplug_soak._http_client import send_request
from kingcuplug_soak._service_check import find_unserving_hosts

_TIMEOUT_S = 20.0
_POLL_INTERVAL_S = 0.02
_PROBE_S = 0.5


async def _wait_until_started(host: HostProcess) -> None:
    """Wait until the newest process answers the readiness check."""
    async with asyncio.timeout(_TIMEOUT_S):
        while True:
            with contextlib.suppress(PeerFailed):
                await send_request(host.ready_address, "GET", "/v1/readiness")
                return
            await asyncio.sleep(_POLL_INTERVAL_S)


@contextlib.asynccontextmanager
async def _running_host(
    folder: Path, violations: list[str]
) -> AsyncIterator[HostProcess]:
    """Run one host, watched as in a soak, after it has started."""
    with reserved_network(os.getpid()) as network:
        cluster = HostCluster(folder, 1, 1, network, violations)
        try:
            async with cluster.watched():
                await cluster.start()
                host = cluster.hosts[0]
                await _wait_until_started(host)
                yield host
        finally:
            await cluster.stop()


@pytest.mark.parametrize(
    ("status", "sent", "sent_early", "is_requested"),
    [
        (0, ["SIGTERM"], [], True),
        (0, [], ["SIGTERM"], True),
        (0, [], [], False),
        (0, ["SIGKILL", "SIGHUP"], [], False),
        (1, ["SIGKILL", "SIGTERM"], [], False),
        (-9, ["SIGKILL"], [], True),
        (-9, ["SIGTERM"], [], False),
        (-1, ["SIGHUP"], [], False),
        (-1, [], ["SIGHUP"], True),
        (-1, ["SIGHUP"], ["SIGHUP"], False),
        (-15, ["SIGTERM"], [], False),
        (-15, [], ["SIGTERM"], True),
        (-15, [], ["SIGHUP"], False),
    ],
)
def test_end_counts_as_requested_only_by_the_signal_that_was_sent(
    status, sent, sent_early, is_requested
):
    """Guards against a check that takes any end after a signal for a requested one."""
    signals = [signal.Signals[name] for name in sent]
    early = [signal.Signals[name] for name in sent_early]
    assert is_requested_end(status, signals, early) is is_requested


@pytest.mark.system
@pytest.mark.parametrize(
    ("number", "status"), [(signal.SIGKILL, -9), (signal.SIGABRT, -6)]
)
def test_process_that_another_ends_is_reported_and_started_again(
    number, status, tmp_path
):
    """Guards against a soak that does not see that a process ended by itself."""
    violations: list[str] = []

    async def run() -> None:
        async with _running_host(tmp_path, violations) as host:
            os.kill(host.runs[-1].process.pid, number)
            await asyncio.to_thread(host.runs[-1].process.wait)
            await _wait_until_started(host)
            assert host.start_count == 2

    asyncio.run(run())
    assert len(violations) == 1
    assert f"of host-0 ended by itself with status {status}, " in violations[0]
    assert '{"event":"' in violations[0]


@pytest.mark.system
def test_ends_that_the_soak_asked_for_are_no_violation(tmp_path):
    """Guards against a check that blames a host for a stop, a kill or a restart."""
    violations: list[str] = []

    async def run() -> None:
        async with _running_host(tmp_path, violations) as host:
            await host.terminate()
            host.start()
            await host.kill()
            host.start()
            await asyncio.sleep(_PROBE_S)

    asyncio.run(run())
    assert violations == []


@pytest.mark.system
def test_process_that_outruns_its_grace_time_is_reported(tmp_path):
    """Guards against a soak that kills a host which does not stop, and says nothing."""
    violations: list[str] = []

    async def run() -> None:
        async with _running_host(tmp_path, violations) as host:
            os.kill(host.runs[-1].process.pid, signal.SIGSTOP)
            host.settings = dataclasses.replace(
                host.settings, termination_grace_ms=1_000
            )
            await host.terminate()

    asyncio.run(run())
    assert [
        "longer than 1 s after SIGTERM" in violation for violation in violations
    ] == [True]


@pytest.mark.system
def test_host_that_does_not_answer_is_not_in_service(tmp_path):
    """Guards against a soak that is content with a process that only exists."""

    async def run() -> tuple[list[str], list[str]]:
        async with _running_host(tmp_path, []) as host:
            without_routes = await find_unserving_hosts([host], _PROBE_S)
            os.kill(host.runs[-1].process.pid, signal.SIGSTOP)
            return without_routes, await find_unserving_hosts([host], _PROBE_S)

    without_routes, stopped = asyncio.run(run())
    assert [cause.partition(":")[0] for cause in without_routes + stopped] == [
        "host-0 is not in service"
    ] * 2
