"""Evacuation of a zone by real hosts, and the check of it."""

import asyncio
import contextlib
import re
import signal
from pathlib import Path

import pytest
from kingcuplug_platform.formats import EVACUATION_PATH
from kingcuplug_soak import SoakSettings
from kingcuplug_soak._evacuation_check import count_arrivals
from kingcuplug_soak._http_client import send_request
from kingcuplug_soak._run import caller_traffic, soak_environment
from kingcuplug_soak._traffic import DEFAULT_ATTEMPTS

_SETTINGS = SoakSettings(seed=1, max_attempts=DEFAULT_ATTEMPTS)
_ZONE = "zone-1"
_EVACUATION_S = 5.0  # The bound of the users' rule EVAC.
_OBSERVED_S = 3.0
_ORDER_TIMEOUT_S = 6.0
_LEAST_SERVED = 0.9


async def _arrivals_during(env, seconds: float) -> int:
    from_s = asyncio.get_running_loop().time()
    await asyncio.sleep(seconds)
    until_s = asyncio.get_running_loop().time()
    return count_arrivals(env.backends.servers, _ZONE, from_s, until_s)


async def _run(folder: Path) -> None:
    async with soak_environment(_SETTINGS, folder) as env, caller_traffic(env):
        hosts, checker = env.cluster.hosts, env.checker
        address = hosts[-1].control_address  # without a disk
        path = f"{EVACUATION_PATH}{_ZONE}"
        assert (await send_request(address, "POST", path)).status == 307
        control_address = hosts[0].control_address
        unknown = await send_request(control_address, "POST", f"{EVACUATION_PATH}zone")
        assert unknown.status == 404
        assert (await send_request(control_address, "GET", path)).status == 405
        assert await _arrivals_during(env, 1.0) > 0

        assert await env.operator.order_evacuation(_ZONE, True, _ORDER_TIMEOUT_S)
        acknowledged_at = asyncio.get_running_loop().time()
        await asyncio.sleep(_EVACUATION_S)
        attempts, served = checker.attempt_count, checker.served_count
        assert await _arrivals_during(env, _OBSERVED_S) == 0
        attempts = checker.attempt_count - attempts
        assert checker.served_count - served >= _LEAST_SERVED * attempts
        last_s = max(
            a.at_s for s in env.backends.servers if s.zone == _ZONE for a in s.arrivals
        )
        print(f"last arrival {last_s - acknowledged_at:.3f} s after the answer")

        served = checker.served_count
        restarted_at_s = asyncio.get_running_loop().time()
        await asyncio.gather(*(host.kill() for host in hosts))
        for host in hosts:
            host.start_if_stopped()
        await asyncio.sleep(_EVACUATION_S)
        now_s = asyncio.get_running_loop().time()
        servers = env.backends.servers
        assert count_arrivals(servers, _ZONE, restarted_at_s, now_s) == 0
        assert checker.served_count > served

        assert await env.operator.order_evacuation(_ZONE, False, _ORDER_TIMEOUT_S)
        await asyncio.sleep(_EVACUATION_S)
        assert await _arrivals_during(env, _OBSERVED_S) > 0
        assert checker.check_executions() == []


async def _order_at(host, method: str, timeout_s: float) -> bool:
    """Send an order to one host, and close the connection after a time."""
    with contextlib.suppress(TimeoutError, OSError):
        async with asyncio.timeout(timeout_s):
            path = f"{EVACUATION_PATH}{_ZONE}"
            response = await send_request(host.control_bind_address, method, path)
            return response.status == 200
    return False


async def _read_gauge(host, name: str) -> float:
    response = await send_request(host.metrics_address, "GET", "/metrics")
    (line,) = re.findall(rf"^\S*{name}\S* (\S+)$", response.body.decode(), re.M)
    return float(line)


async def _repeat_order_of_suspended_host(folder: Path) -> None:
    async with soak_environment(_SETTINGS, folder) as env:
        control_hosts = env.cluster.hosts[:3]
        leads = [await _read_gauge(host, "control_leads") for host in control_hosts]
        suspended = control_hosts[leads.index(0.0)]
        others = [host for host in control_hosts if host is not suspended]
        assert await _order_at(suspended, "POST", _ORDER_TIMEOUT_S)
        suspended.send_signal(signal.SIGSTOP)
        assert not await _order_at(suspended, "DELETE", 1.0)
        for method in ("DELETE", "POST"):
            acknowledged = False
            async with asyncio.timeout(_ORDER_TIMEOUT_S):
                while not acknowledged:
                    for host in others:
                        acknowledged = acknowledged or await _order_at(
                            host, method, 1.0
                        )
        suspended.send_signal(signal.SIGCONT)
        await asyncio.sleep(_EVACUATION_S)
        async with caller_traffic(env):
            assert await _arrivals_during(env, _OBSERVED_S) == 0


@pytest.mark.system
def test_order_of_a_suspended_host_does_not_undo_a_newer_one(tmp_path):
    """Guards against an old order that a host executes when it runs again."""
    asyncio.run(_repeat_order_of_suspended_host(tmp_path))


@pytest.mark.system
def test_hosts_send_nothing_to_an_evacuated_zone(tmp_path):
    """Guards against hosts that go on, or begin again after a restart of all hosts."""
    asyncio.run(_run(tmp_path))
