"""When a host checks whether it is cut off from all servers."""

import pytest
from kingcuplug_routing import IsolationDetector


@pytest.fixture
def detector() -> IsolationDetector:
    return IsolationDetector()


def test_connections_that_hang_lead_to_a_check(detector):
    """Guards against requests held until their deadline, without any failure."""
    detector.record_answer()
    detector.record_silence("a")
    assert not detector.check_is_due(1.0)
    detector.record_silence("b")
    assert detector.check_is_due(1.0)


def test_old_connections_that_answer_do_not_hide_refused_ones(detector):
    """Guards against a host whose last connections live on while new ones fail."""
    for server in ("a", "b"):
        detector.record_answer()
        detector.record_unconnected(server)
    assert detector.check_is_due(1.0)


def test_servers_that_fail_between_others_lead_to_no_check(detector):
    """Guards against checks all the time when single servers are down."""
    for number in range(20):
        detector.record_unconnected(f"down-{number}")
        detector.record_silence(f"late-{number}")
        detector.record_connection()
        detector.record_answer()
        assert not detector.check_is_due(float(number))


def test_checks_are_rare(detector):
    """Guards against a check for each request that fails."""
    for server in ("a", "b"):
        detector.record_unconnected(server)
    assert detector.check_is_due(1.0)
    detector.record_check_start(1.0)
    assert not detector.check_is_due(1.1)
    assert detector.check_is_due(1.5)


def test_one_reached_server_ends_the_isolation(detector):
    """Guards against a host that stays cut off by its own judgement."""
    assert detector.record_check(reached=0, tried=3)
    assert detector.isolated
    assert not detector.record_check(reached=0, tried=3)
    assert detector.record_check(reached=1, tried=3)
    assert not detector.isolated


def test_single_server_tells_nothing(detector):
    """Guards against taking the loss of the only known server for a cut."""
    assert not detector.record_check(reached=0, tried=1)
    assert not detector.isolated
