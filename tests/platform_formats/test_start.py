"""Signals that a host process gets while it starts."""

import contextlib
import os
import signal
import subprocess
import sys
from pathlib import Path

import orjson
import pytest

_EXIT_TIMEOUT_S = 20
# Stands for the modules of the host, whose imports take most of the start.
_SLOW_IMPORT = """
import signal
def main():
    print(sorted(signal.pthread_sigmask(signal.SIG_BLOCK, ())))
"""


@pytest.mark.parametrize("count", [1, 3])
def test_reload_before_the_settings_are_read_does_not_end_the_process(tmp_path, count):
    """Guards against SIGHUP ending a host that has not installed its handlers yet."""
    settings = tmp_path / "settings.json"
    os.mkfifo(settings)
    process = subprocess.Popen(
        [sys.executable, "-m", "kingcuplug_platform"],
        env=os.environ | {"KINGCUPLUG_CONFIG": str(settings)},
        stderr=subprocess.DEVNULL,
    )
    with contextlib.suppress(BrokenPipeError), settings.open("wb") as writer:
        # The process has opened the file and waits for its content.
        for _ in range(count):
            process.send_signal(signal.SIGHUP)
        writer.write(b"not settings")
    assert process.wait(_EXIT_TIMEOUT_S) == 1  # because of the settings


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
