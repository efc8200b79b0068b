PYTHON ?= python3
SEED ?= 1
SEEDS ?= 1
VENV ?= .venv
BIN := $(VENV)/bin

.PHONY: setup test lint format demo bench slopes soak load outage ablation days clean

setup: $(VENV)/.installed

$(VENV)/.installed: pyproject.toml requirements.lock
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install -q -r requirements.lock
	$(BIN)/pip install -q --no-deps -e .
	touch $@

lint: setup
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

format: setup
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

test: setup
	$(BIN)/python -m pytest $(PYTEST_FLAGS)

demo: setup
	$(BIN)/python -m testbed.demo
	$(BIN)/python -m testbed.platform_demo

bench: setup
	$(BIN)/python -m testbed.bench

load: setup
	$(BIN)/python -m testbed.flow_load --seed $(SEED)

outage: setup
	$(BIN)/python -m testbed.flow_outage --seeds $(SEEDS)

ablation: setup
	$(BIN)/python -m testbed.flow_ablation

days: setup
	$(BIN)/python -m testbed.flow_days --seed $(SEED) --seeds $(SEEDS)
	$(BIN)/python -m testbed.flow_days --identity --seed $(SEED) --seeds $(SEEDS)

soak: setup
	$(BIN)/python -m testbed.soak --seed $(SEED) --seeds $(SEEDS)

slopes: setup
	$(BIN)/python -m testbed.slopes

clean:
	rm -rf $(VENV) build dist *.egg-info
