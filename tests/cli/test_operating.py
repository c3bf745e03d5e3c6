"""Commands about hosts, control hosts, orders, receipts and keys."""

import json
import time
import uuid
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest
from kingcuplug_cli._local import LocalDeployment
from kingcuplug_common import HostSettings
from kingcuplug_daemon import Host


def _order_fields(key: str) -> dict[str, Any]:
    return {
        "body": {"embroider": "Maria N."},
        "idempotency_key": key,
        "partition_key": "order-4711",
    }


@pytest.fixture
def key() -> str:
    return f"{time.time_ns() // 1_000_000}-{uuid.uuid4().hex}"


def test_hosts_and_servers_are_listed(operator: Any):
    """Guards against an operator who cannot see what the system knows."""
    run = operator("hosts")
    assert run.exit_code == 0
    assert "2 entry hosts with a running lease" in run.out
    assert len(operator("servers", "--json").fields["servers"]) == 8
    run = operator("servers", "trims")
    assert "2 backend servers" in run.out
    assert "trims-s0" in run.out
    assert "stock-s0" not in run.out


def test_status_shows_counters(operator: Any, deployment: Any):
    """Guards against measures that nobody can read without statsd."""
    status, _ = deployment.call("trims", "query", {"body": {"band": "black"}})
    assert status == 200
    counters = [
        operator("status", "--host", deployment.address(n), "--json").fields["fields"][
            "counters"
        ]
        for n in range(2)
    ]
    assert sum(c.get("query.whole", 0) for c in counters) >= 1


def test_control_status_says_whether_one_voter_may_be_lost(operator: Any):
    """Guards against maintenance that takes the quorum away."""
    run = operator("control", "status")
    assert run.exit_code == 0
    assert "safe to lose one voter: no" in run.out
    fields = operator("control", "status", "--json").fields
    assert fields["leads"]
    assert fields["fields"]["members"][0]["role"] == "voter"


def test_bootstrap_of_a_running_cluster_is_refused(operator: Any):
    """Guards against a second history beside the first one."""
    run = operator("control", "bootstrap", "--json")
    assert run.exit_code == 1
    assert json.loads(run.err)["remedy"]


@pytest.mark.parametrize(
    "arguments",
    [
        ("add", "127.0.0.1:1"),
        ("add", "127.0.0.1:1", "--role", "emperor"),
        ("remove", "nobody"),
    ],
)
def test_impossible_changes_of_members_are_refused(
    operator: Any, arguments: tuple[str, ...]
):
    """Guards against "outcome unknown" for a change that was never begun."""
    run = operator("control", *arguments)
    assert run.exit_code == 1
    assert run.err.count(";") >= 1


@pytest.fixture
def blank_host(deployment: Any, tmp_path: Path) -> Iterator[Any]:
    """Return a control host that belongs to no cluster."""
    settings = HostSettings(
        host="blank-01",
        availability_zone="zone-1",
        roles=frozenset(("control",)),
        caller_address="127.0.0.1:0",
        peer_address="127.0.0.1:0",
        data_folder=tmp_path / "blank",
    )

    async def start() -> Host:
        host = Host(settings)
        await host.start()
        return host

    host = deployment.run(start())
    yield host
    deployment.run(host.stop(grace_ms=0))


def test_without_a_leader_the_exit_code_is_4(program: Any, blank_host: Any):
    """Guards against a lost quorum that looks like a refusal."""
    host = ("--host", blank_host.caller_address)
    assert program("hosts", *host).exit_code == 4
    status = program("control", "status", *host)
    assert status.exit_code == 4
    assert "no leader answers; this is what blank-01/" in status.out


def test_a_cluster_is_begun_once(program: Any, blank_host: Any):
    """Guards against a first start that needs more than one command."""
    host = ("--host", blank_host.caller_address)
    assert "begins with member blank-01/" in program("control", "bootstrap", *host).out
    assert program("control", "bootstrap", *host).exit_code == 1


def test_an_entry_host_is_not_added_as_a_voter(operator: Any, deployment: Any):
    """Guards against a voter that has no disk."""
    address = deployment.local.hosts[1].peer_address
    assert operator("control", "add", address).exit_code == 1


