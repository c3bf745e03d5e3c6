"""A host process whose peers reach it through the soak's proxy.

It is the platform's program but for one thing: the address at which it listens for
control is not the one by which others know it, so that all control traffic to it
passes a proxy that the soak controls.
"""

import asyncio
import dataclasses
import sys
from pathlib import Path

import orjson
from kingcuplug_common import EventLog
from kingcuplug_node import Host
from kingcuplug_platform import HEADER_NAMES, decode_document, make_control_handler
from kingcuplug_platform import decode_settings as decode

__all__ = ["main"]


def main() -> None:
    """Run until SIGTERM; the argument names the settings file."""
    data = Path(sys.argv[1]).read_bytes()
    asyncio.run(_run(data))


async def _run(data: bytes) -> None:
    value = orjson.loads(data)
    settings = dataclasses.replace(
        decode(data),
        control_bind_address=value["control_bind"],
        metrics_address=value["metrics"],
    )
    log = EventLog(sys.stdout.fileno(), settings.host)
    host = Host(settings, HEADER_NAMES, decode_document, lambda: settings, log)
    await host.run(make_control_handler(host))
