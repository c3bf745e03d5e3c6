"""The bodies of messages between hosts."""

import asyncio

import pytest
from kingcuplug_fleet import (
    PeerFailed,
    PeerRefused,
    Peers,
    decode_body,
    encode_body,
)
from kingcuplug_http import Limits, Listener, Request, Response

LONG = {"servers": [["i-1", 1, 2, "stock", "10.0.0.1:80"]] * 200}


def _encoding(headers):
    return dict(headers).get(b"Content-Encoding")


def test_long_bodies_are_deflated_and_come_back():
    """Guards against whole directories that fill the links of small hosts."""
    headers, body = encode_body(LONG)
    assert _encoding(headers) == b"deflate"
    assert len(body) < 1_000
    assert decode_body(_encoding(headers), body) == LONG


def test_short_bodies_are_sent_as_they_are():
    """Guards against processor time for bodies that fit into one packet."""
    headers, body = encode_body({"index": 7})
    assert _encoding(headers) is None
    assert decode_body(None, body) == {"index": 7}


@pytest.mark.parametrize(
    "damage", [lambda b: b[:-4], lambda b: b"x" + b, lambda b: b""]
)
def test_damaged_body_is_refused(damage):
    """Guards against taking half of a directory for the whole."""
    headers, body = encode_body(LONG)
    with pytest.raises(ValueError):
        decode_body(_encoding(headers), damage(body))


@pytest.mark.parametrize(("status", "refused"), [(503, True), (500, False)])
def test_only_a_refusal_shows_that_nothing_was_done(status, refused):
    """Guards against sending again what a host may have begun before it failed."""

    async def run() -> None:
        async def answer(request: Request) -> Response:
            return Response(status, [], b"")

        listener, peers = Listener(answer, Limits), Peers()
        address = await listener.start("127.0.0.1:0")
        with pytest.raises(PeerFailed) as caught:
            await peers.call(address, "/x", {}, 1.0)
        assert isinstance(caught.value, PeerRefused) is refused
        peers.close()
        await listener.stop()

    asyncio.run(run())
