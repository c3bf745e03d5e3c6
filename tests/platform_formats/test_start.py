"""Signals that a host process gets while it starts."""

import os
import signal
import socket
import subprocess
import sys
import time
from pathlib import Path

import orjson
import pytest

LISTENERS = ("front", "ready", "control")
# Stands for the modules of the host, whose imports take most of the start.
_SLOW_IMPORT = """
import signal
def main():
    print(sorted(signal.pthread_sigmask(signal.SIG_BLOCK, ())))
"""


@pytest.mark.parametrize("count", [1, 3])
def test_reload_before_the_settings_are_read_does_not_end_the_process(
    start_host, count
):
    """Guards against SIGHUP ending a host that has not installed its handlers yet."""
    run = start_host(is_pipe=True)
    with run.path.open("wb") as settings:
        for _ in range(count):
            run.process.send_signal(signal.SIGHUP)
        run.path.unlink()  # Reading it again would wait for another writer.
        settings.write(orjson.dumps(run.settings))
    run.wait_for_ready()


def test_signals_are_held_back_before_the_modules_of_the_host_are_imported(tmp_path):
    """Guards against a signal ending a host in the first tenths of a second."""
    package = Path(tmp_path, "kingcuplug_platform")
    package.mkdir()
    source = Path(__file__).parents[2] / "platform/src/kingcuplug_platform"
    for name in ("__init__.py", "__main__.py"):
        (package / name).write_bytes((source / name).read_bytes())
    (package / "_main.py").write_text(_SLOW_IMPORT)
    run = subprocess.run(
        [sys.executable, "-m", "kingcuplug_platform"],
        cwd=tmp_path,
        env=os.environ | {"PYTHONPATH": str(tmp_path)},
        capture_output=True,
        text=True,
        check=False,
    )
    held_back = [signal.SIGHUP, signal.SIGINT, signal.SIGTERM]
    assert (run.stdout, run.stderr) == (f"{held_back}\n", "")


@pytest.mark.parametrize("first", [b"", b'{"node_name": "ho', b"{}", b"[]", None])
def test_host_waits_for_settings_that_are_being_replaced(start_host, first):
    """Guards against a host that ends because its settings are not complete yet."""
    run = start_host(data=first or b"")
    if first is None:
        run.path.unlink()
    assert "write a complete" in run.wait_for_event("settings_unreadable")["error"]
    run.path.write_bytes(orjson.dumps(run.settings))
    run.wait_for_ready()


@pytest.mark.parametrize("machine", ["10.0.0.300", "a..b"])
@pytest.mark.parametrize("name", LISTENERS)
def test_host_waits_for_an_address_that_can_be_used(start_host, name, machine):
    """Guards against a host that ends, or waits for good, by a mistyped address."""
    run = start_host(data=b"")
    run.wait_for_event("settings_unreadable")
    listen = run.settings["listen"]
    run.path.write_bytes(
        orjson.dumps(run.settings | {"listen": listen | {name: f"{machine}:9001"}})
    )
    run.wait_for_event("settings_unreadable", count=2)
    run.path.write_bytes(orjson.dumps(run.settings))
    run.wait_for_event("listening", count=3)
    run.wait_for_ready()


def test_host_that_waits_for_its_settings_can_be_stopped(start_host):
    """Guards against a host that no signal but SIGKILL ends while it waits."""
    run = start_host(data=b"")
    run.wait_for_event("settings_unreadable")
    run.process.send_signal(signal.SIGTERM)
    run.wait_for_event("stopped")
    assert run.wait_for_exit() == 0


def test_host_logs_unusable_settings_once_while_it_waits(start_host):
    """Guards against a log that fills while a host waits."""
    run = start_host(data=b"")
    run.wait_for_event("settings_unreadable")
    run.path.write_bytes(b"[]")
    run.wait_for_event("settings_unreadable", count=2)
    run.path.write_bytes(orjson.dumps(run.settings))
    run.wait_for_event("started")
    errors = [line["error"] for line in run.lines if "error" in line]
    assert len(errors) == len(set(errors))


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGINT])
def test_stop_during_the_start_is_a_planned_one(start_host, number):
    """Guards against a stop that looks like a failure because the host still starts."""
    run = start_host(is_pipe=True)
    with run.path.open("wb") as settings:
        run.process.send_signal(number)
        run.path.unlink()  # Reading it again would wait for another writer.
        settings.write(orjson.dumps(run.settings))
    run.wait_for_event("stopped")
    assert run.wait_for_exit() == 0


