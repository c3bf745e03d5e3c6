"""HTTP application for callers and backend servers."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

from kingcuplug_common import (
    HostSettings,
    KingcuplugError,
    Metrics,
    Receipt,
    Refusal,
    RefusalReason,
    digest,
    identifier,
    not_run,
    request_span,
    wall_ms,
)
from kingcuplug_configuration import Policy
from kingcuplug_membership import parse_announcement
from kingcuplug_query import Answer, OrderRequest, QueryRequest, unsettled
from opentelemetry.trace import Tracer
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from kingcuplug_daemon._entry import EntryNode
from kingcuplug_daemon._http import (
    error_fields,
    json_response,
    read_json,
    read_model,
    refusal_fields,
    status_of,
)
from kingcuplug_daemon._keys import ReceiptKeys
from kingcuplug_daemon._lifecycle import Lifecycle
from kingcuplug_daemon._requests import OrderModel, QueryModel
from kingcuplug_daemon._tokens import BearerTokens

__all__ = ["CallerApp"]

_MILLISECONDS = 1_000
_UNAVAILABLE = 503
_CONFLICT = 409
_LEAVE_TIMEOUT_S = 0.8

Run = Callable[[Any, str, float], Awaitable[Answer]]


class CallerApp:
    """Endpoints of an entry host.

    Parameters
    ----------
    settings : HostSettings
        Settings of this host.
    entry : EntryNode
        Executes the requests.
    keys : ReceiptKeys
        Signs the receipts.
    lifecycle : Lifecycle
        Knows whether new work may be taken.
    metrics : Metrics
        Counters.
    tracer : Tracer
        Makes one span per request.
    announcers : BearerTokens
        Tokens of backend servers.
    """

    def __init__(
        self,
        settings: HostSettings,
        entry: EntryNode,
        keys: ReceiptKeys,
        lifecycle: Lifecycle,
        metrics: Metrics,
        tracer: Tracer,
        announcers: BearerTokens,
    ) -> None:
        self._settings = settings
        self._entry = entry
        self._keys = keys
        self._lifecycle = lifecycle
        self._metrics = metrics
        self._tracer = tracer
        self._announcers = announcers

    def routes(self) -> list[Route]:
        """Return the routes of the callers' listener."""
        return [
            Route("/v1/services/{service}/query", self._query, methods=["POST"]),
            Route("/v1/services/{service}/order", self._order, methods=["POST"]),
            Route("/v1/servers/announce", self._announce, methods=["POST"]),
            Route("/v1/servers/renew", self._renew, methods=["POST"]),
        ]

    async def _query(self, request: Request) -> Response:
        async def run(model: QueryModel, request_id: str, deadline: float) -> Answer:
            service = request.path_params["service"]
            view = self._entry.configuration.view
            policy = view.find(service).service.policy
            minimum = model.minimum_coverage
            query = QueryRequest(
                request_id=request_id,
                service=service,
                body=model.body,
                priority=model.priority,
                deadline=deadline,
                minimum_coverage=policy.minimum_coverage
                if minimum is None
                else minimum,
                partition_key=model.partition_key,
                dependency_requests=model.dependency_requests,
            )
            return await self._entry.queries.run(query, view)

        return await self._serve(request, "query", QueryModel, run)

    async def _order(self, request: Request) -> Response:
        async def run(model: OrderModel, request_id: str, deadline: float) -> Answer:
            order = OrderRequest(
                request_id=request_id,
                service=request.path_params["service"],
                body=model.body,
                priority=model.priority,
                deadline=deadline,
                key=model.idempotency_key,
                partition_key=model.partition_key,
                resend=model.resend,
            )
            configuration = self._entry.configuration
            return await self._entry.orders.run(
                order, configuration.view, configuration.retention_days
            )

        return await self._serve(request, "order", OrderModel, run)

    async def _serve(
        self,
        request: Request,
        kind: str,
        model_type: type[QueryModel] | type[OrderModel],
        run: Run,
    ) -> Response:
        """Read, run and answer one request; every end has a receipt."""
        started = asyncio.get_running_loop().time()
        service = request.path_params["service"]
        request_id = identifier()
        body: Any = None
        resend = False
        with (
            self._lifecycle.request(),
            request_span(self._tracer, kind, request.headers) as span,
        ):
            span.set_attribute("service", service)
            try:
                model = await read_model(
                    request, model_type, self._settings.body_limit_bytes
                )
                request_id = model.request_id or request_id
                body = model.body
                resend = isinstance(model, OrderModel) and model.resend
                span.set_attribute("request_id", request_id)
                self._require_ready()
                deadline = started + self._deadline_ms(service, model) / _MILLISECONDS
                answer = await run(model, request_id, deadline)
                response = self._answered(kind, service, request_id, body, answer)
            except Refusal as refusal:
                refusal = unsettled(refusal, resend)
                response = self._refused(kind, service, request_id, body, refusal)
                span.set_attribute("refusal", refusal.reason.value)
        elapsed_ms = (asyncio.get_running_loop().time() - started) * _MILLISECONDS
        self._metrics.time(f"{kind}.latency", elapsed_ms)
        return response

    def _require_ready(self) -> None:
        if self._lifecycle.closed:
            raise not_run(
                RefusalReason.SHUTTING_DOWN,
                f"entry host {self._settings.host} is shutting down",
                "send the request again; the load balancer picks another entry host",
                retry_after_ms=0,
            )
        if not (self._entry.session.is_confirmed() and self._keys.published):
            raise not_run(
                RefusalReason.CONFIGURATION_UNCONFIRMED,
                f"entry host {self._settings.host} cannot confirm that its "
                "configuration is the accepted one",
                "send the request again; the load balancer picks another entry host",
                retry_after_ms=_MILLISECONDS,
            )

    def _deadline_ms(self, service: str, model: QueryModel | OrderModel) -> int:
        policy = self._policy(service)
        if model.deadline_ms is None:
            return policy.deadline_ms
        if model.deadline_ms <= 0:
            raise not_run(
                RefusalReason.DEADLINE_EXCEEDED,
                f"deadline_ms is {model.deadline_ms}, which is in the past",
                "send a deadline_ms above 0",
            )
        return min(model.deadline_ms, policy.deadline_ms)

    def _policy(self, service: str) -> Policy:
        return self._entry.configuration.view.find(service).service.policy

    def _answered(
        self, kind: str, service: str, request_id: str, body: Any, answer: Answer
    ) -> Response:
        self._metrics.count(f"{kind}.partial" if answer.partial else f"{kind}.whole")
        outcome = "partial" if answer.partial else "answered"
        if kind == "order":
            outcome = "ordered"
        receipt = self._receipt(
            kind,
            service,
            request_id,
            body,
            outcome,
            digest(answer.value),
            answer.revision,
            answer,
        )
        return json_response(
            {
                "request_id": request_id,
                "value": answer.value,
                "snapshot": answer.snapshot,
                "shard_count": answer.shard_count,
                "coverage": answer.coverage,
                "partial": answer.partial,
                "missing_shards": list(answer.missing_shards),
                "partial_shards": {
                    str(shard): share for shard, share in answer.partial_shards.items()
                },
                "revision": answer.revision,
                "receipt": receipt,
            }
        )

    def _refused(
        self, kind: str, service: str, request_id: str, body: Any, refusal: Refusal
    ) -> Response:
        self._metrics.count(f"{kind}.{refusal.kind.value}.{refusal.reason.value}")
        receipt = self._receipt(
            kind,
            service,
            request_id,
            body,
            refusal.kind.value,
            digest(refusal.reason.value),
            self._entry.configuration.current(),
            None,
        )
        fields = {
            "request_id": request_id,
            "refusal": refusal_fields(refusal),
            "receipt": receipt,
        }
        return json_response(fields, status_of(refusal))

    def _receipt(
        self,
        kind: str,
        service: str,
        request_id: str,
        body: Any,
        outcome: str,
        answer_digest: str,
        revision: int,
        answer: Answer | None,
    ) -> dict[str, Any] | None:
        return self._keys.sign(
            Receipt(
                request_id=request_id,
                request_digest=digest([service, kind, body]),
                answer_digest=answer_digest,
                service=service,
                outcome=outcome,
                snapshot=None if answer is None else answer.snapshot,
                coverage=None if answer is None else answer.coverage,
                revision=revision,
                host=self._settings.host,
                time_ms=wall_ms(),
            )
        )

    # Backend servers

    async def _announce(self, request: Request) -> Response:
        async def announce() -> Any:
            fields = await read_json(request, self._settings.body_limit_bytes)
            announcement = parse_announcement(fields)
            session = self._entry.session
            granted = session.leases.announce(announcement)
            if announcement.state != "serving":
                # A leaving server may stop as soon as it has this answer, so the
                # other entry hosts must be about to learn of it.
                async with asyncio.timeout(_LEAVE_TIMEOUT_S):
                    await session.delivered(session.leases.version)
            return granted

        return await self._server_call(request, announce)

    async def _renew(self, request: Request) -> Response:
        async def renew() -> Any:
            fields = await read_json(request, self._settings.body_limit_bytes)
            try:
                server = str(fields["server"])
                order = int(fields["incarnation"]), int(fields["sequence"])
            except (KeyError, TypeError, ValueError) as error:
                raise not_run(
                    RefusalReason.INVALID_REQUEST,
                    f"the renewal is malformed: {error!r}",
                    "send server, incarnation and sequence",
                ) from error
            return self._entry.session.leases.renew(server, *order)

        return await self._server_call(request, renew)

    async def _server_call(
        self, request: Request, work: Callable[[], Awaitable[Any]]
    ) -> Response:
        try:
            self._announcers.authorize(request)
            if self._lifecycle.draining:
                # The server then announces at another entry host.
                return json_response({"error": "ShuttingDown"}, _UNAVAILABLE)
            granted = await work()
        except Refusal as refusal:
            return json_response(error_fields(refusal), status_of(refusal))
        except TimeoutError:
            return json_response({"error": "NotDelivered"}, _UNAVAILABLE)
        except KingcuplugError as error:
            self._metrics.count(f"servers.refused.{type(error).__name__}")
            return json_response(error_fields(error), _CONFLICT)
        return json_response(
            {
                "lease_ms": granted.lease_ms,
                "renew_ms": granted.renew_ms,
                "renew_address": granted.renew_address,
            }
        )
