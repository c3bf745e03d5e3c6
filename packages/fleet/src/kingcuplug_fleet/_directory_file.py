"""Persistence of the server directory and the number of hosts on a control host.

Covers a power loss of all hosts at once, after which callers return before the servers
have sent a heartbeat again, which takes one heartbeat interval. The file only provides
the initial state: every newer record of a server replaces the one from the file.
"""

import asyncio
import os
from pathlib import Path

import orjson
from kingcuplug_common import EventLog

from kingcuplug_fleet._fleet_view import FleetView
from kingcuplug_fleet._server_record import ServerRecord

__all__ = ["DirectoryFile"]

_FILE_NAME = "servers.json"
# Losing the last half second of changes costs one heartbeat interval for a server.
_WRITE_INTERVAL_S = 0.5
_RETRY_DELAY_S = 5.0


class DirectoryFile:
    """Saves the directory to a file on changes, and loads it at startup."""

    def __init__(self, folder: Path, view: FleetView, log: EventLog) -> None:
        self._path = folder / _FILE_NAME
        self._view = view
        self._log = log

    def load(self) -> None:
        """Load the records from the file; ignore a missing or unreadable file."""
        try:
            value = orjson.loads(self._path.read_bytes())
            records = [ServerRecord.from_json(entry) for entry in value["servers"]]
            hosts = int(value["hosts"])
        except FileNotFoundError:
            return
        except (OSError, ValueError, TypeError, LookupError) as error:
            # A power loss may corrupt the file. The next heartbeats of the servers
            # restore the directory.
            self._log.write("directory_file_unreadable", {"error": repr(error)})
            return
        self._view.merge_servers(records)
        self._view.assume_host_count(hosts)
        self._log.write(
            "directory_loaded", {"servers": len(records)}, bypass_rate_limit=True
        )

    async def run(self) -> None:
        """Write the directory whenever it has changed."""
        directory, written_version = self._view.directory, 0
        while True:
            await self._view.changed.wait_for(
                lambda old=written_version: directory.version != old  # type: ignore[misc]
            )
            version = directory.version
            records = [record.to_json() for record in directory.changed_since(0)]
            data = orjson.dumps({"servers": records, "hosts": self._view.host_count})
            try:
                await asyncio.to_thread(self._write, data)
                written_version = version
                await asyncio.sleep(_WRITE_INTERVAL_S)
            except OSError as error:
                self._log.write("directory_file_unwritten", {"error": repr(error)})
                await asyncio.sleep(_RETRY_DELAY_S)

    def _write(self, data: bytes) -> None:
        temporary = self._path.with_suffix(".tmp")
        self._path.parent.mkdir(parents=True, exist_ok=True)
        with temporary.open("wb") as file:
            file.write(data)
            file.flush()
            os.fsync(file.fileno())
        temporary.replace(self._path)
