"""A control host is removed for good; then another one loses its disk."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins3"))

from kingcuplug_stage.configurations import make_configuration
from kingcuplug_stage.hosts import BOUNDS, Fleet
from kingcuplug_stage.record import Record
from kingcuplug_stage.runs import BROKEN, HELD, WITH_TROUBLE, run_case

_CATCH_UP_S = BOUNDS["catch_up_s"]
_STABILITY_S = BOUNDS["stability_window_ms"] / 1_000
_RECOVERY_S = BOUNDS["recovery_s"]
# Between the end of the machine that is removed and the loss of the other disk.
_LOSS_AFTER_S = 0.5
_BACK_AFTER_S = 1.0
_READ_BACK_S = 20.0
_VERSION = 7


async def _play(record: Record, fleet: Fleet) -> int:
    await fleet.start_all()
    removed, lost, kept, successor = fleet.hosts
    await fleet.configure(make_configuration(3))
    await asyncio.sleep(_STABILITY_S + 1)
    # The platform adds the successor first, with an empty disk.
    fleet.start(successor)
    await asyncio.sleep(_CATCH_UP_S + 1)
    await fleet.configure(make_configuration(_VERSION))
    fleet.kill(removed)
    removed.process = None
    await asyncio.sleep(_LOSS_AFTER_S)
    if WITH_TROUBLE:
        fleet.kill(lost)
        fleet.lose_disk(lost)
        await asyncio.sleep(_BACK_AFTER_S)
        fleet.start(lost)
    await asyncio.sleep(_RECOVERY_S)
    sound = 0
    until = time.monotonic() + _READ_BACK_S
    while time.monotonic() < until:
        for host in (lost, kept, successor):
            sound += await fleet.read_version(host) == _VERSION
        await asyncio.sleep(1.0)
    if sound:
        record.write("held", sound_reads=sound)
        return HELD
    record.write("broken", rule="CONFIG", sound_reads=0, read_for_s=_READ_BACK_S)
    return BROKEN


if __name__ == "__main__":
    path = Path(__file__).with_name("record.txt")
    sys.exit(run_case(path, _play, count=4, disks=4, spares=1))
