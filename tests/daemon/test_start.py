"""The start and the end of `kingcuplugd` as a real process."""

import contextlib
import os
import signal
import socket
import subprocess
import sys
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import kingcuplug_daemon
import pytest

from tests.daemon._certificates import CertificateAuthority
from tests.daemon._daemon_process import (
    MAIN_CODE,
    DaemonProcess,
    free_address,
    wait_until,
)

MakeDaemon = Callable[..., DaemonProcess]

_HANDLED_SIGNALS = (signal.SIGHUP, signal.SIGINT, signal.SIGTERM)
_EXIT_TIMEOUT_S = 30
# Stands for the modules of the host, whose imports take most of the start.
_SLOW_IMPORT = """
import signal
def run_program():
    blocked = signal.pthread_sigmask(signal.SIG_BLOCK, ())
    print(*sorted(signal.Signals(number).name for number in blocked))
"""
# Sends the signals once the host has stopped.
_MAIN_CODE_WITH_LATE_SIGNALS = f"""
import atexit, os, signal
def send_signals():
    for number in (signal.SIGHUP, signal.SIGTERM, signal.SIGINT):
        os.kill(os.getpid(), number)
atexit.register(send_signals)
{MAIN_CODE}
"""


@pytest.fixture
def make_daemon(tmp_path: Path) -> Iterator[MakeDaemon]:
    """Return a function that makes a daemon's files; all are killed after the test."""
    daemons: list[DaemonProcess] = []

    def make(**fields: Any) -> DaemonProcess:
        daemons.append(DaemonProcess(tmp_path / f"host-{len(daemons)}", **fields))
        return daemons[-1]

    yield make
    for daemon in daemons:
        daemon.kill()


def test_signals_are_held_back_before_the_modules_of_the_host_are_imported(tmp_path):
    """Guards against a signal that ends a host in the first second."""
    package = tmp_path / "kingcuplug_daemon"
    package.mkdir()
    source = Path(kingcuplug_daemon.__file__).parent
    for name in ("__init__.py", "_start.py"):
        (package / name).write_bytes((source / name).read_bytes())
    (package / "_main.py").write_text(_SLOW_IMPORT)
    run = subprocess.run(
        [sys.executable, "-c", MAIN_CODE],
        env=os.environ | {"PYTHONPATH": str(tmp_path)},
        capture_output=True,
        text=True,
        timeout=_EXIT_TIMEOUT_S,
        check=False,
    )
    assert (run.stdout, run.stderr) == ("SIGHUP SIGINT SIGTERM\n", "")


@pytest.mark.parametrize("number", _HANDLED_SIGNALS)
def test_signal_before_the_settings_are_read_is_handled_later(make_daemon, number):
    """Guards against a signal that ends a host which has not installed handlers."""
    daemon = make_daemon()
    text = daemon.path.read_text()
    daemon.path.unlink()
    os.mkfifo(daemon.path)
    daemon.start()
    with contextlib.suppress(BrokenPipeError), daemon.path.open("w") as writer:
        # The process has opened the file and waits for its content.
        daemon.process.send_signal(number)
        writer.write(text)
    if number == signal.SIGHUP:
        daemon.wait_until_live()
        assert daemon.terminate() == 0
    else:
        assert daemon.wait_for_exit() == 0


@pytest.mark.parametrize("number", [signal.SIGUSR1, signal.SIGUSR2, signal.SIGALRM])
def test_signal_without_a_meaning_does_not_end_the_process(make_daemon, number):
    """Guards against a host that ends by a signal that it does not use."""
    daemon = make_daemon()
    daemon.start()
    daemon.wait_until_live()
    daemon.process.send_signal(number)
    assert daemon.terminate() == 0


def test_signals_after_the_host_has_stopped_do_not_change_the_exit_status(make_daemon):
    """Guards against a graceful shutdown that looks like a crash."""
    daemon = make_daemon()
    daemon.start(_MAIN_CODE_WITH_LATE_SIGNALS)
    daemon.wait_until_live()
    assert daemon.terminate() == 0


def _fill_pipe(descriptor: int) -> None:
    os.set_blocking(descriptor, False)
    with contextlib.suppress(BlockingIOError):
        while True:
            os.write(descriptor, b"x" * 4_096)
    os.set_blocking(descriptor, True)


def test_full_standard_error_keeps_the_exit_status(make_daemon):
    """Guards against a supervisor that restarts a host with invalid settings."""
    daemon = make_daemon(host="")
    with Path("/dev/full").open("wb") as full:
        daemon.start(stderr=full)
    assert daemon.wait_for_exit() == 2


