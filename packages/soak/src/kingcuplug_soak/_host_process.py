"""A host process whose control listener is behind the soak's proxy.

It differs from the platform's process in one respect: its control listener binds to
another address than the one by which others reach it, so that all control traffic to
the host passes through a proxy that injects faults.
"""

import asyncio
import dataclasses
import sys
from pathlib import Path

import orjson
from kingcuplug_common import EventLog
from kingcuplug_node import Host
from kingcuplug_platform.formats import (
    HEADER_NAMES,
    decode_document,
    decode_settings,
    make_control_handler,
)

__all__ = ["main"]


def main() -> None:
    """Run until SIGTERM; the first argument is the path of the settings file."""
    data = Path(sys.argv[1]).read_bytes()
    asyncio.run(_run(data))


async def _run(data: bytes) -> None:
    fields = orjson.loads(data)
    settings = dataclasses.replace(
        decode_settings(data),
        control_bind_address=fields["control_bind"],
        metrics_address=fields["metrics"],
    )
    log = EventLog(sys.stdout.fileno(), settings.host)
    host = Host(settings, HEADER_NAMES, decode_document, lambda: settings, log)
    await host.run(make_control_handler(host))
