"""What the log of a host process says of its start and its end."""


def test_process_that_ends_by_itself_logs_why(start_host):
    """Guards against an end of which neither the logs nor the metrics hold a trace."""
    run = start_host(data=b"not settings")
    ended = run.wait_for_event("ended")
    assert run.wait_for_exit() == 1
    assert "JSONDecodeError" in ended["error"]
    assert "decode_settings" in ended["trace"]


def test_process_logs_its_start_before_anything_that_may_fail(start_host):
    """Guards against a start that shows in the log only once it has succeeded."""
    run = start_host()
    starting = run.wait_for_event("starting")
    assert starting["pid"] == run.process.pid
    assert run.wait_for_event("started")["monotonic_us"] > starting["monotonic_us"]
