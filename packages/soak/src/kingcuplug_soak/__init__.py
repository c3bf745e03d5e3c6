"""Randomized faults against real processes, judged by callers and backend servers."""

from kingcuplug_soak._run import Outcome, SoakSettings, soak

__all__ = ["Outcome", "SoakSettings", "soak"]
