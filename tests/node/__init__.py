"""Tests of the composition of a host."""
