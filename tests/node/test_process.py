"""What the log of a process says of its end."""

import os

import orjson
import pytest
from kingcuplug_common import EventLog
from kingcuplug_node import NodeSettings, run_process

from .conftest import make_settings


def test_process_that_ends_by_itself_logs_why():
    """Guards against an end of which neither the logs nor the metrics hold a trace."""
    reader, writer = os.pipe()

    async def fail(settings: NodeSettings) -> None:
        raise RuntimeError("unexpected")

    with pytest.raises(RuntimeError):
        run_process(make_settings, fail, EventLog(writer, host=""))
    os.close(writer)
    with open(reader, "rb") as log:  # noqa: PTH123
        starting, ended = map(orjson.loads, log)
    assert starting["event"] == "starting"
    assert (ended["event"], ended["host"]) == ("ended", "host")
    assert ended["error"] == "RuntimeError('unexpected')"
    assert "in fail" in ended["trace"]
