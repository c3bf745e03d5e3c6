"""Open-loop schedule of the arrivals of one round, drawn before it starts.

Arrivals are a Poisson process that does not wait for answers. A slow answer therefore
delays no later arrival and hides no latency (no coordinated omission).
"""

import dataclasses
import math
import random
from collections.abc import Iterator, Sequence
from typing import Any

from kingcuplug_cli._bench._scenario import (
    RequestMix,
    Scenario,
    ScenarioEvent,
    ServiceTimes,
)

__all__ = ["Arrival", "ServiceLoad", "mean_service_time_ms", "plan_arrivals"]

_DISTINCT_BODY_COUNT = 200
_MS_PER_S = 1_000
_MAX_RESEND_DELAY_S = 0.05


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceLoad:
    """A service under load, with its slots and the sub-requests of one query."""

    name: str
    slots: int
    shard_count: int


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """One planned request.

    Attributes
    ----------
    at_s : float
        Seconds after the start of the round.
    extra : bool
        Whether it belongs to an event and not to the phase's load.
    """

    number: int
    at_s: float
    phase: str
    service: str
    kind: str
    priority: str
    body: dict[str, Any]
    order: str | None = None
    resend: bool = False
    extra: bool = False


def mean_service_time_ms(times: ServiceTimes) -> float:
    """Return the mean of the service time distribution."""
    lognormal_mean_ms = times.median_ms * math.exp(times.spread**2 / 2)
    return lognormal_mean_ms * (1 + times.straggle_share * (times.straggle_factor - 1))


def plan_arrivals(
    scenario: Scenario, services: Sequence[ServiceLoad], seed: int
) -> list[Arrival]:
    """Return the arrivals of one round, sorted by time.

    The same scenario, services and seed give the same arrivals, so that policies
    are compared on the same work.
    """
    rng = random.Random(seed)
    arrivals = [
        arrival
        for service in services
        for arrival in _service_arrivals(scenario, service, rng)
    ]
    for event in scenario.events:
        if event.do == "bulk_burst":
            arrivals += _bulk_burst_arrivals(scenario, event, services, rng)
        elif event.do == "crash_request":
            arrivals += _crash_request_arrivals(scenario, event, services[0], seed)
    arrivals.sort(key=lambda arrival: arrival.at_s)
    return [
        dataclasses.replace(arrival, number=number)
        for number, arrival in enumerate(arrivals)
    ]


def _service_arrivals(
    scenario: Scenario, service: ServiceLoad, rng: random.Random
) -> Iterator[Arrival]:
    phase_start_s = 0.0
    for phase in scenario.phases:
        rate_per_s = _arrival_rate_per_s(service, phase.load, scenario.times)
        for at_s in _poisson_times(
            rate_per_s, phase_start_s, phase_start_s + phase.duration_s, rng
        ):
            yield from _draw_request(at_s, phase.name, service, scenario.mix, rng)
        phase_start_s += phase.duration_s


def _arrival_rate_per_s(
    service: ServiceLoad, load: float, times: ServiceTimes
) -> float:
    """Return the queries per second that need `load` of the service's slots."""
    query_s = service.shard_count * mean_service_time_ms(times) / _MS_PER_S
    return load * service.slots / query_s


def _poisson_times(
    rate_per_s: float, start_s: float, end_s: float, rng: random.Random
) -> Iterator[float]:
    at_s = start_s + rng.expovariate(rate_per_s)
    while at_s < end_s:
        yield at_s
        at_s += rng.expovariate(rate_per_s)


def _draw_request(
    at_s: float, phase: str, service: ServiceLoad, mix: RequestMix, rng: random.Random
) -> Iterator[Arrival]:
    priority_draw = rng.random()
    body = {"check": rng.randrange(_DISTINCT_BODY_COUNT), "service": service.name}
    priority = "normal"
    if priority_draw < mix.urgent:
        priority = "urgent"
    elif priority_draw < mix.urgent + mix.bulk:
        priority = "bulk"
    if rng.random() >= mix.orders:
        yield Arrival(0, at_s, phase, service.name, "query", priority, body)
        return
    order = f"{rng.getrandbits(64):016x}"
    first = Arrival(0, at_s, phase, service.name, "order", "normal", body, order)
    yield first
    if rng.random() < mix.resent_orders:
        resent_at_s = at_s + rng.random() * _MAX_RESEND_DELAY_S
        yield dataclasses.replace(first, at_s=resent_at_s, resend=True)


def _bulk_burst_arrivals(
    scenario: Scenario,
    event: ScenarioEvent,
    services: Sequence[ServiceLoad],
    rng: random.Random,
) -> Iterator[Arrival]:
    """Yield extra bulk queries with the event's ``load`` and ``duration_s``."""
    end_s = event.at_s + float(event.fields["duration_s"])
    for service in services:
        rate_per_s = _arrival_rate_per_s(
            service, float(event.fields["load"]), scenario.times
        )
        for at_s in _poisson_times(rate_per_s, event.at_s, end_s, rng):
            body = {
                "check": rng.randrange(_DISTINCT_BODY_COUNT),
                "service": service.name,
            }
            phase = _phase_name_at(scenario, at_s)
            yield Arrival(
                0, at_s, phase, service.name, "query", "bulk", body, extra=True
            )


def _crash_request_arrivals(
    scenario: Scenario, event: ScenarioEvent, service: ServiceLoad, seed: int
) -> Iterator[Arrival]:
    """Yield one request that crashes servers, as often as its caller sends it."""
    body = {"crash-the-server": f"{scenario.name}-{seed}"}
    for send_number in range(int(event.fields["times"])):
        at_s = event.at_s + send_number * float(event.fields["period_s"])
        phase = _phase_name_at(scenario, at_s)
        yield Arrival(0, at_s, phase, service.name, "query", "normal", body, extra=True)


def _phase_name_at(scenario: Scenario, at_s: float) -> str:
    phase_end_s = 0.0
    for phase in scenario.phases:
        phase_end_s += phase.duration_s
        if at_s < phase_end_s:
            return phase.name
    return scenario.phases[-1].name
