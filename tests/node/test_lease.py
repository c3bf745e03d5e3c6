"""What a host does that is cut off from control."""

import asyncio
import os

import pytest
from kingcuplug_common import EventLog
from kingcuplug_gateway import HeaderNames, RouteTable
from kingcuplug_http import Request
from kingcuplug_node import Host, NodeSettings
from kingcuplug_routing import AllowanceSettings

NAMES = HeaderNames(b"I", b"D", b"E", b"S", b"N", b"P", b"M")
TABLE = RouteTable(1, (), {}, 8_192, 65_536, 3_000, 15_000)


def _host(serve_without_control: bool) -> Host:
    settings = NodeSettings(
        host="host",
        availability_zone="z",
        caller_address="127.0.0.1:0",
        ready_address="127.0.0.1:0",
        control_address="127.0.0.1:0",
        metrics_address="127.0.0.1:0",
        seeds=("127.0.0.1:1",),
        first_start=False,
        data_folder=None,
        heartbeat_ms=1_000,
        grace_ms=6_000,
        allowance=AllowanceSettings(),
        serve_without_control=serve_without_control,
    )
    log = EventLog(os.open(os.devnull, os.O_WRONLY), "host")
    return Host(settings, NAMES, lambda text: TABLE, lambda: settings, log)


@pytest.mark.parametrize(
    ("serves", "age_s", "status"),
    [(True, 100.0, 404), (False, 1.0, 404), (False, 4.0, 503)],
)
def test_host_that_is_cut_off_serves_or_refuses_by_its_setting(serves, age_s, status):
    """Guards against a superseded configuration where the operator wants none."""

    async def run() -> tuple[int, bool]:
        host = _host(serves)
        host._gateway.adopt(TABLE)
        now = asyncio.get_running_loop().time()
        host._learner.confirmed_at = now - age_s
        fields = {b"host": b"a"}
        pairs = list(fields.items())
        request = Request(b"GET", b"/x", pairs, b"", True, now, False, fields)
        return (await host._serve(request)).status, host.ready

    assert asyncio.run(run()) == (status, status != 503)
