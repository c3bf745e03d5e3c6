"""Deployments of whole hosts, for the tests of several folders."""

import asyncio
import contextlib
import json
import threading
from collections.abc import Coroutine, Iterator
from pathlib import Path
from typing import Any, TypeVar

from kingcuplug_cli._local import DeploymentSpec, LocalDeployment, ServiceGroup

_T = TypeVar("_T")
_CALL_TIMEOUT_S = 60.0

DEPLOYMENT_SIZES = DeploymentSpec(
    ("zone-1", "zone-2"),
    0.0,
    0.0,
    (
        ServiceGroup(("stock", "patterns"), 3, 3, 30, 0.0, 4, 2),
        ServiceGroup(("trims",), 2, 3, 30, 0.0, 2, 2),
    ),
)
CONFIGURATION_TEXT = json.dumps(
    {
        "services": {
            "stock": {"depends_on": ["trims"]},
            "patterns": {},
            "trims": {},
            "raw": {"policy": {"canary": "off"}},
        }
    }
)


class DeploymentThread:
    """A deployment whose event loop runs in a separate thread.

    The hosts thus keep serving while a test calls the command line synchronously.
    """

    def __init__(self) -> None:
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)
        self._thread.start()
        self.local: LocalDeployment
        self.revision = 0

    def run(self, coroutine: Coroutine[Any, Any, _T]) -> _T:
        """Run a coroutine on the deployment's loop and return its result."""
        return asyncio.run_coroutine_threadsafe(coroutine, self._loop).result(
            _CALL_TIMEOUT_S
        )

    def start(self, **options: Any) -> None:
        """Start hosts and simulated servers; `options` go to `LocalDeployment`."""

        async def start_local() -> None:
            self.local = LocalDeployment(DEPLOYMENT_SIZES, **options)
            self.revision = await self.local.start(CONFIGURATION_TEXT)

        self.run(start_local())

    def stop(self) -> None:
        """Stop the hosts, the event loop and its thread."""
        self.run(self.local.stop())
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join(_CALL_TIMEOUT_S)
        self._loop.close()

    def address(self, number: int = 0) -> str:
        """Return the callers' address of a host."""
        return self.local.hosts[number].caller_address

    def call(self, service: str, kind: str, fields: Any) -> tuple[int, dict[str, Any]]:
        """Send a request as a caller."""
        return self.run(self.local.call(service, kind, fields))


@contextlib.contextmanager
def running_deployment(**options: Any) -> Iterator[DeploymentThread]:
    """Run a deployment for the duration of the context."""
    deployment = DeploymentThread()
    deployment.start(**options)
    try:
        yield deployment
    finally:
        deployment.stop()


@contextlib.contextmanager
def shared_deployment(folder: Path) -> Iterator[DeploymentThread]:
    """Run the deployment that the tests of one folder share.

    Tests must restore whatever they change. The fixture that calls this belongs to the
    folder's own conftest, so that no host runs during the tests of other folders.
    """
    with running_deployment(
        entry_hosts=2,
        control_hosts=1,
        operator_token="operator-secret",
        host_fields={"trace_file": folder / "trace.jsonl"},
    ) as deployment:
        yield deployment
