"""Assignment of shards to gatherers."""

import random

from hypothesis import given
from hypothesis import strategies as st
from kingcuplug_routing import delegate

ZONES = "abcd"


def test_own_zone_gathers_first_and_one_other_zone_gathers_the_remaining_shards():
    """Guards against cross-zone traffic and against needless gatherers.

    Each of 36 shards lacks servers in one of four zones. Shards that the own zone holds
    must not be gathered in another one, and one gatherer suffices for the others.
    """
    shards = {f"s{n}": set(ZONES) - {ZONES[n % 4]} for n in range(36)}
    gatherers = {zone: [f"{zone}1", f"{zone}2"] for zone in ZONES}
    delegations = delegate(shards, "b", gatherers, random.Random(1))
    assert [len(d.shards) for d in delegations] == [27, 9]
    assert delegations[0].gatherer.startswith("b")
    assert not delegations[1].gatherer.startswith("b")


def test_shards_without_a_gatherer_in_their_zones_are_left_to_the_host():
    """Guards against delegating shards whose servers are all unusable or unknown."""
    delegations = delegate(
        {"s0": {"a"}, "s1": set()}, "b", {"a": ["a1"]}, random.Random(1)
    )
    assert [d.shards for d in delegations] == [("s0",)]
    assert delegate({"s0": {"a"}}, "a", {}, random.Random(1)) == []


@given(
    st.dictionaries(st.text("xyz", min_size=1), st.sets(st.sampled_from(ZONES))),
    st.sets(st.sampled_from(ZONES)),
    st.randoms(use_true_random=False),
)
def test_no_shard_is_delegated_twice(zones, gatherer_zones, source):
    """Guards against two answers for one shard in a merged answer."""
    gatherers = {zone: [zone + "1"] for zone in gatherer_zones}
    delegations = delegate(zones, "a", gatherers, source)
    shards = [shard for d in delegations for shard in d.shards]
    assert len(shards) == len(set(shards))
    assert set(shards) == {
        s for s, shard_zones in zones.items() if shard_zones & gatherer_zones
    }
