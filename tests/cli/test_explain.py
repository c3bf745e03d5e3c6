"""Tests of the timeline of a request from log lines."""

import json
from pathlib import Path
from typing import Any

import pytest


def _log_line(
    host: str, event: str, at_ms: int, skew_ms: int = 0, **fields: Any
) -> str:
    line = {
        "event": event,
        "host": host,
        "time_us": (at_ms + skew_ms) * 1_000,
        "monotonic_us": at_ms * 1_000,
    }
    return json.dumps(line | fields, separators=(",", ":"))


@pytest.fixture
def log_files(tmp_path: Path) -> list[str]:
    call = {"service": "s", "server": "i-1", "why": "first", "outcome": "lost"}
    first_host_lines = [
        _log_line("a", "control_host_found", 500, address="before the restart"),
        _log_line("a", "started", 800),
        _log_line("a", "routes_in_force", 1_000, version=4),
        _log_line("a", "routes_in_force", 9_000, version=5),
        "  12.5 a " + _log_line("a", "request_failed", 10_000, id="q", calls=[call]),
        _log_line("a", "routes_in_force", 11_000, version=6),
        '{"event":"request_fai',
    ]
    # The wall clock of this host steps back between the lines of the request.
    second_host_lines = [
        _log_line("b", "server_learnt", 9_500, server="i-1", state="draining"),
        _log_line("b", "request", 12_000, id="q", calls=[]),
        _log_line(
            "b", "request", 12_500, skew_ms=-9_000, id="q", calls=[], second=True
        ),
        _log_line("b", "request", 13_000, id="other", calls=[]),
    ]
    paths = [tmp_path / "a.log", tmp_path / "b.log"]
    paths[0].write_text("\n".join(first_host_lines))
    paths[1].write_text("\n".join(second_host_lines))
    return [str(path) for path in paths]


def test_timeline_holds_host_state_at_time_of_request(
    run_program: Any, log_files: list[str]
):
    """Guards against showing routes that took effect after the request."""
    run = run_program("explain", "q", *log_files, "--json")
    assert run.exit_code == 0
    step = run.fields["steps"][0]
    versions = [b["line"].get("version") for b in step["beliefs"]]
    assert 5 in versions
    events = [b["line"]["event"] for b in step["beliefs"]]
    assert "control_host_found" not in events
    assert 6 not in versions
    assert any(b["line"].get("state") == "draining" for b in step["beliefs"])


def test_lines_of_one_host_keep_their_order_after_clock_step(
    run_program: Any, log_files: list[str]
):
    """Guards against a reversed timeline after a step of the wall clock."""
    run = run_program("explain", "q", *log_files, "--json")
    hosts = [step["line"]["host"] for step in run.fields["steps"]]
    assert hosts == ["a", "b", "b"]
    assert run.fields["steps"][2]["line"]["second"]
    assert "attempt" in run_program("explain", "q", *log_files).out


def test_unknown_request_is_refused(run_program: Any, log_files: list[str]):
    """Guards against an empty timeline that looks like a fast success."""
    run = run_program("explain", "nobody", *log_files)
    assert run.exit_code == 1
    assert "suppressed" in run.err


def test_timeline_includes_lines_of_gathering_host(run_program: Any, tmp_path: Path):
    """Guards against a timeline without the lines of the gathering host."""
    gathering = {"gatherer": "b:1", "shards": 9, "outcome": "gathered"}
    call = {"service": "s", "server": "i-1", "why": "hedge", "outcome": "open"}
    lines = [
        _log_line("b", "gathered", 900, id="q", calls=[call], ended="left"),
        _log_line("a", "gatherer_left", 800, address="c:1"),
        _log_line("a", "request", 1_000, id="q", calls=[], gathered=[gathering]),
    ]
    path = tmp_path / "all.log"
    path.write_text("\n".join(lines))
    out = run_program("explain", "q", str(path)).out
    assert "gathering gatherer=b:1 shards=9" in out
    assert "attempt service=s server=i-1 why=hedge" in out
    assert "gatherer_left address=c:1" in out
