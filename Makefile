# Common tasks. VENV may point at a shared virtual environment.
VENV ?= .venv
PYTHON ?= python3
BIN = $(VENV)/bin
STAMP = $(VENV)/.installed

.PHONY: install test lint format prove demo run generate docs capacity soak
.PHONY: bench-health bench-operators bench-control bench-policy bench-choose bench-path bench-kill bench-keys

install: $(STAMP)

$(STAMP): pyproject.toml constraints.txt
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install -q --disable-pip-version-check -c constraints.txt -e '.[test,lint,generate]'
	touch $(STAMP)

lint: $(STAMP)
	$(BIN)/black --check -q .
	$(BIN)/ruff check -q .

format: $(STAMP)
	$(BIN)/ruff check -q --fix . || true
	$(BIN)/black -q .

test: $(STAMP)
	$(BIN)/python -m pytest
	$(MAKE) prove

prove: $(STAMP)
	$(BIN)/python -m spec

generate: $(STAMP)
	$(BIN)/python heatherhead/operators/generate.py

docs: $(STAMP)
	$(BIN)/python -m heatherhead.settings.reference docs/settings.md

demo: $(STAMP)
	$(BIN)/python -m bench.demo

run: $(STAMP)
	$(BIN)/python -m heatherhead.daemon examples/quickstart.json

bench-control: $(STAMP)
	$(BIN)/python -m bench.control

bench-policy: $(STAMP)
	$(BIN)/python -m bench.policy

bench-choose: $(STAMP)
	$(BIN)/python -m bench.choose

bench-path: $(STAMP)
	$(BIN)/python -m bench.path

bench-kill: $(STAMP)
	$(BIN)/python -m bench.kill

bench-health: $(STAMP)
	$(BIN)/python -m bench.health

bench-operators: $(STAMP)
	$(BIN)/python -m bench.operators

bench-keys: $(STAMP)
	$(BIN)/python -m bench.keys

bench-drain: $(STAMP)
	$(BIN)/python -m bench.drain

SEEDS ?= 1-8

soak: $(STAMP)
	$(BIN)/python -m soak --seeds=$(SEEDS) --side-by-side=2

capacity: $(STAMP)
	$(BIN)/python -m bench.capacity --take
