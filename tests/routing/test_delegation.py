"""Which hosts gather which shards."""

import random

from hypothesis import given
from hypothesis import strategies as st
from kingcuplug_routing import delegate

ZONES = "abcd"


def test_own_zone_gathers_first_and_one_other_zone_takes_the_rest():
    """Replays 36 shards that each lack one of four zones.

    Guards against parts from another zone that the own one could give, and against
    a rest that is spread over more gatherers than it needs.
    """
    shards = {f"s{n}": set(ZONES) - {ZONES[n % 4]} for n in range(36)}
    gatherers = {zone: [f"{zone}1", f"{zone}2"] for zone in ZONES}
    found = delegate(shards, "b", gatherers, random.Random(1))
    assert [len(d.shards) for d in found] == [27, 9]
    assert found[0].gatherer.startswith("b")
    assert not found[1].gatherer.startswith("b")


def test_shards_without_a_near_gatherer_are_left_to_the_host():
    """Guards against delegating shards whose servers are all bad or unknown."""
    found = delegate({"s0": {"a"}, "s1": set()}, "b", {"a": ["a1"]}, random.Random(1))
    assert [d.shards for d in found] == [("s0",)]
    assert delegate({"s0": {"a"}}, "a", {}, random.Random(1)) == []


@given(
    st.dictionaries(st.text("xyz", min_size=1), st.sets(st.sampled_from(ZONES))),
    st.sets(st.sampled_from(ZONES)),
    st.randoms(use_true_random=False),
)
def test_no_shard_is_delegated_twice(zones, with_gatherers, source):
    """Guards against two answers for one shard in a merged answer."""
    gatherers = {zone: [zone + "1"] for zone in with_gatherers}
    found = delegate(zones, "a", gatherers, source)
    shards = [shard for d in found for shard in d.shards]
    assert len(shards) == len(set(shards))
    assert set(shards) == {s for s, near in zones.items() if near & with_gatherers}
