"""Tests of clocks that jump."""

from kingcuplug_common import make_latest_wall_clock


def test_latest_wall_clock_follows_forward_jumps_only():
    # Guards against a bound on others' times that falls with this machine's clock.
    wall_s, steady_s = 1_000.0, 5.0
    read = make_latest_wall_clock(lambda: wall_s, lambda: steady_s)
    assert read() == 1_000.0
    wall_s, steady_s = 400.0, 15.0
    assert read() == 1_010.0
    wall_s, steady_s = 90_000.0, 16.0
    assert read() == 90_000.0
    wall_s, steady_s = 1_012.0, 17.0
    assert read() == 90_001.0
