"""Measure size and time per command of the replicated state, one line per size.

Times are medians of one run on one machine and comparable only with one another.
Run it with the sources on the path:

    python tools/measure_state.py [configuration|ledger] [size ...]
"""

import gc
import json
import statistics
import sys
import time
import tracemalloc
from collections.abc import Callable
from pathlib import Path
from typing import Any

PACKAGES = Path(__file__).resolve().parent.parent / "packages"
sys.path[:0] = [str(path / "src") for path in sorted(PACKAGES.iterdir())]

from kingcuplug_configuration import (  # noqa: E402
    ApplyConfiguration,
    ConfigurationHistory,
    compute_delta,
    parse,
    patch,
    render,
)
from kingcuplug_ledger import (  # noqa: E402
    Claim,
    Dispatch,
    OrderLedger,
    Outcome,
    Release,
    command_to_json,
)

REPEATS = 5
SERVICE_COUNTS = (27, 1_600, 16_000)
ORDER_COUNTS = (1_000, 10_000, 100_000)
NOW_MS = 1_700_000_000_000
DAY_MS = 86_400_000
ORDER_BODY = {"laudo": "0" * 180, "seal": "0" * 100}


def median_ms(action: Callable[[], Any], repeats: int = REPEATS) -> float:
    """Return the median time of `action` in milliseconds."""
    times = []
    for _ in range(repeats):
        started = time.perf_counter()
        action()
        times.append(time.perf_counter() - started)
    return statistics.median(times) * 1_000


def memory_mb(build: Callable[[], Any]) -> tuple[Any, float]:
    """Return the result of `build` and the memory in MB that it retains."""
    gc.collect()
    tracemalloc.start()
    result = build()
    gc.collect()
    retained_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return result, retained_bytes / 1_000_000


def make_services_text(count: int, deadline_ms: int = 800) -> str:
    """Return a configuration text; each service depends on two earlier ones."""
    services: dict[str, Any] = {}
    for n in range(count):
        needed = {f"service-{n // 2}", f"service-{n // 3}"} - {f"service-{n}"}
        services[f"service-{n}"] = {"depends_on": sorted(needed)}
    services["service-0"]["policy"] = {"deadline_ms": deadline_ms}
    return json.dumps({"services": services})


def measure_configuration(count: int) -> str:
    """Measure a change of one service among `count`."""
    texts = [make_services_text(count, 500 + n) for n in range(REPEATS + 1)]
    history = ConfigurationHistory()
    history.apply(ApplyConfiguration("c0", 0, texts[0], "anna", 0))
    old, new = parse(texts[0]), parse(texts[1])
    delta = compute_delta(old, new)

    def build() -> Any:
        configuration = parse(texts[0])
        render(configuration)
        return configuration

    _, retained_mb = memory_mb(build)

    def apply_change(number: int, condensed: bool) -> tuple[float, float]:
        base = history.current.number
        text = texts[1 + number % REPEATS]
        command = ApplyConfiguration(f"c{base + 1}", base, text, "anna", 0)
        started = time.perf_counter()
        if condensed:
            command = history.condense(command)
        condense_ended = time.perf_counter()
        history.apply(command)
        return condense_ended - started, time.perf_counter() - condense_ended

    text_times_s = [apply_change(n, False)[1] for n in range(REPEATS)]
    delta_times_s = [apply_change(n, True) for n in range(REPEATS)]
    condense_s, apply_s = (
        statistics.median(values) for values in zip(*delta_times_s, strict=True)
    )
    text_bytes = len(render(new))
    delta_bytes = len(json.dumps(delta.to_json()))
    return (
        f"configuration services={count} text={text_bytes / 1e6:.3f}MB"
        f" delta={delta_bytes}B memory={retained_mb:.1f}MB"
        f" parse={median_ms(lambda: parse(texts[0]), 3):.1f}ms"
        f" apply_text={statistics.median(text_times_s) * 1e3:.1f}ms"
        f" condense={condense_s * 1e3:.1f}ms apply_delta={apply_s * 1e3:.1f}ms"
        f" patch={median_ms(lambda: patch(old, delta)):.1f}ms"
        f" dump={median_ms(history.dump, 3):.1f}ms"
    )


def measure_history(count: int) -> str:
    """Measure the memory of a history of `count` changes and their deltas."""

    def build() -> ConfigurationHistory:
        history = ConfigurationHistory()
        for n in range(count):
            text = json.dumps({"services": {"a": {"policy": {"deadline_ms": 5 + n}}}})
            history.apply(ApplyConfiguration(f"{n:032x}", n, text, "anna", n))
        return history

    history, retained_mb = memory_mb(build)
    size = len(json.dumps(history.dump()))
    return f"history changes={count} memory={retained_mb:.1f}MB dump={size / 1e6:.1f}MB"


def make_order_commands(number: int) -> list[dict[str, Any]]:
    """Return the commands of one order, decoded as from the log."""
    key = f"{NOW_MS + number}-{number:020x}"
    token, attempt = f"{number:024x}", f"{number:023x}a"
    host, server = f"entry-{number % 10}", f"laudos-{number % 11}:7001"
    time_ms = NOW_MS + number
    commands = (
        Claim(key, f"{number:064x}", "s", host, 1, token, time_ms, 7, 90 * DAY_MS),
        Dispatch(key, token, server, attempt, time_ms),
        Outcome(key, token, "done", "ok", ORDER_BODY, time_ms),
    )
    return [json.loads(json.dumps(command_to_json(item))) for item in commands]


def measure_ledger(count: int) -> str:
    """Measure a ledger of `count` finished orders."""

    def build() -> OrderLedger:
        ledger = OrderLedger()
        for number in range(count):
            for command in make_order_commands(number):
                ledger.apply(command)
        return ledger

    ledger, retained_mb = memory_mb(build)
    new_orders = [make_order_commands(count + number) for number in range(1_000)]
    times = {}
    for step, name in enumerate(("claim", "dispatch", "outcome")):
        started = time.perf_counter()
        for commands in new_orders:
            ledger.apply(commands[step])
        times[name] = (time.perf_counter() - started) * 1_000
    dump = ledger.dump()
    dump_ms = median_ms(ledger.dump, 3)
    load_ms = median_ms(lambda: OrderLedger().load(dump), 3)
    due = command_to_json(Release(f"{NOW_MS}-triggers", "t", NOW_MS + 200 * DAY_MS))
    purge_ms = median_ms(lambda: ledger.apply(due), 5)
    return (
        f"ledger orders={count} memory={retained_mb:.1f}MB"
        f" per_order={retained_mb * 1e6 / count:.0f}B"
        f" dump={len(json.dumps(dump)) / 1e6:.1f}MB"
        f" claim={times['claim']:.1f}us dispatch={times['dispatch']:.1f}us"
        f" outcome={times['outcome']:.1f}us purge_of_64={purge_ms * 1e3:.0f}us"
        f" dump_time={dump_ms:.0f}ms load_time={load_ms:.0f}ms"
    )


def main(arguments: list[str]) -> None:
    """Run the measurements named by the arguments, or all."""
    sizes = [int(argument) for argument in arguments[1:]]
    section = arguments[0] if arguments else ""
    if section in ("", "configuration"):
        for size in sizes or SERVICE_COUNTS:
            print(measure_configuration(size), flush=True)
    if section in ("", "history"):
        for size in sizes or (100, 1_000, 10_000):
            print(measure_history(size), flush=True)
    if section in ("", "ledger"):
        for size in sizes or ORDER_COUNTS:
            print(measure_ledger(size), flush=True)


if __name__ == "__main__":
    main(sys.argv[1:])
