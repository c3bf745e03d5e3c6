"""Answers and refusals stay true under random faults of every attempt."""

import asyncio
from collections import defaultdict
from typing import Any

from hypothesis import HealthCheck, given, seed, settings
from hypothesis import strategies as st
from kingcuplug_common import Refusal, RefusalKind
from kingcuplug_query import Answer, ConnectFailed, ReplyLost, SubRequest
from kingcuplug_routing import Holding
from kingcuplug_testkit import QueryHarness, make_query, make_reply, run_virtual

_SERVER_COUNT = 4
_SERVER_BEHAVIOURS = (
    "ok",
    "ok",
    "ok",
    "slow",
    "partial",
    "shed",
    "gone",
    "failed",
    "crossed",
    "late",
    "no connection",
    "lost",
    "crashed",
)
# A server that behaves in one of these ways has not executed the sub-request.
_NOT_EXECUTED_BEHAVIOURS = {"shed", "gone", "no connection"}


class _ScriptedServers:
    """Servers that follow a script and record what they executed."""

    def __init__(
        self, world: QueryHarness, script: list[str], repartition: bool
    ) -> None:
        self.executed = 0
        self.returned_coverages: dict[tuple[int, int], set[float]] = defaultdict(set)
        self._world = world
        self._script = script
        self._request_count = 0
        self._repartition = repartition
        for number in range(_SERVER_COUNT):
            world.handlers[f"stock-{number}"] = self._handle

    async def _handle(self, request: SubRequest) -> Any:
        behaviour = self._script[self._request_count % len(self._script)]
        self._request_count += 1
        self._repartition_if_due()
        if behaviour not in _NOT_EXECUTED_BEHAVIOURS:
            self.executed += 1
        await asyncio.sleep(0.3 if behaviour == "slow" else 0.004)
        match behaviour:
            case "partial":
                return self._answer(request, 0.5)
            case "shed":
                return make_reply(request, "shed")
            case "gone":
                return make_reply(request, "snapshot_gone")
            case "failed":
                return make_reply(request, "failed")
            case "crossed":
                return make_reply(request) | {"shard": request.shard + 1}
            case "late":
                await asyncio.sleep(5)
                return make_reply(request)
            case "no connection":
                raise ConnectFailed("refused", "start it")
            case "lost":
                raise ReplyLost("broke", "look", server_unreachable=False)
            case "crashed":
                raise ReplyLost("broke", "look", server_unreachable=True)
        return self._answer(request, 1.0)

    def _answer(self, request: SubRequest, coverage: float) -> Any:
        self.returned_coverages[request.snapshot, request.shard].add(coverage)
        status = "ok" if coverage == 1 else "partial"
        return make_reply(request, status, coverage=coverage)

    def _repartition_if_due(self) -> None:
        """Announce a repartitioned snapshot while the query runs."""
        if self._repartition and self._request_count == 3:
            held = [Holding(1, 4, (0, 1, 2, 3)), Holding(2, 6, tuple(range(6)))]
            self._world.set_holdings(
                "stock", {f"stock-{n}": held for n in range(_SERVER_COUNT)}
            )


def _check_answer(answer: Answer, scripted: _ScriptedServers) -> None:
    snapshot_by_shard_count = {4: 1, 6: 2}
    assert snapshot_by_shard_count[answer.shard_count] == answer.snapshot
    assert {part["value"][0] for part in answer.value} == {answer.snapshot}
    answered_shards = [part["shard"] for part in answer.value]
    assert len(set(answered_shards)) == len(answered_shards)
    for part in answer.value:
        assert part["value"][1] == part["shard"]
        share = answer.partial_shards.get(part["shard"], 1.0)
        assert share in scripted.returned_coverages[answer.snapshot, part["shard"]]
    covered_shards = sum(
        answer.partial_shards.get(shard, 1.0) for shard in answered_shards
    )
    assert answer.coverage == covered_shards / answer.shard_count
    missing_shards = set(range(answer.shard_count)) - set(answered_shards)
    assert set(answer.missing_shards) == missing_shards
    assert answer.partial is (answer.coverage < 1)


@seed(20261204)
@settings(
    max_examples=250,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)
@given(
    script=st.lists(st.sampled_from(_SERVER_BEHAVIOURS), min_size=1, max_size=14),
    repartition=st.booleans(),
    minimum=st.sampled_from([0.0, 0.5, 1.0]),
    weight=st.sampled_from([0.0, 0.5, 1.0]),
    canary=st.sampled_from(["always", "off"]),
)
def test_answers_and_refusals_match_what_servers_did(
    script: list[str], repartition: bool, minimum: float, weight: float, canary: str
) -> None:
    # Guards against combinations of faults that lead to a mix of snapshots, a wrong
    # coverage, a shard counted twice, or ``not_run`` for work that was executed.
    async def main() -> None:
        world = QueryHarness()
        world.add_service(
            "stock", _SERVER_COUNT, 4, coverage_weight=weight, canary=canary
        )
        scripted = _ScriptedServers(world, script, repartition)
        loop = asyncio.get_running_loop()
        for _ in range(3):
            executed_before, started_at = scripted.executed, loop.time()
            try:
                answer = await world.query_executor().run(
                    make_query(minimum_coverage=minimum), world.revision_view()
                )
            except Refusal as refusal:
                if refusal.kind is RefusalKind.NOT_RUN:
                    assert scripted.executed == executed_before
            else:
                _check_answer(answer, scripted)
                assert answer.coverage >= minimum
            assert loop.time() <= started_at + 1.0 + 1e-6
            await world.background.drain(30)

    run_virtual(main())
