"""Records of servers."""

from collections.abc import Callable
from typing import Any

import pytest
from kingcuplug_fleet import ServerRecord, ServerState


def make_record(**fields: Any) -> ServerRecord:
    """Return a ready server's statement, with the given fields."""
    defaults: dict[str, Any] = {
        "id": "i-1",
        "born_ms": 1_000,
        "sequence": 1,
        "service": "stock",
        "address": "10.0.0.1:80",
        "availability_zone": "z",
        "slots": 3,
        "state": ServerState.READY,
    }
    return ServerRecord(**(defaults | fields))


@pytest.fixture
def record() -> Callable[..., ServerRecord]:
    return make_record
