"""Tests of encoding and decoding message bodies between hosts."""

import asyncio

import pytest
from kingcuplug_fleet import (
    PeerClient,
    PeerFailed,
    PeerRefused,
    decode_body,
    encode_body,
)
from kingcuplug_http import Limits, Listener, Request, Response

LONG_VALUE = {"servers": [["i-1", 1, 2, "stock", "10.0.0.1:80"]] * 200}


def _encoding(headers):
    return dict(headers).get(b"Content-Encoding")


def test_long_bodies_are_compressed_and_decoded():
    """Guards against directory transfers that saturate the links of small hosts."""
    headers, body = encode_body(LONG_VALUE)
    assert _encoding(headers) == b"deflate"
    assert len(body) < 1_000
    assert decode_body(_encoding(headers), body) == LONG_VALUE


def test_short_bodies_are_not_compressed():
    """Guards against spending processor time on bodies that fit into one packet."""
    headers, body = encode_body({"index": 7})
    assert _encoding(headers) is None
    assert decode_body(None, body) == {"index": 7}


@pytest.mark.parametrize(
    "corrupt", [lambda b: b[:-4], lambda b: b"x" + b, lambda b: b""]
)
def test_corrupt_body_is_rejected(corrupt):
    """Guards against accepting a truncated directory as complete."""
    headers, body = encode_body(LONG_VALUE)
    with pytest.raises(ValueError):
        decode_body(_encoding(headers), corrupt(body))


@pytest.mark.parametrize(("status", "refused"), [(503, True), (500, False)])
def test_only_status_503_is_a_refusal(status, refused):
    """Guards against repeating a call that a host may have executed before failing."""

    async def run() -> None:
        async def respond(request: Request) -> Response:
            return Response(status, [], b"")

        listener, client = Listener(respond, Limits), PeerClient()
        address = await listener.start("127.0.0.1:0")
        with pytest.raises(PeerFailed) as caught:
            await client.call(address, "/x", {}, 1.0)
        assert isinstance(caught.value, PeerRefused) is refused
        client.close()
        await listener.stop()

    asyncio.run(run())


def test_connections_of_a_burst_of_calls_are_closed_when_idle():
    """Guards against connections kept for ever at the peak of the calls to a host."""
    burst = 20

    async def run() -> None:
        all_arrived = asyncio.Event()
        arrived = 0

        async def respond(request: Request) -> Response:
            nonlocal arrived
            arrived += 1
            if arrived == burst:
                all_arrived.set()
            await all_arrived.wait()
            return Response(200, [], b"{}")

        listener, client = Listener(respond, Limits), PeerClient()
        address = await listener.start("127.0.0.1:0")
        calls = [client.call(address, "/x", {}, 5.0) for _ in range(burst)]
        await asyncio.gather(*calls)
        now = asyncio.get_running_loop().time()
        client.prune(now)
        await asyncio.sleep(0.05)
        assert len(listener.connections) == burst
        client.prune(now + 60)
        await asyncio.sleep(0.05)
        assert not listener.connections
        assert not client._idle
        assert await client.call(address, "/x", {}, 5.0) == {}
        client.close()
        await listener.stop()

    asyncio.run(run())
