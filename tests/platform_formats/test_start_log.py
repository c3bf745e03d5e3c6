"""What the log of a host process says of its start and its end."""


def test_process_logs_its_start_before_anything_that_may_fail(start_host):
    """Guards against a start that shows in the log only once it has succeeded."""
    run = start_host()
    starting = run.wait_for_event("starting")
    assert starting["pid"] == run.process.pid
    assert run.wait_for_event("started")["monotonic_us"] > starting["monotonic_us"]
