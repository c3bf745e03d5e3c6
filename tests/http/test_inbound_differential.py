"""Inbound connections beside an independent decoder of the same bytes."""

import asyncio
import itertools
import os

import h11
from hypothesis import given, settings
from hypothesis import strategies as st
from kingcuplug_http import InboundConnection, Limits, Listener, Request, Response
from kingcuplug_testkit import RecordingTransport, encode_chunks

_EXAMPLES = int(os.environ.get("KINGCUPLUG_FUZZ_EXAMPLES", "300"))
_OFFERS = (
    b"",
    b"Connection: Upgrade\r\nUpgrade: h2c\r\n",
    b"Connection: keep-alive, upgrade\r\nUpgrade: websocket\r\n",
    b"Upgrade: h2c\r\n",
    b"Connection: Upgrade\r\n",
)
_CODINGS = (
    b"CHUNKED",
    b"gzip, chunked",
    b"chunked, chunked",
    b"gzip\r\nTransfer-Encoding: chunked",
    b"chunked\r\nTransfer-Encoding: identity",
    b"identity",
)
_EXTENSIONS = (b"", b";a=b", b';q="x y"')

Decoded = tuple[bytes, bytes, bytes]  # Method, target and body.


@st.composite
def _chunked(draw: st.DrawFn, body: bytes) -> bytes:
    size = draw(st.integers(1, 7))
    extension = draw(st.sampled_from(_EXTENSIONS))
    trailer = draw(st.sampled_from((b"", b"X-Trailer: 1\r\n")))
    return encode_chunks(body, size, extension, trailer)


@st.composite
def _request(draw: st.DrawFn) -> bytes:
    method = draw(
        st.sampled_from(
            (b"GET", b"POST", b"PUT", b"DELETE", b"PATCH", b"HEAD", b"OPTIONS")
        )
    )
    target = draw(st.sampled_from((b"/", b"/a?b=1", b"/a/%2F", b"*")))
    body = draw(st.binary(max_size=20))
    framing = draw(st.sampled_from(("none", "length", "chunked", "coded")))
    headers = b"Host: a\r\n" + draw(st.sampled_from(_OFFERS))
    data = b""
    if framing == "length":
        headers += b"Content-Length: %d\r\n" % len(body)
        data = body
    elif framing == "chunked":
        headers += b"Transfer-Encoding: chunked\r\n"
        data = draw(_chunked(body))
    elif framing == "coded":
        headers += b"Transfer-Encoding: " + draw(st.sampled_from(_CODINGS)) + b"\r\n"
        data = draw(_chunked(body))
    return b"%s %s HTTP/1.1\r\n%s\r\n%s" % (method, target, headers, data)


def _decode_independently(data: bytes) -> list[Decoded]:
    connection = h11.Connection(h11.SERVER)
    connection.receive_data(data)
    decoded: list[Decoded] = []
    head, body = None, b""
    while True:
        try:
            event = connection.next_event()
        except h11.RemoteProtocolError:
            return decoded
        if event is h11.PAUSED:
            # A request that offers an upgrade ends in this state until it is refused.
            connection.send(h11.Response(status_code=200, headers=[]))
            connection.send(h11.EndOfMessage())
            if connection.our_state is not h11.DONE:
                return decoded
            connection.start_next_cycle()
        elif isinstance(event, h11.Request):
            head, body = event, b""
        elif isinstance(event, h11.Data):
            body += bytes(event.data)
        elif isinstance(event, h11.EndOfMessage):
            assert head is not None
            decoded.append((head.method, head.target, body))
        else:
            return decoded


async def _decode_inbound(data: bytes, cuts: list[int]) -> list[Decoded]:
    received: list[Decoded] = []

    async def record(request: Request) -> Response:
        received.append((request.method, request.target, request.body))
        return Response(200, [], b"")

    listener = Listener(record, Limits)
    connection = InboundConnection(listener, asyncio.get_running_loop())
    connection.connection_made(RecordingTransport())
    positions = sorted({min(cut, len(data)) for cut in cuts} | {0, len(data)})
    for start, end in itertools.pairwise(positions):
        connection.data_received(data[start:end])
        await asyncio.sleep(0)
    async with asyncio.timeout(5):
        while connection.busy:  # noqa: ASYNC110 - it has no event for this
            await asyncio.sleep(0)
    connection.connection_lost(None)
    return received


@settings(max_examples=_EXAMPLES, derandomize=True, deadline=None)
@given(
    st.lists(_request(), min_size=1, max_size=3),
    st.lists(st.integers(0, 400), max_size=6),
)
def test_requests_are_read_as_an_independent_decoder_reads_them(requests, cuts):
    """Guards against requests whose body or successor is lost, added or moved."""
    data = b"".join(requests)
    assert asyncio.run(_decode_inbound(data, cuts)) == _decode_independently(data)
