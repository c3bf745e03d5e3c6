"""Tests that the examples load and have the users' stated sizes."""

from pathlib import Path

import pytest
from kingcuplug_cli._local import load_deployment_spec
from kingcuplug_common import load_settings
from kingcuplug_configuration import parse

_EXAMPLES = Path(__file__).parents[2] / "examples"
_STATED_SIZES = {
    "kavango": {
        (10, 3, 3, 30, 6),
        (15, 3, 3, 30, 6),
        (1, 15, 2, 120, 1),
        (1, 7, 2, 120, 1),
    },
    "agency": {
        (10, 3, 3, 30, 6),
        (15, 3, 3, 30, 6),
        (1, 11, 2, 40, 1),
        (1, 6, 2, 40, 1),
    },
}


@pytest.mark.parametrize("name", sorted(_STATED_SIZES))
def test_example_loads(name: str) -> None:
    # Guards against examples that no longer match the settings or text format.
    folder = _EXAMPLES / name
    hosts = [load_settings(path) for path in sorted(folder.glob("hosts/*.json"))]
    assert len(hosts) == 10
    assert sum("control" in host.roles for host in hosts) == 5
    services = parse((folder / "configuration.json").read_text()).services
    sizes = load_deployment_spec(folder / "servers.json")
    services_with_servers = {
        service for group in sizes.groups for service in group.services
    }
    assert services_with_servers == set(services)


@pytest.mark.parametrize("name", sorted(_STATED_SIZES))
def test_example_has_the_stated_sizes(name: str) -> None:
    # Guards against measuring a deployment of other sizes than the users'.
    sizes = load_deployment_spec(_EXAMPLES / name / "servers.json")
    sizes_found = {
        (
            len(group.services),
            group.servers,
            group.slots,
            group.connections,
            group.connection_cost_ms,
        )
        for group in sizes.groups
    }
    assert sizes_found == _STATED_SIZES[name]
