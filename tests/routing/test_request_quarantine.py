"""Quarantine of requests that crash servers, among many hosts."""

import random

import pytest
from kingcuplug_routing import RequestQuarantine, SuspectRecord, SuspectRegister

_STEP_S = 0.1
_REPEAT_S = 0.5
_STABILITY_WINDOW_S = 4.0


class Fleet:
    """Hosts that report to one coordinator, with a delay of one step each way."""

    def __init__(self, hosts: int, seed: int = 1) -> None:
        self.random = random.Random(seed)
        self.now = 0.0
        self.register = SuspectRegister()
        self.published: dict[str, SuspectRecord] = {}
        self.hosts = [RequestQuarantine() for _ in range(hosts)]

    def advance(self, seconds: float) -> None:
        """Exchange reports for some time."""
        for _ in range(round(seconds / _STEP_S)):
            self.now += _STEP_S
            published = self.published
            for host in self.hosts:
                host.apply(published, self.now)
                records, answered = host.pop_report(self.now)
                self.register.add(records, self.now)
                self.register.discard(answered)
            self.published = self.register.records(self.now)

    def lose_coordinator(self) -> None:
        """Replace the coordinator by one that knows nothing."""
        self.register, self.published = SuspectRegister(), {}

    def restart(self, host: int) -> None:
        """Restart a host, which forgets everything."""
        self.hosts[host] = RequestQuarantine()


def _repeat_crashing_request(fleet: Fleet, seconds: float) -> list[float]:
    """Send a request again and again to random hosts; return when it ran."""
    crashes = []
    until = fleet.now + seconds
    number = 0
    while fleet.now < until:
        number += 1
        host = fleet.random.choice(fleet.hosts)
        if host.quarantined_s("bad", fleet.now) == 0:
            crashes.append(fleet.now)
            host.record_crash("bad", f"{fleet.now:.1f}", fleet.now)
        fleet.advance(_REPEAT_S)
    return crashes


@pytest.mark.parametrize("hosts", [10, 77, 200])
@pytest.mark.parametrize("seed", range(5))
def test_crashing_request_is_refused_at_all_hosts(hosts, seed):
    """Guards against a count of each host alone, of which none sees three crashes."""
    crashes = _repeat_crashing_request(Fleet(hosts, seed), 30.0)
    late = [at for at in crashes if at > crashes[2] + _STABILITY_WINDOW_S]
    assert len(crashes) <= 4
    assert late == []


@pytest.mark.parametrize("hosts", [10, 77, 200])
@pytest.mark.parametrize("seed", range(5))
def test_path_is_refused_if_all_its_requests_crash_servers(hosts, seed):
    """Guards against a request with another query string each time it comes again."""
    fleet, crashes = Fleet(hosts, seed), []
    while fleet.now < 30.0:
        host = fleet.random.choice(fleet.hosts)
        if host.quarantined_s("path", fleet.now) == 0:
            crashes.append(fleet.now)
            attempt_id = f"{fleet.now:.1f}"
            host.record_crash(f"query-{attempt_id}", attempt_id, fleet.now)
            host.record_path_crash("path", attempt_id, fleet.now - 0.05, fleet.now)
        fleet.advance(_REPEAT_S)
    late = [at for at in crashes if at > crashes[2] + _STABILITY_WINDOW_S]
    assert len(crashes) <= 5
    assert late == []


def test_path_is_not_refused_after_one_crash_of_all_servers():
    """Guards against adding up requests to one path that were lost in one crash."""
    fleet = Fleet(10)
    for number, host in enumerate(fleet.hosts):
        host.record_path_crash("path", f"try-{number}", -0.1, fleet.now)
    fleet.advance(1.0)
    assert all(host.is_suspect("path", fleet.now) for host in fleet.hosts)
    assert all(host.quarantined_s("path", fleet.now) == 0 for host in fleet.hosts)


def test_path_is_not_refused_if_other_requests_to_it_are_answered():
    """Guards against refusing a path because some requests to it crash servers."""
    fleet = Fleet(10)
    for number in range(6):
        lost_at, answered_at = fleet.random.sample(fleet.hosts, 2)
        lost_at.record_path_crash("path", f"try-{number}", fleet.now, fleet.now)
        fleet.advance(1.0)
        answered_at.record_answer("path", fleet.now)
        fleet.advance(1.0)
        assert not any(host.is_suspect("path", fleet.now) for host in fleet.hosts)


def test_quarantine_outlives_restarts_and_the_coordinator():
    """Guards against a quarantine that is forgotten with a process."""
    fleet = Fleet(10)
    _repeat_crashing_request(fleet, 5.0)
    fleet.lose_coordinator()
    for host in range(5):
        fleet.restart(host)
    fleet.advance(4.0)
    assert all(host.quarantined_s("bad", fleet.now) > 0 for host in fleet.hosts)


def test_quarantine_ends_although_hosts_report_it_again():
    """Guards against hosts that keep each other's quarantine alive for ever."""
    fleet = Fleet(3)
    _repeat_crashing_request(fleet, 5.0)
    fleet.advance(300.0)
    fleet.lose_coordinator()
    fleet.restart(0)
    fleet.advance(400.0)
    assert all(host.quarantined_s("bad", fleet.now) == 0 for host in fleet.hosts)


def test_answered_request_is_no_suspect_anywhere():
    """Guards against refusing a request that was at servers which crashed for others.

    It was lost three times, at different hosts, but was answered in between.
    """
    fleet = Fleet(10)
    for number in range(6):
        lost_at, answered_at = fleet.random.sample(fleet.hosts, 2)
        lost_at.record_crash("good", f"lost-{number}", fleet.now)
        fleet.advance(1.0)
        assert answered_at.is_suspect("good", fleet.now)
        answered_at.record_answer("good", fleet.now)
        fleet.advance(1.0)
        assert not any(host.is_suspect("good", fleet.now) for host in fleet.hosts)


def test_one_execution_at_many_servers_counts_once():
    """Guards against a query being refused after one attempt that lost all shards."""
    quarantine = RequestQuarantine()
    for _ in range(5):
        quarantine.record_crash("query", "try-1", 1.0)
    assert quarantine.is_suspect("query", 1.0)
    assert quarantine.quarantined_s("query", 1.0) == 0


def test_suspicion_ends_without_further_crashes():
    """Guards against three crashes in weeks that add up."""
    fleet = Fleet(3)
    for number in range(4):
        fleet.hosts[0].record_crash("rare", f"try-{number}", fleet.now)
        fleet.advance(70.0)
    assert fleet.hosts[0].quarantined_s("rare", fleet.now) == 0
    assert fleet.hosts[0].is_empty


def test_number_of_suspects_is_bounded_and_keeps_quarantines():
    """Guards against a mass crash that fills messages, or displaces a quarantine."""
    fleet = Fleet(2)
    _repeat_crashing_request(fleet, 5.0)
    for number in range(1_000):
        fleet.hosts[0].record_crash(f"f-{number}", "try", fleet.now)
    fleet.advance(2.0)
    assert len(fleet.published) <= 64
    assert all(host.quarantined_s("bad", fleet.now) > 0 for host in fleet.hosts)


def test_report_that_failed_is_sent_later():
    """Guards against losing a crash with the control host that it was reported to."""
    quarantine = RequestQuarantine()
    quarantine.record_crash("bad", "try-1", 1.0)
    records, answered = quarantine.pop_report(1.0)
    quarantine.restore_report(records, answered, 1.0)
    assert quarantine.pop_report(2.0)[0] == records
