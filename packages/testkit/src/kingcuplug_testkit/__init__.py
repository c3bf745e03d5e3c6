"""Test support: virtual-time event loop and fakes for network and disk."""

from kingcuplug_testkit._virtual_time import VirtualTimeLoop, run_virtual

__all__ = ["VirtualTimeLoop", "run_virtual"]
