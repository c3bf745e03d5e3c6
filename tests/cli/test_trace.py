"""Tests of the waterfall of a request."""

import json
from pathlib import Path
from typing import Any

import pytest


def _span(name: str, span: str, parent: str | None, start_us: int, **fields: Any):
    return {
        "trace": "t1",
        "span": span,
        "parent": parent,
        "name": name,
        "start_us": start_us,
        "duration_us": 1_000,
        "fields": fields,
    }


@pytest.fixture
def trace_file(tmp_path: Path) -> Path:
    spans = [
        # Children are written before their parents, which end later.
        _span("sub-request", "c2", "b", 2_500, shard=1),
        _span("sub-request", "c1", "b", 2_000, shard=0),
        _span("gather", "b", "a", 1_500),
        _span("query", "a", "caller", 1_000, request_id="r1"),
        _span("query", "z", None, 9_000, request_id="r2") | {"trace": "t2"},
    ]
    path = tmp_path / "trace.jsonl"
    path.write_text("\n".join(json.dumps(span) for span in spans) + '\n{"tra')
    return path


def test_spans_follow_parents_in_time_order(run_program: Any, trace_file: Path):
    """Guards against a waterfall that attributes a delay to the wrong span."""
    run = run_program("trace", "show", str(trace_file), "r1", "--json")
    assert run.exit_code == 0
    rows = [(s["name"], s["depth"], s["offset_us"]) for s in run.fields["spans"]]
    assert rows == [
        ("query", 0, 0),
        ("gather", 1, 500),
        ("sub-request", 2, 1_000),
        ("sub-request", 2, 1_500),
    ]
    lines = run_program("trace", "show", str(trace_file), "r1").out.splitlines()
    assert lines[3].startswith("    sub-request |")
    assert lines[3].endswith("shard=0")


def test_unknown_request_is_refused(run_program: Any, trace_file: Path):
    """Guards against an empty waterfall that looks like a fast request."""
    run = run_program("trace", "show", str(trace_file), "r3")
    assert run.exit_code == 1
    assert "trace_share" in run.err


def test_file_without_spans_is_wrong_usage(run_program: Any, tmp_path: Path):
    """Guards against a stack trace for a misnamed file."""
    path = tmp_path / "other.txt"
    path.write_text("not\na trace\n")
    assert run_program("trace", "show", str(path), "r1").exit_code == 2
