"""Times by which the response to a request is due."""

from kingcuplug_http import Request
from kingcuplug_routing import PartialAnswerPolicy

from kingcuplug_gateway._routes import Route
from kingcuplug_gateway._service_call import OutboundRequest
from kingcuplug_gateway._settings import GatewaySettings

__all__ = ["AnswerTimes"]

_MS_PER_S = 1_000
_MAX_DEADLINE_DIGITS = 12  # A deadline header with more digits is ignored.
# One-way network trips of a request on a new connection: two for the TCP handshake,
# one each for the request and the response.
_TRIPS_WITH_CONNECT = 4


class AnswerTimes:
    """Due times of responses, from callers' own limits, routes and settings."""

    def __init__(self, settings: GatewaySettings) -> None:
        self._settings = settings

    def deadline_at(self, request: Request, wait_ms: int) -> float:
        """Return the caller's deadline, bounded by the time limit `wait_ms`."""
        limit_ms = self.caller_limit_ms(request)
        if limit_ms is not None:
            wait_ms = min(wait_ms, limit_ms)
        return request.received_at + wait_ms / _MS_PER_S

    def caller_limit_ms(self, request: Request) -> int | None:
        """Return the caller's own time limit, if it sent a usable one."""
        header_value = request.header(self._settings.names.deadline_ms.lower())
        if (
            header_value is None
            or not header_value.isdigit()
            or len(header_value) > _MAX_DEADLINE_DIGITS
        ):
            return None
        return int(header_value)

    def answer_times(self, request: Request, route: Route) -> tuple[float, float]:
        """Return by when a response must be sent to be in time, and of any use."""
        final_at = self.deadline_at(request, route.timeout_ms) - self.reserved_s
        target_at = self.target_at(request, route)
        return (min(target_at, final_at) if route.shards else target_at), final_at

    def target_at(
        self, request: Request, route: Route, gathered: bool = False
    ) -> float:
        """Return when the response must be sent to reach the caller in time.

        Parameters
        ----------
        gathered : bool
            Whether other hosts gather the parts of the query.
        """
        # The caller measures from before it connects, so the first request on a
        # connection includes the TCP handshake.
        trips = _TRIPS_WITH_CONNECT if request.first_on_connection else 2
        network_ms = trips * self._settings.caller_delay_ms
        settings = self._settings
        margin_ms = (
            settings.gathered_margin_ms if gathered else settings.answer_margin_ms
        )
        target_ms = route.target_ms - network_ms - margin_ms
        return request.received_at + max(target_ms, 1.0) / _MS_PER_S

    def answer_rule(
        self,
        request: Request,
        route: Route,
        outbound: OutboundRequest,
        gathered: bool = False,
    ) -> PartialAnswerPolicy:
        """Return when a partial answer to a query is sufficient.

        Parameters
        ----------
        gathered : bool
            Whether other hosts gather the parts of the query.
        """
        final_at = self.answer_due_at(outbound)
        return PartialAnswerPolicy(
            shard_count=len(route.shards),
            min_coverage=route.minimum_coverage,
            received_at=request.received_at,
            target_at=min(self.target_at(request, route, gathered), final_at),
            final_at=final_at,
        )

    def answer_due_at(self, outbound: OutboundRequest) -> float:
        """Return when to send the response so that it meets the deadline."""
        return outbound.deadline_at - self.reserved_s

    @property
    def reserved_s(self) -> float:
        """Time before a deadline at which to send the response."""
        settings = self._settings
        reserved_ms = (
            _TRIPS_WITH_CONNECT * settings.caller_delay_ms + settings.answer_margin_ms
        )
        return reserved_ms / _MS_PER_S
