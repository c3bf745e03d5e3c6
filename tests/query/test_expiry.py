"""Timeouts that share timers end what is late, and nothing else."""

import asyncio

import pytest
from kingcuplug_query._expiry import Expiries
from kingcuplug_testkit import run_virtual


def test_late_body_is_ended_within_a_step():
    """Guards against attempts that wait for ever, or are ended too early."""

    async def run() -> float:
        with pytest.raises(TimeoutError), Expiries().after(0.5):
            await asyncio.sleep(60)
        return asyncio.get_running_loop().time()

    started = run_virtual(_now())
    assert 0.5 <= run_virtual(run()) - started <= 0.52


async def _now() -> float:
    return asyncio.get_running_loop().time()


def test_task_goes_on_after_a_body_that_ended_in_time():
    """Guards against a shared timer that cancels work begun later."""

    async def run() -> str:
        expiries = Expiries()
        with expiries.after(0.5):
            await asyncio.sleep(0.1)
        await asyncio.sleep(5)
        return "done"

    assert run_virtual(run()) == "done"


def test_bodies_of_one_step_end_separately():
    """Guards against a late attempt that takes a timely one with it."""

    async def run() -> list[object]:
        expiries = Expiries()

        async def body(duration_s: float) -> str:
            with expiries.after(0.5):
                await asyncio.sleep(duration_s)
            return "done"

        work = (body(0.4), body(60), body(60))
        return await asyncio.gather(*work, return_exceptions=True)

    first, *late = run_virtual(run())
    assert first == "done"
    assert all(isinstance(error, TimeoutError) for error in late)


def test_cancellation_by_another_is_no_timeout():
    """Guards against a shutdown that is taken for a slow backend server."""

    async def run() -> bool:
        async def body() -> None:
            with Expiries().after(0.5):
                await asyncio.sleep(60)

        task = asyncio.create_task(body())
        await asyncio.sleep(0.1)
        task.cancel()
        await asyncio.wait([task])
        return task.cancelled()

    assert run_virtual(run())


def test_task_that_timed_out_can_be_used_again():
    """Guards against a cancellation that is still counted after the timeout."""

    async def run() -> int:
        expiries = Expiries()
        for _ in range(2):
            with pytest.raises(TimeoutError), expiries.after(0.1):
                await asyncio.sleep(60)
        task = asyncio.current_task()
        assert task is not None
        return task.cancelling()

    assert run_virtual(run()) == 0
