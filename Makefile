# VENV can name an existing virtual environment to be shared by several work trees.
VENV ?= .venv
BIN := $(VENV)/bin
PYTHON ?= python3.11

.PHONY: demo check format lint types test models models-large spin venv

$(VENV)/.installed: requirements-dev.txt constraints.txt packages/*/pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --requirement requirements-dev.txt
	touch $@

venv: $(VENV)/.installed

demo: venv
	$(BIN)/kingcuplug demo

format: venv
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

lint: venv
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

types: venv
	$(BIN)/mypy packages/*/src

test: venv
	$(BIN)/pytest

spin:
	command -v spin > /dev/null || apt-get install -y spin

models: spin
	$(PYTHON) models/run.py

models-large: spin
	$(PYTHON) models/run.py --size large --jobs 1

check: lint types test models