def test_stalled_reader_of_standard_error_does_not_block_the_host(make_daemon):
    """Guards against an outage by invalid requests while nobody reads the log."""
    daemon = make_daemon()
    reader, writer = os.pipe()
    _fill_pipe(writer)
    daemon.start(stderr=writer)
    os.close(writer)
    daemon.wait_until_live()
    host, _, port = daemon.settings["caller_address"].rpartition(":")
    with socket.create_connection((host, int(port)), timeout=5) as connection:
        connection.sendall(b"no request\r\n\r\n")  # uvicorn logs a warning.
        assert connection.recv(4_096).startswith(b"HTTP/1.1 400 ")
    assert daemon.get("healthz") == 200
    assert daemon.terminate() == 0
    os.close(reader)


def test_closed_standard_descriptors_are_not_used_for_sockets(make_daemon):
    """Guards against messages of libraries that are sent to a caller."""
    daemon = make_daemon()
    daemon.start(preexec_fn=lambda: [os.close(number) for number in range(3)])
    daemon.wait_until_live()
    for number in range(3):
        link = Path(f"/proc/{daemon.process.pid}/fd/{number}")
        assert str(link.readlink()) == os.devnull
    assert daemon.terminate() == 0


def test_unknown_option_is_reported_before_the_host_starts(make_daemon):
    """Guards against a misspelt option that is noticed when the host ends."""
    daemon = make_daemon()
    daemon.start(arguments=[str(daemon.path), "--speed=9"])
    assert daemon.wait_for_exit() == 2
    assert "--speed=9" in daemon.errors


def _listen(address: str) -> socket.socket:
    host, _, port = address.rpartition(":")
    return socket.create_server((host, int(port)))


@pytest.mark.parametrize("name", ["caller_address", "peer_address"])
def test_host_waits_for_an_address_in_use(make_daemon, name):
    """Guards against a host that ends while the process before it still ends."""
    daemon = make_daemon()
    with _listen(daemon.settings[name]):
        daemon.start()
        daemon.wait_for_error(f"waiting: address {daemon.settings[name]} is in use; ")
    daemon.wait_until_live()
    assert daemon.errors.count("waiting") == 1
    assert daemon.terminate() == 0


def test_host_waits_for_an_interface(make_daemon):
    """Guards against a host that ends because the network is not configured yet."""
    daemon = make_daemon(caller_address="192.0.2.1:8080")
    daemon.start()
    daemon.wait_for_error("no interface of this machine has the address 192.0.2.1:8080")
    daemon.settings["caller_address"] = free_address()
    daemon.write_settings()
    daemon.wait_until_live()
    assert daemon.terminate() == 0


@pytest.mark.parametrize("number", [signal.SIGINT, signal.SIGTERM])
def test_waiting_host_can_be_stopped(make_daemon, number):
    """Guards against a host that waits and can only be killed."""
    daemon = make_daemon()
    with _listen(daemon.settings["peer_address"]):
        daemon.start()
        daemon.wait_for_error("waiting")
        daemon.process.send_signal(signal.SIGHUP)
        daemon.process.send_signal(number)
        assert daemon.wait_for_exit() == 0


def test_two_entry_hosts_at_one_address_do_not_end(make_daemon):
    """Guards against an end by an address that was free when it was bound."""
    first = make_daemon(
        roles=["entry"], control_seeds=["127.0.0.1:1"], data_folder=None
    )
    second = make_daemon(**first.settings)
    first.start()
    second.start()
    first.wait_until_live()
    wait_until(lambda: "waiting" in first.errors + second.errors)
    waiting, serving = (first, second) if "waiting" in first.errors else (second, first)
    assert serving.terminate() == 0
    waiting.wait_for_error("kingcuplugd: started")
    assert waiting.get("healthz") == 200
    assert waiting.terminate() == 0


@pytest.mark.parametrize("content", ["", "{", None])
def test_host_waits_for_a_settings_file_that_is_being_replaced(make_daemon, content):
    """Guards against a host that ends because it was started at a bad moment."""
    daemon = make_daemon()
    daemon.path.unlink()
    if content is not None:
        daemon.path.write_text(content)
    daemon.start()
    daemon.wait_for_error(f"waiting: settings file {daemon.path}")
    daemon.write_settings()
    daemon.wait_until_live()
    assert daemon.errors.count("waiting") == 1
    assert daemon.terminate() == 0


