"""All faults of a settings file must be reported at once, at startup."""

import json
from pathlib import Path
from typing import Any

import pytest
from kingcuplug_common import SettingsInvalid, load_settings


@pytest.fixture
def fields() -> dict[str, Any]:
    return {
        "host": "entry-1",
        "availability_zone": "khomas-1",
        "roles": ["entry"],
        "caller_address": "127.0.0.1:8001",
        "peer_address": "127.0.0.1:9001",
        "control_seeds": ["127.0.0.1:9001"],
    }


def _write(folder: Path, fields: dict[str, Any]) -> Path:
    path = folder / "settings.json"
    path.write_text(json.dumps(fields))
    return path


def test_loads_valid_settings(tmp_path: Path, fields: dict[str, Any]) -> None:
    # Guards against rejecting the smallest valid file.
    assert load_settings(_write(tmp_path, fields)).host == "entry-1"


def test_reports_every_fault(tmp_path: Path, fields: dict[str, Any]) -> None:
    # Guards against an operator who has to restart once per fault.
    fields |= {"host": "Not Valid", "peer_address": "nowhere", "surplus": 1}
    with pytest.raises(SettingsInvalid, match="3 faults") as caught:
        load_settings(_write(tmp_path, fields))
    for name in ("host", "peer_address", "surplus"):
        assert name in str(caught.value)


def test_control_needs_data_folder(tmp_path: Path, fields: dict[str, Any]) -> None:
    # Guards against a control host without a folder for its log.
    fields["roles"] = ["control"]
    with pytest.raises(SettingsInvalid, match="data_folder"):
        load_settings(_write(tmp_path, fields))


def test_missing_file_is_typed(tmp_path: Path) -> None:
    # Guards against a traceback for a wrong path.
    with pytest.raises(SettingsInvalid, match="cannot be read"):
        load_settings(tmp_path / "absent.json")


@pytest.mark.parametrize("address", ["127.0.0.1:65535", "[::1]:8001", "::1:0"])
def test_ip_addresses_with_port_are_valid(
    tmp_path: Path, fields: dict[str, Any], address: str
) -> None:
    # Guards against rejecting an address that a listener can bind.
    fields |= {"caller_address": address, "statsd_address": address}
    assert load_settings(_write(tmp_path, fields)).caller_address == address


@pytest.mark.parametrize("address", ["127.0.0.1:65536", "999.1.1.1:80", "fade.be:80"])
@pytest.mark.parametrize("name", ["caller_address", "statsd_address"])
def test_impossible_address_is_reported(
    tmp_path: Path, fields: dict[str, Any], name: str, address: str
) -> None:
    # Guards against a look-up of names, and an untyped error, at the start.
    fields[name] = address
    with pytest.raises(SettingsInvalid, match=name):
        load_settings(_write(tmp_path, fields))
