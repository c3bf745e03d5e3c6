"""A short soak with fixed seeds, and mutants that its judge must find."""

import asyncio
import random

import pytest
from kingcuplug_gateway import merge_records
from kingcuplug_http import Response
from kingcuplug_soak import SoakSettings, soak
from kingcuplug_soak._consistency import Asked, Judge
from kingcuplug_soak._fake_servers import Backends, Run


@pytest.mark.system
@pytest.mark.parametrize("seed", [1])
def test_no_promise_is_broken(seed):
    """Guards against all promises that callers and backend servers can check."""
    outcome = asyncio.run(soak(SoakSettings(seed, duration_s=4.0)))
    assert outcome.violations == []
    assert outcome.served > 0


@pytest.fixture
def judge() -> Judge:
    services = {"query": {"s0", "s1"}, "read": {"reads"}, "order": {"orders"}}
    judge = Judge(Backends([], random.Random(1)), services, top=5)
    judge.shard_sets[1] = frozenset(("s0", "s1"))
    return judge


def _ran(judge: Judge, attempt: str, service: str, kind: str, seal: str) -> bytes:
    body = seal.encode().ljust(16, b"-")
    run = Run(attempt, service, f"{service}-1", f"/{kind}/1", body, seal, True)
    judge.backends.runs.setdefault(attempt, []).append(run)
    return body


def _answer(body: bytes, **headers: str) -> Response:
    fields = {k.replace("_", "-").encode(): v.encode() for k, v in headers.items()}
    return Response(200, list(fields.items()), body, fields)


def test_judge_finds_an_order_that_ran_twice(judge):
    """Guards against a soak that overlooks a repeated order."""
    judge.sent(Asked("a", "order"))
    for seal in ("1", "2"):
        _ran(judge, "a", "orders", "order", seal)
    assert any("ran 2 times" in found for found in judge.finish())


def test_judge_finds_a_false_refusal(judge):
    """Guards against a soak that believes every refusal."""
    asked = Asked("a", "order")
    judge.sent(asked)
    _ran(judge, "a", "orders", "order", "1")
    judge.answered(asked, Response(503, [], b""))
    assert any("refused as not run" in found for found in judge.finish())


def test_judge_finds_mixed_answers(judge):
    """Guards against a soak that accepts any body, part or shard."""
    query, read = Asked("q", "query"), Asked("r", "read")
    first = _ran(judge, "q", "s0", "query", "1")
    second = _ran(judge, "q", "s1", "query", "2")
    body = merge_records([first, second], 5)
    judge.answered(query, _answer(body, part_seals="1, 2", missing_parts="0"))
    assert judge.violations == []
    judge.answered(query, _answer(body, part_seals="1, 2", missing_parts="1"))
    judge.answered(query, _answer(first, part_seals="1, 2", missing_parts="0"))
    judge.answered(query, _answer(first, part_seals="1, 1", missing_parts="0"))
    _ran(judge, "r", "reads", "read", "3")
    judge.answered(read, _answer(b"other", server_seal="3"))
    assert len(judge.violations) == 4


def test_judge_finds_a_stale_read_and_a_wrong_service(judge):
    """Guards against a soak that overlooks a lost configuration."""
    judge.read_back(4, known_before=5)
    _ran(judge, "r", "orders", "read", "1")
    assert len(judge.finish()) == 2
