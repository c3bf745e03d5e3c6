"""Addresses of soaks that run at once."""

from kingcuplug_soak._hosts import reserved_network


def test_soaks_at_once_use_different_networks():
    """Guards against two soaks whose hosts share addresses."""
    with reserved_network(5) as first, reserved_network(5) as second:
        assert first != second
