"""The promises, judged from what callers, operators and backend servers saw."""

from dataclasses import dataclass, field

from kingcuplug_gateway import merge_records
from kingcuplug_http import Response
from kingcuplug_platform import HEADER_NAMES

from kingcuplug_soak._fake_servers import Execution, FakeServerPool

__all__ = ["CallerAttempt", "ConsistencyChecker"]

# Statuses that promise that the request has not run and never will.
_NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))


@dataclass(frozen=True, slots=True)
class CallerAttempt:
    """One caller attempt.

    Attributes
    ----------
    kind : str
        ``query`` (all shards), ``read`` (one server), ``order`` (at most once).
    """

    attempt_id: str
    kind: str


@dataclass
class ConsistencyChecker:
    """Collects violations while the soak runs, and the rest at its end.

    Attributes
    ----------
    shard_sets : dict
        Sets of shards by the version that named them.
    top : int
        Records in a merged answer.
    """

    servers: FakeServerPool
    allowed_services: dict[str, set[str]]
    top_records: int
    shards_by_version: dict[int, frozenset[str]] = field(default_factory=dict)
    refused_order_ids: set[str] = field(default_factory=set)
    order_ids: set[str] = field(default_factory=set)
    violations: list[str] = field(default_factory=list)
    served_count: int = 0
    attempt_count: int = 0
    acknowledged_version: int = 0

    def record_attempt(self, attempt: CallerAttempt) -> None:
        """Note a request that a caller sends."""
        self.attempt_count += 1
        if attempt.kind == "order":
            self.order_ids.add(attempt.attempt_id)

    def check_response(self, attempt: CallerAttempt, response: Response) -> None:
        """Judge an answer."""
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
        """Judge a read of the configuration.

        Parameters
        ----------
        known_before : int
            The newest version that had been acknowledged when the read was sent.
        """
        if version < acknowledged_before:
            self.violations.append(
                f"stale read: version {version} "
                f"after {acknowledged_before} was acknowledged"
            )

    def check_executions(self) -> list[str]:
        """Judge what can only be known at the end; return all violations."""
        for attempt_id, runs in self.servers.executions.items():
            if attempt_id in self.order_ids and len(runs) > 1:
                self.violations.append(f"order {attempt_id} ran {len(runs)} times")
            if attempt_id in self.refused_order_ids:
                self.violations.append(f"order {attempt_id} ran, refused as not run")
            for run in runs:
                kind = run.target.split("/")[1]
                if run.service not in self.allowed_services[kind]:
                    self.violations.append(f"{run.target} ran at {run.service}")
        for arrival in self.servers.requests_after_drain:
            self.violations.append(f"work for a leaving server: {arrival}")
        return self.violations

    def _check_single_response(
        self, attempt: CallerAttempt, response: Response
    ) -> None:
        seal = (response.header(HEADER_NAMES.seal.lower()) or b"").decode()
        run = self._find_execution(attempt, seal)
        if run is None or not run.succeeded or run.body != response.body:
            self.violations.append(f"mixed: {attempt} got another answer ({seal})")

    def _check_query_response(self, attempt: CallerAttempt, response: Response) -> None:
        seals = (
            (response.header(HEADER_NAMES.part_seals.lower()) or b"")
            .decode()
            .split(", ")
        )
        missing = int(response.header(HEADER_NAMES.missing_parts.lower()) or b"0")
        runs = [
            run
            for seal in seals
            if (run := self._find_execution(attempt, seal)) and run.succeeded
        ]
        shards = frozenset(run.service for run in runs)
        if len(runs) != len(seals) or len(shards) != len(seals):
            self.violations.append(f"mixed: {attempt} names parts that are none")
            return
        if not any(
            shards <= named and len(named) - len(shards) == missing
            for named in self.shards_by_version.values()
        ):
            self.violations.append(f"mixed: {attempt} has {sorted(shards)}, -{missing}")
        if response.body != merge_records([run.body for run in runs], self.top_records):
            self.violations.append(f"mixed: {attempt} has another body than its parts")

    def _find_execution(self, attempt: CallerAttempt, seal: str) -> Execution | None:
        runs = self.servers.executions.get(attempt.attempt_id, [])
        return next((run for run in runs if run.seal == seal), None)
