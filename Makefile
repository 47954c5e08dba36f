PYTHON ?= python3
VENV := .venv
SCRIPTS := bin/run-tests bin/sort-imports bin/generate-docs
STAMP := $(VENV)/installed
PROJECTS := $(wildcard packages/*/pyproject.toml) platform/pyproject.toml
FUZZ_EXAMPLES ?= 2000

SEED ?= 1
SEEDS ?= 5

.PHONY: setup demo test fuzz lint format docs relay-benchmark capacity soak

setup: $(STAMP)

$(STAMP): constraints.txt requirements-dev.txt $(PROJECTS)
	$(PYTHON) -m venv $(VENV)
	$(VENV)/bin/pip install --quiet --constraint constraints.txt \
		--requirement requirements-dev.txt
	$(VENV)/bin/pip install --quiet --constraint constraints.txt \
		--no-build-isolation \
		$(patsubst %/pyproject.toml,--editable %,$(PROJECTS))
	touch $@

demo: setup
	$(VENV)/bin/python -m wasabilanding.experiments.demo

test: setup
	$(VENV)/bin/python bin/run-tests

relay-benchmark: setup
	$(VENV)/bin/python -m wasabilanding.experiments.relay_benchmark

lint: setup
	$(VENV)/bin/ruff format --check . $(SCRIPTS)
	$(VENV)/bin/flake8 packages platform deploy $(SCRIPTS)

format: setup
	$(VENV)/bin/python bin/sort-imports
	$(VENV)/bin/ruff format . $(SCRIPTS)

docs: setup
	$(VENV)/bin/python bin/generate-docs

fuzz: setup
	for suite in $$(grep -rl --include=*.feature @fuzz packages platform \
			| xargs -n 1 dirname | sort -u); do \
		WASABILANDING_FUZZ_EXAMPLES=$(FUZZ_EXAMPLES) \
			$(VENV)/bin/python -m behave --no-color --tags=fuzz \
			--format=plain --no-skipped $$suite || exit 1; \
	done

capacity: setup
	$(VENV)/bin/python -m wasabilanding.experiments.capacity.measure

soak: setup
	$(VENV)/bin/python -m wasabilanding.experiments.installation.soak_command \
		--seed $(SEED) --count $(SEEDS) $(SOAK)
