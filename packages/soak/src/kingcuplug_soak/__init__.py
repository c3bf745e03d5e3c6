"""Randomized faults against real processes, judged by callers and backend servers."""

from kingcuplug_soak._run import SoakResult, SoakSettings, soak

__all__ = ["SoakResult", "SoakSettings", "soak"]
