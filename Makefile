PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin
PROFILE ?= boutik
SEED ?= 1
JSON ?=
BINARY ?=
READY := $(VENV)/.ready
SOURCES := laburnumswitch bundle soak standin scripts spec tests

COUNT ?= 1
SECONDS ?= 10
OPTIONS ?=

.PHONY: binary demo measure soak test lint format

$(READY): requirements-dev.txt
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --require-hashes -r requirements-dev.txt
	touch $(READY)

demo: $(READY)
	$(BIN)/python -m scripts.demo --profile $(PROFILE) --seed $(SEED) $(if $(JSON),--json $(JSON)) \
		$(if $(BINARY),--binary $(BINARY))

test: $(READY)
	$(BIN)/python -m pytest -n 6

lint: $(READY)
	$(BIN)/black --check --quiet $(SOURCES)
	$(BIN)/ruff check --quiet $(SOURCES)
	$(BIN)/lint-imports --no-cache

format: $(READY)
	$(BIN)/ruff check --quiet --fix $(SOURCES)
	$(BIN)/black --quiet $(SOURCES)

binary: $(READY)
	$(BIN)/python -m bundle.build --output build/laburnumswitch

soak: $(READY)
	$(BIN)/python -m soak --seed $(SEED) --count $(COUNT) --seconds $(SECONDS) $(OPTIONS)

measure: $(READY)
	$(BIN)/python -m scripts.measure_request
	$(BIN)/python -m scripts.measure_scheduling
	$(BIN)/python -m scripts.measure_faults
	$(BIN)/python -m scripts.capacity
	$(BIN)/python -m scripts.interference_days
	$(BIN)/python -m scripts.plot_measurements
