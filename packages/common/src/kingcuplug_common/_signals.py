"""Signals as events of the event loop."""

import asyncio
import contextlib
import signal
import socket
from collections.abc import Callable, Iterator, Mapping
from types import FrameType
from typing import Any

__all__ = ["handle_signals"]

_READ_BYTES = 4_096


@contextlib.contextmanager
def handle_signals(
    handlers: Mapping[signal.Signals, Callable[[], None]],
) -> Iterator[None]:
    """Call functions in the running event loop when signals arrive.

    The signals are unblocked meanwhile. At the end the former mask is restored before
    the former handlers, so that a process that had them blocked cannot be ended by one
    that arrives late.

    `loop.add_signal_handler` would lose signals while its pipe is full, and its
    warning of that takes a lock, which deadlocks if another signal interrupts it.

    Parameters
    ----------
    handlers : mapping
        What to call, by signal; signals that arrive together are handled once.
    """
    loop = asyncio.get_running_loop()
    arrived: set[int] = set()
    reader, writer = socket.socketpair()
    with reader, writer:
        reader.setblocking(False)
        writer.setblocking(False)

        def note(number: int, frame: FrameType | None) -> None:
            arrived.add(number)

        def handle_arrived() -> None:
            with contextlib.suppress(BlockingIOError):
                while len(reader.recv(_READ_BYTES)) == _READ_BYTES:
                    pass
            for number, handle in handlers.items():
                if number in arrived:
                    arrived.discard(number)
                    loop.call_soon(handle)

        former_wakeup = signal.set_wakeup_fd(writer.fileno(), warn_on_full_buffer=False)
        loop.add_reader(reader, handle_arrived)
        former_handlers: dict[signal.Signals, Any] = {
            number: signal.signal(number, note) for number in handlers
        }
        former_mask = signal.pthread_sigmask(signal.SIG_UNBLOCK, handlers)
        try:
            yield
        finally:
            signal.pthread_sigmask(signal.SIG_SETMASK, former_mask)
            for number, former in former_handlers.items():
                signal.signal(number, former)
            loop.remove_reader(reader)
            signal.set_wakeup_fd(former_wakeup)
