"""Child process that runs some of the hosts of one deployment."""

import asyncio
import dataclasses
from typing import Any

from kingcuplug_common import HostSettings
from kingcuplug_configuration import Service
from kingcuplug_daemon import Host, routing_policy_for
from kingcuplug_routing import RoutingPolicy, baseline_policy

from kingcuplug_cli._bench._scenario import Policy
from kingcuplug_cli._bench._worker_process import serve_commands

__all__ = ["HostsWorker", "routing_policy"]


def routing_policy(policy: Policy, service: Service) -> RoutingPolicy:
    """Return the routing policy of one service under a policy of the load test."""
    base_policy = (
        routing_policy_for(service)
        if policy.base == "configured"
        else baseline_policy()
    )
    return dataclasses.replace(base_policy, **policy.routing)


class HostsWorker:
    """Command handlers of a process with hosts."""

    def __init__(self) -> None:
        self._hosts: dict[str, Host] = {}

    async def start(self, fields: dict[str, Any]) -> dict[str, str]:
        """Start a host; return its addresses."""
        policy = Policy.model_validate(fields["policy"])
        settings = HostSettings.model_validate(fields["settings"])
        host = Host(settings, lambda service: routing_policy(policy, service))
        seeds = settings.control_seeds or (host.peer_address,)
        host.settings = settings.model_copy(update={"control_seeds": seeds})
        await host.start()
        if host.entry is not None:
            # Simulated servers derive a client's availability zone from its address.
            host.entry.backend_client.local_address = host.caller_address.rpartition(
                ":"
            )[0]
        self._hosts[settings.host] = host
        return {
            "caller_address": host.caller_address,
            "peer_address": host.peer_address,
        }

    async def drain(self, fields: dict[str, Any]) -> None:
        """Stop a host gracefully."""
        await self._hosts.pop(fields["host"]).stop()

    async def kill(self, fields: dict[str, Any]) -> None:
        """End a host abruptly, as a crash of its process would."""
        await self._hosts.pop(fields["host"]).kill()

    async def knows(self, fields: dict[str, Any]) -> bool:
        """Return whether every entry host here lists all given servers as serving."""
        expected = set(fields["servers"])
        entry_hosts = [host for host in self._hosts.values() if host.entry is not None]
        return all(expected <= _serving_servers(host) for host in entry_hosts)

    async def stop(self, _: dict[str, Any]) -> None:
        """Stop all hosts."""
        hosts, self._hosts = self._hosts, {}
        await asyncio.gather(*(host.stop(grace_ms=0) for host in hosts.values()))


def _serving_servers(host: Host) -> set[str]:
    assert host.entry is not None
    directory = host.entry.session.directory
    return {
        server.announcement.server
        for service in directory.services()
        for server in directory.servers(service)
        if server.live and server.announcement.state == "serving"
    }


async def _main() -> None:
    worker = HostsWorker()
    handlers = {
        name: getattr(worker, name)
        for name in ("start", "drain", "kill", "knows", "stop")
    }
    await serve_commands(handlers)


if __name__ == "__main__":
    asyncio.run(_main())
