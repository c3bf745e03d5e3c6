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


def test_hosts_and_servers_are_listed(run_as_operator: Any):
    """Guards against lists without the registered hosts or servers."""
    run = run_as_operator("hosts")
    assert run.exit_code == 0
    assert "2 entry hosts with a running lease" in run.out
    assert len(run_as_operator("servers", "--json").fields["servers"]) == 8
    run = run_as_operator("servers", "trims")
    assert "2 backend servers" in run.out
    assert "trims-s0" in run.out
    assert "stock-s0" not in run.out


def test_status_shows_counters(run_as_operator: Any, deployment: Any):
    """Guards against counters that can be read only through statsd."""
    status, _ = deployment.call("trims", "query", {"body": {"band": "black"}})
    assert status == 200
    counters = [
        run_as_operator("status", "--host", deployment.address(n), "--json").fields[
            "fields"
        ]["counters"]
        for n in range(2)
    ]
    assert sum(c.get("query.whole", 0) for c in counters) >= 1


def test_control_status_shows_whether_loss_of_one_voter_is_safe(run_as_operator: Any):
    """Guards against a maintenance shutdown that loses the quorum."""
    run = run_as_operator("control", "status")
    assert run.exit_code == 0
    assert "safe to lose one voter: no" in run.out
    fields = run_as_operator("control", "status", "--json").fields
    assert fields["leads"]
    assert fields["fields"]["members"][0]["role"] == "voter"


def test_bootstrap_of_a_running_cluster_is_refused(run_as_operator: Any):
    """Guards against a second log that diverges from the first one."""
    run = run_as_operator("control", "bootstrap", "--json")
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
def test_invalid_membership_changes_are_refused(
    run_as_operator: Any, arguments: tuple[str, ...]
):
    """Guards against an unknown outcome for a change that was never started."""
    run = run_as_operator("control", *arguments)
    assert run.exit_code == 1
    assert run.err.count(";") >= 1


@pytest.fixture
def unbootstrapped_host(deployment: Any, tmp_path: Path) -> Iterator[Any]:
    """Return a control host that is not part of a cluster."""
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


def test_commands_without_leader_exit_with_4(
    run_program: Any, unbootstrapped_host: Any
):
    """Guards against a lost quorum that looks like a refusal."""
    host = ("--host", unbootstrapped_host.caller_address)
    assert run_program("hosts", *host).exit_code == 4
    status = run_program("control", "status", *host)
    assert status.exit_code == 4
    assert "no leader answers; this is what blank-01/" in status.out


def test_cluster_is_bootstrapped_once(run_program: Any, unbootstrapped_host: Any):
    """Guards against a first start that needs several commands or can be repeated."""
    host = ("--host", unbootstrapped_host.caller_address)
    assert (
        "begins with member blank-01/" in run_program("control", "bootstrap", *host).out
    )
    assert run_program("control", "bootstrap", *host).exit_code == 1


def test_entry_host_is_not_added_as_voter(run_as_operator: Any, deployment: Any):
    """Guards against a voter that has no disk."""
    address = deployment.local.hosts[1].peer_address
    assert run_as_operator("control", "add", address).exit_code == 1


def test_order_state_is_shown(run_as_operator: Any, deployment: Any, key: str):
    """Guards against an order whose state the ledger does not show."""
    run = run_as_operator("orders", "show", key, "--json")
    assert run.exit_code == 0
    assert run.fields["state"] is None
    assert deployment.call("stock", "order", _order_fields(key))[0] == 200
    fields = run_as_operator("orders", "show", key, "--json").fields
    assert fields["state"] == "finished"
    assert key in run_as_operator("orders", "show", key).out
    assert run_as_operator("orders", "show", "no-key").exit_code == 1


def _write_json(path: Path, answer: dict[str, Any]) -> str:
    path.write_text(json.dumps(answer))
    return str(path)


def test_receipts_of_answers_and_refusals_verify(
    run_as_operator: Any, deployment: Any, tmp_path: Path, key: str
):
    """Guards against genuine receipts that fail verification."""
    answers = [
        deployment.call("stock", "query", {"body": {"band": "black"}}),
        deployment.call("stock", "order", _order_fields(key)),
        deployment.call("stcok", "query", {"body": {"band": "black"}}),
        deployment.call("stock", "query", {"body": 1, "deadline_ms": -1}),
    ]
    assert [status for status, _ in answers] == [200, 200, 404, 504]
    for _, answer in answers:
        answer_run = run_as_operator(
            "receipt", "verify", _write_json(tmp_path / "answer", answer)
        )
        assert answer_run.exit_code == 0, answer_run.err
        assert "the answer in the file is the one that was signed" in answer_run.out
        path = _write_json(tmp_path / "receipt", answer["receipt"])
        receipt_run = run_as_operator("receipt", "verify", path)
        assert receipt_run.exit_code == 0
        assert answer["receipt"]["outcome"] in receipt_run.out


def test_altered_receipts_and_answers_are_refused(
    run_as_operator: Any, deployment: Any, tmp_path: Path
):
    """Guards against altered answers that pass verification."""
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
        run = run_as_operator(
            "receipt", "verify", _write_json(tmp_path / "altered", case)
        )
        assert run.exit_code == 1, case


def test_receipts_signed_with_retired_key_verify(
    run_as_operator: Any, deployment: Any, tmp_path: Path
):
    """Guards against a key rotation that invalidates earlier receipts."""
    answers = []
    for _ in range(2):
        _, answer = deployment.run(
            deployment.local.call(
                "stock", "query", {"body": 1}, f"http://{deployment.address()}"
            )
        )
        answers.append(answer)
        run = run_as_operator("keys", "rotate", "--json")
        assert run.exit_code == 0
    used_key_ids = [answer["receipt"]["key_id"] for answer in answers]
    assert len(set(used_key_ids)) == 2
    listed_key_ids = [
        key["key_id"]
        for key in run_as_operator("keys", "list", "--json").fields["keys"]
    ]
    assert set(used_key_ids) < set(listed_key_ids)
    assert run.fields["key_id"] == listed_key_ids[-1]
    for answer in answers:
        path = _write_json(tmp_path / "answer", answer)
        assert run_as_operator("receipt", "verify", path).exit_code == 0


@pytest.fixture
def spare_host(deployment: Any) -> Iterator[Any]:
    """Return an additional host that a test may shut down."""
    local: LocalDeployment = deployment.local
    host = deployment.run(_start_spare_host(local))
    yield host
    deployment.run(host.stop(grace_ms=0))


async def _start_spare_host(local: LocalDeployment) -> Host:
    template = local.hosts[1].settings
    host = Host(template.model_copy(update={"host": "host-09"}))
    await host.start()
    return host


def test_drain_stops_only_named_host(
    run_as_operator: Any, spare_host: Any, deployment: Any
):
    """Guards against a drain of the wrong host."""
    run = run_as_operator("drain", "--host", spare_host.caller_address)
    assert run.exit_code == 0
    assert spare_host.caller_address in run.out
    deployment.run(spare_host.wait_drain_requested())
    assert not deployment.local.hosts[0]._drain_requested.is_set()
