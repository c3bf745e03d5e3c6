"""A backend server that follows the users' pages."""

import asyncio
import contextlib
import json
import time
from dataclasses import dataclass, field

from kingcuplug_stage.record import Record
from kingcuplug_stage.wire import Message, call, encode, read_message

__all__ = ["Arrival", "BackendServer"]

_MS_PER_S = 1_000
_HEARTBEAT_INTERVAL_S = 1.2
# One way between a machine and a server.
_LINK_DELAY_S = 0.002
_DRAIN_CALLS = 50


@dataclass(frozen=True)
class Arrival:
    """A request that has reached a server.

    Attributes
    ----------
    at_s : float
        Seconds since the run began.
    deadline_ms : int or None
        Time that the machine has left to the server.
    """

    at_s: float
    attempt_id: str
    deadline_ms: int | None


@dataclass
class BackendServer:
    """One server: heartbeats, a queue before its slots, draining, and its end.

    Attributes
    ----------
    work_s : float
        Time that it works on a request.
    acknowledged_at_s : float or None
        When its `draining`, or its deregistration, was acknowledged, in seconds since
        the run began.
    """

    record: Record
    identifier: str
    service: str
    ip: str
    zone: str
    controls: list[str]
    slots: int = 3
    work_s: float = 0.05
    address: str = ""
    state: str = "ready"
    acknowledged_at_s: float | None = None
    arrivals: list[Arrival] = field(default_factory=list)
    _sequence: int = 0
    _tasks: list["asyncio.Task[None]"] = field(default_factory=list)

    async def start(self) -> None:
        """Listen, and begin to send heartbeats."""
        self._born_ms = int(time.time() * _MS_PER_S)
        self._slots = asyncio.Semaphore(self.slots)
        self._server = await asyncio.start_server(self._serve, self.ip, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{self.ip}:{port}"
        self.record.write("server-start", server=self.identifier, address=self.address)
        self._tasks.append(asyncio.create_task(self._beat()))

    def stop(self) -> None:
        """End without a word."""
        for task in self._tasks:
            task.cancel()
        self._server.close()
        self.record.write("server-end", server=self.identifier)

    async def report(self) -> str | None:
        """Send one heartbeat; return the address that has acknowledged it."""
        self._sequence += 1
        body = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "cold_remaining_ms": 0,
            "sequence": self._sequence,
            "born": self._born_ms,
        }
        return await self._tell("PUT", body)

    async def drain(self) -> None:
        """Report `draining` until a machine acknowledges it."""
        self.state = "draining"
        control = None
        for _ in range(_DRAIN_CALLS):
            control = await self.report()
            if control is not None:
                break
            await asyncio.sleep(0.1)
        else:
            raise OSError(f"no machine acknowledged the draining of {self.identifier}")
        self.acknowledged_at_s = self.record.now_s()
        self.record.write("draining-ack", server=self.identifier, control=control)

    async def deregister(self) -> str | None:
        """Send the deregistration; return the address that has acknowledged it."""
        self.state = "gone"
        control = await self._tell("DELETE", {"born": self._born_ms})
        if control is not None:
            self.acknowledged_at_s = self.record.now_s()
            self.record.write("gone-ack", server=self.identifier, control=control)
        return control

    async def _tell(self, method: str, body: dict[str, object]) -> str | None:
        first = self._sequence % len(self.controls)
        for control in self.controls[first:] + self.controls[:first]:
            answer = await call(
                control,
                method,
                f"/v1/instances/{self.identifier}",
                {"Content-Type": "application/json"},
                json.dumps(body).encode(),
            )
            if answer is not None and 200 <= answer.status < 300:
                return control
        return None

    async def _beat(self) -> None:
        while self.state != "gone":
            control = await self.report()
            self.record.write(
                "heartbeat",
                server=self.identifier,
                state=self.state,
                acknowledged=control,
            )
            await asyncio.sleep(_HEARTBEAT_INTERVAL_S)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while (request := await read_message(reader)) is not None:
                await asyncio.sleep(_LINK_DELAY_S)
                work = asyncio.create_task(self._answer(request))
                ended = asyncio.create_task(reader.read(1))
                await asyncio.wait({work, ended}, return_when="FIRST_COMPLETED")
                if not work.done():
                    # Most servers drop a request when its connection closes.
                    work.cancel()
                    self.record.write(
                        "dropped",
                        server=self.identifier,
                        attempt=request.headers.get("attempt-id"),
                    )
                    return
                ended.cancel()
                with contextlib.suppress(asyncio.CancelledError):
                    await ended
                await asyncio.sleep(_LINK_DELAY_S)
                writer.write(work.result())
                await writer.drain()
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _answer(self, request: Message) -> bytes:
        attempt = request.headers.get("attempt-id", "")
        headers = {"Attempt-Id": attempt}
        if self.state != "ready":
            headers["Server-Leaving"] = "1"
        if request.path == "/health":
            headers["Instance-Id"] = self.identifier
            status = "200 OK" if self.state == "ready" else "503 Service Unavailable"
            return encode(f"HTTP/1.1 {status}", headers)
        expected = request.headers.get("expected-instance", self.identifier)
        if expected != self.identifier:
            headers["Not-Executed"] = "1"
            return encode("HTTP/1.1 421 Misdirected Request", headers)
        deadline = request.headers.get("deadline-milliseconds")
        arrival = Arrival(
            self.record.now_s(), attempt, int(deadline) if deadline else None
        )
        self.arrivals.append(arrival)
        self.record.write(
            "arrival",
            server=self.identifier,
            attempt=attempt,
            deadline_ms=arrival.deadline_ms,
        )
        left_s = (arrival.deadline_ms or 60_000) / _MS_PER_S
        began = False
        try:
            async with asyncio.timeout(left_s):
                async with self._slots:
                    began = True
                    self.record.write("run", server=self.identifier, attempt=attempt)
                    await asyncio.sleep(self.work_s)
        except TimeoutError:
            if not began:
                headers["Not-Executed"] = "1"
                return encode("HTTP/1.1 503 Service Unavailable", headers)
            headers["Server-Seal"] = f"{self.identifier}.{attempt}"
            return encode("HTTP/1.1 504 Gateway Timeout", headers)
        headers["Server-Seal"] = f"{self.identifier}.{attempt}"
        return encode("HTTP/1.1 200 OK", headers, attempt.encode())
