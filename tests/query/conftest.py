"""Fixtures of the query tests."""

import pytest
from kingcuplug_testkit import World


@pytest.fixture
def world() -> World:
    return World()
