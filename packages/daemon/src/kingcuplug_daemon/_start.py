"""Entry point of `kingcuplugd`, which holds back signals during the imports."""

import signal

__all__ = ["main"]

# Until the host handles them, one would end the process.
_HANDLED_SIGNALS = {signal.SIGHUP, signal.SIGINT, signal.SIGTERM}
# They end a process by default, and mean nothing to a host.
_IGNORED_SIGNALS = (signal.SIGUSR1, signal.SIGUSR2, signal.SIGALRM)


def main() -> None:
    """Run the program."""
    signal.pthread_sigmask(signal.SIG_BLOCK, _HANDLED_SIGNALS)
    for number in _IGNORED_SIGNALS:
        signal.signal(number, signal.SIG_IGN)
    from kingcuplug_daemon._main import run_program

    run_program()
