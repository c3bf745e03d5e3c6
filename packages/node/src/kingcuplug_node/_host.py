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
_SILENT_INTERVALS = 3.5
_UPKEEP_S = 0.25
# A server that turns slow delays a query of each host until all have heard of it.
_REPORT_S = 0.3
# Timers fire late, and an answer takes a moment on the host's link; merging and
# writing the answer of a query over 36 shards takes some time of a whole core.
_MARGIN_MS = 4.0
_MERGE_CORE_MS = 4.0
_SETTINGS_CHECK_S = 1.0
# New callers come until the balancer has missed two checks, one second apart, and has
# taken note; what they have begun must end within the grace period.
_LONGEST_DRAIN_S = 3.2
_DRAIN_SHARE_OF_GRACE = 0.55
# Left of the grace period to write the last lines and exit.
_EXIT_MARGIN_S = 0.5
_STOP_CHECK_S = 0.02
# Operators may send large documents, and hosts whole directories.
_CONTROL_LIMITS = Limits(
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
        names: HeaderNames,
        decode_routes: Callable[[str], RouteTable],
        reload: Callable[[], NodeSettings | None],
        log: EventLog,
    ) -> None:
        self._settings = settings
        self._decode_routes = decode_routes
        self._reload = reload
        self._log = log
        self._metrics = Metrics()
        self._peers = Peers()
        self._stop = asyncio.Event()
        self._stopping = False
        silent_after_s = settings.heartbeat_ms * _SILENT_INTERVALS / _MS_PER_S
        self._knowledge = Knowledge(silent_after_s)
        self._register = RouteRegister(self._on_routes)
        self._gateway = Gateway(
            GatewaySettings(
                settings.availability_zone,
                names,
                settings.allowance,
                answer_margin_ms=_MARGIN_MS + _MERGE_CORE_MS / settings.processor_cores,
                link_mbps=settings.link_mbps,
            ),
            log,
            self._metrics,
            ask_peer=self._ask_gatherer,
        )
        self._front = Listener(self._serve, self._gateway.limits)
        self._core = self._make_core()
        self._file: DirectoryFile | None = None
        if settings.data_folder is not None:
            self._file = DirectoryFile(settings.data_folder, self._knowledge, log)
        self._mesh = Mesh(
            settings.host,
            self._knowledge,
            self._peers,
            settings.control_address,
            settings.availability_zone,
            lambda: self._core.leader() if self._core is not None else None,
            log,
        )
        self._learner = Learner(
            settings.host,
            self._knowledge,
            self._peers,
            lambda: self._settings.seeds,
            self._knows_all,
            settings.control_address,
            settings.availability_zone,
            log,
        )

    @property
    def ready(self) -> bool:
        """Whether callers should come here."""
        known = self._gateway.table is not None and self._may_serve()
        return known and not self._stopping

    async def announce(self, record: ServerRecord) -> str:
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
        self._require_core()
        news = self._knowledge.learn_servers([record], first_hand=True)
        self._mesh.hear(record)
        own = self._settings.control_address
        next_address = own
        if record.availability_zone != self._settings.availability_zone:
            near = self._knowledge.near(record.availability_zone, record.id)
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

    async def withdraw(self, identifier: str, born_ms: int | None) -> None:
        """Take the news that a backend server takes no more work.

        Raises
        ------
        Elsewhere, CoreUnavailable
            If this host keeps no state.
        """
        self._require_core()
        known = self._knowledge.directory.find(identifier)
        if known is None or (born_ms is not None and born_ms < known.born_ms):
            return
        await self.announce(known.ended())

    async def submit(self, version: int, document: str) -> None:
        """Make a route document durable and in force.

        Raises
        ------
        Elsewhere, CoreUnavailable
            If that cannot be done here or now.
        """
        held = await self._require_core().submit(version, document)
        self._log.write(
            "routes_accepted", {"version": version, "held": held}, always=True
        )

    async def read(self) -> str:
        """Return the newest route document, empty if there is none.

        Raises
        ------
        Elsewhere, CoreUnavailable
            If this host cannot be sure which one is the newest.
        """
        register = await self._require_core().read()
        return register.document

    async def run(self, control: ControlHandler) -> None:
        """Serve until SIGTERM, then finish what is in progress.

        Parameters
        ----------
        control : callable
            Answers backend servers and operators.
        """
        self._install()
        if self._file is not None:
            self._file.load()
        listener = Listener(self._control(control), lambda: _CONTROL_LIMITS)
        ready = Listener(self._readiness, lambda: _CONTROL_LIMITS)
        settings = self._settings
        await listener.start(settings.control_bind_address or settings.control_address)
        await ready.start(self._settings.ready_address)
        figures = Listener(self._figures, lambda: _CONTROL_LIMITS)
        await figures.start(self._settings.metrics_address)
        await self._front.start(self._settings.caller_address)
        self._log.write("started", {"zone": self._settings.availability_zone}, True)
        gc.freeze()
        tasks = [
            asyncio.create_task(self._supervise(work)) for work in self._background()
        ]
        await self._stop.wait()
        await self._drain()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for open_listener in (listener, ready, figures, self._front):
            await open_listener.stop()
        self._gateway.servers.close()
        self._peers.close()
        self._log.write("stopped", {}, always=True)
        self._log.flush()

    def _make_core(self) -> Core | None:
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
            self._peers,
            self._register,
            lambda: set(self._knowledge.control),
            self._log,
            self._metrics,
        )

    def _background(self) -> list[Coroutine[Any, Any, None]]:
        work = [
            self._log.run(),
            self._apply(),
            self._learner.run(),
            self._watch_settings(),
            self._prune(),
            self._report(),
        ]
        if self._file is not None:
            work.append(self._file.run())
        if self._core is not None:
            work += [self._core.run(), self._mesh.run(), self._follow_core(self._core)]
        return work

    async def _supervise(self, work: Coroutine[Any, Any, None]) -> None:
        """End the process if one of its tasks ends unexpectedly."""
        try:
            await work
        except Exception as error:
            self._log.write("task_failed", {"error": repr(error)}, always=True)
            self._stop.set()
            raise

    def _install(self) -> None:
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self._stop.set)
        loop.add_signal_handler(signal.SIGINT, self._stop.set)
        loop.add_signal_handler(signal.SIGHUP, self._read_settings)
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
        if self._settings.serve_without_control or self._knows_all():
            return True
        age_s = asyncio.get_running_loop().time() - self._learner.confirmed_at
        return age_s * _MS_PER_S < self._settings.control_lease_ms

    async def _serve(self, request: Request) -> Response:
        if not self._may_serve():
            self._metrics.count("requests.without_control")
            return error_response(503, "cut off from control", retry_after_s=1.0)
        return await self._gateway.handle(request)

    def _on_routes(self) -> None:
        self._knowledge.learn_routes(self._register.version, self._register.document)

    def _knows_all(self) -> bool:
        return self._core is not None and self._core.connected()

    def _require_core(self) -> Core:
        if self._core is not None:
            return self._core
        if self._learner.teacher is None:
            raise CoreUnavailable("this host knows no control host")
        raise Elsewhere(self._learner.teacher)

    def _control(self, public: ControlHandler) -> ControlHandler:
        async def handle(request: Request) -> Response:
            if request.target.startswith(_PEER_PREFIX):
                return await self._answer_peer(request)
            return await public(request)

        return handle

    async def _ask_gatherer(self, address: str, value: Any, timeout_s: float) -> Any:
        try:
            return await self._peers.call(address, _GATHER_PATH, value, timeout_s)
        except PeerRefused as error:
            raise NotGathering(str(error)) from error

    async def _answer_peer(self, request: Request) -> Response:
        path = request.target.decode("latin-1")
        try:
            encoding = request.header(b"content-encoding")
            value = decode_body(encoding, request.body)
            reply = await self._peer_reply(path, value)
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

    async def _peer_reply(self, path: str, value: Any) -> Any:
        if path == LEARN_PATH:
            own = self._settings.control_address
            return await teach(self._knowledge, self._knows_all, own, value)
        if path == _GATHER_PATH:
            return await self._gateway.gather(value, begins=not self._stopping)
        if path == REPORT_PATH:
            self._mesh.take_report(Report.from_json(value))
            return {}
        if path == SHARE_PATH:
            return self._mesh.take(value)
        if self._core is None:
            raise CoreUnavailable("this host keeps no state")
        return await self._core.answer(path, value)

    async def _readiness(self, request: Request) -> Response:
        if self.ready:
            return Response(200, [], b"")
        return error_response(503, "stopping" if self._stopping else "no routes yet")

    async def _figures(self, request: Request) -> Response:
        knowledge = self._knowledge
        gauges = {
            "routes_version": knowledge.routes_version,
            "servers_usable": len(knowledge.directory.usable()),
            "servers_silent": len(knowledge.silent),
            "hosts_live": knowledge.hosts,
            "callers_connected": len(self._front.connections),
            "control_connected": float(
                self._knows_all() or self._learner.teacher is not None
            ),
            "control_leads": float(self._core is not None and self._core.leads()),
            "log_lines_dropped": self._log.dropped,
        }
        headers = [(b"Content-Type", b"text/plain; version=0.0.4")]
        return Response(200, headers, exposition(self._metrics, gauges))

    async def _apply(self) -> None:
        """Bring what becomes known into force."""
        knowledge = self._knowledge
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
        knowledge, table = self._knowledge, self._gateway.table
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
        knowledge = self._knowledge
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

    async def _follow_core(self, core: Core) -> None:
        while True:
            if core.connected():
                self._knowledge.learn_control(core.members())
            await asyncio.sleep(_UPKEEP_S)

    async def _report(self) -> None:
        """Share what this host sees of the servers' pace, and its load."""
        while True:
            await asyncio.sleep(_REPORT_S)
            servers = self._gateway.servers
            report = Report(servers.take_samples(), servers.take_requests())
            if self._knows_all():
                self._mesh.take_report(report)
            else:
                await self._learner.report(report)

    async def _prune(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(_UPKEEP_S)
            self._gateway.servers.prune(loop.time())

    async def _watch_settings(self) -> None:
        while True:
            await asyncio.sleep(_SETTINGS_CHECK_S)
            self._read_settings()

    def _read_settings(self) -> None:
        """Take new seeds; everything else holds until the next start."""
        settings = self._reload()
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
        self._front.closing = True
        self._log.write("stopping", {"busy": self._front.busy}, always=True)
        grace_s = settings.grace_ms / _MS_PER_S
        await asyncio.sleep(min(_LONGEST_DRAIN_S, grace_s * _DRAIN_SHARE_OF_GRACE))
        self._front.stop_accepting()
        end_at = begun_at + grace_s - _EXIT_MARGIN_S
        while loop.time() < end_at:
            self._front.close_idle()
            if not self._front.connections:
                break
            await asyncio.sleep(_STOP_CHECK_S)
        self._log.write("drained", {"busy": self._front.busy}, always=True)
        with contextlib.suppress(OSError):
            self._log.flush()
