"""One host: listeners, what it knows, its part in control, start and stop."""

import asyncio
import contextlib
import gc
import signal
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

from kingcuplug_common import (
    EventLog,
    KingcuplugError,
    Metrics,
    exposition,
    send_state_changes_to,
)
from kingcuplug_fleet import (
    LEARN_PATH,
    REPORT_PATH,
    SHARE_PATH,
    Core,
    CoreSettings,
    CoreUnavailable,
    DirectoryFile,
    Knowledge,
    Learner,
    Mesh,
    PeerFailed,
    PeerRefused,
    Peers,
    Report,
    RouteRegister,
    ServerRecord,
    ServerState,
    decode_body,
    encode_body,
    teach,
)
from kingcuplug_gateway import (
    Gateway,
    GatewaySettings,
    HeaderNames,
    KnownServer,
    NotGathering,
    RouteTable,
)
from kingcuplug_http import Limits, Listener, Request, Response, error_response
from kingcuplug_log import LostLeadership, NotLeader, StorageFailed

from kingcuplug_node._settings import NodeSettings

__all__ = ["Elsewhere", "Host"]

_PEER_PREFIX = b"/peer/"
_GATHER_PATH = "/peer/v2/gather"
_MS_PER_S = 1_000
# Statements that are missing for this many intervals make a server silent.
_SILENT_AFTER_INTERVALS = 3.5
_UPKEEP_INTERVAL_S = 0.25
# A server that turns slow delays a query of each host until all have heard of it.
_REPORT_INTERVAL_S = 0.3
# Timers fire late, and an answer takes a moment on the host's link; merging and
# writing the answer of a query over 36 shards takes some time of a whole core.
_ANSWER_MARGIN_MS = 4.0
_MERGE_CPU_MS = 4.0
_SETTINGS_POLL_INTERVAL_S = 1.0
# New callers come until the balancer has missed two checks, one second apart, and has
# taken note; what they have begun must end within the grace period.
_MAX_DRAIN_S = 3.2
_DRAIN_GRACE_RATIO = 0.55
# Left of the grace period to write the last lines and exit.
_EXIT_MARGIN_S = 0.5
_DRAIN_POLL_INTERVAL_S = 0.02
# Operators may send large documents, and hosts whole directories.
_CONTROL_HTTP_LIMITS = Limits(
    max_body_bytes=16_777_216, header_timeout_ms=5_000, idle_timeout_ms=20_000
)

ControlHandler = Callable[[Request], Awaitable[Response]]


class Elsewhere(KingcuplugError):
    """Another host serves this call."""

    def __init__(self, address: str) -> None:
        super().__init__(f"control is served at {address}", "send the call there")
        self.address = address


