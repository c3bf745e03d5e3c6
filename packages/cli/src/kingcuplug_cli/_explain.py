"""Timeline of one request from the log lines of several hosts.

The input is a request id and log files. The line of a request holds its attempts: the
servers, the reasons and the outcomes. Earlier lines of the same host show the state
that the host held when it served the request, and how old that state was.
"""

import dataclasses
import heapq
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any

import orjson

from kingcuplug_cli._results import CommandRefused, ExitCode, WrongUsage

__all__ = ["explain"]

_US_PER_S = 1_000_000
# Older server events are left out; the other state of a host is shown at any age.
_SERVER_EVENT_MAX_AGE_US = 30 * _US_PER_S
_REQUEST_EVENTS = frozenset(("request", "request_failed", "gathered"))
# The newest line of each event before a request gives the state that its host held.
_HOST_STATE_EVENTS = (
    "started",
    "stopping",
    "routes_in_force",
    "control_host_found",
    "control_host_lost",
    "replica_changed",
    "members_changed",
    "storage_unusable",
    "settings_reloaded",
    "gatherer_left",
)
_SERVER_EVENT = "server_learnt"
_UNPRINTED_FIELDS = frozenset(
    ("event", "host", "time_us", "monotonic_us", "id", "calls", "gathered")
)

LogLine = dict[str, Any]


@dataclasses.dataclass(frozen=True, slots=True)
class HostState:
    """A log line that shows state held by a host, and its age at the request."""

    age_ms: float
    line: LogLine


@dataclasses.dataclass(frozen=True, slots=True)
class TimelineEntry:
    """One log line of the request and the host state at that time."""

    line: LogLine
    beliefs: tuple[HostState, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class RequestTimeline:
    """All log lines of one request, in order."""

    request_id: str
    steps: tuple[TimelineEntry, ...]
    exit_code: ExitCode = ExitCode.DONE

    def lines(self) -> Iterator[str]:
        """Yield the timeline as readable text."""
        for entry in self.steps:
            line = entry.line
            yield f"{line['host']}: {line['event']} {_format_fields(line)}"
            for call in line.get("calls", ()):
                yield f"  attempt {_format_fields(call)}"
            for gathering in line.get("gathered", ()):
                yield f"  gathering {_format_fields(gathering)}"
            for state in entry.beliefs:
                event = f"{state.line['host']} {state.line['event']}"
                age = f"known for {state.age_ms:.0f} ms"
                yield f"  {age}: {event} {_format_fields(state.line)}"


async def explain(request_id: str, files: tuple[str, ...]) -> RequestTimeline:
    """Return the timeline of one request.

    Parameters
    ----------
    files : tuple of str
        Files of log lines, from any number of hosts.
    """
    by_host: dict[str, list[LogLine]] = {}
    for file in files:
        for line in _read_log_lines(file):
            by_host.setdefault(line["host"], []).append(line)
    for lines in by_host.values():
        lines.sort(key=lambda line: line["monotonic_us"])
    steps = [
        TimelineEntry(line, tuple(_host_states_before(line, by_host)))
        for line in _merge_by_time(by_host.values())
        if line["event"] in _REQUEST_EVENTS and line.get("id") == request_id
    ]
    if not steps:
        raise CommandRefused(
            f"no line of request {request_id} in {len(files)} files",
            "add the files of the other hosts; lines of successes are written up to "
            "a rate, and the field suppressed counts what was left out",
            "NoSuchRequest",
        )
    return RequestTimeline(request_id, tuple(steps))


def _merge_by_time(lines_by_host: Iterable[list[LogLine]]) -> Iterator[LogLine]:
    """Merge the hosts' lines by wall clock time, keeping the order of each host.

    The wall clocks of hosts differ and can step back, so each line is placed no
    earlier than the previous line of its host.
    """
    return heapq.merge(
        *map(_with_monotonic_time, lines_by_host), key=lambda line: line["at_us"]
    )


def _with_monotonic_time(lines: list[LogLine]) -> Iterator[LogLine]:
    latest = 0
    for line in lines:
        latest = max(latest, line["time_us"])
        yield {**line, "at_us": latest}


def _host_states_before(
    request: LogLine, by_host: dict[str, list[LogLine]]
) -> Iterator[HostState]:
    now_us = request["monotonic_us"]
    newest: dict[str, LogLine] = {}
    for line in by_host[request["host"]]:
        if line["monotonic_us"] > now_us:
            break
        if line["event"] == "started":
            newest.clear()  # A new process starts without the state of the last one.
        if line["event"] in _HOST_STATE_EVENTS:
            newest[line["event"]] = line
    for line in sorted(newest.values(), key=lambda line: line["monotonic_us"]):
        yield HostState((now_us - line["monotonic_us"]) / 1_000, line)
    yield from _recent_server_events(request, by_host)


def _recent_server_events(
    request: LogLine, by_host: dict[str, list[LogLine]]
) -> Iterator[HostState]:
    """Yield recent events of any host about the servers of the attempts."""
    attempted_servers = {call.get("server") for call in request.get("calls", ())}
    for lines in by_host.values():
        for line in lines:
            age_us = request["time_us"] - line["time_us"]
            recent = -_US_PER_S < age_us < _SERVER_EVENT_MAX_AGE_US
            if (
                line["event"] == _SERVER_EVENT
                and line["server"] in attempted_servers
                and recent
            ):
                yield HostState(age_us / 1_000, line)


def _format_fields(line: LogLine) -> str:
    return " ".join(
        f"{name}={value}"
        for name, value in line.items()
        if name not in _UNPRINTED_FIELDS
    )


def _read_log_lines(file: str) -> Iterator[LogLine]:
    try:
        lines = Path(file).read_bytes().splitlines()
    except OSError as error:
        raise WrongUsage(
            f"log file {file} cannot be read: {error}",
            "name files that hold the standard output of hosts",
        ) from error
    for text in lines:
        # Log collectors prefix each line with a time and the host name.
        start = text.find(b'{"event"')
        if start < 0:
            continue
        try:
            yield orjson.loads(text[start:])
        except orjson.JSONDecodeError:
            continue  # The last line of a killed host may be incomplete.
