"""Tests of addresses that refuse connections."""

import socket

import pytest
from kingcuplug_testkit import refusing_address


def test_refusing_address_is_not_given_to_a_server_that_starts_meanwhile():
    """Guards against tests that fail when their dead server has come to life."""
    with refusing_address() as address:
        host, port = address.split(":")
        with socket.socket() as server, pytest.raises(OSError, match="in use"):
            server.bind((host, int(port)))
        with pytest.raises(ConnectionRefusedError):
            socket.create_connection((host, int(port)))
