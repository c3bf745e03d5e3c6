"""One request yields one trace, with one span per hop."""

import time
import uuid
from collections import Counter
from typing import Any

import pytest

SAMPLED_FLAGS = "01"


def _count_names(spans: list[dict[str, Any]]) -> Counter[str]:
    return Counter(span["name"] for span in spans)


@pytest.fixture
def request_id() -> str:
    return uuid.uuid4().hex


def test_a_query_is_one_trace(call: Any, spans: Any, wait_until: Any, request_id: str):
    """Guards against a slow hop that has no span."""
    fields = {
        "request_id": request_id,
        "body": {"band": "black"},
        "dependency_requests": {"trims": {"colour": "purple"}},
    }
    assert call("stock", "query", fields)[0] == 200
    wait_until(lambda: len(_count_names(spans(request_id))) >= 5)
    found = spans(request_id)
    names = _count_names(found)
    assert names["query"] == names["dependency"] == 1
    assert names["admission"] == 2
    assert names["sub-request"] >= 6
    assert names["capacity"] >= 6
    by_id = {span["span"]: span for span in found}
    roots = [span for span in found if span["parent"] not in by_id]
    assert [span["name"] for span in roots] == ["query"]
    dependency = next(span for span in found if span["name"] == "dependency")
    child_names = _count_names([s for s in found if s["parent"] == dependency["span"]])
    assert child_names["sub-request"] >= 2
    for span in found:
        if span["name"] == "sub-request":
            fields = span["fields"]
            assert {"shard", "server", "attempt_id", "hedge", "outcome"} <= set(fields)
            assert fields["outcome"] in ("ok", "cancelled")


def test_an_order_is_one_trace_with_its_ledger_steps(
    call: Any, spans: Any, wait_until: Any, request_id: str
):
    """Guards against orders whose time in the ledger is missing from the trace."""
    order = {
        "request_id": request_id,
        "body": {"embroider": "Maria N."},
        "idempotency_key": f"{time.time_ns() // 1_000_000}-{request_id}",
        "partition_key": "4711",
    }
    assert call("stock", "order", order)[0] == 200
    wait_until(lambda: _count_names(spans(request_id))["peer.submit"] >= 3)
    found = spans(request_id)
    steps = [s["fields"]["step"] for s in found if s["name"] == "ledger"]
    assert sorted(steps) == ["claim", "dispatch", "outcome"]
    assert _count_names(found)["sub-request"] == 1
    ledger = {span["span"] for span in found if span["name"] == "ledger"}
    submits = [span for span in found if span["name"] == "peer.submit"]
    assert {span["parent"] for span in submits} == ledger


def test_sub_request_carries_traceparent_of_its_attempt(
    call: Any, spans: Any, wait_until: Any, raw_server: Any, request_id: str
):
    """Guards against a trace that ends at the entry host."""
    assert call("raw", "query", {"request_id": request_id, "body": 1})[0] == 200
    headers = {f["attempt_id"]: h["traceparent"] for f, h in raw_server.received}
    wait_until(lambda: _count_names(spans(request_id))["sub-request"] == len(headers))
    for span in spans(request_id):
        if span["name"] == "sub-request":
            version, trace, parent, flags = headers[span["fields"]["attempt_id"]].split(
                "-"
            )
            assert (version, trace, parent) == ("00", span["trace"], span["span"])
            assert int(flags, 16) & 1, "the sampled bit"


def test_request_continues_the_callers_trace(
    deployment: Any, call: Any, spans: Any, wait_until: Any, request_id: str
):
    """Guards against a new trace at each host."""
    trace = uuid.uuid4().hex

    async def send() -> int:
        url = f"http://{deployment.address()}/v1/services/trims/query"
        headers = {"traceparent": f"00-{trace}-{'1' * 16}-{SAMPLED_FLAGS}"}
        fields = {"body": 1, "request_id": request_id}
        http = deployment.local.http
        async with http.post(url, json=fields, headers=headers) as response:
            return response.status

    assert deployment.run(send()) == 200
    wait_until(lambda: _count_names(spans(request_id))["query"] == 1)
    query = next(span for span in spans(request_id) if span["name"] == "query")
    assert (query["trace"], query["parent"]) == (trace, "1" * 16)


def test_unsampled_request_records_no_spans(
    deployment: Any, call: Any, spans: Any, raw_server: Any, wait_until: Any
):
    """Guards against the cost of recording spans that were not sampled."""
    unsampled_id, sampled_id = uuid.uuid4().hex, uuid.uuid4().hex
    trace = uuid.uuid4().hex

    async def send() -> int:
        url = f"http://{deployment.address()}/v1/services/raw/query"
        headers = {"traceparent": f"00-{trace}-{'1' * 16}-00"}
        fields = {"body": 1, "request_id": unsampled_id}
        http = deployment.local.http
        async with http.post(url, json=fields, headers=headers) as response:
            return response.status

    assert deployment.run(send()) == 200
    # The backend server still receives the trace id and the sampling decision.
    trace_ids = {h["traceparent"].split("-")[1] for _, h in raw_server.received}
    assert trace_ids == {trace}
    assert all(h["traceparent"].endswith("-00") for _, h in raw_server.received)
    assert call("trims", "query", {"body": 1, "request_id": sampled_id})[0] == 200
    wait_until(lambda: bool(spans(sampled_id)))
    assert spans(unsampled_id) == []


def test_the_session_has_spans(deployment: Any, wait_until: Any):
    """Guards against lost sessions that no span explains."""
    path = deployment.local.hosts[0].settings.trace_file
    wait_until(lambda: '"name": "session"' in path.read_text())
    wait_until(lambda: '"name": "peer.session"' in path.read_text())
