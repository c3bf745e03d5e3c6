"""One host: its roles, its listeners, and its startup and shutdown."""

import asyncio
import contextlib
from collections.abc import Callable
from pathlib import Path

from kingcuplug_common import (
    FolderInUse,
    FolderLock,
    HostSettings,
    KingcuplugError,
    Metrics,
    SettingsInvalid,
    log_state_change,
    log_to_file,
    open_tracer,
    wall_ms,
    write_error_line,
)
from kingcuplug_log import LogSettings
from kingcuplug_membership import MembershipSettings
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.types import Receive, Scope, Send

from kingcuplug_daemon._caller_app import CallerApp
from kingcuplug_daemon._control_node import ControlNode
from kingcuplug_daemon._entry_configuration import RoutingPolicyFactory
from kingcuplug_daemon._entry_node import EntryNode, routing_policy_for
from kingcuplug_daemon._http import json_response
from kingcuplug_daemon._leader_client import LeaderClient
from kingcuplug_daemon._lifecycle import Lifecycle
from kingcuplug_daemon._listener import Listener
from kingcuplug_daemon._operator_app import OperatorApp
from kingcuplug_daemon._peer_app import peer_application
from kingcuplug_daemon._peer_client import PeerClient
from kingcuplug_daemon._precondition import PreconditionUnmet
from kingcuplug_daemon._receipt_keys import ReceiptKeys
from kingcuplug_daemon._tls import check_identity
from kingcuplug_daemon._tokens import BearerTokens

__all__ = ["DataFolderInUse", "DataFolderUnusable", "Host"]

_MS_PER_S = 1_000
_RESPONSE_FLUSH_S = 0.05


class DataFolderInUse(PreconditionUnmet):
    """Another process, perhaps one that is ending, uses the data folder."""


class DataFolderUnusable(KingcuplugError):
    """The data folder cannot be created or opened."""


