"""The promises, judged from what callers, operators and backend servers saw."""

from dataclasses import dataclass, field

from kingcuplug_gateway import merge_records
from kingcuplug_http import Response
from kingcuplug_platform import HEADER_NAMES

from kingcuplug_soak._fake_servers import Backends, Run

__all__ = ["Asked", "Judge"]

# Statuses that promise that the request has not run and never will.
_PROMISES = frozenset((408, 421, 429, 503))


@dataclass(frozen=True, slots=True)
class Asked:
    """One caller attempt.

    Attributes
    ----------
    kind : str
        ``query`` (all shards), ``read`` (one server), ``order`` (at most once).
    """

    attempt_id: str
    kind: str


@dataclass
class Judge:
    """Collects violations while the soak runs, and the rest at its end.

    Attributes
    ----------
    shard_sets : dict
        Sets of shards by the version that named them.
    top : int
        Records in a merged answer.
    """

    backends: Backends
    services: dict[str, set[str]]
    top: int
    shard_sets: dict[int, frozenset[str]] = field(default_factory=dict)
    refused: set[str] = field(default_factory=set)
    orders: set[str] = field(default_factory=set)
    violations: list[str] = field(default_factory=list)
    served: int = 0
    asked: int = 0
    newest_acknowledged: int = 0

    def sent(self, asked: Asked) -> None:
        """Note a request that a caller sends."""
        self.asked += 1
        if asked.kind == "order":
            self.orders.add(asked.attempt_id)

    def answered(self, asked: Asked, response: Response) -> None:
        """Judge an answer."""
        if response.status in _PROMISES and asked.kind == "order":
            self.refused.add(asked.attempt_id)
        if response.status != 200:
            return
        self.served += 1
        if asked.kind == "query":
            self._judge_query(asked, response)
        else:
            self._judge_single(asked, response)

    def read_back(self, version: int, known_before: int) -> None:
        """Judge a read of the configuration.

        Parameters
        ----------
        known_before : int
            The newest version that had been acknowledged when the read was sent.
        """
        if version < known_before:
            self.violations.append(
                f"stale read: version {version} after {known_before} was acknowledged"
            )

    def finish(self) -> list[str]:
        """Judge what can only be known at the end; return all violations."""
        for attempt_id, runs in self.backends.runs.items():
            if attempt_id in self.orders and len(runs) > 1:
                self.violations.append(f"order {attempt_id} ran {len(runs)} times")
            if attempt_id in self.refused:
                self.violations.append(f"order {attempt_id} ran, refused as not run")
            for run in runs:
                kind = run.target.split("/")[1]
                if run.service not in self.services[kind]:
                    self.violations.append(f"{run.target} ran at {run.service}")
        for arrival in self.backends.late_arrivals:
            self.violations.append(f"work for a leaving server: {arrival}")
        return self.violations

    def _judge_single(self, asked: Asked, response: Response) -> None:
        seal = (response.header(HEADER_NAMES.seal.lower()) or b"").decode()
        run = self._run(asked, seal)
        if run is None or not run.good or run.body != response.body:
            self.violations.append(f"mixed: {asked} got another answer ({seal})")

    def _judge_query(self, asked: Asked, response: Response) -> None:
        seals = (
            (response.header(HEADER_NAMES.part_seals.lower()) or b"")
            .decode()
            .split(", ")
        )
        missing = int(response.header(HEADER_NAMES.missing_parts.lower()) or b"0")
        runs = [run for seal in seals if (run := self._run(asked, seal)) and run.good]
        shards = frozenset(run.service for run in runs)
        if len(runs) != len(seals) or len(shards) != len(seals):
            self.violations.append(f"mixed: {asked} names parts that are none")
            return
        if not any(
            shards <= named and len(named) - len(shards) == missing
            for named in self.shard_sets.values()
        ):
            self.violations.append(f"mixed: {asked} has {sorted(shards)}, -{missing}")
        if response.body != merge_records([run.body for run in runs], self.top):
            self.violations.append(f"mixed: {asked} has another body than its parts")

    def _run(self, asked: Asked, seal: str) -> Run | None:
        runs = self.backends.runs.get(asked.attempt_id, [])
        return next((run for run in runs if run.seal == seal), None)
