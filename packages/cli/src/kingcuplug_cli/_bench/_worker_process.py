"""Child processes of the load test tool and the protocol to control them.

A child reads one JSON command per line on standard input and answers with one JSON
line on standard output. It exits at the end of its input, so it doesn't outlive its
parent.
"""

import asyncio
import json
import os
import resource
import signal
import sys
import time
from collections import Counter
from collections.abc import Awaitable, Callable, Mapping
from types import FrameType
from typing import Any

__all__ = ["CommandHandler", "WorkerProcess", "process_usage", "serve_commands"]

CommandHandler = Callable[[dict[str, Any]], Awaitable[Any]]
_LINE_LIMIT_BYTES = 64 * 1024 * 1024
_STOP_TIMEOUT_S = 10.0
_KIB_PER_MIB = 1024
_PROFILE_LINE_COUNT = 60
_SAMPLE_INTERVAL_S = 0.001


class WorkerProcess:
    """Handle of the parent for one child process.

    Parameters
    ----------
    name : str
        Name of the child in reports.
    module : str
        Module to run in the child.
    """

    def __init__(self, name: str, module: str) -> None:
        self.name = name
        self._module = module
        self._process: asyncio.subprocess.Process | None = None
        self._call_lock = asyncio.Lock()

    @property
    def running(self) -> bool:
        """Whether the child was started and has not exited."""
        return self._process is not None and self._process.returncode is None

    @property
    def returncode(self) -> int | None:
        """The child's exit status, or None while it runs."""
        return None if self._process is None else self._process.returncode

    async def start(self) -> None:
        """Start the child."""
        self._process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            self._module,
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
            limit=_LINE_LIMIT_BYTES,
            env=os.environ | {"PYTHONPATH": os.pathsep.join(filter(None, sys.path))},
        )

    async def call(self, command: str, **fields: Any) -> Any:
        """Run a command in the child and return its result."""
        assert self._process is not None
        assert self._process.stdin is not None
        assert self._process.stdout is not None
        line = json.dumps({"command": command} | fields) + "\n"
        async with self._call_lock:
            self._process.stdin.write(line.encode())
            await self._process.stdin.drain()
            answer = await self._process.stdout.readline()
        if not answer:
            raise RuntimeError(f"{self.name} exited during the command {command!r}")
        result = json.loads(answer)
        if "error" in result:
            raise RuntimeError(f"{command!r} failed in {self.name}: {result['error']}")
        return result["result"]

    async def stop(self) -> None:
        """End the child by closing its input; kill it after a timeout."""
        process = self._process
        if process is None or process.stdin is None:
            return
        process.stdin.close()
        try:
            async with asyncio.timeout(_STOP_TIMEOUT_S):
                await process.wait()
        except TimeoutError:
            process.kill()
            await process.wait()


async def serve_commands(handlers: Mapping[str, CommandHandler]) -> None:
    """Run commands from standard input until its end; used in the child."""
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader(limit=_LINE_LIMIT_BYTES)
    await loop.connect_read_pipe(
        lambda: asyncio.StreamReaderProtocol(reader), sys.stdin
    )
    profiler = _SamplingProfiler()
    all_handlers = {
        "usage": _handle_usage,
        "begin_profile": profiler.begin,
        "end_profile": profiler.end,
        **handlers,
    }
    while line := await reader.readline():
        fields = json.loads(line)
        try:
            result = {"result": await all_handlers[fields.pop("command")](fields)}
        except Exception as error:
            result = {"error": repr(error)}
        print(json.dumps(result), flush=True)


class _SamplingProfiler:
    """Profiler that samples the main thread by CPU time.

    A tracing profiler adds its own cost to each Python call and counts time in which
    the process wasn't running; both distort the distribution of CPU time.
    """

    def __init__(self) -> None:
        self._self_samples: Counter[str] = Counter()
        self._cumulative_samples: Counter[str] = Counter()

    async def begin(self, _: dict[str, Any]) -> None:
        """Start sampling."""
        signal.signal(signal.SIGPROF, self._record_sample)
        signal.setitimer(signal.ITIMER_PROF, _SAMPLE_INTERVAL_S, _SAMPLE_INTERVAL_S)

    async def end(self, _: dict[str, Any]) -> str:
        """Stop sampling; return the functions with the most samples."""
        signal.setitimer(signal.ITIMER_PROF, 0)
        total = max(self._self_samples.total(), 1)
        lines = [f"{total} samples; share in the function itself"]
        for function, count in self._self_samples.most_common(_PROFILE_LINE_COUNT):
            lines.append(f"{count / total:6.1%} {function}")
        lines.append("share in the function and below")
        for function, count in self._cumulative_samples.most_common(
            _PROFILE_LINE_COUNT
        ):
            lines.append(f"{count / total:6.1%} {function}")
        return "\n".join(lines) + "\n"

    def _record_sample(self, _: int, frame: FrameType | None) -> None:
        functions = []
        while frame is not None:
            code = frame.f_code
            file = "/".join(code.co_filename.rsplit("/", 2)[-2:])
            functions.append(f"{file}:{code.co_qualname}")
            frame = frame.f_back
        self._self_samples.update(functions[:1])
        self._cumulative_samples.update(set(functions))


async def _handle_usage(_: dict[str, Any]) -> dict[str, float]:
    return process_usage()


def process_usage() -> dict[str, float]:
    """Return CPU time, clock and peak memory of this process."""
    peak_kib = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    return {
        "cpu_s": time.process_time(),
        "clock_s": time.monotonic(),
        "peak_mib": peak_kib / _KIB_PER_MIB,
    }
