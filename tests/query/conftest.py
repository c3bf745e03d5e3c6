"""Fixtures of the query tests."""

import pytest
from kingcuplug_testkit import QueryHarness


@pytest.fixture
def world() -> QueryHarness:
    return QueryHarness()
