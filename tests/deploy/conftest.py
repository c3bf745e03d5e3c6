"""A copy of the sources, built by an interpreter whose pip is a stand-in."""

import importlib.util
import json
import os
import shutil
import subprocess
import sys
import venv
from dataclasses import dataclass
from pathlib import Path

import pytest

_ROOT = Path(__file__).parents[2]
_TIMEOUT_S = 120
_LIBRARIES = ("httptools", "orjson", "prometheus_client")
# Copies the libraries of the tests' environment, as many as the plan says, then exits
# with the plan's status. A negative status is the signal that ends the process.
_PIP = """
import json, os, pathlib, shutil, sys
folder = pathlib.Path(__file__).parent
with (folder / "calls").open("a") as calls:
    calls.write(json.dumps(sys.argv[1:]) + chr(10))
plan = json.loads((folder / "plan").read_text())
target = pathlib.Path(sys.argv[sys.argv.index("--target") + 1])
for library in plan["libraries"]:
    shutil.copytree(library, target / pathlib.Path(library).name, dirs_exist_ok=True)
if plan["status"] < 0:
    os.kill(os.getpid(), -plan["status"])
sys.exit(plan["status"])
"""


def _find_library(name: str) -> str:
    spec = importlib.util.find_spec(name)
    assert spec is not None
    assert spec.submodule_search_locations
    return spec.submodule_search_locations[0]


@dataclass
class Interpreter:
    """An interpreter with a pip of its own."""

    folder: Path

    @classmethod
    def create(cls, folder: Path) -> "Interpreter":
        """Create an interpreter whose pip installs everything."""
        venv.create(folder, symlinks=True)
        interpreter = cls(folder)
        (interpreter.site_packages / "pip").mkdir()
        (interpreter.site_packages / "pip/__init__.py").touch()
        (interpreter.site_packages / "pip/__main__.py").write_text(_PIP)
        interpreter.plan_installs()
        return interpreter

    @property
    def site_packages(self) -> Path:
        """Folder of the installed packages."""
        version = f"python{sys.version_info.major}.{sys.version_info.minor}"
        return self.folder / "lib" / version / "site-packages"

    @property
    def bin(self) -> Path:
        """Folder of the `python3` command."""
        return self.folder / "bin"

    def plan_installs(self, without: str = "", status: int = 0) -> None:
        """Set which library later calls of pip leave out, and their exit status."""
        libraries = [_find_library(name) for name in _LIBRARIES if name != without]
        plan = {"libraries": libraries, "status": status}
        (self.site_packages / "pip/plan").write_text(json.dumps(plan))

    def add_to_machine(self, library: str) -> None:
        """Install a library for the interpreter itself, not for hosts."""
        shutil.copytree(_find_library(library), self.site_packages / library)

    def count_installs(self) -> int:
        """Return how often pip was called."""
        calls = self.site_packages / "pip/calls"
        return len(calls.read_text().splitlines()) if calls.exists() else 0


@dataclass
class Tree:
    """A clean checkout in a folder of its own."""

    root: Path
    interpreter: Interpreter

    def environment(self) -> dict[str, str]:
        """Return the variables of a build, with the interpreter first on PATH."""
        path = os.pathsep.join([str(self.interpreter.bin), os.environ["PATH"]])
        return {"PATH": path, "HOME": str(self.root)}

    def replace_copy(self, command: str) -> None:
        """Have `cp` run a command after each copy; `calls` counts the copies."""
        copy = self.interpreter.bin / "cp"
        counter = self.root / "copies"
        counter.unlink(missing_ok=True)
        copy.write_text(
            f"""#!/bin/sh
{shutil.which("cp")} "$@" || exit
echo >> {counter}
calls=$(wc -l < {counter})
{command}
"""
        )
        copy.chmod(0o755)

    def start_build(self, **variables: str) -> subprocess.Popen[str]:
        """Start a build as the deploy file names it."""
        return subprocess.Popen(
            ["sh", "deploy/build.sh"],
            cwd=self.root,
            env=self.environment() | variables,
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            text=True,
        )

    def build(self, **variables: str) -> tuple[int, str]:
        """Return the exit status and the output of a build."""
        build = self.start_build(**variables)
        output, _ = build.communicate(timeout=_TIMEOUT_S)
        return build.returncode, output

    def import_host(self) -> str:
        """Import what a host needs from the tree; return the last line of the error."""
        run = subprocess.run(
            [
                "python3",
                "-S",
                "-c",
                "import kingcuplug_platform._main, prometheus_client;"
                "from kingcuplug_fleet import ControlReplica",
            ],
            cwd=self.root,
            env=self.environment() | {"PYTHONPATH": str(self.root / "target/deps")},
            capture_output=True,
            text=True,
            check=False,
        )
        return run.stderr.strip().rpartition("\n")[2]


@pytest.fixture
def interpreter(tmp_path: Path) -> Interpreter:
    """Return an interpreter whose pip installs everything."""
    return Interpreter.create(tmp_path / "python")


@pytest.fixture
def tree(tmp_path: Path, interpreter: Interpreter) -> Tree:
    """Return a checkout that has not been built."""
    root = tmp_path / "checkout"
    for source in [*sorted(_ROOT.glob("packages/*/src")), _ROOT / "platform/src"]:
        shutil.copytree(
            source,
            root / source.relative_to(_ROOT),
            ignore=shutil.ignore_patterns("__pycache__", "*.egg-info"),
        )
    shutil.copytree(_ROOT / "deploy", root / "deploy")
    shutil.copy(_ROOT / "constraints.txt", root)
    return Tree(root, interpreter)
