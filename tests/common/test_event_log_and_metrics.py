"""Rate limits and buffering of the event log, and metrics as text."""

import os

import orjson
import pytest
from kingcuplug_common import EventLog, Metrics, render_metrics
from kingcuplug_common._event_log import BUFFER_BYTES, BURST_LINES
from kingcuplug_common._metrics import Histogram


@pytest.fixture
def pipe():
    reader, writer = os.pipe()
    yield reader, writer
    os.close(reader)
    os.close(writer)


def _lines(reader: int) -> list[dict]:
    return [orjson.loads(line) for line in os.read(reader, 1 << 20).splitlines()]


def test_rate_limit_applies_to_each_kind_separately(pipe):
    """Guards against logs that grow with the load, and against uncounted lines."""
    reader, writer = pipe
    log = EventLog(writer, "host")
    for number in range(BURST_LINES + 50):
        log.write("flood", {"number": number})
    log.write("rare", {})
    log._buckets["flood"].tokens = 1.0
    log.write("flood", {"number": -1})
    log.flush()
    lines = _lines(reader)
    assert sum(line["event"] == "rare" for line in lines) == 1
    assert len(lines) == BURST_LINES + 2
    assert lines[-1]["suppressed"] == 50


def test_stalled_reader_never_blocks_the_writer(pipe):
    """Guards against a host that blocks while its log collector is stalled."""
    reader, writer = pipe
    log = EventLog(writer, "host")
    for _ in range(2_000):
        log.write("line", {"text": "x" * 1_000}, bypass_rate_limit=True)
        log.flush()
    assert log.dropped > 0
    assert log._buffered_bytes <= BUFFER_BYTES
    waiting_bytes = log._buffered_bytes
    os.read(reader, 1 << 20)
    log.flush()
    assert log._buffered_bytes < waiting_bytes


@pytest.mark.parametrize(
    ("duration_s", "bucket"),
    [(0.0, 0), (2**-10, 0), (0.001, 1), (1.0, 10), (900.0, 17)],
)
def test_duration_is_counted_in_its_bucket(duration_s, bucket):
    """Guards against a duration counted below its bucket's lower bound."""
    histogram = Histogram()
    histogram.record(duration_s)
    assert histogram.counts[bucket] == 1
    if bucket < len(Histogram.BOUNDS_S):
        assert duration_s <= Histogram.BOUNDS_S[bucket]


def test_metrics_are_rendered_in_prometheus_format():
    """Guards against metrics that Prometheus cannot parse."""
    metrics = Metrics()
    metrics.count("requests.503", 2)
    metrics.observe("request", ("0", "200"), 0.03)
    metrics.observe("request", ("0", "200"), 90.0)
    text = render_metrics(metrics, {"hosts_live": 3}).decode()
    assert 'kingcuplug_events_total{event="requests.503"} 2.0' in text
    assert "kingcuplug_hosts_live 3.0" in text
    assert 'kingcuplug_request_seconds_count{outcome="200",rank="0"} 2.0' in text


def test_number_of_label_sets_is_bounded():
    """Guards against memory that grows with the names of services."""
    metrics = Metrics()
    for number in range(2_000):
        metrics.observe("attempt", (f"s{number}", "good"), 0.01)
    assert len(metrics.durations["attempt"]) <= 513


@pytest.mark.parametrize("address", ["127.0.0.1:9", "[::1]:9", "::1:9"])
def test_statsd_that_cannot_be_reached_changes_nothing(address):
    """Guards against a host that ends because of its statsd server."""
    metrics = Metrics(address)
    metrics.count("query.whole")
    metrics.gauge("queue", 1)
    metrics.send_timing("query.latency", 1)
    assert metrics.counts["query.whole"] == 1
