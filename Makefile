PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
DEPLOYMENT ?= frostwick
# `own` is this project's interface, `platform` that of the users' platform.
INTERFACE ?= own
SEED ?= 1
MINUTES ?= 1
# Such as `--daemons 10 --workers 16`.
SOAK_OPTIONS ?=
DEMO_own = $(BIN)/python -m tools.demo --deployment $(DEPLOYMENT)
DEMO_platform = $(BIN)/python -m tools.platform_demo

.PHONY: setup demo soak cell test lint format bench slopes docs clean

$(VENV)/.installed: pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --editable '.[dev]'
	touch $@

setup: $(VENV)/.installed

demo: $(VENV)/.installed
	$(DEMO_$(INTERFACE))

soak: $(VENV)/.installed
	$(BIN)/python -m tools.soak --seed $(SEED) --minutes $(MINUTES) $(SOAK_OPTIONS)

cell: $(VENV)/.installed
	$(BIN)/python -m tools.run_cell --deployment $(DEPLOYMENT)

test: $(VENV)/.installed
	$(BIN)/python -m pytest $(PYTEST_OPTIONS)

lint: $(VENV)/.installed
	$(BIN)/ruff format --check .
	$(BIN)/flake8 .
	$(BIN)/mypy
	$(BIN)/python -m tools.write_docs --check

format: $(VENV)/.installed
	$(BIN)/ruff format .

bench: $(VENV)/.installed
	$(BIN)/python -m tools.bench

slopes: $(VENV)/.installed
	$(BIN)/python -m tools.slopes

docs: $(VENV)/.installed
	$(BIN)/python -m tools.write_docs

clean:
	rm -rf $(VENV) build *.egg-info
