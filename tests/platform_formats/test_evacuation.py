"""The platform's calls and settings for the evacuation of zones."""

import asyncio
import json
import os
from types import SimpleNamespace

import pytest
from kingcuplug_common import EventLog
from kingcuplug_fleet import CoreUnavailable, EvacuationOrder
from kingcuplug_http import Request
from kingcuplug_node import Elsewhere, SettingsUnusable
from kingcuplug_node._evacuation_orders import EvacuationOrders
from kingcuplug_platform.formats import (
    decode_settings,
    encode_settings,
    make_control_handler,
)

from .test_formats import SETTINGS

_ZONES = {"z-1": "north", "z-2": "south"}


class _Replica:
    def __init__(self, error: Exception | None = None) -> None:
        self.orders: list[tuple[str, bool]] = []
        self._error = error

    def evacuation_version(self) -> int:
        return len(self.orders)

    async def submit_evacuation(self, order: EvacuationOrder) -> int:
        if self._error is not None:
            raise self._error
        assert order.base == len(self.orders)
        self.orders.append((order.zone, order.evacuated))
        return len(self.orders)


def _send(method: str, path: str, replica=None, zones=_ZONES):
    def require_replica():
        if replica is None:
            raise Elsewhere("10.0.0.9:80")
        return replica

    log = EventLog(os.open(os.devnull, os.O_WRONLY), "host")
    orders = EvacuationOrders(require_replica, zones, SimpleNamespace(), log)
    handler = make_control_handler(SimpleNamespace(evacuation=orders))
    request = Request(method.encode(), path.encode(), [], b"", True, 0.0, False, {})
    return asyncio.run(handler(request))


def test_orders_are_committed_as_often_as_they_are_sent():
    """Guards against a repeated order that gets no answer."""
    replica = _Replica()
    for method in ("POST", "POST", "DELETE", "DELETE"):
        assert _send(method, "/v1/evacuation/z-1", replica).status == 200
    expected = [True, True, False, False]
    assert replica.orders == [("z-1", evacuated) for evacuated in expected]


@pytest.mark.parametrize(
    ("method", "path", "zones", "status"),
    [
        ("POST", "/v1/evacuation/z-3", _ZONES, 404),
        ("DELETE", "/v1/evacuation/z-3", _ZONES, 404),
        ("POST", "/v1/evacuation/", None, 404),
        ("POST", "/v1/evacuation/z-3", {}, 404),
        ("POST", "/v1/evacuation/z-3", None, 200),
        ("POST", "/v1/evacuation/z%2D2", _ZONES, 200),
        ("GET", "/v1/evacuation/z-1", _ZONES, 405),
        ("PUT", "/v1/evacuation/z-1", _ZONES, 405),
    ],
)
def test_orders_for_unknown_zones_are_refused(method, path, zones, status):
    """Guards against a misspelt order that is acknowledged and has no effect."""
    replica = _Replica()
    assert _send(method, path, replica, zones).status == status
    assert bool(replica.orders) is (status == 200)


def test_order_that_is_not_durable_is_not_acknowledged():
    """Guards against operators who rely on an order that is lost."""
    replica = _Replica(CoreUnavailable("no leader is known"))
    assert _send("POST", "/v1/evacuation/z-1", replica).status == 503
    response = _send("POST", "/v1/evacuation/z-1")
    assert response.status == 307
    location = dict(response.headers)[b"Location"]
    assert location == b"http://10.0.0.9:80/v1/evacuation/z-1"


def test_zones_of_the_settings_are_read_and_written():
    """Guards against settings of older files that make every zone unknown."""
    without = decode_settings(json.dumps(SETTINGS).encode())
    assert without.zone_regions is None
    assert b"zones" not in encode_settings(without)
    settings = decode_settings(json.dumps(SETTINGS | {"zones": _ZONES}).encode())
    assert settings.zone_regions == _ZONES
    assert decode_settings(encode_settings(settings)).zone_regions == _ZONES


@pytest.mark.parametrize("zones", [["z-1"], "z-1", {"z-1": 5}, {"z-1": None}])
def test_malformed_zones_are_rejected(zones):
    """Guards against a list of zones that is taken for none."""
    with pytest.raises(SettingsUnusable):
        decode_settings(json.dumps(SETTINGS | {"zones": zones}).encode())