class Host:
    """Serves callers, and backend servers, operators and hosts at one address.

    Parameters
    ----------
    decode_routes : callable
        Makes a route table of a document that was accepted before.
    reload : callable
        Returns the settings as they are now, or ``None`` if they cannot be read.
    """

    def __init__(
        self,
        settings: NodeSettings,
        header_names: HeaderNames,
        decode_routes: Callable[[str], RouteTable],
        load_settings: Callable[[], NodeSettings | None],
        log: EventLog,
    ) -> None:
        self._settings = settings
        self._decode_routes = decode_routes
        self._load_settings = load_settings
        self._log = log
        self._metrics = Metrics()
        self._peer_client = Peers()
        self._stop_requested = asyncio.Event()
        self._stopping = False
        silent_after_s = (
            settings.heartbeat_interval_ms * _SILENT_AFTER_INTERVALS / _MS_PER_S
        )
        self._fleet_view = Knowledge(silent_after_s)
        self._route_register = RouteRegister(self._on_routes_changed)
        self._gateway = Gateway(
            GatewaySettings(
                settings.availability_zone,
                header_names,
                settings.retry_budget,
                answer_margin_ms=_ANSWER_MARGIN_MS
                + _MERGE_CPU_MS / settings.processor_cores,
                link_mbps=settings.link_mbps,
            ),
            log,
            self._metrics,
            ask_peer=self._call_gatherer,
        )
        self._caller_listener = Listener(
            self._handle_caller_request, self._gateway.limits
        )
        self._replica = self._make_replica()
        self._directory_file: DirectoryFile | None = None
        if settings.data_folder is not None:
            self._directory_file = DirectoryFile(
                settings.data_folder, self._fleet_view, log
            )
        self._mesh = Mesh(
            settings.host,
            self._fleet_view,
            self._peer_client,
            settings.control_address,
            settings.availability_zone,
            lambda: self._replica.leader() if self._replica is not None else None,
            log,
        )
        self._poller = Learner(
            settings.host,
            self._fleet_view,
            self._peer_client,
            lambda: self._settings.seeds,
            self._is_connected_control_host,
            settings.control_address,
            settings.availability_zone,
            log,
        )

    @property
    def ready(self) -> bool:
        """Whether callers should come here."""
        known = self._gateway.table is not None and self._may_serve()
        return known and not self._stopping

    async def receive_heartbeat(self, record: ServerRecord) -> str:
        """Take a backend server's statement about itself.

        Returns
        -------
        str
            Where the server should send its next statements: to a control host in
            its availability zone if one is reachable, as bytes between availability
            zones are priced.

        Raises
        ------
        Elsewhere, CoreUnavailable
            If this host keeps no state.
        """
        self._require_replica()
        news = self._fleet_view.learn_servers([record], first_hand=True)
        self._mesh.hear(record)
        own = self._settings.control_address
        next_address = own
        if record.availability_zone != self._settings.availability_zone:
            near = self._fleet_view.near(record.availability_zone, record.id)
            next_address = near or own
        if not news:
            return next_address
        self._log.write(
            "server_learnt",
            {
                "server": record.id,
                "service": record.service,
                "state": record.state.value,
                "sequence": record.sequence,
                "born_ms": record.born_ms,
            },
        )
        if record.state is not ServerState.READY:
            await self._mesh.tell(record)
        return next_address

    async def deregister_server(self, server_id: str, start_ms: int | None) -> None:
        """Take the news that a backend server takes no more work.

        Raises
        ------
        Elsewhere, CoreUnavailable
            If this host keeps no state.
        """
        self._require_replica()
        known = self._fleet_view.directory.find(server_id)
        if known is None or (start_ms is not None and start_ms < known.born_ms):
            return
        await self.receive_heartbeat(known.ended())

    async def submit_routes(self, version: int, document: str) -> None:
        """Make a route document durable and in force.

        Raises
        ------
        Elsewhere, CoreUnavailable
            If that cannot be done here or now.
        """
        held = await self._require_replica().submit(version, document)
        self._log.write(
            "routes_accepted", {"version": version, "held": held}, always=True
        )

    async def read_routes(self) -> str:
        """Return the newest route document, empty if there is none.

        Raises
        ------
        Elsewhere, CoreUnavailable
            If this host cannot be sure which one is the newest.
        """
        register = await self._require_replica().read()
        return register.document

    async def run(self, control_handler: ControlHandler) -> None:
        """Serve until SIGTERM, then finish what is in progress.

        Parameters
        ----------
        control : callable
            Answers backend servers and operators.
        """
        self._install_handlers()
        if self._directory_file is not None:
            self._directory_file.load()
        listener = Listener(
            self._make_control_handler(control_handler), lambda: _CONTROL_HTTP_LIMITS
        )
        ready = Listener(self._handle_readiness_probe, lambda: _CONTROL_HTTP_LIMITS)
        settings = self._settings
        await listener.start(settings.control_bind_address or settings.control_address)
        await ready.start(self._settings.ready_address)
        figures = Listener(self._handle_metrics_request, lambda: _CONTROL_HTTP_LIMITS)
        await figures.start(self._settings.metrics_address)
        await self._caller_listener.start(self._settings.caller_address)
        self._log.write("started", {"zone": self._settings.availability_zone}, True)
        gc.freeze()
        tasks = [
            asyncio.create_task(self._supervise(work))
            for work in self._background_tasks()
        ]
        await self._stop_requested.wait()
        await self._drain()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for open_listener in (listener, ready, figures, self._caller_listener):
            await open_listener.stop()
        self._gateway.servers.close()
        self._peer_client.close()
        self._log.write("stopped", {}, always=True)
        self._log.flush()

    def _make_replica(self) -> Core | None:
        settings = self._settings
        if settings.data_folder is None:
            return None
        return Core(
            CoreSettings(
                settings.host,
                settings.control_address,
                settings.data_folder,
                settings.seeds,
                settings.first_start,
            ),
            self._peer_client,
            self._route_register,
            lambda: set(self._fleet_view.control),
            self._log,
            self._metrics,
        )

    def _background_tasks(self) -> list[Coroutine[Any, Any, None]]:
        work = [
            self._log.run(),
            self._apply_changes(),
            self._poller.run(),
            self._watch_settings(),
            self._prune_servers(),
            self._send_reports(),
        ]
        if self._directory_file is not None:
            work.append(self._directory_file.run())
        if self._replica is not None:
            work += [
                self._replica.run(),
                self._mesh.run(),
                self._update_control_hosts(self._replica),
            ]
        return work

    async def _supervise(self, task: Coroutine[Any, Any, None]) -> None:
        """End the process if one of its tasks ends unexpectedly."""
        try:
            await task
        except Exception as error:
            self._log.write("task_failed", {"error": repr(error)}, always=True)
            self._stop_requested.set()
            raise

    def _install_handlers(self) -> None:
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self._stop_requested.set)
        loop.add_signal_handler(signal.SIGINT, self._stop_requested.set)
        loop.add_signal_handler(signal.SIGHUP, self._reload_settings)
        loop.set_exception_handler(self._on_exception)
        send_state_changes_to(
            lambda subject, state, fields: self._log.write(
                f"{subject}_changed", {"state": state, **fields}
            )
        )

    def _on_exception(
        self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]
    ) -> None:
        error = context.get("exception")
        self._metrics.count("errors.unexpected")
        self._log.write(
            "unexpected_error", {"message": context["message"], "error": repr(error)}
        )

    def _may_serve(self) -> bool:
        """Return whether the routes that are held may be served."""
        if self._settings.serve_without_control or self._is_connected_control_host():
            return True
        age_s = asyncio.get_running_loop().time() - self._poller.confirmed_at
        return age_s * _MS_PER_S < self._settings.control_lease_ms

    async def _handle_caller_request(self, request: Request) -> Response:
        if not self._may_serve():
            self._metrics.count("requests.without_control")
            return error_response(503, "cut off from control", retry_after_s=1.0)
        return await self._gateway.handle(request)

    def _on_routes_changed(self) -> None:
        self._fleet_view.learn_routes(
            self._route_register.version, self._route_register.document
        )

    def _is_connected_control_host(self) -> bool:
        return self._replica is not None and self._replica.connected()

    def _require_replica(self) -> Core:
        if self._replica is not None:
            return self._replica
        if self._poller.teacher is None:
            raise CoreUnavailable("this host knows no control host")
        raise Elsewhere(self._poller.teacher)

    def _make_control_handler(self, public_handler: ControlHandler) -> ControlHandler:
        async def handle(request: Request) -> Response:
            if request.target.startswith(_PEER_PREFIX):
                return await self._handle_peer_request(request)
            return await public_handler(request)

        return handle

    async def _call_gatherer(self, address: str, value: Any, timeout_s: float) -> Any:
        try:
            return await self._peer_client.call(address, _GATHER_PATH, value, timeout_s)
        except PeerRefused as error:
            raise NotGathering(str(error)) from error

    async def _handle_peer_request(self, request: Request) -> Response:
        path = request.target.decode("latin-1")
        try:
            encoding = request.header(b"content-encoding")
            value = decode_body(encoding, request.body)
            reply = await self._dispatch_peer_call(path, value)
        except (KeyError, TypeError, ValueError) as error:
            return error_response(400, f"malformed call: {error!r}")
        except (
            CoreUnavailable,
            NotGathering,
            PeerFailed,
            NotLeader,
            LostLeadership,
        ) as error:
            return error_response(503, str(error))
        except (StorageFailed, TimeoutError) as error:
            return error_response(503, repr(error))
        return Response(200, *encode_body(reply))

    async def _dispatch_peer_call(self, path: str, value: Any) -> Any:
        if path == LEARN_PATH:
            own = self._settings.control_address
            return await teach(
                self._fleet_view, self._is_connected_control_host, own, value
            )
        if path == _GATHER_PATH:
            return await self._gateway.gather(value, begins=not self._stopping)
        if path == REPORT_PATH:
            self._mesh.take_report(Report.from_json(value))
            return {}
        if path == SHARE_PATH:
            return self._mesh.take(value)
        if self._replica is None:
            raise CoreUnavailable("this host keeps no state")
        return await self._replica.answer(path, value)

    async def _handle_readiness_probe(self, request: Request) -> Response:
        if self.ready:
            return Response(200, [], b"")
        return error_response(503, "stopping" if self._stopping else "no routes yet")

    async def _handle_metrics_request(self, request: Request) -> Response:
        knowledge = self._fleet_view
        gauges = {
            "routes_version": knowledge.routes_version,
            "servers_usable": len(knowledge.directory.usable()),
            "servers_silent": len(knowledge.silent),
            "hosts_live": knowledge.hosts,
            "callers_connected": len(self._caller_listener.connections),
            "control_connected": float(
                self._is_connected_control_host() or self._poller.teacher is not None
            ),
            "control_leads": float(self._replica is not None and self._replica.leads()),
            "log_lines_dropped": self._log.dropped,
        }
        headers = [(b"Content-Type", b"text/plain; version=0.0.4")]
        return Response(200, headers, exposition(self._metrics, gauges))

    async def _apply_changes(self) -> None:
        """Bring what becomes known into force."""
        knowledge = self._fleet_view
        applied: tuple[object, ...] = ()

        def news() -> bool:
            return current() != applied

        def current() -> tuple[object, ...]:
            return (
                knowledge.routes_version,
                knowledge.directory.version,
                frozenset(knowledge.silent),
                frozenset(knowledge.slow.items()),
                knowledge.hosts,
                knowledge.requests,
                knowledge.reachable,
            )

        while True:
            await knowledge.changed.until(news)
            applied = current()
            self._apply_routes()
            self._apply_servers()

    def _apply_routes(self) -> None:
        knowledge, table = self._fleet_view, self._gateway.table
        if table is not None and knowledge.routes_version <= table.version:
            return
        if knowledge.routes_version == 0:
            return
        first = table is None
        self._gateway.adopt(self._decode_routes(knowledge.routes_document))
        self._log.write(
            "routes_in_force",
            {"version": knowledge.routes_version, "first": first},
            always=True,
        )

    def _apply_servers(self) -> None:
        knowledge = self._fleet_view
        known = [
            KnownServer(
                id=record.id,
                service=record.service,
                address=record.address,
                availability_zone=record.availability_zone,
                slots=record.slots,
                cold_ms=record.cold_ms,
                silent=record.id in knowledge.silent,
                pace=knowledge.slow.get(record.id, 1.0),
            )
            for record in knowledge.directory.usable()
        ]
        # Control hosts gather parts for hosts with narrow links.
        gatherers: dict[str, list[str]] = {}
        for address in knowledge.reachable:
            zone = knowledge.zones.get(address, "")
            gatherers.setdefault(zone, []).append(address)
        self._gateway.use(known, knowledge.hosts, knowledge.requests, gatherers)

    async def _update_control_hosts(self, replica: Core) -> None:
        while True:
            if replica.connected():
                self._fleet_view.learn_control(replica.members())
            await asyncio.sleep(_UPKEEP_INTERVAL_S)

    async def _send_reports(self) -> None:
        """Share what this host sees of the servers' pace, and its load."""
        while True:
            await asyncio.sleep(_REPORT_INTERVAL_S)
            servers = self._gateway.servers
            report = Report(servers.take_samples(), servers.take_requests())
            if self._is_connected_control_host():
                self._mesh.take_report(report)
            else:
                await self._poller.report(report)

    async def _prune_servers(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(_UPKEEP_INTERVAL_S)
            self._gateway.servers.prune(loop.time())

    async def _watch_settings(self) -> None:
        while True:
            await asyncio.sleep(_SETTINGS_POLL_INTERVAL_S)
            self._reload_settings()

    def _reload_settings(self) -> None:
        """Take new seeds; everything else holds until the next start."""
        settings = self._load_settings()
        if settings is None or settings.seeds == self._settings.seeds:
            return
        self._settings = settings
        self._log.write("settings_reloaded", {"seeds": settings.seeds}, always=True)

    async def _drain(self) -> None:
        """Finish requests in progress while callers learn to go elsewhere."""
        loop = asyncio.get_running_loop()
        begun_at = loop.time()
        settings = self._settings
        self._stopping = True
        self._caller_listener.closing = True
        self._log.write("stopping", {"busy": self._caller_listener.busy}, always=True)
        grace_s = settings.termination_grace_ms / _MS_PER_S
        await asyncio.sleep(min(_MAX_DRAIN_S, grace_s * _DRAIN_GRACE_RATIO))
        self._caller_listener.stop_accepting()
        end_at = begun_at + grace_s - _EXIT_MARGIN_S
        while loop.time() < end_at:
            self._caller_listener.close_idle()
            if not self._caller_listener.connections:
                break
            await asyncio.sleep(_DRAIN_POLL_INTERVAL_S)
        self._log.write("drained", {"busy": self._caller_listener.busy}, always=True)
        with contextlib.suppress(OSError):
            self._log.flush()
