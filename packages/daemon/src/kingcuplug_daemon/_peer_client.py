"""Client for calls to other hosts: JSON over HTTP."""

from collections.abc import Mapping
from typing import Any

import aiohttp
import orjson
from kingcuplug_common import KingcuplugError, TlsSettings, traceparent
from kingcuplug_membership import PeerCall

from kingcuplug_daemon._tls import client_context, reload_identity

__all__ = ["NotSent", "PeerClient", "PeerError"]

_CONNECT_TIMEOUT_S = 0.5
_MAX_CONNECTIONS_PER_HOST = 8
_KEEPALIVE_TIMEOUT_S = 30.0
_JSON_HEADERS = {"Content-Type": "application/json"}


class NotSent(KingcuplugError, ConnectionError):
    """No connection could be made, so the peer has not received the message."""


class PeerError(KingcuplugError):
    """The peer responded with an error.

    Attributes
    ----------
    error_name : str
        Name of the error's class at the peer.
    fields : Mapping[str, Any]
        The whole response.
    """

    def __init__(self, error_name: str, fields: Mapping[str, Any]) -> None:
        super().__init__(
            str(fields.get("message", "no message")),
            str(fields.get("remedy", "check the log of the peer")),
        )
        self.error_name = error_name
        self.fields = fields


class PeerClient:
    """Posts messages to the peer addresses of other hosts.

    Parameters
    ----------
    tls : TlsSettings, optional
        Identity for mutual TLS.
    """

    def __init__(self, tls: TlsSettings | None = None) -> None:
        self._scheme = "https" if tls is not None else "http"
        self._tls = tls
        self._context = client_context(tls)
        self._session: aiohttp.ClientSession | None = None

    def reload(self) -> None:
        """Reload the certificates, for new connections."""
        reload_identity(self._context, self._tls)

    async def close(self) -> None:
        """Close all connections."""
        if self._session is not None:
            await self._session.close()

    def bind_path(self, path: str, timeout_s: float) -> PeerCall:
        """Return a function that posts messages to one path of any peer.

        The function raises `NotSent` if the peer cannot have received the message,
        `PeerError` if the peer responded with an error, and `OSError` or
        `TimeoutError` if the outcome is unknown.
        """

        async def call(address: str, message: dict[str, Any]) -> dict[str, Any]:
            return await self.post(address, path, message, timeout_s)

        return call

    async def post(
        self, address: str, path: str, message: dict[str, Any], timeout_s: float
    ) -> dict[str, Any]:
        """Post one message; errors are as for `bind_path`."""
        try:
            async with self._open_session().post(
                f"{self._scheme}://{address}{path}",
                data=orjson.dumps(message),
                headers=_request_headers(),
                timeout=aiohttp.ClientTimeout(
                    total=timeout_s, sock_connect=_CONNECT_TIMEOUT_S
                ),
            ) as response:
                body = await response.read()
                status = response.status
        except aiohttp.ClientConnectorError as error:
            raise NotSent(
                f"host at {address} accepts no connection: {error.os_error}",
                "check that the host runs and that the address is right",
            ) from error
        except aiohttp.ClientError as error:
            raise ConnectionError(f"call to {address}{path} failed: {error}") from error
        return _parse_reply(status, body)

    def _open_session(self) -> aiohttp.ClientSession:
        if self._session is None:
            self._session = aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(
                    limit=0,
                    limit_per_host=_MAX_CONNECTIONS_PER_HOST,
                    keepalive_timeout=_KEEPALIVE_TIMEOUT_S,
                    ssl=self._context if self._context is not None else True,
                ),
                cookie_jar=aiohttp.DummyCookieJar(),
            )
        return self._session


def _request_headers() -> dict[str, str]:
    header = traceparent()
    return _JSON_HEADERS if header is None else {**_JSON_HEADERS, "traceparent": header}


def _parse_reply(status: int, body: bytes) -> dict[str, Any]:
    try:
        value = orjson.loads(body)
    except orjson.JSONDecodeError as error:
        raise ConnectionError(f"the peer sent no JSON: {error}") from error
    if not isinstance(value, dict):
        raise ConnectionError(f"the peer sent {type(value).__name__}, not an object")
    if status != 200:
        raise PeerError(str(value.get("error", status)), value)
    return value
