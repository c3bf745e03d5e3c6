"""The life of a host's process: its settings, its host, its end."""

import asyncio
import os
import sys
import traceback
from collections.abc import Callable, Coroutine
from typing import Any

from kingcuplug_common import EventLog

from kingcuplug_node._settings import NodeSettings

__all__ = ["run_process"]


def run_process(
    read_settings: Callable[[], NodeSettings],
    run_host: Callable[[NodeSettings], Coroutine[Any, Any, None]],
    log: EventLog,
) -> None:
    """Run a host until it is stopped, and log how its process starts and ends.

    Parameters
    ----------
    read_settings : callable
        Return the current settings.
    run_host : callable
        Coroutine function that runs a host with these settings.
    """
    log.write("starting", _describe_process(), bypass_rate_limit=True)
    # Each line is written at once, because the process may end at the next step.
    log.flush()
    try:
        settings = read_settings()
        log.host = settings.host
        asyncio.run(run_host(settings))
    except BaseException as error:
        log.write(
            "ended",
            {"error": repr(error), "trace": traceback.format_exc()},
            bypass_rate_limit=True,
        )
        raise
    finally:
        log.flush()


def _describe_process() -> dict[str, Any]:
    return {
        "pid": os.getpid(),
        "python": ".".join(map(str, sys.version_info[:3])),
        "machine": os.uname().machine,
    }
