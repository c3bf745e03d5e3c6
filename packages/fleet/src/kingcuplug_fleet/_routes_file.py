"""Persistence of the newest committed route document on a control host.

Covers a power loss of all hosts at once: until a leader is elected no replica knows
which entries of its log are committed, but callers return at once. The file holds a
document only after the replica has applied it, so what is loaded was committed. It may
be older than the newest committed one; `docs/decisions/recovery.md` weighs this.
"""

import asyncio
from pathlib import Path
from typing import Any

import orjson
from kingcuplug_common import (
    Condition,
    EventLog,
    require_integer,
    require_string,
    run_to_completion,
)

from kingcuplug_fleet._durable_file import read_file, replace_file
from kingcuplug_fleet._route_register import RouteRegister

__all__ = ["RoutesFile"]

_FILE_NAME = "routes.json"
_RETRY_DELAY_S = 5.0


class RoutesFile:
    """Saves each document that the register holds, and loads the last one."""

    def __init__(self, folder: Path, register: RouteRegister, log: EventLog) -> None:
        self._path = folder / _FILE_NAME
        self._register = register
        self._log = log
        self._changed = Condition()
        self._written_version = 0

    async def load(self) -> tuple[int, str] | None:
        """Return the saved version and document, ``None`` without a readable file.

        Raises
        ------
        OSError
            If threads, descriptors or memory are short at the moment.
        """
        saved = await run_to_completion(read_file, self._path, _decode)
        if isinstance(saved, Exception):
            # The routes are then taken from other control hosts or from the log.
            self._log.write("routes_file_unreadable", {"error": repr(saved)})
            return None
        if saved is not None:
            # The register replays older documents first; they must not replace it.
            self._written_version = saved[0]
        return saved

    def on_register_changed(self) -> None:
        """Schedule a write of the register's document."""
        self._changed.notify()

    async def run(self) -> None:
        """Write the document whenever the register has a newer one."""
        register = self._register
        while True:
            await self._changed.wait_for(
                lambda: register.version > self._written_version
            )
            version = register.version
            data = orjson.dumps({"version": version, "document": register.document})
            try:
                await run_to_completion(replace_file, self._path, data)
                self._written_version = version
            except OSError as error:
                self._log.write("routes_file_unwritten", {"error": repr(error)})
                await asyncio.sleep(_RETRY_DELAY_S)


def _decode(value: dict[str, Any]) -> tuple[int, str]:
    return require_integer(value["version"]), require_string(value["document"])
