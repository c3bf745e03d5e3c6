# VENV can name an existing virtual environment to be shared by several work trees.
VENV ?= .venv
BIN := $(VENV)/bin
# The sources come before any installed copy, so that a work tree runs itself.
empty :=
SOURCES := $(subst $(empty) $(empty),:,$(abspath $(wildcard packages/*/src platform/src)))
PYTHON ?= python3.11

# Tests listed in KNOWN-RED.txt: they run apart, and their result does not count.
KNOWN_RED := tests/daemon/test_shutdown.py::test_shutdown_finishes_requests_in_flight \
	tests/soak/test_soak.py::test_group_goes_on_after_a_removal_without_notice_beside_a_lost_disk

.PHONY: bench capacity demo check format lint types test system matrix models models-large spin venv

# Only the default environment is installed; a shared one is used as it is. One that was
# carried over from another machine or folder is created anew.
CHECK_VENV := .venv/bin/python tools/check_environment.py
ifeq ($(VENV),.venv)
ifneq ($(shell $(CHECK_VENV) > /dev/null 2>&1 || echo unusable),)
.PHONY: .venv/.installed
endif
endif

.venv/.installed: requirements-dev.txt constraints.txt packages/*/pyproject.toml platform/pyproject.toml
	$(CHECK_VENV) || $(PYTHON) -m venv --clear $(VENV)
	$(BIN)/pip install --quiet --requirement requirements-dev.txt
	touch $@

venv: $(if $(filter .venv,$(VENV)),.venv/.installed)

# A short run of every scenario on both deployments; see docs/decisions/bench.md.
bench: venv
	PYTHONPATH=$(SOURCES) $(BIN)/python -m kingcuplug_cli bench all

demo: venv
	$(BIN)/kingcuplug demo

format: venv
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

lint: venv
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

types: venv
	$(BIN)/mypy packages/*/src platform/src

test: venv
	$(BIN)/pytest -m "not system" $(addprefix --deselect=,$(KNOWN_RED))
	-$(BIN)/pytest $(KNOWN_RED)

system: venv
	$(BIN)/pytest -m system $(addprefix --deselect=,$(KNOWN_RED))

check: lint types test models system

matrix: venv
	PYTHONPATH=$(SOURCES) $(BIN)/python tools/matrix.py

spin:
	command -v spin > /dev/null || apt-get install -y spin

models: spin
	$(PYTHON) models/run.py

models-large: spin
	$(PYTHON) models/run.py --size large --jobs 1


capacity: venv
	for tool in query receipts tracing state membership log gateway fleet; do \
		PYTHONPATH=$(SOURCES) $(BIN)/python tools/measure_$$tool.py || exit 1; \
	done
	PYTHONPATH=$(SOURCES) $(BIN)/python -m kingcuplug_cli bench cpu
