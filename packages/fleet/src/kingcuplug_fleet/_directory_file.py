"""The directory of servers, and the number of hosts, on a control host's disk.

Answers this load pattern: all hosts lose power at once, and callers are back before
the servers have spoken again, which takes one heartbeat interval. The file is only a
start: every newer statement replaces what it says.
"""

import asyncio
import os
from pathlib import Path

import orjson
from kingcuplug_common import EventLog

from kingcuplug_fleet._knowledge import Knowledge
from kingcuplug_fleet._records import ServerRecord

__all__ = ["DirectoryFile"]

_NAME = "servers.json"
# Losing the last half second of changes costs one heartbeat interval for a server.
_INTERVAL_S = 0.5
_RETRY_S = 5.0


class DirectoryFile:
    """Keeps the directory in a file and loads it at the start."""

    def __init__(self, folder: Path, knowledge: Knowledge, log: EventLog) -> None:
        self._path = folder / _NAME
        self._knowledge = knowledge
        self._log = log

    def load(self) -> None:
        """Take the records of the file; without a readable one there are none."""
        try:
            value = orjson.loads(self._path.read_bytes())
            records = [ServerRecord.from_json(entry) for entry in value["servers"]]
            hosts = int(value["hosts"])
        except FileNotFoundError:
            return
        except (OSError, ValueError, TypeError, LookupError) as error:
            # A loss of power may leave any bytes; servers soon speak for themselves.
            self._log.write("directory_file_unreadable", {"error": repr(error)})
            return
        self._knowledge.learn_servers(records)
        self._knowledge.expect_hosts(hosts)
        self._log.write("directory_loaded", {"servers": len(records)}, always=True)

    async def run(self) -> None:
        """Write the directory whenever it has changed."""
        directory, written = self._knowledge.directory, 0
        while True:
            await self._knowledge.changed.until(
                lambda seen=written: directory.version != seen  # type: ignore[misc]
            )
            version = directory.version
            records = [record.to_json() for record in directory.since(0)]
            data = orjson.dumps({"servers": records, "hosts": self._knowledge.hosts})
            try:
                await asyncio.to_thread(self._write, data)
                written = version
                await asyncio.sleep(_INTERVAL_S)
            except OSError as error:
                self._log.write("directory_file_unwritten", {"error": repr(error)})
                await asyncio.sleep(_RETRY_S)

    def _write(self, data: bytes) -> None:
        new = self._path.with_suffix(".tmp")
        self._path.parent.mkdir(parents=True, exist_ok=True)
        with new.open("wb") as file:
            file.write(data)
            file.flush()
            os.fsync(file.fileno())
        new.replace(self._path)
