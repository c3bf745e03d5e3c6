"""`kingcuplugd` as a real process."""

import contextlib
import http.client
import json
import os
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any

_TIMEOUT_S = 30.0
_POLL_INTERVAL_S = 0.02
MAIN_CODE = "from kingcuplug_daemon import main; main()"


def wait_until(condition: Callable[[], bool]) -> None:
    """Wait until a condition holds."""
    deadline = time.monotonic() + _TIMEOUT_S
    while not condition():
        assert time.monotonic() < deadline
        time.sleep(_POLL_INTERVAL_S)


def free_address() -> str:
    """Return an unused address."""
    with socket.create_server(("127.0.0.1", 0)) as server:
        return f"127.0.0.1:{server.getsockname()[1]}"


class DaemonProcess:
    """One process and its settings file.

    Parameters
    ----------
    folder : Path
        Folder for the settings file, the data folder and standard error.
    fields : Any
        Fields of the settings that differ from those of a control and entry host.
    """

    def __init__(self, folder: Path, **fields: Any) -> None:
        folder.mkdir(exist_ok=True)
        peer_address = free_address()
        self.settings: dict[str, Any] = {
            "host": "host-01",
            "availability_zone": "zone-1",
            "roles": ["control", "entry"],
            "caller_address": free_address(),
            "peer_address": peer_address,
            "control_seeds": [peer_address],
            "data_folder": str(folder / "data"),
            "shutdown_grace_ms": 0,
        } | fields
        self.folder = folder
        self.path = folder / "settings.json"
        self.write_settings()
        self.process: subprocess.Popen[bytes]

    @property
    def errors(self) -> str:
        """What was written to standard error, if `start` did not redirect it."""
        return (self.folder / "errors").read_text()

    def write_settings(self) -> None:
        """Write the settings file."""
        self.path.write_text(json.dumps(self.settings))

    def start(
        self,
        code: str = MAIN_CODE,
        arguments: Sequence[str] | None = None,
        **options: Any,
    ) -> None:
        """Start the process; `options` go to `Popen`."""
        if arguments is None:
            arguments = [str(self.path)]
        with (self.folder / "errors").open("wb") as errors:
            self.process = subprocess.Popen(
                [sys.executable, "-c", code, *arguments],
                # The sources under test, not an installed copy.
                env=os.environ | {"PYTHONPATH": os.pathsep.join(sys.path)},
                **({"stdin": subprocess.DEVNULL, "stderr": errors} | options),
            )

    def get(self, path: str) -> int:
        """Return the status of a GET request; 0 without a response."""
        host, _, port = self.settings["caller_address"].rpartition(":")
        connection = http.client.HTTPConnection(host, int(port), timeout=2)
        with contextlib.suppress(OSError), contextlib.closing(connection):
            connection.request("GET", f"/{path}")
            return connection.getresponse().status
        return 0

    def bootstrap(self) -> None:
        """Make a cluster of this control host and give it a configuration."""
        self._post("operator/control/bootstrap", {})
        change = {
            "change_id": "1",
            "base_revision": 0,
            "text": json.dumps({"services": {}}),
            "author": "test",
        }
        wait_until(lambda: self._post("operator/configuration", change) == 200)

    def _post(self, path: str, fields: dict[str, Any]) -> int:
        host, _, port = self.settings["caller_address"].rpartition(":")
        connection = http.client.HTTPConnection(host, int(port), timeout=5)
        with contextlib.suppress(OSError), contextlib.closing(connection):
            connection.request("POST", f"/v1/{path}", json.dumps(fields))
            return connection.getresponse().status
        return 0

    def wait_until_live(self) -> None:
        """Wait until the process serves requests; fail if it ends."""
        wait_until(lambda: self._has_ended() or self.get("healthz") == 200)
        assert not self._has_ended(), (self.process.returncode, self.errors)

    def wait_for_error(self, text: str) -> None:
        """Wait for a text on standard error; fail if the process ends before."""
        wait_until(lambda: self._has_ended() or text in self.errors)
        assert text in self.errors, (self.process.returncode, self.errors)

    def wait_for_exit(self) -> int:
        """Return the exit status."""
        return self.process.wait(_TIMEOUT_S)

    def terminate(self) -> int:
        """Send SIGTERM and return the exit status."""
        self.process.send_signal(signal.SIGTERM)
        return self.wait_for_exit()

    def kill(self) -> None:
        """End the process, if it was started."""
        if hasattr(self, "process"):
            self.process.kill()
            self.process.wait()

    def _has_ended(self) -> bool:
        return self.process.poll() is not None
