"""Serving without contact to control."""

import asyncio
import json
import os

import pytest
from kingcuplug_common import EventLog
from kingcuplug_http import Request
from kingcuplug_node import Host

from .conftest import HEADER_NAMES, ROUTE_TABLE, make_settings


def _make_host(serve_without_control: bool) -> Host:
    settings = make_settings(serve_without_control=serve_without_control)
    log = EventLog(os.open(os.devnull, os.O_WRONLY), "host")
    return Host(settings, HEADER_NAMES, lambda text: ROUTE_TABLE, lambda: settings, log)


@pytest.mark.parametrize(
    ("serve_without_control", "since_contact_s", "status"),
    [(True, 100.0, 404), (False, 1.0, 404), (False, 4.0, 503)],
)
def test_partitioned_host_serves_or_refuses_according_to_setting(
    serve_without_control, since_contact_s, status
):
    """Guards against serving superseded routes after the control lease has expired.

    The operator forbids this by `serve_without_control`; the lease is 3 s.
    """

    async def run() -> tuple[int, bool]:
        host = _make_host(serve_without_control)
        host._gateway.install_routes(ROUTE_TABLE)
        now = asyncio.get_running_loop().time()
        host._poller.confirmed_at = now - since_contact_s
        headers = {b"host": b"a"}
        header_list = list(headers.items())
        request = Request(b"GET", b"/x", header_list, b"", True, now, False, headers)
        return (await host._handle_caller_request(request)).status, host.ready

    assert asyncio.run(run()) == (status, status != 503)


@pytest.mark.parametrize(
    ("serve_without_control", "since_contact_s", "status"),
    [(True, 100.0, 200), (False, 1.0, 200), (False, 4.0, 503)],
)
def test_host_past_its_lease_serves_no_requests_of_other_hosts(
    serve_without_control, since_contact_s, status
):
    """Guards against an order of a stranded host served by superseded routes."""
    relayed = ["serve", "POST", "/x", [["Host", "a"]], "", 0, 0.0, 1]

    async def run() -> int:
        host = _make_host(serve_without_control)
        host._gateway.install_routes(ROUTE_TABLE)
        now = asyncio.get_running_loop().time()
        host._poller.confirmed_at = now - since_contact_s
        body = json.dumps(relayed).encode()
        request = Request(b"POST", b"/peer/v2/relay", [], body, True, now, False, {})
        return (await host._answer_peer_request(request)).status

    assert asyncio.run(run()) == status
