"""HTTP client of the simulated callers, operators and backend servers."""

import asyncio

from kingcuplug_fleet import PeerFailed
from kingcuplug_http import Reply, Response, connect

__all__ = ["send_request"]

_REDIRECT_STATUS = 307
_TIMEOUT_S = 1.0


async def send_request(
    address: str,
    method: str,
    path: str,
    body: bytes = b"",
    headers: str = "",
    timeout_s: float = _TIMEOUT_S,
    follow_redirects: bool = False,
) -> Response:
    """Send one request on a new connection.

    Parameters
    ----------
    headers : str
        Additional header lines, each ending with CRLF.
    follow : bool
        Follow up to two redirects.

    Raises
    ------
    PeerFailed
        If the connection fails or there is no response in time.
    """
    for _ in range(3):
        response = await _send_once(address, method, path, body, headers, timeout_s)
        if not follow_redirects or response.status != _REDIRECT_STATUS:
            return response
        location = response.header(b"location") or b""
        address = location.decode().removeprefix("http://").partition("/")[0]
    return response


async def _send_once(
    address: str, method: str, path: str, body: bytes, headers: str, timeout_s: float
) -> Response:
    reply = Reply()
    host = "" if "Host:" in headers else f"Host: {address}\r\n"
    head = f"{method} {path} HTTP/1.1\r\n{host}{headers}Content-Length: {len(body)}\r\n"
    try:
        async with asyncio.timeout(timeout_s):
            connection = await connect(address, timeout_s)
            try:
                connection.send(f"{head}\r\n".encode() + body, reply)
                return await reply.response
            finally:
                connection.close()
    except OSError as error:
        raise PeerFailed(f"{address}: {error!r}", "try another host") from error
