"""Runs the program as ``python -m kingcuplug_cli``."""

from kingcuplug_cli._main import main

main()