class Host:
    """A running host.

    Parameters
    ----------
    settings : HostSettings
        Settings of this host.
    policy_factory : callable, optional
        Returns the routing policy of a service; for experiments.
    log_settings, membership_settings : optional
        Timeouts and limits of the control plane.

    Raises
    ------
    SettingsUnreadable
        If a file that the settings name cannot be used.
    AddressUnavailable, AddressUnusable
        If the address of a listener cannot be bound.
    DataFolderInUse, DataFolderUnusable
        If another process uses the data folder, or it cannot be created or opened.

    Attributes
    ----------
    caller_address, peer_address : str
        Bound addresses of the listeners.
    """

    def __init__(
        self,
        settings: HostSettings,
        policy_factory: RoutingPolicyFactory = routing_policy_for,
        log_settings: LogSettings | None = None,
        membership_settings: MembershipSettings | None = None,
    ) -> None:
        self.settings = settings
        self.metrics = Metrics(settings.statsd_address)
        self.lifecycle = Lifecycle()
        self._policy_factory = policy_factory
        self._log_settings = log_settings
        self._membership_settings = membership_settings
        for tls in (settings.caller_tls, settings.peer_tls, settings.backend_tls):
            check_identity(tls)
        self._operator_tokens = BearerTokens(settings.operator_token_file)
        self._announce_tokens = BearerTokens(settings.announce_token_file)
        self._peers = PeerClient(settings.peer_tls)
        self._resources = contextlib.ExitStack()
        self._key_task: asyncio.Task[None] | None = None
        self._drain_requested = asyncio.Event()
        with contextlib.ExitStack() as undo:
            undo.callback(self._resources.close)
            if settings.data_folder is not None:
                self._lock_data_folder(settings.data_folder)
            # The listeners bind first, so that port 0 is resolved before the roles are
            # built; they accept connections only at the end of `start`.
            self._caller_listener = Listener(
                self._handle_caller_request,
                settings.caller_address,
                settings.caller_tls,
            )
            undo.callback(self._caller_listener.abort)
            self._peer_listener = Listener(
                self._handle_peer_request,
                settings.peer_address,
                settings.peer_tls,
                client_certificates=True,
            )
            undo.pop_all()
        self.caller_address = self._caller_listener.address
        self.peer_address = self._peer_listener.address
        self._caller_application: Starlette | None = None
        self._peer_application: Starlette | None = None
        self.control: ControlNode | None = None
        self.entry: EntryNode | None = None
        self.receipt_keys: ReceiptKeys

    async def start(self) -> None:
        """Start all roles and accept connections.

        Raises
        ------
        KingcuplugError
            If the data folder cannot be used.
        AddressUnavailable
            If another process has begun to listen on an address of this host.
        """
        settings = self.settings
        if settings.log_file is not None:
            self._resources.enter_context(log_to_file(settings.log_file))
        spans = self._resources.enter_context(
            open_tracer(settings.trace_file, settings.trace_share)
        )
        seeds = settings.control_seeds or (self.peer_address,)
        leader_client = LeaderClient(self._peers, lambda: seeds)
        self.receipt_keys = ReceiptKeys(
            settings.host, settings.data_folder, leader_client.submit, wall_ms
        )
        if "control" in settings.roles:
            self.control = ControlNode(
                settings,
                self.peer_address,
                self._peers,
                self.metrics,
                self._log_settings,
                self._membership_settings,
            )
            await self.control.start()
        if "entry" in settings.roles:
            self.entry = EntryNode(
                settings,
                self.caller_address,
                wall_ms(),
                self._peers,
                leader_client,
                seeds,
                self.metrics,
                spans,
                self._policy_factory,
                self._membership_settings,
            )
        operator_app = OperatorApp(
            settings,
            leader_client,
            self.control,
            self.entry,
            self.receipt_keys,
            self.lifecycle,
            self.metrics,
            self._drain_requested.set,
            self._operator_tokens,
        )
        routes = operator_app.routes()
        if self.entry is not None:
            routes += CallerApp(
                settings,
                self.entry,
                self.receipt_keys,
                self.lifecycle,
                self.metrics,
                spans,
                self._announce_tokens,
            ).routes()
        self._caller_application = Starlette(routes=routes)
        self._peer_application = peer_application(self.control, self.metrics, spans)
        await self._peer_listener.start()
        if self.entry is not None:
            await self.entry.start()
        self._key_task = asyncio.create_task(self.receipt_keys.start())
        await self._caller_listener.start()
        log_state_change("host", "started", host=settings.host)

    async def wait_drain_requested(self) -> None:
        """Wait until an operator asks for a graceful shutdown."""
        await self._drain_requested.wait()

    async def stop(self, grace_ms: int | None = None) -> None:
        """Shut down gracefully, without interrupting requests in flight.

        Parameters
        ----------
        grace_ms : int, optional
            Time for the load balancer to remove this host; by default that of the
            settings.
        """
        if grace_ms is None:
            grace_ms = self.settings.shutdown_grace_ms
        await self.lifecycle.drain(grace_ms / _MS_PER_S)
        # The responses to the last requests may still be in the send buffers.
        await asyncio.sleep(_RESPONSE_FLUSH_S)
        await self._caller_listener.stop()
        self._cancel_key_task()
        if self.entry is not None:
            await self.entry.stop()
        if self.control is not None:
            await self.control.stop()
        await self._peer_listener.stop()
        await self._peers.close()
        log_state_change("host", "stopped", host=self.settings.host)
        self._resources.close()

    async def kill(self) -> None:
        """Stop without a drain, as a crash does, also after a failed `start`."""
        self._caller_listener.abort()
        self._peer_listener.abort()
        self._cancel_key_task()
        if self.entry is not None:
            await self.entry.abort()
        if self.control is not None:
            await self.control.stop()
        await self._peers.close()
        self._resources.close()

    def reload(self) -> None:
        """Reload tokens, and certificates for new connections.

        Unusable files are logged, also to standard error, and their former contents
        stay in use.
        """
        reloads: list[Callable[[], None]] = [
            self._caller_listener.reload,
            self._peer_listener.reload,
            self._peers.reload,
            self._operator_tokens.reload,
            self._announce_tokens.reload,
        ]
        if self.entry is not None:
            reloads.append(self.entry.reload)
        reasons = set()
        for reload in reloads:
            try:
                reload()
            except SettingsInvalid as error:
                self.metrics.count("reload.failed")
                log_state_change("host", "reload failed", why=str(error))
                reasons.add(str(error))
        for reason in sorted(reasons):
            write_error_line(f"kingcuplugd: not reloaded: {reason}")

    def _lock_data_folder(self, folder: Path) -> None:
        try:
            self._resources.callback(FolderLock(folder).release)
        except FolderInUse as error:
            raise DataFolderInUse(error.message, error.remedy) from error
        except OSError as error:
            raise DataFolderUnusable(
                f"data folder {folder} cannot be used: {error.strerror}",
                "check the path, its permissions and the free space",
            ) from error

    def _cancel_key_task(self) -> None:
        if self._key_task is not None:
            self._key_task.cancel()

    async def _handle_caller_request(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        await (self._caller_application or _respond_starting)(scope, receive, send)

    async def _handle_peer_request(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        await (self._peer_application or _respond_starting)(scope, receive, send)


async def _respond_starting(scope: Scope, receive: Receive, send: Send) -> None:
    response: Response = json_response({"error": "Starting"}, 503)
    await response(scope, Request(scope, receive).receive, send)
