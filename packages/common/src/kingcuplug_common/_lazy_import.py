"""Import of a package's modules at the first use of their names."""

import importlib
import sys
from collections.abc import Callable, Mapping, Sequence
from typing import Any

__all__ = ["import_on_first_use"]


def import_on_first_use(
    package: str, names_by_module: Mapping[str, Sequence[str]]
) -> Callable[[str], Any]:
    """Return a ``__getattr__`` of a package that imports modules when they are needed.

    Parameters
    ----------
    package : str
        Name of the package.
    names_by_module : mapping
        Public names, by the private module that defines them.
    """
    modules = {
        name: module for module, names in names_by_module.items() for name in names
    }

    def get_attribute(name: str) -> Any:
        module = modules.get(name)
        if module is None:
            raise AttributeError(f"module {package!r} has no attribute {name!r}")
        value = getattr(importlib.import_module(f"{package}.{module}"), name)
        setattr(sys.modules[package], name, value)
        return value

    return get_attribute
