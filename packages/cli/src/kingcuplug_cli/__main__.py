"""Run the program with ``python -m kingcuplug_cli``."""

from kingcuplug_cli._main import main

if __name__ == "__main__":
    main()
