"""One process of a host: what the soak did to it, how it ended, what it uses."""

import os
import signal
import subprocess
import time
from collections.abc import Collection
from dataclasses import dataclass, field
from pathlib import Path

__all__ = ["HostRun", "is_requested_end"]

_LAST_LINES = 3
_MAX_LINE_CHARACTERS = 300
# The program's first step, which blocks signals, comes right after the file.
_BEGIN_MARGIN_S = 0.01
_BUSY_CORE_RATIO = 0.9
_BYTES_PER_MIB = 1_048_576


def is_requested_end(
    status: int,
    sent: Collection[signal.Signals],
    sent_early: Collection[signal.Signals] = (),
) -> bool:
    """Return whether a process ended as the soak asked it to.

    Parameters
    ----------
    status : int
        Exit status; the negative number of a signal if it ended the process.
    sent : collection of Signals
        Signals that the soak sent.
    sent_early : collection of Signals
        Those that it sent before the program's first line. No program can handle them,
        so they may end the process.
    """
    if status == 0:
        return signal.SIGTERM in (*sent, *sent_early)
    if status == -signal.SIGKILL:
        return signal.SIGKILL in (*sent, *sent_early)
    return -status in sent_early and -status not in sent


@dataclass
class HostRun:
    """One process of a host.

    Attributes
    ----------
    begun_file : Path
        Exists once the interpreter has started and the program runs.
    log_file : Path
        Its output.
    started_at : float
        Monotonic time of the start.
    stopping_since : float or None
        Monotonic time of the first SIGTERM.
    longest_busy_s : float
        Longest time in which the process used nearly a whole core.
    """

    process: subprocess.Popen[bytes]
    begun_file: Path
    log_file: Path
    started_at: float = field(default_factory=time.monotonic)
    stopping_since: float | None = None
    longest_busy_s: float = 0.0
    _sent: set[signal.Signals] = field(default_factory=set)
    _sent_early: set[signal.Signals] = field(default_factory=set)
    _is_paused: bool = False
    _resumed_at: float = 0.0
    _sampled_at: float = field(default_factory=time.monotonic)
    _processor_s: float = 0.0
    _busy_s: float = 0.0

    @property
    def is_running(self) -> bool:
        """Whether the process runs."""
        return self.process.poll() is None

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal if the process runs."""
        if not self.is_running:
            return
        (self._sent if self._has_begun() else self._sent_early).add(number)
        if number is signal.SIGTERM and self.stopping_since is None:
            self.stopping_since = time.monotonic()
        if number is signal.SIGSTOP:
            self._is_paused = True
        if number is signal.SIGCONT and self._is_paused:
            self._is_paused = False
            self._resumed_at = time.monotonic()
        self.process.send_signal(number)

    def _has_begun(self) -> bool:
        try:
            begun_at = self.begun_file.stat().st_mtime
        except FileNotFoundError:
            return False
        return time.time() > begun_at + _BEGIN_MARGIN_S

    @property
    def was_paused_while_stopping(self) -> bool:
        """Whether SIGSTOP may have kept the process from stopping in time."""
        return self._is_paused or self._resumed_at > (self.stopping_since or 0.0)

    def ended_as_requested(self, status: int) -> bool:
        """Return whether the process ended as the soak asked it to."""
        return is_requested_end(status, self._sent, self._sent_early)

    def last_log_lines(self) -> list[str]:
        """Return the last lines that the process wrote, shortened."""
        lines = self.log_file.read_bytes().decode(errors="replace").splitlines()
        return [line[:_MAX_LINE_CHARACTERS] for line in lines[-_LAST_LINES:]]

    def sample_processor(self) -> None:
        """Measure the processor time since the last sample."""
        now = time.monotonic()
        try:
            processor_s = _read_processor_s(self.process.pid)
        except OSError:
            return
        elapsed_s = now - self._sampled_at
        if processor_s - self._processor_s >= _BUSY_CORE_RATIO * elapsed_s:
            self._busy_s += elapsed_s
        else:
            self._busy_s = 0.0
        self.longest_busy_s = max(self.longest_busy_s, self._busy_s)
        self._sampled_at, self._processor_s = now, processor_s

    def resident_mib(self) -> float:
        """Return the resident memory in MiB, 0 if the process has ended."""
        try:
            fields = Path(f"/proc/{self.process.pid}/statm").read_text().split()
        except OSError:
            return 0.0
        return int(fields[1]) * os.sysconf("SC_PAGE_SIZE") / _BYTES_PER_MIB


def _read_processor_s(pid: int) -> float:
    # The second field, the name of the program, may contain spaces.
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    ticks = int(fields[11]) + int(fields[12])
    return ticks / os.sysconf("SC_CLK_TCK")
