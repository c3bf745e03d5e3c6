"""The `kingcuplugd` program: one process per host."""

import asyncio
import logging
import signal
import sys
from collections.abc import Callable
from pathlib import Path

import fire
from kingcuplug_common import (
    KingcuplugError,
    SettingsInvalid,
    StandardErrorHandler,
    load_settings,
    open_standard_descriptors,
    write_error_line,
)

from kingcuplug_daemon._host import Host
from kingcuplug_daemon._start import HANDLED_SIGNALS

__all__ = ["run_program", "serve"]

_EXIT_SETTINGS = 2
_EXIT_STATE = 3


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
    try:
        host_settings = load_settings(Path(settings))
    except KingcuplugError as error:
        write_error_line(f"kingcuplugd: {error}")
        sys.exit(_EXIT_SETTINGS)
    try:
        asyncio.run(serve(lambda: Host(host_settings)))
    except SettingsInvalid as error:
        write_error_line(f"kingcuplugd: {error}")
        sys.exit(_EXIT_SETTINGS)
    except (KingcuplugError, OSError) as error:
        write_error_line(f"kingcuplugd: {error}")
        sys.exit(_EXIT_STATE)


async def serve(make_host: Callable[[], Host]) -> None:
    """Run a host until SIGTERM, SIGINT or an operator's drain request.

    SIGHUP reloads certificates and tokens.
    """
    host = make_host()
    loop = asyncio.get_running_loop()
    stop_requested = asyncio.Event()
    loop.add_signal_handler(signal.SIGTERM, stop_requested.set)
    loop.add_signal_handler(signal.SIGINT, stop_requested.set)
    loop.add_signal_handler(signal.SIGHUP, host.reload)
    # The loop removes the handlers when it closes, so the mask of the caller is
    # restored before that.
    former_mask = signal.pthread_sigmask(signal.SIG_UNBLOCK, HANDLED_SIGNALS)
    try:
        await host.start()
        stop_waiters = [
            asyncio.create_task(stop_requested.wait()),
            asyncio.create_task(host.wait_drain_requested()),
        ]
        await asyncio.wait(stop_waiters, return_when=asyncio.FIRST_COMPLETED)
        for waiter in stop_waiters:
            waiter.cancel()
        await host.stop()
    finally:
        signal.pthread_sigmask(signal.SIG_SETMASK, former_mask)
