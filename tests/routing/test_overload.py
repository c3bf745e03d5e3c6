"""Load at its worst, replayed against the admission decision."""

from dataclasses import replace

import pytest
from kingcuplug_testkit import LoadPattern, QueryKind, replay_overload

# Full searches and urgent checks of a deployment of today's size.
KINDS = (
    QueryKind(1, 67.5, 0.02, 0.165, 1.48, 0.89, 2.0),
    QueryKind(2, 22.5, 0.0067, 0.055, 0.58, 0.75, 1.0),
)
CALM = LoadPattern(hosts=10, kinds=KINDS)
OVERLOADS = {
    "slow replicas": replace(CALM, burst=3.0, slow_share=0.33),
    "callers that repeat at once": replace(
        CALM, burst=3.0, slow_share=0.33, abusers=0.4
    ),
    "burst": replace(CALM, burst=7.0),
    "burst and pauses": replace(CALM, burst=7.0, pause_every_s=4.5, pause_s=0.2),
}
BEARABLE = {
    "calm": CALM,
    "burst": replace(CALM, burst=3.0),
    "herd": replace(CALM, herd_at_s=3.0),
    "pauses": replace(CALM, pause_every_s=4.5, pause_s=0.2),
    "burst and pauses": replace(CALM, burst=3.0, pause_every_s=4.5, pause_s=0.2),
}


@pytest.mark.parametrize("name", OVERLOADS)
def test_overload_does_not_make_every_answer_late(name):
    """Guards against an overload in which all are held until nobody is in time.

    A fixed limit with one queue sends or holds every query until its deadline.
    """
    for seed in (1, 2):
        adaptive = replay_overload(OVERLOADS[name], seed=seed)
        fixed = replay_overload(OVERLOADS[name], adaptive=False, seed=seed)
        assert adaptive.share() > 1.25 * fixed.share(), (seed, fixed.share())


@pytest.mark.parametrize("name", OVERLOADS)
def test_no_rank_earns_less_than_a_less_urgent_one(name):
    """Guards against full searches that lose their turn to less urgent queries."""
    result = replay_overload(OVERLOADS[name])
    assert result.share(1) >= result.share(2)
    assert result.share(2) > 0


@pytest.mark.parametrize("name", OVERLOADS)
def test_refused_requests_are_not_held(name):
    """Guards against a caller that waits most of its time for a refusal.

    Nearly all are refused on arrival; the others when they can no longer be in time.
    """
    result = replay_overload(OVERLOADS[name])
    assert max(result.held_s) < KINDS[0].target_s
    immediate = sum(held_s == 0 for held_s in result.held_s)
    assert immediate > 0.5 * len(result.held_s)


@pytest.mark.parametrize("hosts", [10, 77, 200])
@pytest.mark.parametrize("name", BEARABLE)
def test_load_that_the_servers_bear_is_served_as_with_a_fixed_limit(name, hosts):
    """Guards against a limit that refuses requests which a free server could run."""
    shards = {10: 10, 77: 36, 200: 42}[hosts]
    pattern = replace(BEARABLE[name], hosts=hosts, shards=shards, length_s=8.0)
    adaptive = replay_overload(pattern)
    fixed = replay_overload(pattern, adaptive=False)
    assert adaptive.share() >= fixed.share() - 0.01


def test_replay_repeats_exactly():
    """Guards against a failure that cannot be reproduced by its seed."""
    first = replay_overload(OVERLOADS["slow replicas"], seed=3)
    second = replay_overload(OVERLOADS["slow replicas"], seed=3)
    assert (first.earned, first.held_s) == (second.earned, second.held_s)
