"""Quarantined requests at a host that has just started."""

import asyncio
import os
from typing import Any

from kingcuplug_common import EventLog
from kingcuplug_fleet import FleetView, PeerFailed, answer_poll
from kingcuplug_node import Host
from kingcuplug_routing import SuspectRecord
from kingcuplug_testkit import run_virtual

from .conftest import HEADER_NAMES, ROUTE_TABLE, make_settings

_QUARANTINED = SuspectRecord(10, frozenset(("e-1", "e-2", "e-3")))


def _make_host() -> Host:
    settings = make_settings(seeds=("a",))
    log = EventLog(os.open(os.devnull, os.O_WRONLY), "host")
    return Host(settings, HEADER_NAMES, lambda text: ROUTE_TABLE, lambda: settings, log)


def _connect(host: Host, view: FleetView, connected: bool = True) -> None:
    """Have a host's polls answered from the view of a control host."""

    async def call(address: str, path: str, value: Any, timeout_s: float) -> Any:
        if "learn" not in path:
            raise PeerFailed("not played", "try another host")
        return await answer_poll(view, lambda: connected, address, value)

    host._peer_client.call = call


async def _quarantined_s_when_ready(host: Host) -> float:
    """Return for how long the request "bad" is refused once callers are served."""
    starts = (host._poller.run, host._apply_changes, host._send_reports)
    tasks = [asyncio.ensure_future(start()) for start in starts]
    gateway = host._gateway
    assert await gateway._state_changed.wait_for(lambda: gateway.table is not None, 5.0)
    seconds = gateway.quarantine.quarantined_s("bad", asyncio.get_running_loop().time())
    for task in tasks:
        task.cancel()
    return seconds


def test_started_host_knows_the_quarantine_before_it_serves():
    """Guards against a request that crashes a fourth server at a restarted host."""

    async def run() -> float:
        host, view = _make_host(), FleetView(5.0)
        view.set_host_count(3)
        view.update_routes(1, "{}")
        view.set_suspects({"bad": _QUARANTINED})
        _connect(host, view)
        return await _quarantined_s_when_ready(host)

    assert run_virtual(run()) > 0


def test_quarantine_that_arrives_later_is_applied_at_once():
    """Guards against a host that learns of a quarantine and still sends the request."""

    async def run() -> float:
        host = _make_host()
        task = asyncio.ensure_future(host._apply_changes())
        await asyncio.sleep(0.01)
        host._fleet_view.set_suspects({"bad": _QUARANTINED})
        await asyncio.sleep(0.01)
        task.cancel()
        return host._gateway.quarantine.quarantined_s(
            "bad", asyncio.get_running_loop().time()
        )

    assert run_virtual(run()) > 0


def test_host_learns_the_quarantine_from_a_control_host_that_has_just_started():
    """Guards against routes without suspects from one that has no leader yet."""

    async def run() -> float:
        host, view = _make_host(), FleetView(5.0)
        view.update_routes(1, "{}")
        view.set_suspects({"bad": _QUARANTINED})
        _connect(host, view, connected=False)
        return await _quarantined_s_when_ready(host)

    assert run_virtual(run()) > 0