def test_an_order_is_shown(operator: Any, deployment: Any, key: str):
    """Guards against a workshop that cannot tell whether an order ran."""
    run = operator("orders", "show", key, "--json")
    assert run.exit_code == 0
    assert run.fields["state"] is None
    assert deployment.call("stock", "order", _order_fields(key))[0] == 200
    fields = operator("orders", "show", key, "--json").fields
    assert fields["state"] == "finished"
    assert key in operator("orders", "show", key).out
    assert operator("orders", "show", "no-key").exit_code == 1


def _write_json(path: Path, answer: dict[str, Any]) -> str:
    path.write_text(json.dumps(answer))
    return str(path)


def test_receipts_of_answers_and_refusals_verify(
    operator: Any, deployment: Any, tmp_path: Path, key: str
):
    """Guards against a receipt that nobody can check weeks later."""
    told = [
        deployment.call("stock", "query", {"body": {"band": "black"}}),
        deployment.call("stock", "order", _order_fields(key)),
        deployment.call("stcok", "query", {"body": {"band": "black"}}),
        deployment.call("stock", "query", {"body": 1, "deadline_ms": -1}),
    ]
    assert [status for status, _ in told] == [200, 200, 404, 504]
    for _, answer in told:
        whole = operator("receipt", "verify", _write_json(tmp_path / "answer", answer))
        assert whole.exit_code == 0, whole.err
        assert "the answer in the file is the one that was signed" in whole.out
        path = _write_json(tmp_path / "receipt", answer["receipt"])
        alone = operator("receipt", "verify", path)
        assert alone.exit_code == 0
        assert answer["receipt"]["outcome"] in alone.out


def test_altered_receipts_and_answers_are_refused(
    operator: Any, deployment: Any, tmp_path: Path
):
    """Guards against a receipt that proves an answer that was never given."""
    _, answer = deployment.call("stock", "query", {"body": {"band": "black"}})
    _, refusal = deployment.call("stcok", "query", {"body": {"band": "black"}})
    altered = [
        answer | {"value": {"0": "plenty"}},
        answer | {"coverage": 0.5},
        answer | {"request_id": "another"},
        answer | {"receipt": answer["receipt"] | {"coverage": 0.5}},
        answer | {"receipt": answer["receipt"] | {"key_id": "0" * 16}},
        answer | {"receipt": answer["receipt"] | {"signature": "?"}},
        refusal | {"refusal": refusal["refusal"] | {"reason": "overloaded"}},
        refusal | {"refusal": refusal["refusal"] | {"kind": "outcome_unknown"}},
        {"request_id": "no receipt at all"},
    ]
    for case in altered:
        run = operator("receipt", "verify", _write_json(tmp_path / "altered", case))
        assert run.exit_code == 1, case


def test_receipts_of_a_retired_key_still_verify(
    operator: Any, deployment: Any, tmp_path: Path
):
    """Guards against a rotation that makes all earlier receipts worthless."""
    answers = []
    for _ in range(2):
        _, answer = deployment.run(
            deployment.local.call(
                "stock", "query", {"body": 1}, f"http://{deployment.address()}"
            )
        )
        answers.append(answer)
        run = operator("keys", "rotate", "--json")
        assert run.exit_code == 0
    used = [answer["receipt"]["key_id"] for answer in answers]
    assert len(set(used)) == 2
    listed = [
        key["key_id"] for key in operator("keys", "list", "--json").fields["keys"]
    ]
    assert set(used) < set(listed)
    assert run.fields["key_id"] == listed[-1]
    for answer in answers:
        path = _write_json(tmp_path / "answer", answer)
        assert operator("receipt", "verify", path).exit_code == 0


@pytest.fixture
def own_host(deployment: Any) -> Iterator[Any]:
    """Return a host of its own that a test may shut down."""
    local: LocalDeployment = deployment.local
    host = deployment.run(_start_spare_host(local))
    yield host
    deployment.run(host.stop(grace_ms=0))


async def _start_spare_host(local: LocalDeployment) -> Host:
    like = local.hosts[1].settings
    host = Host(like.model_copy(update={"host": "host-09"}))
    await host.start()
    return host


def test_drain_reaches_the_named_host(operator: Any, own_host: Any, deployment: Any):
    """Guards against a drain of the wrong host."""
    run = operator("drain", "--host", own_host.caller_address)
    assert run.exit_code == 0
    assert own_host.caller_address in run.out
    deployment.run(own_host.drained())
    assert not deployment.local.hosts[0]._drain_requested.is_set()
