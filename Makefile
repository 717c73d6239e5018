PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin
PACKAGES := core daemon cli standins proof bench soak
SEED ?= 1
ROUNDS ?= 40
# Fixes the iteration order of sets of strings, so that runs with the same seed are reproducible.
export PYTHONHASHSEED := 0

.PHONY: setup test demo proof soak mutate bench slopes check clean

$(VENV)/installed: $(foreach p,$(PACKAGES),packages/$(p)/pyproject.toml) platform/pyproject.toml constraints.txt
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --upgrade "setuptools>=68" wheel
	$(BIN)/pip install --quiet --config-settings editable_mode=compat --constraint constraints.txt \
		$(foreach p,$(PACKAGES),--editable packages/$(p)) --editable platform hypothesis black ruff
	touch $@

setup: $(VENV)/installed

test: setup
	$(BIN)/python scripts/run_tests.py

check: setup
	$(BIN)/black --check --quiet .
	$(BIN)/ruff check --quiet .
	$(BIN)/python scripts/run_doctests.py
	$(BIN)/python scripts/write_capacity.py --check
	$(BIN)/python scripts/write_measurements.py --check
	$(BIN)/python scripts/write_platform_measurements.py --check

demo: setup
	$(BIN)/python -m cranberryshore_bench.demo --seed $(SEED)

proof: setup
	$(BIN)/python -m cranberryshore_proof --seed $(SEED) --rounds $(ROUNDS)

# The soak test draws a random seed unless SEED is given on the command line.
soak: setup
	$(BIN)/python -m cranberryshore_soak --rounds $(ROUNDS) $(if $(filter command line,$(origin SEED)),--seed $(SEED))

mutate: setup
	$(BIN)/python -m cranberryshore_proof.mutate --seed $(SEED)
	$(BIN)/python -m cranberryshore_proof.pool_mutate
	$(BIN)/python -m cranberryshore_proof.intake_mutate

bench: setup
	$(BIN)/python -m cranberryshore_bench --seed $(SEED)

slopes: setup
	$(BIN)/python -m cranberryshore_bench.slopes

clean:
	rm -rf $(VENV) build