@pytest.mark.parametrize("name", ["certificate", "private_key", "authority", "token"])
@pytest.mark.parametrize("content", ["", None])
def test_host_waits_for_a_file_that_is_being_replaced(
    make_daemon, tmp_path, name, content
):
    """Guards against a host that ends while its certificates are renewed."""
    tls = CertificateAuthority(tmp_path, "authority").issue_identity()
    token = tmp_path / "token"
    token.write_text("secret")
    path = token if name == "token" else getattr(tls, name)
    complete = path.read_bytes()
    daemon = make_daemon(
        peer_tls=tls.model_dump(mode="json"), operator_token_file=str(token)
    )
    path.unlink()
    if content is not None:
        path.write_text(content)
    daemon.start()
    daemon.wait_for_error("waiting")
    path.write_bytes(complete)
    daemon.wait_until_live()
    assert daemon.terminate() == 0


def test_file_that_stays_unusable_ends_the_process(make_daemon):
    """Guards against a wrong path that is noticed by nobody."""
    daemon = make_daemon()
    daemon.start(arguments=[str(daemon.folder / "absent.json")])
    assert daemon.wait_for_exit() == 2
    assert daemon.errors.splitlines()[-1].endswith("check the path and its permissions")


def test_complete_but_invalid_settings_are_not_waited_for(make_daemon):
    """Guards against an operator who waits for a field that was misspelt."""
    daemon = make_daemon(zone="zone-1")
    daemon.start()
    assert daemon.wait_for_exit() == 2
    assert "zone" in daemon.errors
    assert "waiting" not in daemon.errors


@pytest.mark.parametrize("roles", [["control"], ["entry"]])
def test_data_folder_has_one_process_at_a_time(make_daemon, roles):
    """Guards against two processes that write one log, or one receipt key."""
    first = make_daemon(roles=roles)
    second = make_daemon(roles=roles, data_folder=first.settings["data_folder"])
    first.start()
    first.wait_until_live()
    second.start()
    second.wait_for_error("is in use by another process; ")
    assert second.get("healthz") == 0
    assert first.terminate() == 0
    second.wait_until_live()
    assert second.terminate() == 0


@pytest.mark.parametrize("name", ["data", "data/log"])
def test_data_folder_that_is_a_file_ends_the_process(make_daemon, name):
    """Guards against an error without a remedy."""
    daemon = make_daemon()
    path = daemon.folder / name
    path.parent.mkdir(exist_ok=True)
    path.touch()
    daemon.start()
    assert daemon.wait_for_exit() == 3
    assert "data folder" in daemon.errors
    assert str(path) in daemon.errors
    assert "free" in daemon.errors


@pytest.mark.parametrize("name", ["trace_file", "log_file"])
@pytest.mark.parametrize("kind", ["missing folder", "folder", "pipe", "full device"])
def test_unwritable_trace_or_log_does_not_end_the_process(make_daemon, name, kind):
    """Guards against an outage by a file on which nothing depends."""
    daemon = make_daemon()
    path = daemon.folder / "file"
    if kind == "missing folder":
        path = path / "file"
    elif kind == "folder":
        path.mkdir()
    elif kind == "pipe":
        os.mkfifo(path)
    else:
        path = Path("/dev/full")
    daemon.settings[name] = str(path)
    daemon.write_settings()
    daemon.start()
    daemon.wait_until_live()
    daemon.wait_for_error(f"{path} cannot be written, its lines are dropped: ")
    assert daemon.terminate() == 0


@pytest.mark.parametrize("path", ["services/stock/query", "operator/status"])
def test_unfinished_body_does_not_keep_the_process_running(make_daemon, path):
    """Guards against a caller that stalls, or is gone, and delays an upgrade."""
    daemon = make_daemon()
    daemon.start()
    daemon.wait_until_live()
    host, _, port = daemon.settings["caller_address"].rpartition(":")
    head = f"POST /v1/{path} HTTP/1.1\r\nHost: a\r\nContent-Length: 100\r\n\r\n"
    with socket.create_connection((host, int(port))) as connection:
        connection.sendall(head.encode() + b"{")
        # Another request is answered, so the first one has arrived.
        assert daemon.get("healthz") == 200
        assert daemon.terminate() == 0


def test_host_becomes_ready_once_its_receipt_key_can_be_stored(make_daemon):
    """Guards against a host that is never ready, without a reason."""
    control = make_daemon(roles=["control"])
    control.start()
    control.wait_until_live()
    control.bootstrap()
    daemon = make_daemon(
        roles=["entry"], control_seeds=[control.settings["peer_address"]]
    )
    key = Path(daemon.settings["data_folder"], "receipt-key")
    key.parent.mkdir()
    key.write_text("no key")
    daemon.start()
    daemon.wait_for_error("has 6 bytes, not 32; remove the file")
    assert daemon.get("readyz") == 503
    key.unlink()
    wait_until(lambda: daemon.get("readyz") == 200)
    assert daemon.terminate() == 0
