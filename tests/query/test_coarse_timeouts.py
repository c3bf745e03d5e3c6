"""Timeouts that share timers end late bodies only."""

import asyncio

import pytest
from kingcuplug_query._coarse_timeouts import CoarseTimer
from kingcuplug_testkit import run_virtual


def test_late_body_times_out_within_one_bucket_width():
    """Guards against attempts that never time out or time out too early."""

    async def run() -> float:
        with pytest.raises(TimeoutError), CoarseTimer().timeout(0.5):
            await asyncio.sleep(60)
        return asyncio.get_running_loop().time()

    started = run_virtual(_loop_time())
    assert 0.5 <= run_virtual(run()) - started <= 0.52


async def _loop_time() -> float:
    return asyncio.get_running_loop().time()


def test_task_continues_after_body_ends_in_time():
    """Guards against a shared timer that cancels a task after its body has ended."""

    async def run() -> str:
        timer = CoarseTimer()
        with timer.timeout(0.5):
            await asyncio.sleep(0.1)
        await asyncio.sleep(5)
        return "done"

    assert run_virtual(run()) == "done"


def test_timeouts_in_one_bucket_are_independent():
    """Guards against a late attempt whose timeout also ends a timely attempt."""

    async def run() -> list[object]:
        timer = CoarseTimer()

        async def body(duration_s: float) -> str:
            with timer.timeout(0.5):
                await asyncio.sleep(duration_s)
            return "done"

        bodies = (body(0.4), body(60), body(60))
        return await asyncio.gather(*bodies, return_exceptions=True)

    first, *late = run_virtual(run())
    assert first == "done"
    assert all(isinstance(error, TimeoutError) for error in late)


def test_external_cancellation_is_not_a_timeout():
    """Guards against reporting a shutdown as a slow backend server."""

    async def run() -> bool:
        async def body() -> None:
            with CoarseTimer().timeout(0.5):
                await asyncio.sleep(60)

        task = asyncio.create_task(body())
        await asyncio.sleep(0.1)
        task.cancel()
        await asyncio.wait([task])
        return task.cancelled()

    assert run_virtual(run())


def test_task_is_reusable_after_timeout():
    """Guards against a cancellation that is still counted after the timeout."""

    async def run() -> int:
        timer = CoarseTimer()
        for _ in range(2):
            with pytest.raises(TimeoutError), timer.timeout(0.1):
                await asyncio.sleep(60)
        task = asyncio.current_task()
        assert task is not None
        return task.cancelling()

    assert run_virtual(run()) == 0
