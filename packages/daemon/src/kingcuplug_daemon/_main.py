"""The `kingcuplugd` program: one process per host."""

import asyncio
import contextlib
import logging
import signal
import sys
from collections.abc import Awaitable, Callable, Coroutine
from pathlib import Path
from typing import Any

import fire
from kingcuplug_common import (
    KingcuplugError,
    SettingsInvalid,
    SettingsUnreadable,
    StandardErrorHandler,
    handle_signals,
    load_settings,
    log_state_change,
    open_standard_descriptors,
    write_error_line,
)

from kingcuplug_daemon._host import Host
from kingcuplug_daemon._precondition import PreconditionUnmet

__all__ = ["run_program", "serve"]

_EXIT_SETTINGS = 2
_EXIT_STATE = 3
_RETRY_INTERVAL_S = 0.25
# A file that is being replaced is complete within this time.
_FILE_TIMEOUT_S = 5.0


def run_program() -> None:
    """Run the program with the arguments of the command line."""
    open_standard_descriptors()
    logging.basicConfig(handlers=[StandardErrorHandler()])
    paths: list[str] = []

    # The host runs after all arguments have been checked.
    def kingcuplugd(settings: str) -> None:
        """Run one host.

        Parameters
        ----------
        settings : str
            Path of the host's settings file.
        """
        paths.append(settings)

    fire.Fire(kingcuplugd, name="kingcuplugd")
    if paths:
        _run_host(paths[0])


def _run_host(settings: str) -> None:
    path = Path(settings)
    try:
        asyncio.run(serve(lambda: Host(load_settings(path))))
    except SettingsInvalid as error:
        write_error_line(f"kingcuplugd: {error}")
        sys.exit(_EXIT_SETTINGS)
    except (KingcuplugError, OSError) as error:
        write_error_line(f"kingcuplugd: {error}")
        sys.exit(_EXIT_STATE)


async def serve(make_host: Callable[[], Host]) -> None:
    """Run a host until SIGTERM, SIGINT or an operator's drain request.

    SIGHUP reloads certificates and tokens.

    Parameters
    ----------
    make_host : callable
        Returns a new host; called again while a precondition of the start is unmet.
    """
    stop_requested = asyncio.Event()
    host: Host | None = None

    def reload() -> None:
        if host is not None:
            host.reload()

    async def start_host() -> Host:
        nonlocal host
        host = make_host()
        try:
            await host.start()
        except (PreconditionUnmet, SettingsUnreadable):
            failed_host, host = host, None
            await failed_host.kill()
            raise
        return host

    handlers: dict[signal.Signals, Callable[[], None]] = {
        signal.SIGTERM: stop_requested.set,
        signal.SIGINT: stop_requested.set,
        signal.SIGHUP: reload,
    }
    with handle_signals(handlers):
        running_host = await _retry_start(start_host, stop_requested)
        if running_host is not None:
            await _wait_for_first(
                stop_requested.wait(), running_host.wait_drain_requested()
            )
            await running_host.stop()


async def _retry_start(
    start_host: Callable[[], Awaitable[Host]], stop_requested: asyncio.Event
) -> Host | None:
    """Start a host, waiting for unmet preconditions.

    Returns ``None`` if asked to stop before.

    Raises
    ------
    SettingsUnreadable
        If a file of the settings stays unusable.
    """
    clock = asyncio.get_running_loop().time
    reported = ""
    unreadable_since: float | None = None
    while not stop_requested.is_set():
        try:
            host = await start_host()
        except (PreconditionUnmet, SettingsUnreadable) as error:
            if isinstance(error, PreconditionUnmet):
                unreadable_since = None
            elif unreadable_since is None:
                unreadable_since = clock()
            elif clock() - unreadable_since > _FILE_TIMEOUT_S:
                raise
            if str(error) != reported:
                reported = str(error)
                _report_waiting(reported)
        else:
            if reported:
                write_error_line("kingcuplugd: started")
            return host
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(_RETRY_INTERVAL_S):
                await stop_requested.wait()
    return None


def _report_waiting(reason: str) -> None:
    write_error_line(f"kingcuplugd: waiting: {reason}")
    log_state_change("host", "waiting", why=reason)


async def _wait_for_first(*events: Coroutine[Any, Any, Any]) -> None:
    tasks = [asyncio.create_task(event) for event in events]
    await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
    for task in tasks:
        task.cancel()
