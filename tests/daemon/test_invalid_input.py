"""Bad input gets a typed error and harms no other request."""

import asyncio
import json
import socket
from typing import Any

import pytest

from tests.daemon.conftest import http_response, sub_response

QUERY = "/v1/services/stock/query"
ANNOUNCE = "/v1/servers/announce"
RENEW = "/v1/servers/renew"


async def _send_raw(deployment: Any, request: bytes) -> tuple[int, dict[str, Any]]:
    """Send bytes and read one response."""
    host, _, port = deployment.address().rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        writer.write(request)
        head = await reader.readuntil(b"\r\n\r\n")
        lines = head.decode().lower().split("\r\n")
        length = next(
            int(line.split(":")[1])
            for line in lines
            if line.startswith("content-length")
        )
        return int(lines[0].split()[1]), json.loads(await reader.readexactly(length))
    finally:
        writer.close()


def _post_bytes(path: str, body: bytes, *headers: str) -> bytes:
    lines = [
        f"POST {path} HTTP/1.1",
        "Host: entry",
        f"Content-Length: {len(body)}",
        *headers,
    ]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def _json(value: Any) -> bytes:
    return json.dumps(value).encode()


CALLER_REQUESTS = {
    "empty body": (_post_bytes(QUERY, b""), 400, "invalid_request"),
    "malformed JSON": (_post_bytes(QUERY, b'{"body": '), 400, "invalid_request"),
    "not UTF-8": (_post_bytes(QUERY, b'{"body": "\xff"}'), 400, "invalid_request"),
    "deep nesting": (_post_bytes(QUERY, b"[" * 5_000), 400, "invalid_request"),
    "not an object": (_post_bytes(QUERY, b"[1]"), 400, "invalid_request"),
    "no body field": (_post_bytes(QUERY, b"{}"), 400, "invalid_request"),
    "unknown field": (
        _post_bytes(QUERY, _json({"body": 1, "x": 1})),
        400,
        "invalid_request",
    ),
    "odd request id": (
        _post_bytes(QUERY, _json({"body": 1, "request_id": "a\nb"})),
        400,
        "invalid_request",
    ),
    "unknown service": (
        _post_bytes("/v1/services/stcok/query", _json({"body": 1})),
        404,
        "unknown_service",
    ),
    "huge body": (
        _post_bytes(QUERY, _json({"body": "x" * 1_100_000})),
        413,
        "body_too_large",
    ),
    "deadline in the past": (
        _post_bytes(QUERY, _json({"body": 1, "deadline_ms": -5})),
        504,
        "deadline_exceeded",
    ),
    "undeclared dependency": (
        _post_bytes(QUERY, _json({"body": 1, "dependency_requests": {"patterns": 1}})),
        400,
        "invalid_request",
    ),
    "two hosts": (
        _post_bytes(QUERY, _json({"body": 1}), "Host: other"),
        400,
        "invalid_request",
    ),
    "two content types": (
        _post_bytes(
            QUERY, _json({"body": 1}), "Content-Type: a/b", "Content-Type: c/d"
        ),
        400,
        "invalid_request",
    ),
    "order without key": (
        _post_bytes(
            "/v1/services/stock/order", _json({"body": 1, "partition_key": "1"})
        ),
        400,
        "invalid_request",
    ),
    "order with an odd key": (
        _post_bytes(
            "/v1/services/stock/order",
            _json({"body": 1, "partition_key": "1", "idempotency_key": "tomorrow"}),
        ),
        400,
        "invalid_request",
    ),
}


async def _send_alongside_query(deployment: Any, request: bytes) -> Any:
    """Send bad input while a good query is in flight; return both ends."""
    base = f"http://{deployment.address()}"
    good = deployment.local.call("stock", "query", {"body": {"band": 1}}, base)
    return await asyncio.gather(_send_raw(deployment, request), good)


@pytest.mark.parametrize("case", CALLER_REQUESTS)
def test_bad_requests_get_a_typed_refusal(deployment: Any, case: str):
    """Guards against a 500 without receipt, and against harm to other requests."""
    request, status, reason = CALLER_REQUESTS[case]
    (got, answer), good = deployment.run(_send_alongside_query(deployment, request))
    assert got == status, answer
    assert answer["refusal"]["reason"] == reason
    assert answer["refusal"]["kind"] == "not_run"
    assert answer["refusal"]["remedy"]
    assert answer["receipt"]["outcome"] == "not_run"
    assert good[0] == 200
    assert good[1]["coverage"] == 1.0


