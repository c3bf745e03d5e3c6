"""Choice of a replica under replayed load patterns."""

from random import Random

from kingcuplug_routing import ReplicaState, choose_replica

TYPICAL_S = 0.03


def _shares(
    replicas: list[ReplicaState], durations_s: list[float], requests: int = 300
) -> list[float]:
    """Return the share of each replica when requests come every 100 ms."""
    random, counts, now = Random(5), [0] * len(replicas), 0.0
    for _ in range(requests):
        now += 0.1
        chosen = choose_replica(replicas, now, TYPICAL_S, random)
        counts[chosen] += 1
        key = object()
        replicas[chosen].record_start(key, now, TYPICAL_S)
        replicas[chosen].record_answer(key, now + durations_s[chosen])
    return [count / requests for count in counts]


def test_equal_replicas_share_the_load():
    """Guards against all hosts choosing the same replica."""
    shares = _shares([ReplicaState(3) for _ in range(3)], [TYPICAL_S] * 3)
    assert min(shares) > 0.2


def test_slow_replica_is_avoided():
    """Guards against one slow replica that delays a third of all queries."""
    slow = TYPICAL_S * 8
    shares = _shares([ReplicaState(3) for _ in range(3)], [slow, TYPICAL_S, TYPICAL_S])
    assert shares[0] < 0.08


def test_local_replica_is_used_again_after_one_pause():
    """Guards against ten seconds of traffic to other zones after a pause of 200 ms."""
    local, remote = ReplicaState(3), ReplicaState(3, remote=True)
    key = object()
    local.record_start(key, 0.0, TYPICAL_S)
    local.record_answer(key, 0.23)
    random = Random(5)
    chosen = [
        choose_replica([local, remote], 5.0, TYPICAL_S, random) for _ in range(50)
    ]
    assert chosen.count(0) > 40


def test_stalled_replica_is_avoided_before_it_answers():
    """Guards against sending more requests to a server in the middle of a pause."""
    stalled, other = ReplicaState(3), ReplicaState(3, remote=True)
    stalled.record_start(object(), 0.0, TYPICAL_S)
    random = Random(5)
    chosen = [
        choose_replica([stalled, other], 0.15, TYPICAL_S, random) for _ in range(50)
    ]
    assert chosen.count(1) == 50


def test_replica_that_fails_fast_does_not_attract_requests():
    """Guards against a server that fails immediately and so looks idle."""
    failing, healthy = ReplicaState(3), ReplicaState(3)
    random, now, to_failing = Random(5), 0.0, 0
    for _ in range(200):
        now += 0.1
        replica = (failing, healthy)[
            choose_replica([failing, healthy], now, TYPICAL_S, random)
        ]
        key = object()
        replica.record_start(key, now, TYPICAL_S)
        if replica is failing:
            to_failing += 1
            replica.record_failure(key, now + 0.001, unreachable=False)
        else:
            replica.record_answer(key, now + TYPICAL_S)
    assert to_failing < 20


def test_unreachable_server_is_tried_again_later():
    """Guards against a server that is never used again after a restart."""
    down, up = ReplicaState(3), ReplicaState(3)
    key = object()
    down.record_start(key, 0.0, TYPICAL_S)
    down.record_failure(key, 0.0, unreachable=True)
    random = Random(5)
    soon = [choose_replica([down, up], 0.1, TYPICAL_S, random) for _ in range(50)]
    later = [choose_replica([down, up], 60.0, TYPICAL_S, random) for _ in range(50)]
    assert soon.count(0) == 0
    assert later.count(0) > 10


def test_replica_that_sheds_a_part_of_its_requests_is_avoided():
    """Guards against retries that exhaust the budget, for a server that looks idle.

    It rejects six in ten requests at once and answers the others as fast as its peers.
    """
    random, now, to_shedding = Random(5), 0.0, 0
    replicas = [ReplicaState(3) for _ in range(3)]
    for _ in range(300):
        now += 0.1
        chosen = choose_replica(replicas, now, TYPICAL_S, random)
        key = object()
        replicas[chosen].record_start(key, now, TYPICAL_S)
        if chosen == 0:
            to_shedding += 1
        if chosen == 0 and random.random() < 0.6:
            replicas[chosen].record_rejection(key, now + 0.001)
        else:
            replicas[chosen].record_answer(key, now + TYPICAL_S)
    assert to_shedding < 30


def test_one_rejection_does_not_keep_a_replica_unused():
    """Guards against a server that was full for a moment and loses all its load."""
    random = Random(5)
    replicas = [ReplicaState(3), ReplicaState(3)]
    key = object()
    replicas[0].record_start(key, 0.0, TYPICAL_S)
    replicas[0].record_rejection(key, 0.001)
    chosen = [choose_replica(replicas, 8.0, TYPICAL_S, random) for _ in range(200)]
    assert chosen.count(0) > 20
