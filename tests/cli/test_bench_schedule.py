"""The arrivals of the load tool: equal for all policies, and never waiting."""

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
    base = {
        "name": "test",
        "description": "A test.",
        "phases": [
            {"name": "low", "duration_s": 20.0, "load": 0.5},
            {"name": "high", "duration_s": 20.0, "load": 1.0},
        ],
    }
    return Scenario.model_validate(base | fields)


def test_same_seed_gives_same_arrivals():
    """Guards against policies being compared on different work."""
    first = plan_arrivals(make_scenario(), SERVICES, seed=7)
    assert first == plan_arrivals(make_scenario(), SERVICES, seed=7)
    assert first != plan_arrivals(make_scenario(), SERVICES, seed=8)


def test_offered_load_matches_configured_share_of_slots():
    """Guards against a rate that ignores fan-out, slots or the mean service time."""
    chosen = make_scenario(mix={"orders": 0.0})
    arrivals = plan_arrivals(chosen, SERVICES, seed=1)
    for phase, load in (("low", 0.5), ("high", 1.0)):
        for service in SERVICES:
            queries = [
                a for a in arrivals if (a.phase, a.service) == (phase, service.name)
            ]
            busy_s = len(queries) * service.shard_count
            busy_s *= mean_service_time_ms(chosen.times) / 1_000
            offered = busy_s / (20.0 * service.slots)
            # Four standard deviations of the number of Poisson arrivals.
            assert offered == pytest.approx(load, rel=4 / math.sqrt(len(queries)))


def test_mean_service_time_matches_distribution():
    """Guards against stragglers or the spread being left out of the offered load."""
    times = make_scenario().times
    source = random.Random(1)
    total = 0.0
    for _ in range(200_000):
        drawn = times.median_ms * source.lognormvariate(0.0, times.spread)
        if source.random() < times.straggle_share:
            drawn *= times.straggle_factor
        total += drawn
    assert mean_service_time_ms(times) == pytest.approx(total / 200_000, rel=0.01)


def test_arrivals_are_sorted_numbered_and_within_their_phase():
    """Guards against arrivals that are counted in a phase they did not meet."""
    arrivals = plan_arrivals(make_scenario(), SERVICES, seed=3)
    assert [a.number for a in arrivals] == list(range(len(arrivals)))
    assert all(a.at_s <= b.at_s for a, b in itertools.pairwise(arrivals))
    firsts = [a for a in arrivals if not a.resend]
    assert all((a.phase == "low") == (a.at_s < 20.0) for a in firsts)


def test_orders_are_resent_with_same_key():
    """Guards against a run that cannot find doubled orders."""
    mix = {"orders": 1.0, "resent_orders": 1.0}
    arrivals = plan_arrivals(make_scenario(mix=mix), SERVICES, seed=1)
    resent = [a.order for a in arrivals if a.resend]
    assert resent
    assert sorted(resent) == sorted(a.order for a in arrivals if not a.resend)


def test_extra_requests_are_marked():
    """Guards against a burst's own requests entering the figures of the others."""
    events = [
        {"at_s": 1.0, "do": "crash_request", "fields": {"times": 3, "period_s": 0.5}},
        {"at_s": 2.0, "do": "bulk_burst", "fields": {"load": 1.0, "duration_s": 2.0}},
    ]
    arrivals = plan_arrivals(make_scenario(events=events), SERVICES, seed=1)
    crashing = [a for a in arrivals if "crash-the-server" in a.body]
    assert [a.at_s for a in crashing] == [1.0, 1.5, 2.0]
    assert len({str(a.body) for a in crashing}) == 1
    burst = [a for a in arrivals if a.extra and a not in crashing]
    assert burst
    assert {a.priority for a in burst} == {"bulk"}
    assert all(2.0 <= a.at_s < 4.0 for a in burst)


@pytest.mark.parametrize("name", packaged_names("scenarios"))
def test_packaged_scenario_is_valid_and_has_targets(name: str):
    """Guards against a packaged file that only fails in a long run."""
    found = load_scenario(name)
    assert found.name == name
    assert found.targets


@pytest.mark.parametrize("name", packaged_names("policies"))
def test_packaged_policy_is_valid(name: str):
    """Guards against a policy that names itself wrongly in reports."""
    assert load_policy(name).name == name


def test_unknown_scenario_error_lists_packaged_names():
    """Guards against an error without a remedy."""
    with pytest.raises(BenchFileInvalid, match="straggler"):
        load_scenario("stragler")


def test_target_of_unknown_phase_is_rejected():
    """Guards against a misspelt phase that would fail after the run."""
    target = {"figure": "p99_ms", "phase": "hihg", "at_most": 1.0}
    with pytest.raises(ValidationError, match="unknown phase 'hihg'"):
        make_scenario(targets=[target])
