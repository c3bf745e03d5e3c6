"""What the scripts of all cases share: the record, the operator, the exit status."""

import asyncio
import contextlib
import json
import os
import sys
import time
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any

from calls import Answer, CallFailed, call
from hosts import CannotRun, Host

__all__ = ["HELD", "Case", "Operator", "Record", "run_case"]

HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
_MAX_DURATION_S = 115.0
_FORMING_S = 20.0


class Record:
    """Lines of ``record.txt``, with the time since the beginning."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._started_at = time.monotonic()

    def write(self, line: str) -> None:
        """Write one line."""
        elapsed_s = time.monotonic() - self._started_at
        self._file.write(f"{elapsed_s:8.3f} {line}\n")
        self._file.flush()


class Operator:
    """An operator who sends each order until it is acknowledged.

    Parameters
    ----------
    hosts : list of Host
        Hosts that serve control.
    """

    def __init__(self, hosts: list[Host], record: Record) -> None:
        self._hosts = hosts
        self._record = record

    async def order(
        self,
        method: str,
        target: str,
        document: Any = None,
        first: Host | None = None,
        excluded: Host | None = None,
        timeout_s: float = 1.0,
    ) -> float:
        """Send an order to one host after the other; return when it was acknowledged.

        Parameters
        ----------
        first : Host or None
            Host that is asked first.
        excluded : Host or None
            Host that is not asked.

        Returns
        -------
        float
            Monotonic time of the acknowledgement.

        Raises
        ------
        CannotRun
            If no host acknowledges it.
        """
        body = b"" if document is None else json.dumps(document).encode()
        headers = {"Content-Type": "application/json"}
        until = time.monotonic() + _FORMING_S
        hosts = [h for h in self._hosts if h is not first and h is not excluded]
        if first is not None:
            hosts.insert(0, first)
        while time.monotonic() < until:
            for host in hosts:
                self._record.write(f"operator: {method} {target} to {host.name}")
                try:
                    answer = await _follow(
                        host.control, method, target, headers, body, timeout_s
                    )
                except CallFailed as error:
                    self._record.write(f"operator: no answer of {host.name}: {error}")
                    continue
                self._record.write(f"operator: {host.name} answered {answer.status}")
                if 200 <= answer.status < 300:
                    return time.monotonic()
                if 400 <= answer.status < 500:
                    raise CannotRun(f"{target} was refused with {answer.status}")
            await asyncio.sleep(0.2)
        raise CannotRun(f"{target} was not acknowledged")


async def _follow(
    address: str,
    method: str,
    target: str,
    headers: dict[str, str],
    body: bytes,
    timeout_s: float,
) -> Answer:
    for _ in range(3):
        answer = await call(address, method, target, headers, body, timeout_s)
        if answer.status != 307:
            return answer
        address = answer.headers["location"].split("/")[2]
    raise CallFailed("redirected too often")


Case = Callable[[Record, bool], Coroutine[Any, Any, list[str]]]


def run_case(case: Case, record_path: Path) -> None:
    """Run a case and exit with its status.

    Parameters
    ----------
    case : callable
        Coroutine function that gets the record and whether to disrupt, and returns
        the breaks of the rule.
    record_path : Path
        Where the record is written.
    """
    record = Record(record_path)
    with_trouble = os.environ.get("TROUBLE", "1") != "0"
    record.write(f"disruption: {'yes' if with_trouble else 'no'}")
    try:
        breaks = asyncio.run(_run_in_time(case(record, with_trouble)))
    except Exception as error:  # A fault of the stand-ins, or of the machine.
        record.write(f"could not run: {error!r}")
        sys.stdout.write(f"could not run: {error!r}\n")
        sys.exit(COULD_NOT_RUN)
    for line in breaks:
        record.write(f"broken: {line}")
    verdict = f"{len(breaks)} breaks of the rule" if breaks else "the rule held"
    record.write(verdict)
    sys.stdout.write(f"{verdict}\n")
    sys.exit(BROKEN if breaks else HELD)


async def _run_in_time(
    work: Coroutine[Any, Any, list[str]],
) -> list[str]:
    async with asyncio.timeout(_MAX_DURATION_S):
        return await work


async def stop_tasks(tasks: list[asyncio.Task[Any]]) -> None:
    """Cancel tasks and wait for their end."""
    for task in tasks:
        task.cancel()
    for task in tasks:
        with contextlib.suppress(asyncio.CancelledError, Exception):
            await task
