# Every command works in a fresh clone: .venv is made from the lock file.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
PACKAGES := core node ctl standins
STAMP := $(VENV)/.installed

.PHONY: venv demo test format lint bench load lock

venv: $(STAMP)

$(STAMP): requirements/requirements.lock $(PACKAGES:%=packages/egretrock-%/pyproject.toml)
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check --require-hashes -r requirements/requirements.lock
	$(BIN)/pip install --quiet --disable-pip-version-check --no-deps --no-build-isolation $(PACKAGES:%=-e packages/egretrock-%)
	touch $@

demo: $(STAMP)
	$(BIN)/python -m egretrock_standins.demo

test: $(STAMP)
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/lint-imports --no-cache
	$(BIN)/python tools/run_tests.py

format: $(STAMP)
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

load: $(STAMP)
	$(BIN)/python -m egretrock_standins.load

bench: $(STAMP)
	$(BIN)/python -m egretrock_standins.bench

# Needs pip-tools; hashes and versions only, no registry address.
lock:
	$(PYTHON) -m piptools compile --quiet --generate-hashes --allow-unsafe \
	  --no-header --no-emit-index-url --no-emit-find-links \
	  --no-emit-trusted-host --no-emit-options --strip-extras \
	  -o requirements/requirements.lock requirements/requirements.in
