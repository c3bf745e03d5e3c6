"""The `kingcuplug` program."""

import asyncio
from pathlib import Path

import fire

from kingcuplug_cli._bench import Bench
from kingcuplug_cli._demo import run_demo

__all__ = ["main"]


class Commands:
    """Operators' commands of kingcuplug."""

    bench = Bench

    def demo(self, example: str = "examples/kavango") -> None:
        """Run the main job on loopback and print what happens."""
        asyncio.run(run_demo(Path(example)))


def main() -> None:
    """Run the program."""
    fire.Fire(Commands, name="kingcuplug")
