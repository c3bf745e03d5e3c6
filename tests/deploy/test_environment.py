"""The virtual environment that `make` installs for the checks."""

import importlib.util
import shutil
import subprocess
import sys
from pathlib import Path

import pytest

_ROOT = Path(__file__).parents[2]
_REQUIREMENTS = ("requirements-dev.txt", "constraints.txt")
# Stands for the interpreter that creates the environment, without a package index.
_PYTHON = """#!/bin/sh
set -eu
echo >> created
{python} "$@" --without-pip
cp -R {packaging} .venv/lib/python*/site-packages
echo "#!$PWD/.venv/bin/python" > .venv/bin/pip
chmod +x .venv/bin/pip
"""
_WHEEL_OF_ANOTHER_MACHINE = "Wheel-Version: 1.0\nTag: cp399-cp399-other\n"


@pytest.fixture
def checkout(tmp_path):
    """Return a checkout without an environment, and an interpreter for it."""
    folder = tmp_path / "checkout"
    (folder / "tools").mkdir(parents=True)
    shutil.copy(_ROOT / "Makefile", folder)
    check = _ROOT / "tools/check_environment.py"
    if check.exists():
        shutil.copy(check, folder / "tools")
    for name in (
        *_REQUIREMENTS,
        "packages/x/pyproject.toml",
        "platform/pyproject.toml",
    ):
        (folder / name).parent.mkdir(parents=True, exist_ok=True)
        (folder / name).touch()
    packaging = Path(importlib.util.find_spec("packaging").origin).parent
    python = tmp_path / "python"
    python.write_text(_PYTHON.format(python=sys.executable, packaging=packaging))
    python.chmod(0o755)
    return folder


def _make_environment(checkout):
    """Run `make venv`; return how often an environment has been created so far."""
    python = checkout.parent / "python"
    subprocess.run(["make", "venv", f"PYTHON={python}"], cwd=checkout, check=True)
    return len((checkout / "created").read_text().splitlines())


def test_environment_is_created_once(checkout):
    """Guards against an environment that is installed at each call."""
    assert _make_environment(checkout) == 1
    (checkout / "requirements-dev.txt").touch()
    assert _make_environment(checkout) == 1


def test_environment_of_another_folder_is_created_anew(checkout):
    """Guards against scripts that start the interpreter of another checkout."""
    _make_environment(checkout)
    moved = checkout.rename(checkout.with_name("moved"))
    assert _make_environment(moved) == 2
    assert _make_environment(moved) == 2


def test_environment_of_another_machine_is_created_anew(checkout):
    """Guards against extension modules that the interpreter cannot load."""
    _make_environment(checkout)
    (site_packages,) = checkout.glob(".venv/lib/python*/site-packages")
    information = site_packages / "library-1.0.dist-info"
    information.mkdir()
    (information / "METADATA").write_text("Name: library\nVersion: 1.0\n")
    (information / "WHEEL").write_text(_WHEEL_OF_ANOTHER_MACHINE)
    assert _make_environment(checkout) == 2
    assert _make_environment(checkout) == 2


def test_environment_without_its_interpreter_is_created_anew(checkout):
    """Guards against a link to an interpreter that this machine does not have."""
    _make_environment(checkout)
    for link in checkout.glob(".venv/bin/python*"):
        link.unlink()
        link.symlink_to("/nowhere/python")
    assert _make_environment(checkout) == 2
