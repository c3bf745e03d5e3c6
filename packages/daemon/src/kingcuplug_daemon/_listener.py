"""One HTTP listener: a uvicorn server inside the running event loop.

uvicorn would install signal handlers and control shutdown itself; here the host
controls it, because it must first finish the requests in flight.
"""

import asyncio
import contextlib
import errno
import socket
import ssl
from collections.abc import Iterator
from typing import Any, cast

import uvicorn
from kingcuplug_common import KingcuplugError, TlsSettings
from starlette.types import ASGIApp

from kingcuplug_daemon._precondition import PreconditionUnmet
from kingcuplug_daemon._tls import files_unusable, reload_identity

__all__ = ["AddressUnavailable", "AddressUnusable", "Listener"]

_BACKLOG = 1024
_KEEPALIVE_TIMEOUT_S = 75
# Requests of operators and other hosts, and bodies that are incomplete, get this time
# when the listener stops; those of callers have finished before.
_STOP_TIMEOUT_S = 10


class AddressUnavailable(PreconditionUnmet):
    """The address is in use, or no interface of the machine has it yet."""


class AddressUnusable(KingcuplugError):
    """The address cannot be bound."""


class _Server(uvicorn.Server):
    """A uvicorn server that installs no signal handlers; the host handles signals."""

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Install no signal handler."""
        yield


class Listener:
    """Serves one application on one address.

    Parameters
    ----------
    application : ASGIApp
        The application.
    address : str
        ``ip:port``; port 0 binds any free port.
    tls : TlsSettings, optional
        Identity for TLS; ``None`` serves plain HTTP.
    client_certificates : bool
        Whether clients must present a certificate of ``tls.authority``.

    Raises
    ------
    SettingsUnreadable
        If the files of `tls` cannot be used.
    AddressUnavailable
        If the address is in use or missing for now; `start` raises it, too.
    AddressUnusable
        If the address cannot be bound for another reason.
    """

    def __init__(
        self,
        application: ASGIApp,
        address: str,
        tls: TlsSettings | None = None,
        client_certificates: bool = False,
    ) -> None:
        self._tls = tls
        self._config = uvicorn.Config(
            cast(Any, application),
            loop="none",
            http="httptools",
            ws="none",
            lifespan="off",
            interface="asgi3",
            proxy_headers=False,
            log_config=None,
            access_log=False,
            server_header=False,
            date_header=False,
            backlog=_BACKLOG,
            timeout_keep_alive=_KEEPALIVE_TIMEOUT_S,
            timeout_graceful_shutdown=_STOP_TIMEOUT_S,
            ssl_certfile=tls.certificate if tls else None,
            ssl_keyfile=tls.private_key if tls else None,
            ssl_ca_certs=str(tls.authority) if tls else None,
            ssl_cert_reqs=ssl.CERT_REQUIRED if client_certificates else ssl.CERT_NONE,
        )
        try:
            self._config.load()
        except OSError as error:
            if tls is None:
                raise
            raise files_unusable(tls, error) from error
        host, _, port = address.rpartition(":")
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        # asyncio sets TCP_NODELAY only on sockets created with IPPROTO_TCP; without
        # it, responses in two writes wait 40 ms for a delayed acknowledgement.
        self._socket = socket.socket(family, socket.SOCK_STREAM, socket.IPPROTO_TCP)
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            self._socket.bind((host.strip("[]"), int(port)))
        except OSError as error:
            self._socket.close()
            raise _address_error(address, error) from error
        bound_host, bound_port = self._socket.getsockname()[:2]
        self.address = f"{bound_host}:{bound_port}"
        self._server = _Server(self._config)
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Accept connections."""
        serving = self._server.serve(sockets=[self._socket])
        self._task = asyncio.get_running_loop().create_task(serving)
        while not self._server.started:
            if self._task.done():
                try:
                    await self._task
                except OSError as error:
                    # Two processes can bind an address on which neither listens yet.
                    raise _address_error(self.address, error) from error
            await asyncio.sleep(0)

    async def stop(self) -> None:
        """Close the listening socket and finish the requests in flight, if they end."""
        self._server.should_exit = True
        if self._task is not None:
            await self._task

    def abort(self) -> None:
        """Close the listening socket and abort every connection."""
        self._server.should_exit = True
        self._server.force_exit = True
        for server in getattr(self._server, "servers", ()):
            server.close()
        self._socket.close()
        for connection in list(self._server.server_state.connections):
            transport = getattr(connection, "transport", None)
            if transport is not None:
                transport.abort()

    def reload(self) -> None:
        """Reload the certificate and key files, for new connections."""
        reload_identity(self._config.ssl, self._tls)


def _address_error(address: str, error: OSError) -> KingcuplugError:
    if error.errno == errno.EADDRINUSE:
        return AddressUnavailable(
            f"address {address} is in use",
            "stop the process that listens there, or change the settings",
        )
    if error.errno == errno.EADDRNOTAVAIL:
        return AddressUnavailable(
            f"no interface of this machine has the address {address}",
            "configure the interface, or change the settings",
        )
    return AddressUnusable(
        f"address {address} cannot be bound: {error.strerror}",
        "change the settings, or the permissions of the process",
    )
