"""Consistency checks of the responses that callers and operators received.

The checks compare them with the executions that the simulated servers recorded.
"""

from collections import Counter
from dataclasses import dataclass, field

from kingcuplug_gateway import merge_records
from kingcuplug_http import Response
from kingcuplug_platform.formats import HEADER_NAMES

from kingcuplug_soak._fake_servers import Execution, FakeServerPool

__all__ = ["CallerAttempt", "ConsistencyChecker"]

# Statuses by which a host states that the request has not run and never will.
_NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
# Requests that may run on more servers than their route allows (BUDGET).
_MAX_EXCEEDING_ATTEMPTS = 3
_NAMED_REQUESTS = 3


@dataclass(frozen=True, slots=True)
class CallerAttempt:
    """One attempt of a caller to send a request.

    Attributes
    ----------
    kind : str
        ``query`` (all shards), ``read`` (one server), ``order`` (at most once).
    """

    attempt_id: str
    kind: str


@dataclass
class ConsistencyChecker:
    """Collects violations during a soak, and from all executions at its end.

    Attributes
    ----------
    allowed_services : dict
        Services that may execute requests, by the kind of request.
    top_records : int
        Number of records in the merged response of a query.
    max_attempts : dict
        Number of servers that may run one request, of each shard, by its kind.
    shards_by_version : dict
        Shards of the query route, by configuration version.
    acknowledged_version : int
        Highest configuration version that was acknowledged.
    """

    backends: FakeServerPool
    allowed_services: dict[str, set[str]]
    top_records: int
    max_attempts: dict[str, int]
    shards_by_version: dict[int, frozenset[str]] = field(default_factory=dict)
    refused_order_ids: set[str] = field(default_factory=set)
    order_ids: set[str] = field(default_factory=set)
    violations: list[str] = field(default_factory=list)
    served_count: int = 0
    attempt_count: int = 0
    acknowledged_version: int = 0

    def record_attempt(self, attempt: CallerAttempt) -> None:
        """Record an attempt before it is sent."""
        self.attempt_count += 1
        if attempt.kind == "order":
            self.order_ids.add(attempt.attempt_id)

    def check_response(self, attempt: CallerAttempt, response: Response) -> None:
        """Check the response to an attempt."""
        if response.status in _NOT_RUN_STATUSES and attempt.kind == "order":
            self.refused_order_ids.add(attempt.attempt_id)
        if response.status != 200:
            return
        self.served_count += 1
        if attempt.kind == "query":
            self._check_query_response(attempt, response)
        else:
            self._check_single_response(attempt, response)

    def check_configuration_read(self, version: int, acknowledged_before: int) -> None:
        """Check that a configuration read is not stale.

        Parameters
        ----------
        acknowledged_before : int
            The highest version that had been acknowledged when the read was sent.
        """
        if version < acknowledged_before:
            self.violations.append(
                f"stale read: version {version} "
                f"after {acknowledged_before} was acknowledged"
            )

    def check_executions(self) -> list[str]:
        """Check all recorded executions; return all violations of the soak."""
        for attempt_id, executions in self.backends.executions.items():
            if attempt_id in self.order_ids and len(executions) > 1:
                self.violations.append(
                    f"order {attempt_id} ran {len(executions)} times"
                )
            if attempt_id in self.refused_order_ids:
                self.violations.append(f"order {attempt_id} ran, refused as not run")
            for execution in executions:
                kind = execution.target.split("/")[1]
                if execution.service not in self.allowed_services[kind]:
                    self.violations.append(
                        f"{execution.target} ran at {execution.service}"
                    )
        exceeding = [
            attempt_id
            for attempt_id, executions in self.backends.executions.items()
            if self._exceeds_attempts(executions)
        ]
        if len(exceeding) > _MAX_EXCEEDING_ATTEMPTS:
            self.violations.append(
                f"{len(exceeding)} requests ran on more servers than max_attempts: "
                f"{exceeding[:_NAMED_REQUESTS]}"
            )
        for request in self.backends.requests_after_drain:
            self.violations.append(f"request to a drained server: {request}")
        return self.violations

    def _exceeds_attempts(self, executions: list[Execution]) -> bool:
        """Return whether too many servers of a service that still run ran a request."""
        running = {server.name for server in self.backends.servers}
        servers = {(e.service, e.server_id) for e in executions}
        counts = Counter(service for service, name in servers if name in running)
        kind = executions[0].target.split("/")[1]
        return any(count > self.max_attempts[kind] for count in counts.values())

    def _check_single_response(
        self, attempt: CallerAttempt, response: Response
    ) -> None:
        seal = (response.header(HEADER_NAMES.signature.lower()) or b"").decode()
        execution = self._find_execution(attempt, seal)
        if (
            execution is None
            or not execution.succeeded
            or execution.body != response.body
        ):
            self.violations.append(
                f"mixed: {attempt} differs from its execution ({seal})"
            )

    def _check_query_response(self, attempt: CallerAttempt, response: Response) -> None:
        seals = (
            (response.header(HEADER_NAMES.part_signatures.lower()) or b"")
            .decode()
            .split(", ")
        )
        missing = int(response.header(HEADER_NAMES.missing_parts.lower()) or b"0")
        executions = [
            execution
            for seal in seals
            if (execution := self._find_execution(attempt, seal))
            and execution.succeeded
        ]
        shards = frozenset(execution.service for execution in executions)
        if len(executions) != len(seals) or len(shards) != len(seals):
            self.violations.append(f"mixed: {attempt} names parts without execution")
            return
        if not any(
            shards <= route_shards and len(route_shards) - len(shards) == missing
            for route_shards in self.shards_by_version.values()
        ):
            self.violations.append(
                f"mixed: {attempt} has {sorted(shards)}, misses {missing}"
            )
        if response.body != merge_records(
            [execution.body for execution in executions], self.top_records
        ):
            self.violations.append(f"mixed: {attempt} has a body unlike its parts")

    def _find_execution(self, attempt: CallerAttempt, seal: str) -> Execution | None:
        executions = self.backends.executions.get(attempt.attempt_id, [])
        return next(
            (execution for execution in executions if execution.seal == seal), None
        )
