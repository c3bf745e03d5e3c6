"""Tests of the fleet's knowledge."""
