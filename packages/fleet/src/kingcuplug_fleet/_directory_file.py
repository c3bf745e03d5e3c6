"""Persistence of the directory, evacuated zones and facts about the fleet.

Covers a power loss of all hosts at once, after which callers return before the servers
have sent a heartbeat again, which takes one heartbeat interval, and before a leader
has counted the hosts. The file only provides the initial state: every newer record of
a server, and every summary of a leader, replaces the one from the file. The evacuated
zones are in the replicated log, too; the file holds them for the time without a leader.
"""

import asyncio
from pathlib import Path
from typing import Any

import orjson
from kingcuplug_common import (
    Condition,
    EventLog,
    require_integer,
    require_mapping,
    require_string,
    require_strings,
    run_to_completion,
)

from kingcuplug_fleet._durable_file import read_file, replace_file
from kingcuplug_fleet._evacuation import Evacuation
from kingcuplug_fleet._fleet_view import FleetView
from kingcuplug_fleet._server_record import ServerRecord

__all__ = ["DirectoryFile"]

_FILE_NAME = "servers.json"
# Losing the last half second of new servers costs one heartbeat interval for each.
# Servers that leave are written without this delay.
_WRITE_INTERVAL_S = 0.5
_RETRY_DELAY_S = 5.0

# Servers, number of hosts, availability zones of the control hosts, those of the
# control hosts that are reachable, and evacuated zones.
_Saved = tuple[list[ServerRecord], int, dict[str, str], tuple[str, ...], Evacuation]


class DirectoryFile:
    """Saves the directory to a file on changes, and loads it at startup."""

    def __init__(self, folder: Path, view: FleetView, log: EventLog) -> None:
        self._path = folder / _FILE_NAME
        self._view = view
        self._log = log
        self._saved_state = self._state()
        self._saved_version = 0
        self._saved = Condition()

    async def load(self) -> None:
        """Load the state from the file; ignore a missing or unreadable file.

        What control hosts have said since the start is newer than the file's facts
        about the fleet. Records of servers are merged by their rank.

        Raises
        ------
        OSError
            If threads, descriptors or memory are short at the moment.
        """
        saved = await run_to_completion(read_file, self._path, _decode)
        if saved is None:
            return
        if isinstance(saved, Exception):
            # A power loss may corrupt the file. The next heartbeats of the servers
            # restore the directory.
            self._log.write("directory_file_unreadable", {"error": repr(saved)})
            return
        records, hosts, zones, reachable, evacuation = saved
        self._view.update_evacuation(evacuation)
        self._view.merge_servers(records)
        if not self._view.control_hosts:
            self._view.assume_host_count(hosts)
            self._view.zones.update(zones)
            self._view.set_control_hosts(list(zones))
            self._view.set_reachable_control_hosts(reachable)
            self._saved_state = self._state()
            self._saved_version = self._view.directory.version
        self._log.write(
            "directory_loaded",
            {
                "servers": len(records),
                "hosts": hosts,
                "control_hosts": len(zones),
                "evacuated": sorted(evacuation.zones),
            },
            bypass_rate_limit=True,
        )

    async def run(self) -> None:
        """Write the state whenever it has changed."""
        view = self._view
        while True:
            await view.changed.wait_for(lambda: self._state() != self._saved_state)
            state, version = self._state(), view.directory.version
            try:
                await run_to_completion(replace_file, self._path, self._encode())
            except OSError as error:
                self._log.write("directory_file_unwritten", {"error": repr(error)})
                await asyncio.sleep(_RETRY_DELAY_S)
                continue
            self._saved_state, self._saved_version = state, version
            self._saved.notify()
            await view.changed.wait_for(self._has_urgent_change, _WRITE_INTERVAL_S)

    async def wait_saved(self, timeout_s: float) -> bool:
        """Return whether the present directory is on the disk within `timeout_s`."""
        version = self._view.directory.version
        return await self._saved.wait_for(
            lambda: self._saved_version >= version, timeout_s
        )

    def _state(self) -> tuple[object, ...]:
        """Return what changes whenever the file's content does."""
        view = self._view
        return (
            view.directory.version,
            view.host_count,
            view.control_hosts,
            view.reachable_control_hosts,
            view.evacuation,
        )

    def _has_urgent_change(self) -> bool:
        """Return whether the file lets through requests that servers must not get."""
        view = self._view
        return (
            view.directory.departure_version > self._saved_version
            or view.evacuation != self._saved_state[-1]
        )

    def _encode(self) -> bytes:
        view = self._view
        zones = {a: view.zones[a] for a in view.control_hosts if a in view.zones}
        now = asyncio.get_running_loop().time()
        content = {
            "servers": [r.to_json() for r in view.directory.changed_since(0, now=now)],
            "hosts": view.host_count,
            "zones": zones,
            "reachable": list(view.reachable_control_hosts),
        }
        if view.evacuation.version:
            content["evacuation"] = view.evacuation.to_json()
        return orjson.dumps(content)


def _decode(value: dict[str, Any]) -> _Saved:
    zones = require_mapping(value.get("zones", {}))
    return (
        [ServerRecord.from_json(entry) for entry in value["servers"]],
        require_integer(value["hosts"]),
        {address: require_string(zone) for address, zone in zones.items()},
        tuple(require_strings(value.get("reachable", []))),
        Evacuation.from_json(value.get("evacuation", [])),
    )
