"""Frame of a case: record file, time limit, and exit status."""

import asyncio
import os
import signal
import sys
import tempfile
import time
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path

from standins.hosts import ROOT, Deployment

__all__ = ["Record", "run_case"]

_HELD, _BROKEN, _NOT_RUN = 0, 1, 2
_LIMIT_S = 112.0


class Record:
    """Lines of ``record.txt`` in the folder of the case, with the time of each."""

    def __init__(self, path: Path) -> None:
        self._started_at = time.time()
        self._file = path.open("w")

    def write(self, line: str) -> None:
        """Add one line."""
        elapsed_s = time.time() - self._started_at
        self._file.write(f"{elapsed_s:8.3f} s  {line}\n")
        self._file.flush()


def run_case(
    folder: Path,
    deploy: Callable[[Path], Deployment],
    check: Callable[[Deployment, Record, bool], Awaitable[bool]],
) -> None:
    """Run a case and exit with 1 if the rule was broken, 0 if it held, else 2.

    Parameters
    ----------
    folder : Path
        Folder of the case.
    deploy : callable
        Makes the deployment in a temporary folder.
    check : callable
        Runs the case with the disruption or without it; returns whether the rule was
        broken.
    """
    record = Record(folder / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.write(f"disruption: {'yes' if trouble else 'no'}")
    status = _NOT_RUN
    if not (ROOT / "target/deps").is_dir():
        record.write("target/deps is missing; run the build of the deploy file")
        sys.exit(status)
    # So that an ended case ends its processes, too.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(_NOT_RUN))
    with tempfile.TemporaryDirectory(ignore_cleanup_errors=True) as temporary:
        deployment = deploy(Path(temporary))
        try:
            broken = asyncio.run(_check_in_time(check, deployment, record, trouble))
            status = _BROKEN if broken else _HELD
            record.write("the rule was broken" if broken else "the rule held")
        except Exception:
            record.write(f"the case could not run: {traceback.format_exc()}")
        finally:
            deployment.end_all()
    sys.exit(status)


async def _check_in_time(
    check: Callable[[Deployment, Record, bool], Awaitable[bool]],
    deployment: Deployment,
    record: Record,
    trouble: bool,
) -> bool:
    async with asyncio.timeout(_LIMIT_S):
        return await check(deployment, record, trouble)
