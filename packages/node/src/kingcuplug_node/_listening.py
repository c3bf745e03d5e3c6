"""Listening at addresses that may not be free yet."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from kingcuplug_common import EventLog
from kingcuplug_http import Listener

__all__ = ["Endpoint", "listen_when_free", "try_listen"]

_MIN_RETRY_DELAY_S = 0.05
_MAX_RETRY_DELAY_S = 0.5
_LOG_INTERVAL_S = 10.0
_REMEDY = "end what uses the port, or configure the address on this host"


@dataclass(frozen=True)
class Endpoint:
    """A listener and the address at which it shall listen.

    Attributes
    ----------
    name : str
        What is served there, for the log.
    on_listening : callable
        Called once the listener listens.
    """

    name: str
    listener: Listener
    address: str
    on_listening: Callable[[], None] = lambda: None


async def try_listen(endpoint: Endpoint, log: EventLog) -> OSError | None:
    """Listen at once; return the error if the address cannot be used."""
    try:
        await endpoint.listener.start(endpoint.address)
    except OSError as error:
        return error
    log.write("listening", _describe(endpoint), bypass_rate_limit=True)
    endpoint.on_listening()
    return None


async def listen_when_free(endpoint: Endpoint, log: EventLog) -> None:
    """Listen as soon as the address can be used.

    The process that was there before may still be stopping, and an address may be
    configured later than the process is started.
    """
    loop = asyncio.get_running_loop()
    delay_s = _MIN_RETRY_DELAY_S
    logged_cause, logged_at = "", 0.0
    while (error := await try_listen(endpoint, log)) is not None:
        cause, now = error.strerror or str(error), loop.time()
        if cause != logged_cause or now - logged_at > _LOG_INTERVAL_S:
            logged_cause, logged_at = cause, now
            fields = {**_describe(endpoint), "error": cause, "remedy": _REMEDY}
            log.write("address_unavailable", fields, bypass_rate_limit=True)
        await asyncio.sleep(delay_s)
        delay_s = min(2 * delay_s, _MAX_RETRY_DELAY_S)


def _describe(endpoint: Endpoint) -> dict[str, Any]:
    return {"listener": endpoint.name, "address": endpoint.address}