SERVER_REQUESTS = {
    "announcement that is no JSON": (_post_bytes(ANNOUNCE, b"hello"), 400, "Refusal"),
    "announcement of nothing": (
        _post_bytes(ANNOUNCE, b"null"),
        409,
        "AnnouncementInvalid",
    ),
    "announcement of nonsense": (
        _post_bytes(ANNOUNCE, _json({"server": "a b", "slots": -1, "holdings": "all"})),
        409,
        "AnnouncementInvalid",
    ),
    "renewal of nothing": (_post_bytes(RENEW, b"[]"), 400, "Refusal"),
    "renewal of nonsense": (
        _post_bytes(RENEW, _json({"server": "a", "incarnation": "x", "sequence": {}})),
        400,
        "Refusal",
    ),
    "renewal that nobody granted": (
        _post_bytes(
            RENEW, _json({"server": "nobody", "incarnation": 1, "sequence": 1})
        ),
        409,
        "LeaseUnknown",
    ),
}


@pytest.mark.parametrize("case", SERVER_REQUESTS)
def test_bad_announcements_get_a_typed_error(deployment: Any, case: str):
    """Guards against a backend server's fault that stops the entry host."""
    request, status, error = SERVER_REQUESTS[case]
    (got, answer), good = deployment.run(_send_alongside_query(deployment, request))
    assert (got, answer["error"]) == (status, error)
    assert answer["remedy"]
    assert good[0] == 200


OPERATOR_REQUESTS = {
    "not JSON": ("in-force", b"{"),
    "not an object": ("in-force", b"[]"),
    "no revision": ("in-force", b"{}"),
    "odd wait": ("in-force", b'{"revision": 1, "wait_ms": "long"}'),
    "no key": ("orders/show", b"{}"),
    "no text": ("configuration", b'{"change_id": "a", "author": "a"}'),
}


@pytest.mark.parametrize("case", OPERATOR_REQUESTS)
def test_bad_operator_calls_get_a_typed_error(deployment: Any, case: str):
    """Guards against a 500 that the command line can't explain."""
    path, body = OPERATOR_REQUESTS[case]
    token = "Authorization: Bearer operator-secret"
    request = _post_bytes(f"/v1/operator/{path}", body, token)
    status, answer = deployment.run(_send_raw(deployment, request))
    assert (status, answer["reason"]) == (400, "invalid_request")


SUB_RESPONSES = {
    "truncated": lambda f: http_response(b'{"attempt_id"', length=4_000)[:-3],
    "oversized": lambda f: http_response(b"", length=17 * 1024 * 1024) + b"x" * 1_000,
    "not JSON": lambda f: http_response(b"<html>busy</html>"),
    "not an object": lambda f: http_response([1, 2]),
    "not HTTP": lambda f: b"hello\r\n\r\n",
    "nothing": lambda f: b"",
    "of another attempt": lambda f: http_response(sub_response(f, attempt_id="other")),
    "of another shard": lambda f: http_response(sub_response(f, shard=1 - f["shard"])),
    "of another snapshot": lambda f: http_response(sub_response(f, snapshot=2)),
    "with odd coverage": lambda f: http_response(sub_response(f, coverage=7)),
    "with an odd status": lambda f: http_response(sub_response(f, status="splendid")),
}


@pytest.mark.parametrize("case", SUB_RESPONSES)
def test_invalid_sub_responses_never_become_an_answer(
    deployment: Any, call: Any, raw_server: Any, case: str
):
    """Guards against a server's broken reply that a caller gets as an answer."""
    broken = SUB_RESPONSES[case]

    def respond(fields: dict[str, Any], headers: dict[str, str]) -> bytes:
        return (
            broken(fields)
            if fields["body"] == "bad"
            else http_response(sub_response(fields))
        )

    raw_server.respond = respond

    async def both() -> Any:
        base = f"http://{deployment.address()}"
        bad = {"body": "bad", "minimum_coverage": 1.0, "deadline_ms": 400}
        return await asyncio.gather(
            deployment.local.call("raw", "query", bad, base),
            deployment.local.call("stock", "query", {"body": 1}, base),
        )

    (status, answer), good = deployment.run(both())
    assert status == 503, answer
    assert answer["refusal"]["reason"] == "coverage_too_low"
    assert answer["refusal"]["kind"] == "outcome_unknown"
    assert good[0] == 200
    status, answer = call("raw", "query", {"body": "good"})
    assert (status, answer["coverage"]) == (200, 1.0)


def test_accepted_connections_set_tcp_nodelay(deployment: Any):
    """Guards against 40 ms per reply, the wait for a delayed acknowledgement."""

    async def options() -> list[int]:
        host = deployment.local.hosts[0]
        async with deployment.local.http.get(
            f"http://{host.caller_address}/healthz"
        ) as response:
            await response.read()
        found = []
        for listener in (host._caller_listener, host._peer_listener):
            for connection in listener._server.server_state.connections:
                accepted = connection.transport.get_extra_info("socket")
                found.append(
                    accepted.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
                )
        return found

    found = deployment.run(options())
    assert len(found) >= 2
    assert all(found)
