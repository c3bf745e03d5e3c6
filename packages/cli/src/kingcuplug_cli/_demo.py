"""Demo that runs queries and orders against a local deployment and prints them."""

import json
import time
from pathlib import Path
from typing import Any

from kingcuplug_common import random_identifier

from kingcuplug_cli._local import LocalDeployment, load_deployment_spec

__all__ = ["run_demo"]

_DEMO_SERVICES = ("counter-01", "cutting", "parlour-link")


async def run_demo(example: Path) -> None:
    """Run the demo with the configuration and sizes of an example folder."""
    configuration = json.loads((example / "configuration.json").read_text())
    text = json.dumps(configuration)
    sizes = load_deployment_spec(example / "servers.json", only_services=_DEMO_SERVICES)
    deployment = LocalDeployment(sizes, entry_hosts=3, control_hosts=3)
    print("Starting 3 hosts (control and entry) and stand-in backend servers ...")
    try:
        revision = await deployment.start(text)
        print(
            f"Configuration of {len(configuration['services'])} services is revision "
            f"{revision}; {len(deployment.servers)} backend servers announced."
        )
        await _run_queries(deployment)
        await _run_repeated_order(deployment)
        await _run_partial_query(deployment)
        await _run_refused_queries(deployment)
    finally:
        await deployment.stop()
    print("Stopped gracefully.")


async def _run_queries(deployment: LocalDeployment) -> None:
    print("\nQueries")
    for service, body in (
        ("counter-01", {"order": "4711"}),
        ("cutting", {"pattern": "rosette"}),
        ("parlour-link", {"stock": "black band", "colour": "purple"}),
    ):
        started = time.perf_counter()
        status, answer = await deployment.call(
            service, "query", {"body": body, "priority": "urgent"}
        )
        elapsed_ms = (time.perf_counter() - started) * 1_000
        _print_answer(f"{service}: {status} in {elapsed_ms:.1f} ms", answer)


async def _run_repeated_order(deployment: LocalDeployment) -> None:
    print("\nAn order, and the same order sent again to another entry host")
    key = f"{time.time_ns() // 1_000_000}-{random_identifier()}"
    order = {
        "body": {"embroider": "Maria N."},
        "idempotency_key": key,
        "partition_key": "order-4711",
    }
    for fields in (order, order | {"resend": True}):
        status, answer = await deployment.call("counter-01", "order", fields)
        _print_answer(f"order {key}: {status}", answer)
    print(f"  the servers ran it {deployment.execution_counts.orders[key]} time(s)")
    shown = await deployment.call_operator(
        deployment.hosts[0], "orders/show", {"key": key}
    )
    for line in shown["explanation"].splitlines():
        print(f"  ledger: {line}")


async def _run_partial_query(deployment: LocalDeployment) -> None:
    print("\nA query after 10 of the 15 cutting servers were lost")
    cutting = [s for s in deployment.servers if s.service.name == "cutting"]
    for server in cutting[:10]:
        await server.crash()
    status, answer = await deployment.call(
        "cutting",
        "query",
        {"body": {"pattern": "armband"}, "minimum_coverage": 0.1},
    )
    _print_answer(f"cutting: {status}", answer)


async def _run_refused_queries(deployment: LocalDeployment) -> None:
    print("\nRefusals")
    status, answer = await deployment.call(
        "cutting", "query", {"body": {"pattern": "armband"}, "minimum_coverage": 1.0}
    )
    _print_answer(f"full coverage required: {status}", answer)
    status, answer = await deployment.call("cuting", "query", {"body": {}})
    _print_answer(f"misspelt service: {status}", answer)


def _print_answer(title: str, answer: dict[str, Any]) -> None:
    print(f"  {title}")
    refusal = answer.get("refusal")
    if refusal is not None:
        print(
            f"    refused, {refusal['kind']} ({refusal['reason']}): "
            f"{refusal['message']}; {refusal['remedy']}"
        )
    else:
        kind = "partial" if answer["partial"] else "whole"
        print(
            f"    {kind}, coverage {answer['coverage']:.2f}, snapshot "
            f"{answer['snapshot']}, missing shards {answer['missing_shards']}"
        )
    receipt = answer["receipt"]
    print(
        f"    receipt: outcome {receipt['outcome']}, signed with key "
        f"{receipt['key_id']}"
    )
