"""The record of one run of a case."""

import json
import time
from pathlib import Path

__all__ = ["Record"]


class Record:
    """Writes what was sent, answered and run, one line for each event.

    Parameters
    ----------
    path : Path
        File that is written anew.
    """

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._began_at = time.monotonic()

    def now_s(self) -> float:
        """Return the seconds since the run began."""
        return time.monotonic() - self._began_at

    def write(self, event: str, **fields: object) -> None:
        """Write one event with its time in seconds since the run began.

        What happens after the end of the run is left out.
        """
        if self._file.closed:
            return
        values = " ".join(f"{name}={json.dumps(v)}" for name, v in fields.items())
        self._file.write(f"{self.now_s():8.3f} {event} {values}".rstrip() + "\n")
        self._file.flush()

    def close(self) -> None:
        """Close the file."""
        self._file.close()
