"""Check that the virtual environment in use was made for this machine and folder.

Exits with 1 and the reason if it was carried over from elsewhere; `make venv` then
creates it anew.
"""

import sys
from importlib.metadata import Distribution, distributions
from pathlib import Path


def find_fault() -> str | None:
    """Return why the environment can't be used, or ``None`` if it can."""
    prefix = Path(sys.prefix)
    script = prefix / "bin" / "pip"
    text = script.read_text() if script.exists() else ""
    # Scripts name their interpreter by its path. The environment may be a link.
    if str(prefix) not in text and str(prefix.resolve()) not in text:
        return f"the scripts of {prefix} do not belong to it"
    try:
        from packaging.tags import sys_tags
    except ImportError:
        return "the packages are not installed"
    supported = {str(tag) for tag in sys_tags()}
    for distribution in distributions():
        tags = _read_tags(distribution)
        if tags and supported.isdisjoint(tags):
            return f"{distribution.name} is for {', '.join(sorted(tags))}"
    return None


def _read_tags(distribution: Distribution) -> set[str]:
    lines = (distribution.read_text("WHEEL") or "").splitlines()
    return {line.removeprefix("Tag: ") for line in lines if line.startswith("Tag: ")}


if __name__ == "__main__":
    sys.exit(find_fault())
