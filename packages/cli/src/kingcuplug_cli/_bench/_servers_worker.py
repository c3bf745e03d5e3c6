"""Child process that runs the simulated backend servers of one deployment."""

import asyncio
import dataclasses
import logging
import random
from collections.abc import Coroutine
from typing import Any

from kingcuplug_cli._bench._backend_fleet import BackendFleet
from kingcuplug_cli._bench._worker_process import serve_commands
from kingcuplug_cli._local import DeploymentSpec, ServiceGroup
from kingcuplug_cli._standin import ServerBehaviour

__all__ = ["ServersWorker"]


class ServersWorker:
    """Command handlers of the process with backend servers."""

    def __init__(self) -> None:
        self._entry_urls: list[str] = []
        self._rng = random.Random(1)
        self._event_tasks: set[asyncio.Task[None]] = set()
        self._event_errors: list[str] = []
        self._fleet: BackendFleet

    async def start(self, fields: dict[str, Any]) -> list[str]:
        """Start all servers; return their names."""
        sizes = _parse_sizes(fields["sizes"])
        zone_of = fields["zone_of"]

        def latency_of(client: str, zone: str) -> float:
            return 0.0 if zone_of.get(client, zone) == zone else sizes.zone_latency_ms

        self._entry_urls = fields["entries"]
        self._fleet = BackendFleet(
            sizes, self._choose_entry_url, latency_of, fields["seed"]
        )
        await self._fleet.start(ServerBehaviour(**fields["behaviour"]))
        self._restart_task = asyncio.create_task(self._fleet.restart_crashed_servers())
        return [server.name for server in self._fleet.servers]

    async def entries(self, fields: dict[str, Any]) -> None:
        """Set the URLs of the entry hosts that servers announce themselves to."""
        self._entry_urls = fields["entries"]

    async def act(self, fields: dict[str, Any]) -> None:
        """Start an event, which continues in the background."""
        self._start_event(self._fleet.run_event(fields["action"], fields["fields"]))

    async def heal(self, fields: dict[str, Any]) -> None:
        """Wait for the end of all events, then restore all servers.

        They get the given behaviour.
        """
        if self._event_tasks:
            await asyncio.wait(self._event_tasks)
        await self._fleet.start(ServerBehaviour(**fields["behaviour"]))

    async def holders(self, _: dict[str, Any]) -> dict[str, list[list[str]]]:
        """Return the addresses of the servers that hold each shard of each service."""
        return {
            name: self._fleet.shard_addresses(name) for name in self._fleet.services
        }

    async def journal(self, _: dict[str, Any]) -> dict[str, Any]:
        """Return the record of work since the last call and clear it."""
        journal = self._fleet.journal
        result: dict[str, Any] = {
            field.name: dict(getattr(journal, field.name))
            for field in dataclasses.fields(journal)
        }
        for field in dataclasses.fields(journal):
            getattr(journal, field.name).clear()
        result["drain_lags_s"] = list(self._fleet.drain_lags_s)
        self._fleet.drain_lags_s.clear()
        result["snapshots"] = [
            [name, snapshot, shard_count]
            for name, shard_counts in self._fleet.shard_counts.items()
            for snapshot, shard_count in shard_counts.items()
        ]
        result["errors"] = list(self._event_errors)
        return result

    def _choose_entry_url(self) -> str:
        return self._rng.choice(self._entry_urls)

    def _start_event(self, event: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(event)
        self._event_tasks.add(task)
        task.add_done_callback(self._handle_event_done)

    def _handle_event_done(self, task: asyncio.Task[None]) -> None:
        self._event_tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self._event_errors.append(repr(task.exception()))


def _parse_sizes(fields: dict[str, Any]) -> DeploymentSpec:
    groups = tuple(
        ServiceGroup(**(group | {"services": tuple(group["services"])}))
        for group in fields["groups"]
    )
    availability_zones = tuple(fields["availability_zones"])
    return DeploymentSpec(
        **(fields | {"groups": groups, "availability_zones": availability_zones})
    )


async def _main() -> None:
    worker = ServersWorker()
    handlers = {
        name: getattr(worker, name)
        for name in ("start", "entries", "act", "heal", "holders", "journal")
    }
    await serve_commands(handlers)


if __name__ == "__main__":
    # uvicorn logs an error for each request that a simulated crash leaves unanswered.
    logging.getLogger("uvicorn.error").setLevel(logging.CRITICAL)
    asyncio.run(_main())
