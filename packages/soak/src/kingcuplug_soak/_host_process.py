"""A host process whose control listener is behind the soak's proxy.

It is the platform's process with one setting changed: its control listener binds to
another address than the one by which others reach it, so that all control traffic to
the host passes through a proxy that injects faults.

Run as a script, ``python -S -P _host_process.py BIND_ADDRESS BEGUN_FILE``, because the
package of the soak takes longer to import than the platform's entry point.
"""

import os
import sys
from typing import TYPE_CHECKING

from kingcuplug_platform.__main__ import start

if TYPE_CHECKING:
    from kingcuplug_node import NodeSettings


def _run(bind_address: str, begun_file: str) -> None:
    """Create a file to show that the interpreter has started; then run the host."""

    def adjust_settings(settings: "NodeSettings") -> "NodeSettings":
        import dataclasses

        return dataclasses.replace(settings, control_bind_address=bind_address)

    os.close(os.open(begun_file, os.O_CREAT | os.O_WRONLY))
    start(adjust_settings=adjust_settings)


if __name__ == "__main__":
    _run(*sys.argv[1:])
