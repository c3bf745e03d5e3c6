"""Load generator: sends the planned arrivals and records each outcome."""

import asyncio
import dataclasses
import time
from collections.abc import Callable, Sequence
from typing import Any

import aiohttp
from kingcuplug_common import random_identifier

from kingcuplug_cli._bench._load_balancer import LoadBalancer
from kingcuplug_cli._bench._schedule import Arrival

__all__ = ["Sample", "send_arrivals"]

_MS_PER_S = 1_000
_REQUEST_TIMEOUT_S = 5.0
_MAX_CONNECT_ATTEMPTS = 3


@dataclasses.dataclass(slots=True)
class Sample:
    """Outcome of one arrival.

    Attributes
    ----------
    lag_ms : float
        Delay of the load generator, from the planned time to the start of the send.
    latency_ms : float
        Time from the planned arrival until the caller has the whole answer.
    status : int
        HTTP status; 0 if the connection broke or no answer came in time.
    """

    arrival: Arrival
    request_id: str
    lag_ms: float = 0.0
    latency_ms: float = 0.0
    status: int = 0
    answer: dict[str, Any] = dataclasses.field(default_factory=dict)
    error: str = ""
    order_key: str | None = None

    @property
    def answered(self) -> bool:
        """Whether there is an answer, complete or partial."""
        return self.status == 200


class _RequestSender:
    """Sends the requests of one round."""

    def __init__(
        self,
        http: aiohttp.ClientSession,
        balancer: LoadBalancer,
        caller_latency_ms: float,
    ) -> None:
        self.http = http
        self.balancer = balancer
        self.latency_s = caller_latency_ms / _MS_PER_S
        self.started_unix_ms = time.time_ns() // 1_000_000

    async def send(self, arrival: Arrival, planned_at: float) -> Sample:
        """Send one arrival, planned for `planned_at` on the event loop's clock."""
        loop = asyncio.get_running_loop()
        sample = Sample(arrival, random_identifier())
        sample.lag_ms = (loop.time() - planned_at) * _MS_PER_S
        await asyncio.sleep(planned_at + self.latency_s - loop.time())
        try:
            async with asyncio.timeout(_REQUEST_TIMEOUT_S):
                await self._post(sample, self._request_fields(sample))
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            sample.error = repr(error)
        completed_at = loop.time() + self.latency_s
        sample.latency_ms = (completed_at - planned_at) * _MS_PER_S
        return sample

    def _request_fields(self, sample: Sample) -> dict[str, Any]:
        arrival = sample.arrival
        fields: dict[str, Any] = {
            "request_id": sample.request_id,
            "body": arrival.body,
            "priority": arrival.priority,
        }
        if arrival.order is not None:
            sample.order_key = f"{self.started_unix_ms}-{arrival.order}"
            fields["idempotency_key"] = sample.order_key
            fields["partition_key"] = arrival.order
            fields["resend"] = arrival.resend
        return fields

    async def _post(self, sample: Sample, fields: dict[str, Any]) -> None:
        """Post to a host; after a failed connect, try another one."""
        path = f"/v1/services/{sample.arrival.service}/{sample.arrival.kind}"
        unreachable: list[str] = []
        while True:
            name, address = self.balancer.next_host(unreachable)
            try:
                async with self.http.post(
                    f"http://{address}{path}", json=fields
                ) as response:
                    sample.answer = await response.json()
                    sample.status = response.status
                    return
            except aiohttp.ClientConnectorError:
                unreachable.append(name)
                if len(unreachable) == _MAX_CONNECT_ATTEMPTS:
                    raise


async def send_arrivals(
    arrivals: Sequence[Arrival],
    http: aiohttp.ClientSession,
    balancer: LoadBalancer,
    caller_latency_ms: float,
    on_completed: Callable[[Sample], None] = lambda _: None,
) -> tuple[float, list[Sample]]:
    """Send all arrivals at their planned times and wait for the last answer.

    Returns
    -------
    tuple
        Start of the round, on the event loop's clock, and the samples.
    """
    loop = asyncio.get_running_loop()
    sender = _RequestSender(http, balancer, caller_latency_ms)
    start = loop.time()
    tasks = []
    for arrival in arrivals:
        planned_at = start + arrival.at_s
        if planned_at > loop.time():
            await asyncio.sleep(planned_at - loop.time())
        task = loop.create_task(sender.send(arrival, planned_at))
        task.add_done_callback(lambda completed: on_completed(completed.result()))
        tasks.append(task)
    return start, list(await asyncio.gather(*tasks))
