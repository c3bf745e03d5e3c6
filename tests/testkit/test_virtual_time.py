"""Tests of the virtual-time event loop."""

import asyncio

import pytest
from kingcuplug_testkit import run_virtual


def test_sleep_advances_clock() -> None:
    # Guards against tests that wait for the wall clock.
    async def main() -> float:
        await asyncio.sleep(3600)
        return asyncio.get_running_loop().time()

    assert run_virtual(main()) == pytest.approx(3600)


def test_deadlock_is_reported() -> None:
    # Guards against a deadlocked test that never ends.
    async def main() -> None:
        await asyncio.get_running_loop().create_future()

    with pytest.raises(RuntimeError, match="deadlock"):
        run_virtual(main())
