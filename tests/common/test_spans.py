"""Hops of a request that is not sampled, and errors in sampled ones."""

import json
from pathlib import Path

import pytest
from kingcuplug_common import open_tracer, request_span, start_hop, traceparent

TRACE = f"00-{'a' * 32}-{'b' * 16}-0"


def test_hops_of_an_unsampled_request_make_no_span(tmp_path: Path):
    """Guards against creating spans that are then discarded."""
    with (
        open_tracer(tmp_path / "trace", 1.0) as spans,
        request_span(spans, "query", {"traceparent": f"{TRACE}0"}),
    ):
        before = traceparent()
        first = start_hop("a")
        assert start_hop("b", shard=1) is first
        assert traceparent() == before
    assert traceparent() is None
    assert (tmp_path / "trace").read_text() == ""


def test_failed_hop_records_the_error_and_restores_its_parent(tmp_path: Path):
    """Guards against later hops that are recorded as children of a failed one."""
    with (
        open_tracer(tmp_path / "trace", 0.0) as spans,
        request_span(spans, "query", {"traceparent": f"{TRACE}1"}),
    ):
        with pytest.raises(TimeoutError), start_hop("first"):
            raise TimeoutError
        start_hop("second").end()
    lines = (tmp_path / "trace").read_text().splitlines()
    first, second, query = (json.loads(line) for line in lines)
    assert first["fields"] == {"outcome": "TimeoutError"}
    assert first["parent"] == second["parent"] == query["span"]
    assert query["trace"] == "a" * 32
