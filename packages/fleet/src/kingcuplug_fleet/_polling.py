"""Long polling of control hosts for changes of servers, routes and hosts.

Every host polls one control host, preferably one in its own availability zone. The
response is delayed until there are changes, for at most a second. In both directions
the record with the highest rank wins, so messages may be reordered and repeated.
"""

import asyncio
import math
import random as random_module
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from kingcuplug_common import (
    EventLog,
    require_amount,
    require_boolean,
    require_count,
    require_integer,
    require_mapping,
    require_string,
    require_strings,
)

from kingcuplug_fleet._fleet_view import FleetView
from kingcuplug_fleet._mesh import REPORT_PATH
from kingcuplug_fleet._mesh_messages import Report, SharedFields
from kingcuplug_fleet._peer_client import PeerClient, PeerFailed
from kingcuplug_fleet._server_record import ServerRecord

__all__ = ["POLL_PATH", "ControlHostPoller", "answer_poll"]

POLL_PATH = "/peer/v2/learn"

_MAX_WAIT_S = 0.8
# One round trip and the processing time of a busy control host, in addition to the
# time for which the control host delays its response.
_RESPONSE_TIMEOUT_S = 0.5
# Changes must be in force everywhere within 3 s, so a host that has lost its control
# host has time to try only a few dead ones before it finds a live one.
_RETRY_DELAY_S = 0.05
# Without a leader no control host can serve polls; frequent retries of all hosts would
# only load the control hosts' network links and delay the election.
_MAX_RETRY_DELAY_S = 0.25
_FAILURE_COOLDOWN_S = 4.0
# Batches the changes of one burst (a rolling restart, the start of a zone) into one
# response.
_BATCH_DELAY_S = 0.02
_REPORT_TIMEOUT_S = 0.5
# Bounds what faulty hosts can make this one remember.
_MAX_SUGGESTED_HOSTS = 64


async def answer_poll(
    view: FleetView, connected: Callable[[], bool], own_address: str, value: Any
) -> dict[str, Any]:
    """Return the response to a host's poll.

    Parameters
    ----------
    connected : callable
        Return whether this control host is connected to the leader; the polling host
        prefers one that is.
    own_address : str
        Address of this control host.
    value : dict
        The decoded poll.
    """
    if _should_redirect(view, own_address, value["zone"]):
        # Avoids sending the whole directory to another availability zone.
        return {"nearer": view.zones}
    if (
        not connected()
        and value["routes"] > 0
        and _zone_has_control_host(view, own_address, value["zone"])
    ):
        # Without a leader the polling host goes on to the next control host, so it
        # gets no records. One that has just started takes what any of them holds.
        return {"connected": False, "slow": view.slow_servers}
    view.record_host_poll(
        value["host"],
        require_string(value.get("address", "")),
        require_string(value.get("home", "")),
    )
    view.merge_servers([ServerRecord.from_json(r) for r in value["servers"]])
    directory = view.directory
    cursor = 0
    if value["epoch"] == view.epoch:
        cursor = int(value["cursor"])
    elif value["digest"] == directory.digest:
        # The host was in sync with another control host that has the same records.
        cursor = directory.version

    def has_changes() -> bool:
        return (
            directory.version > cursor
            or view.routes_version > value["routes"]
            or view.state_digest() != value["state_key"]
        )

    if connected() and value["wait"]:
        await view.changed.wait_for(has_changes, _MAX_WAIT_S)
        await asyncio.sleep(_BATCH_DELAY_S)
    reply: dict[str, Any] = {
        "epoch": view.epoch,
        "cursor": directory.version,
        "servers": [
            record.to_json()
            for record in directory.changed_since(
                cursor, now=asyncio.get_running_loop().time()
            )
        ],
        "connected": connected(),
    }
    if view.routes_version > value["routes"]:
        reply["routes"] = view.routes_version
        reply["document"] = view.routes_document
    if not connected():
        reply["control_hosts"] = list(view.control_hosts)
    if not connected() and (view.host_count == 0 or value.get("hosts", 1) > 0):
        reply["slow"] = view.slow_servers
        shared = SharedFields(suspects=view.suspects, evacuation=view.evacuation)
        if shared != SharedFields():
            reply["suspects"] = shared.to_json()
    elif view.state_digest() != value["state_key"]:
        reply["state"] = view.state()
        reply["state_key"] = view.state_digest()
    return reply


def _should_redirect(view: FleetView, own_address: str, zone: str | None) -> bool:
    """Return whether a reachable control host is nearer to the polling host."""
    if not _zone_has_control_host(view, own_address, zone):
        return False
    return zone is not None and view.control_host_in_zone(zone, own_address) is not None


def _zone_has_control_host(view: FleetView, own_address: str, zone: str | None) -> bool:
    """Return whether a zone that is not this control host's has control hosts."""
    if zone is None or view.zones.get(own_address) == zone:
        return False
    return zone in view.zones.values()


@dataclass(slots=True)
class _Cursor:
    epoch: str = ""
    version: int = 0


