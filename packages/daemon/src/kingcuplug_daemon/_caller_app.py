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
    not_run_refusal,
    random_identifier,
    request_span,
    wall_ms,
)
from kingcuplug_configuration import Policy
from kingcuplug_membership import parse_announcement
from kingcuplug_query import Answer, OrderRequest, QueryRequest, refusal_for_all_copies
from opentelemetry.trace import Tracer
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from kingcuplug_daemon._entry_node import EntryNode
from kingcuplug_daemon._http import (
    error_fields,
    json_response,
    read_json,
    read_model,
    refusal_fields,
    status_code,
)
from kingcuplug_daemon._lifecycle import Lifecycle
from kingcuplug_daemon._receipt_keys import ReceiptKeys
from kingcuplug_daemon._request_models import OrderModel, QueryModel
from kingcuplug_daemon._tokens import BearerTokens

__all__ = ["CallerApp"]

_MS_PER_S = 1_000
_UNAVAILABLE = 503
_CONFLICT = 409
_WITHDRAWAL_TIMEOUT_S = 0.8

RequestRunner = Callable[[Any, str, float], Awaitable[Answer]]


class CallerApp:
    """Endpoints of an entry host.

    Parameters
    ----------
    settings : HostSettings
        Settings of this host.
    entry : EntryNode
        Executes the requests.
    receipt_keys : ReceiptKeys
        Signs the receipts.
    lifecycle : Lifecycle
        Whether new requests are accepted.
    metrics : Metrics
        Counters.
    tracer : Tracer
        Creates one span per request.
    announce_tokens : BearerTokens
        Accepted tokens of backend servers.
    """

    def __init__(
        self,
        settings: HostSettings,
        entry: EntryNode,
        receipt_keys: ReceiptKeys,
        lifecycle: Lifecycle,
        metrics: Metrics,
        tracer: Tracer,
        announce_tokens: BearerTokens,
    ) -> None:
        self._settings = settings
        self._entry = entry
        self._receipt_keys = receipt_keys
        self._lifecycle = lifecycle
        self._metrics = metrics
        self._tracer = tracer
        self._announce_tokens = announce_tokens

    def routes(self) -> list[Route]:
        """Return the routes of the callers' listener."""
        return [
            Route("/v1/services/{service}/query", self._handle_query, methods=["POST"]),
            Route("/v1/services/{service}/order", self._handle_order, methods=["POST"]),
            Route("/v1/servers/announce", self._handle_announce, methods=["POST"]),
            Route("/v1/servers/renew", self._handle_renew, methods=["POST"]),
        ]

    async def _handle_query(self, request: Request) -> Response:
        async def run(model: QueryModel, request_id: str, deadline: float) -> Answer:
            service = request.path_params["service"]
            view = self._entry.configuration.view
            policy = view.find(service).service.policy
            minimum_coverage = model.minimum_coverage
            query = QueryRequest(
                request_id=request_id,
                service=service,
                body=model.body,
                priority=model.priority,
                deadline=deadline,
                minimum_coverage=policy.minimum_coverage
                if minimum_coverage is None
                else minimum_coverage,
                partition_key=model.partition_key,
                dependency_requests=model.dependency_requests,
            )
            return await self._entry.queries.run(query, view)

        return await self._serve(request, "query", QueryModel, run)

    async def _handle_order(self, request: Request) -> Response:
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
        run: RequestRunner,
    ) -> Response:
        """Read, run and answer one request; answers and refusals carry a receipt."""
        started = asyncio.get_running_loop().time()
        service = request.path_params["service"]
        request_id = random_identifier()
        body: Any = None
        resend = False
        with request_span(self._tracer, kind, request.headers) as span:
            span.set_attribute("service", service)
            try:
                # Not in flight yet: the rest of the body may never come.
                model = await read_model(
                    request, model_type, self._settings.body_limit_bytes
                )
                with self._lifecycle.track_request():
                    request_id = model.request_id or request_id
                    body = model.body
                    resend = isinstance(model, OrderModel) and model.resend
                    span.set_attribute("request_id", request_id)
                    self._require_ready()
                    deadline = started + self._deadline_ms(service, model) / _MS_PER_S
                    answer = await run(model, request_id, deadline)
                    response = self._answer_response(
                        kind, service, request_id, body, answer
                    )
            except Refusal as refusal:
                refusal = refusal_for_all_copies(refusal, resend)
                response = self._refusal_response(
                    kind, service, request_id, body, refusal
                )
                span.set_attribute("refusal", refusal.reason.value)
        elapsed_ms = (asyncio.get_running_loop().time() - started) * _MS_PER_S
        self._metrics.send_timing(f"{kind}.latency", elapsed_ms)
        return response

    def _require_ready(self) -> None:
        if self._lifecycle.closed:
            raise not_run_refusal(
                RefusalReason.SHUTTING_DOWN,
                f"entry host {self._settings.host} is shutting down",
                "send the request again; the load balancer picks another entry host",
                retry_after_ms=0,
            )
        if not (self._entry.session.is_confirmed() and self._receipt_keys.published):
            raise not_run_refusal(
                RefusalReason.CONFIGURATION_UNCONFIRMED,
                f"entry host {self._settings.host} cannot confirm that its "
                "configuration is the accepted one",
                "send the request again; the load balancer picks another entry host",
                retry_after_ms=_MS_PER_S,
            )

    def _deadline_ms(self, service: str, model: QueryModel | OrderModel) -> int:
        policy = self._service_policy(service)
        if model.deadline_ms is None:
            return policy.deadline_ms
        if model.deadline_ms <= 0:
            raise not_run_refusal(
                RefusalReason.DEADLINE_EXCEEDED,
                f"deadline_ms is {model.deadline_ms}, which is in the past",
                "send a deadline_ms above 0",
            )
        return min(model.deadline_ms, policy.deadline_ms)

    def _service_policy(self, service: str) -> Policy:
        return self._entry.configuration.view.find(service).service.policy

    def _answer_response(
        self, kind: str, service: str, request_id: str, body: Any, answer: Answer
    ) -> Response:
        self._metrics.count(f"{kind}.partial" if answer.partial else f"{kind}.whole")
        outcome = "partial" if answer.partial else "answered"
        if kind == "order":
            outcome = "ordered"
        receipt = self._sign_receipt(
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

    def _refusal_response(
        self, kind: str, service: str, request_id: str, body: Any, refusal: Refusal
    ) -> Response:
        self._metrics.count(f"{kind}.{refusal.kind.value}.{refusal.reason.value}")
        receipt = self._sign_receipt(
            kind,
            service,
            request_id,
            body,
            refusal.kind.value,
            digest(refusal.reason.value),
            self._entry.configuration.current_revision(),
            None,
        )
        fields = {
            "request_id": request_id,
            "refusal": refusal_fields(refusal),
            "receipt": receipt,
        }
        return json_response(fields, status_code(refusal))

    def _sign_receipt(
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
        return self._receipt_keys.sign(
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

    async def _handle_announce(self, request: Request) -> Response:
        async def announce() -> Any:
            fields = await read_json(request, self._settings.body_limit_bytes)
            announcement = parse_announcement(fields)
            session = self._entry.session
            lease = session.leases.announce(announcement)
            if announcement.state != "serving":
                # A server that withdraws may stop once it has this response, so the
                # change must first be delivered to the other entry hosts.
                async with asyncio.timeout(_WITHDRAWAL_TIMEOUT_S):
                    await session.wait_delivered(session.leases.version)
            return lease

        return await self._handle_server_request(request, announce)

    async def _handle_renew(self, request: Request) -> Response:
        async def renew() -> Any:
            fields = await read_json(request, self._settings.body_limit_bytes)
            try:
                server = str(fields["server"])
                version = int(fields["incarnation"]), int(fields["sequence"])
            except (KeyError, TypeError, ValueError) as error:
                raise not_run_refusal(
                    RefusalReason.INVALID_REQUEST,
                    f"the renewal is malformed: {error!r}",
                    "send server, incarnation and sequence",
                ) from error
            return self._entry.session.leases.renew(server, *version)

        return await self._handle_server_request(request, renew)

    async def _handle_server_request(
        self, request: Request, handler: Callable[[], Awaitable[Any]]
    ) -> Response:
        try:
            self._announce_tokens.authorize(request)
            if self._lifecycle.draining:
                # The server then announces itself at another entry host.
                return json_response({"error": "ShuttingDown"}, _UNAVAILABLE)
            lease = await handler()
        except Refusal as refusal:
            return json_response(error_fields(refusal), status_code(refusal))
        except TimeoutError:
            return json_response({"error": "NotDelivered"}, _UNAVAILABLE)
        except KingcuplugError as error:
            self._metrics.count(f"servers.refused.{type(error).__name__}")
            return json_response(error_fields(error), _CONFLICT)
        return json_response(
            {
                "lease_ms": lease.lease_ms,
                "renew_ms": lease.renew_ms,
                "renew_address": lease.renew_address,
            }
        )
