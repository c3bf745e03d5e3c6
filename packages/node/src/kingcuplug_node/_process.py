"""The life of a host's process: its settings, its host, its end."""

import asyncio
import os
import signal
import sys
import time
import traceback
from collections.abc import Callable, Coroutine
from typing import Any

from kingcuplug_common import EventLog

from kingcuplug_node._settings import NodeSettings, SettingsUnusable

__all__ = ["run_process"]

_READ_INTERVAL_S = 0.1
_LOG_INTERVAL_S = 10.0
_STOP_SIGNALS = {signal.SIGINT, signal.SIGTERM}


def run_process(
    read_settings: Callable[[], NodeSettings],
    run_host: Callable[[NodeSettings], Coroutine[Any, Any, None]],
    log: EventLog,
) -> None:
    """Run a host until it is stopped, and log how its process starts and ends.

    Parameters
    ----------
    read_settings : callable
        Return the current settings, or raise `SettingsUnusable`.
    run_host : callable
        Coroutine function that runs a host with these settings.
    """
    log.write("starting", _describe_process(), bypass_rate_limit=True)
    # Each line is written at once, because the process may end at the next step.
    log.flush()
    try:
        settings = _wait_for_settings(read_settings, log)
        if settings is None:
            log.write("stopped", {}, bypass_rate_limit=True)
            return
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


def _wait_for_settings(
    read_settings: Callable[[], NodeSettings], log: EventLog
) -> NodeSettings | None:
    """Return the settings once they are usable, `None` if asked to stop before.

    The file may be in the middle of a replacement, and a process that ended would find
    it in the same state when it is started again.
    """
    logged_cause, logged_at = "", 0.0
    while True:
        try:
            return read_settings()
        except SettingsUnusable as error:
            cause, now = str(error), time.monotonic()
            if cause != logged_cause or now - logged_at > _LOG_INTERVAL_S:
                logged_cause, logged_at = cause, now
                log.write(
                    "settings_unreadable", {"error": cause}, bypass_rate_limit=True
                )
        # The signals are blocked until the host handles them.
        if signal.sigpending() & _STOP_SIGNALS:
            return None
        log.flush()
        time.sleep(_READ_INTERVAL_S)


def _describe_process() -> dict[str, Any]:
    return {
        "pid": os.getpid(),
        "python": ".".join(map(str, sys.version_info[:3])),
        "machine": os.uname().machine,
    }
