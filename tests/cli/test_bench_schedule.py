"""Tests of the load test tool's arrivals and of its scenario and policy files."""

import itertools
import math
import random

import pytest
from kingcuplug_cli._bench._scenario import (
    BenchFileInvalid,
    Scenario,
    load_policy,
    load_scenario,
    packaged_names,
)
from kingcuplug_cli._bench._schedule import (
    ServiceLoad,
    mean_service_time_ms,
    plan_arrivals,
)
from pydantic import ValidationError

SERVICES = (ServiceLoad("counter-01", 9, 6), ServiceLoad("cutting", 30, 15))


def make_scenario(**fields: object) -> Scenario:
    defaults = {
        "name": "test",
        "description": "A test.",
        "phases": [
            {"name": "low", "duration_s": 20.0, "load": 0.5},
            {"name": "high", "duration_s": 20.0, "load": 1.0},
        ],
    }
    return Scenario.model_validate(defaults | fields)


def test_same_seed_gives_same_arrivals():
    """Guards against comparing policies on different work."""
    first = plan_arrivals(make_scenario(), SERVICES, seed=7)
    assert first == plan_arrivals(make_scenario(), SERVICES, seed=7)
    assert first != plan_arrivals(make_scenario(), SERVICES, seed=8)


def test_offered_load_matches_configured_share_of_slots():
    """Guards against a rate that ignores fan-out, slots or the mean service time."""
    queries_only = make_scenario(mix={"orders": 0.0})
    arrivals = plan_arrivals(queries_only, SERVICES, seed=1)
    for phase, load in (("low", 0.5), ("high", 1.0)):
        for service in SERVICES:
            queries = [
                arrival
                for arrival in arrivals
                if (arrival.phase, arrival.service) == (phase, service.name)
            ]
            busy_s = len(queries) * service.shard_count
            busy_s *= mean_service_time_ms(queries_only.times) / 1_000
            offered = busy_s / (20.0 * service.slots)
            # Four standard deviations of the number of Poisson arrivals.
            assert offered == pytest.approx(load, rel=4 / math.sqrt(len(queries)))


def test_mean_service_time_matches_distribution():
    """Guards against an offered load that ignores stragglers or the spread."""
    times = make_scenario().times
    rng = random.Random(1)
    total_ms = 0.0
    for _ in range(200_000):
        service_time_ms = times.median_ms * rng.lognormvariate(0.0, times.spread)
        if rng.random() < times.straggle_share:
            service_time_ms *= times.straggle_factor
        total_ms += service_time_ms
    assert mean_service_time_ms(times) == pytest.approx(total_ms / 200_000, rel=0.01)


def test_arrivals_are_sorted_numbered_and_within_their_phase():
    """Guards against counting arrivals in a phase other than that of their time."""
    arrivals = plan_arrivals(make_scenario(), SERVICES, seed=3)
    assert [arrival.number for arrival in arrivals] == list(range(len(arrivals)))
    assert all(
        arrival.at_s <= following.at_s
        for arrival, following in itertools.pairwise(arrivals)
    )
    first_sends = [arrival for arrival in arrivals if not arrival.resend]
    assert all(
        (arrival.phase == "low") == (arrival.at_s < 20.0) for arrival in first_sends
    )


def test_orders_are_resent_with_same_key():
    """Guards against a run that cannot detect orders executed twice."""
    mix = {"orders": 1.0, "resent_orders": 1.0}
    arrivals = plan_arrivals(make_scenario(mix=mix), SERVICES, seed=1)
    resent = [arrival.order for arrival in arrivals if arrival.resend]
    assert resent
    assert sorted(resent) == sorted(
        arrival.order for arrival in arrivals if not arrival.resend
    )


def test_extra_requests_are_marked():
    """Guards against counting an event's own requests in the metrics of the load."""
    events = [
        {"at_s": 1.0, "do": "crash_request", "fields": {"times": 3, "period_s": 0.5}},
        {"at_s": 2.0, "do": "bulk_burst", "fields": {"load": 1.0, "duration_s": 2.0}},
    ]
    arrivals = plan_arrivals(make_scenario(events=events), SERVICES, seed=1)
    crashing = [arrival for arrival in arrivals if "crash-the-server" in arrival.body]
    assert [arrival.at_s for arrival in crashing] == [1.0, 1.5, 2.0]
    assert len({str(arrival.body) for arrival in crashing}) == 1
    burst = [
        arrival for arrival in arrivals if arrival.extra and arrival not in crashing
    ]
    assert burst
    assert {arrival.priority for arrival in burst} == {"bulk"}
    assert all(2.0 <= arrival.at_s < 4.0 for arrival in burst)


@pytest.mark.parametrize("name", packaged_names("scenarios"))
def test_packaged_scenario_is_valid_and_has_targets(name: str):
    """Guards against an invalid packaged file that is only detected during a run."""
    scenario = load_scenario(name)
    assert scenario.name == name
    assert scenario.targets


@pytest.mark.parametrize("name", packaged_names("policies"))
def test_packaged_policy_is_valid(name: str):
    """Guards against a policy with a wrong name in reports."""
    assert load_policy(name).name == name


def test_unknown_scenario_error_lists_packaged_names():
    """Guards against an error message that doesn't say how to correct the name."""
    with pytest.raises(BenchFileInvalid, match="straggler"):
        load_scenario("stragler")


def test_target_of_unknown_phase_is_rejected():
    """Guards against a misspelt phase that would only be detected after the run."""
    target = {"figure": "p99_ms", "phase": "hihg", "at_most": 1.0}
    with pytest.raises(ValidationError, match="unknown phase 'hihg'"):
        make_scenario(targets=[target])
