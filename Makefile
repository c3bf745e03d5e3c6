# VENV can name an existing virtual environment to be shared by several work trees.
VENV ?= .venv
BIN := $(VENV)/bin
# The sources come before any installed copy, so that a work tree runs itself.
empty :=
SOURCES := $(subst $(empty) $(empty),:,$(wildcard packages/*/src))
PYTHON ?= python3.11

.PHONY: demo check format lint types test matrix models venv

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

check: lint types test

matrix: venv
	PYTHONPATH=$(SOURCES) $(BIN)/python tools/matrix.py