class ControlHostPoller:
    """Polls one control host for changes, and fails over to others.

    Parameters
    ----------
    host : str
        Name of this host.
    seeds : callable
        Return the configured addresses of control hosts, which may change.
    paused : callable
        Return whether this host currently needs no polls, because it gets all changes
        as a control host itself.

    Attributes
    ----------
    control_host : str or None
        Address of the control host that is polled.
    confirmed_at : float
        Event loop time at which the last poll was sent that was answered by a control
        host connected to the leader.
    """

    def __init__(
        self,
        host: str,
        view: FleetView,
        client: PeerClient,
        seeds: Callable[[], tuple[str, ...]],
        paused: Callable[[], bool],
        own_address: str,
        availability_zone: str,
        log: EventLog,
    ) -> None:
        self._host = host
        self._view = view
        self._client = client
        self._seeds = seeds
        self._paused = paused
        self._own_address = own_address
        self._zone = availability_zone
        self._log = log
        self._cursors: dict[str, _Cursor] = {}
        self._avoided_since: dict[str, float] = {}
        self._poll_failed_at: dict[str, float] = {}
        self._suggested_hosts: set[str] = set()
        self._random = random_module.Random()
        # Receives reports while no control host is connected to a leader.
        self._last_responder: str | None = None
        self._state_digest = ""
        self.control_host: str | None = None
        self.confirmed_at = -math.inf

    async def run(self) -> None:
        """Poll until cancelled."""
        failures = 0
        while True:
            if self._paused():
                await asyncio.sleep(_MAX_WAIT_S / 2)
                continue
            address = self.control_host or self._select_control_host()
            if address is not None and await self._poll(address):
                failures = 0
                continue
            self._mark_failed(address)
            failures += 1
            delay_s = min(_RETRY_DELAY_S * failures, _MAX_RETRY_DELAY_S)
            # A host without routes refuses its callers, so it does not back off.
            await asyncio.sleep(
                delay_s if self._view.routes_version else _RETRY_DELAY_S
            )

    async def report(self, report: Report) -> bool:
        """Send a report to the control host; return whether it was received."""
        address = self.control_host or self._last_responder
        if report == Report():
            return True
        if address is None:
            return False
        try:
            await self._client.call(
                address, REPORT_PATH, report.to_json(), _REPORT_TIMEOUT_S
            )
        except PeerFailed:
            return False
        return True

    def suggest_control_hosts(self, addresses: list[str]) -> None:
        """Add control hosts that another host knows, in case the seeds know none."""
        room = _MAX_SUGGESTED_HOSTS - len(self._suggested_hosts)
        new_addresses = [a for a in addresses if a not in self._suggested_hosts]
        self._suggested_hosts.update(new_addresses[:room])

    def _select_control_host(self) -> str | None:
        """Return a control host, preferably one that has not failed recently."""
        now = asyncio.get_running_loop().time()
        # The seeds may be the only reachable ones if all discovered ones are gone.
        candidates = set(self._view.control_hosts) | set(self._seeds())
        candidates |= self._suggested_hosts
        candidates.discard(self._own_address)
        limit = now - _FAILURE_COOLDOWN_S
        healthy = [a for a in candidates if self._avoided_since.get(a, limit) <= limit]
        near = [a for a in healthy if self._is_near(a)]
        if near or healthy:
            return self._random.choice(sorted(near or healthy))
        return (
            min(candidates, key=lambda a: self._avoided_since[a])
            if candidates
            else None
        )

    def _is_near(self, address: str) -> bool:
        return self._view.zones.get(address) == self._zone

    def _zone_for_redirects(self) -> str | None:
        """Return the zone to whose control hosts this host may be redirected.

        ``None`` if they cannot serve it: a poll of one has failed recently, or this
        host is one itself and has no leader.
        """
        is_control_host = self._own_address in self._view.control_hosts
        if is_control_host or self._near_poll_failed():
            return None
        return self._zone

    def _near_poll_failed(self) -> bool:
        """Return whether a poll of a control host in this zone failed recently."""
        limit = asyncio.get_running_loop().time() - _FAILURE_COOLDOWN_S
        return any(
            self._is_near(a) and at > limit for a, at in self._poll_failed_at.items()
        )

    def _mark_failed(self, address: str | None) -> None:
        if address is not None:
            self._avoided_since[address] = asyncio.get_running_loop().time()
        if self.control_host is not None:
            self._log.write(
                "control_host_lost", {"address": address}, bypass_rate_limit=True
            )
            self._view.forget_totals()
            self._state_digest = ""
        self.control_host = None

    async def _poll(self, address: str) -> bool:
        """Poll once; return whether to poll the same control host again."""
        view = self._view
        cursor = self._cursors.setdefault(address, _Cursor())
        has_polled = cursor.version > 0
        value = {
            "host": self._host,
            "address": self._own_address,
            "home": self._zone,
            "epoch": cursor.epoch,
            "cursor": cursor.version,
            "routes": view.routes_version,
            # A host that knows no number of hosts takes it from any control host.
            "hosts": view.host_count,
            "servers": []
            if has_polled
            else [record.to_json() for record in view.directory.not_ready()],
            # A control host with an equal directory sends no records.
            "digest": view.directory.digest,
            "state_key": self._state_digest,
            "zone": self._zone_for_redirects(),
            # The first response is not delayed, so that it shows at once that the
            # control host is alive.
            "wait": self.control_host == address,
        }
        sent_at = asyncio.get_running_loop().time()
        timeout_s = _RESPONSE_TIMEOUT_S + (
            _MAX_WAIT_S if self.control_host == address else 0
        )
        try:
            reply = await self._client.call(address, POLL_PATH, value, timeout_s)
        except PeerFailed:
            self._poll_failed_at[address] = asyncio.get_running_loop().time()
            return False
        try:
            return self._process_reply(address, reply, cursor, sent_at)
        except (LookupError, TypeError, ValueError) as error:
            self._poll_failed_at[address] = asyncio.get_running_loop().time()
            self._log.write(
                "poll_reply_malformed", {"address": address, "error": repr(error)}
            )
            return False

    def _process_reply(
        self, address: str, reply: Any, cursor: _Cursor, sent_at: float
    ) -> bool:
        """Apply the reply to a poll; return whether to poll the same host again.

        Raises
        ------
        LookupError, TypeError, ValueError
            If the reply is malformed.
        """
        view = self._view
        has_polled = cursor.version > 0
        if "epoch" not in reply and "slow" in reply:
            self._apply_slow_servers(reply["slow"])
            return False
        if "nearer" in reply:
            view.zones = _decode_zones(reply["nearer"])
            view.set_control_hosts(list(reply["nearer"]))
            self.control_host = None
            return self._is_near(self._select_control_host() or "")
        # Checked before anything is applied: the next poll uses the cursor.
        next_cursor = _Cursor(
            require_string(reply["epoch"]), require_count(reply["cursor"])
        )
        connected = require_boolean(reply["connected"])
        self._apply_reply(reply)
        self._last_responder = address
        if next_cursor.epoch != cursor.epoch:
            # A restarted control host must receive the draining and ended servers.
            self._cursors[address] = _Cursor(next_cursor.epoch, 0)
            if has_polled:
                return True
        self._cursors[address] = next_cursor
        if not connected:
            # Otherwise the control hosts of other zones redirect back to this one.
            self._poll_failed_at[address] = asyncio.get_running_loop().time()
            self.suggest_control_hosts(require_strings(reply.get("control_hosts", [])))
            return False
        # The time of sending, because the response may have been delayed in transit.
        self.confirmed_at = sent_at
        if not self._is_near(address) and self._is_near(
            self._select_control_host() or ""
        ):
            # Traffic between availability zones is billed.
            self.control_host = None
            return True
        if self.control_host != address:
            self.control_host = address
            self._suggested_hosts.clear()
            self._log.write(
                "control_host_found", {"address": address}, bypass_rate_limit=True
            )
        return True

    def _apply_reply(self, reply: Any) -> None:
        view = self._view
        known = SharedFields.from_json(reply.get("suspects", []))
        # Before routes and servers, by which this host may begin to send requests.
        view.update_evacuation(known.evacuation)
        if "document" in reply:
            view.update_routes(
                require_integer(reply["routes"]), require_string(reply["document"])
            )
        view.merge_servers([ServerRecord.from_json(r) for r in reply["servers"]])
        if "state" in reply:
            state_digest = require_string(reply["state_key"])
            self._apply_state(reply["state"])
            self._state_digest = state_digest
        elif "slow" in reply:
            self._apply_slow_servers(reply["slow"])
            # One that has no leader may hold old suspects: better than none.
            view.set_suspects(view.suspects or known.suspects)

    def _apply_slow_servers(self, slow: Any) -> None:
        """Apply the slow servers sent by a control host that has no leader."""
        if self.control_host is None:
            self._view.set_slow_servers(_decode_paces(slow))
            self._state_digest = ""

    def _apply_state(self, state: Any) -> None:
        view = self._view
        silent, slow, control_hosts, zones, host_count, *counts = state
        request_count, reachable, *end = counts
        view.set_silent_servers(set(require_strings(silent)))
        view.set_slow_servers(_decode_paces(slow))
        view.set_control_hosts(require_strings(control_hosts))
        view.zones = _decode_zones(zones)
        view.set_host_count(require_count(host_count))
        view.set_request_count(require_count(request_count))
        view.set_reachable_control_hosts(tuple(require_strings(reachable)))
        shared = SharedFields.from_json(end)
        view.update_evacuation(shared.evacuation)
        view.set_demand(shared.demand)
        view.set_suspects(shared.suspects)
        view.quotas.set_ratios(shared.quotas, asyncio.get_running_loop().time())


def _decode_paces(value: Any) -> dict[str, float]:
    return {i: require_amount(pace) for i, pace in require_mapping(value).items()}


def _decode_zones(value: Any) -> dict[str, str]:
    return {a: require_string(zone) for a, zone in require_mapping(value).items()}
