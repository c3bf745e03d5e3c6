"""Starts and stops of a group of real hosts in a row.

By hand: ``KINGCUPLUG_START_ROUNDS=40 pytest tests/soak/test_starts.py``.
"""

import asyncio
import dataclasses
import os
import random

import pytest
from kingcuplug_soak import SoakSettings
from kingcuplug_soak._run import soak_environment
from kingcuplug_soak._service_check import find_unserving_hosts

_ROUNDS = int(os.environ.get("KINGCUPLUG_START_ROUNDS", "2"))
_START_SPREAD_S = 0.3
_GRACE_MS = 2_000
_RECOVERY_S = 12.0


@pytest.mark.system
def test_no_process_of_a_group_ends_by_itself_over_many_starts(tmp_path):
    """Guards against a start that fails now and then, or leaves a host unused."""
    rng = random.Random(1)

    async def start_later(host) -> None:
        await asyncio.sleep(rng.uniform(0.0, _START_SPREAD_S))
        host.start()

    async def run() -> list[str]:
        async with soak_environment(SoakSettings(seed=1), tmp_path) as env:
            hosts, violations = env.cluster.hosts, env.checker.violations
            for _ in range(_ROUNDS):
                await asyncio.gather(*(host.terminate() for host in hosts))
                for host in hosts:
                    host.settings = dataclasses.replace(
                        host.settings, termination_grace_ms=_GRACE_MS
                    )
                await asyncio.gather(*map(start_later, hosts))
                violations += await find_unserving_hosts(hosts, _RECOVERY_S)
        return violations

    assert asyncio.run(run()) == []