def test_signals_that_mean_nothing_to_a_host_do_not_end_it(start_host):
    """Guards against a host that ends by a signal that it does not use."""
    run = start_host()
    run.wait_for_event("started")
    for number in (signal.SIGUSR1, signal.SIGUSR2, signal.SIGALRM):
        run.process.send_signal(number)
    run.process.send_signal(signal.SIGTERM)
    run.wait_for_event("stopped")
    assert run.wait_for_exit() == 0


@pytest.mark.parametrize("name", ["front", "ready", "control"])
def test_host_waits_for_a_port_that_is_in_use(start_host, make_settings, name):
    """Guards against a host that ends because the one before it still stops."""
    settings = make_settings()
    host, _, port = settings["listen"][name].rpartition(":")
    with socket.create_server((host, int(port))):
        run = start_host(settings)
        line = run.wait_for_event("address_unavailable")
        assert line["address"] == settings["listen"][name]
        assert "end what uses the port" in line["remedy"]
    run.wait_for_event("listening", count=3)
    run.wait_for_ready()


def test_host_that_waits_for_its_addresses_can_be_stopped(start_host, make_settings):
    """Guards against a host that holds up its platform until SIGKILL."""
    settings = make_settings()
    listen = {name: f"192.0.2.1:{port}" for port, name in enumerate(LISTENERS, 9_001)}
    run = start_host(settings | {"ip": "192.0.2.1", "listen": listen})
    run.wait_for_event("address_unavailable", count=4)
    run.process.send_signal(signal.SIGTERM)
    run.wait_for_event("stopped")
    assert run.wait_for_exit() == 0


def test_hosts_at_one_address_share_its_metrics_port(start_host):
    """Guards against callers that are not served because a metrics port is taken."""
    runs = [start_host(), start_host()]
    for run in runs:
        run.wait_for_ready()
    for run in runs:
        run.wait_for_event("started")


def test_successor_takes_over_while_its_predecessor_is_killed(
    start_host, make_settings, tmp_path
):
    """Guards against a restart that fails because it comes a moment too early."""
    settings = make_settings(data_directory=str(tmp_path / "data"))
    first = start_host(settings)
    first.wait_for_event("group_founded")
    second = start_host(settings)
    second.wait_for_event("address_unavailable")
    first.process.kill()
    line = second.wait_for_event("replica_started")
    assert not line["fresh"]
    second.wait_for_ready()


@pytest.mark.parametrize("closed", [(0,), (1,), (2,), (1, 2), (0, 1, 2)])
def test_host_starts_without_standard_descriptors(start_host, closed):
    """Guards against a host that needs an output, or logs into one of its sockets."""

    def close() -> None:
        for descriptor in closed:
            os.close(descriptor)

    run = start_host(stdout=subprocess.DEVNULL, preexec_fn=close)
    run.wait_for_ready()
    for descriptor in closed:
        target = Path(f"/proc/{run.process.pid}/fd/{descriptor}").readlink()
        assert target == Path(os.devnull)


def test_start_does_not_depend_on_the_modules_of_the_machine(start_host, tmp_path):
    """Guards against a start that a customization of the machine's Python ends."""
    Path(tmp_path, "sitecustomize.py").write_text("import os\nos._exit(3)\n")
    start_host(first_module_folders=[tmp_path]).wait_for_ready()


def test_second_stop_signals_do_not_change_the_exit_status(start_host):
    """Guards against a planned stop that looks like an end by a signal."""
    run = start_host()
    run.wait_for_ready()
    run.process.send_signal(signal.SIGTERM)
    run.wait_for_event("stopping")
    while run.process.poll() is None:
        run.process.send_signal(signal.SIGTERM)
        time.sleep(0.0005)
    assert run.wait_for_exit() == 0


def test_very_many_signals_do_not_hang_a_host(start_host):
    """Guards against a deadlock of the interpreter's handlers, which SIGTERM can't end.

    One that finds the pipe to the event loop full takes a lock to warn of it.
    """
    run = start_host()
    run.wait_for_ready()
    for _ in range(20_000):
        run.process.send_signal(signal.SIGHUP)
    run.process.send_signal(signal.SIGTERM)
    assert run.wait_for_exit() == 0
