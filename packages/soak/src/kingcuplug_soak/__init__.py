"""Randomized fault injection into real processes, with checks of all responses."""

from kingcuplug_soak._run import SoakResult, SoakSettings, soak

__all__ = ["SoakResult", "SoakSettings", "soak"]
