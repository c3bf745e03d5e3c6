"""How the scripts of the cases run and exit."""

import asyncio
import os
from collections.abc import Awaitable, Callable
from pathlib import Path

from kingcuplug_stage.hosts import Fleet
from kingcuplug_stage.record import Record

__all__ = ["BROKEN", "HELD", "NOT_RUN", "WITH_TROUBLE", "run_case"]

HELD, BROKEN, NOT_RUN = 0, 1, 2
WITH_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
_MAX_DURATION_S = 110.0


def run_case(
    path: Path,
    play: Callable[[Record, Fleet], Awaitable[int]],
    count: int,
    disks: int,
    spares: int = 0,
) -> int:
    """Play a case with a fleet of its own; return the exit status.

    Parameters
    ----------
    path : Path
        File of the record.
    play : callable
        Plays the case and returns the exit status.
    count, disks, spares : int
        Machines of the fleet.
    """
    return asyncio.run(_run(Record(path), play, count, disks, spares))


async def _run(
    record: Record,
    play: Callable[[Record, Fleet], Awaitable[int]],
    count: int,
    disks: int,
    spares: int,
) -> int:
    record.write("case", trouble=WITH_TROUBLE)
    fleet = Fleet(record, count, disks, spares)
    try:
        async with asyncio.timeout(_MAX_DURATION_S):
            return await play(record, fleet)
    except (OSError, TimeoutError) as error:
        record.write("not-run", error=repr(error))
        return NOT_RUN
    finally:
        fleet.end()
        record.close()
