PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin
PROFILE ?= taller
SEED ?= 1
SEEDS ?= 1
MINUTES ?= 0
PACKAGES := core entry agent standins
INSTALLED := $(VENV)/.installed

# Tests start some hundred processes; without compiled modules each of them
# compiles every library anew, which takes more than the tests themselves.
unexport PYTHONDONTWRITEBYTECODE

.PHONY: demo test up down generate format lint bench soak

$(INSTALLED): requirements.lock $(wildcard packages/*/pyproject.toml)
	test -d $(VENV) || $(PYTHON) -m venv $(VENV)
	$(BIN)/pip install -q --disable-pip-version-check --no-compile --no-deps -r requirements.lock
	$(BIN)/pip install -q --disable-pip-version-check --no-deps \
	    --no-build-isolation \
	    $(foreach p,$(PACKAGES),-e packages/gentianpoint-$(p))
	touch $@

demo: $(INSTALLED)
	$(BIN)/python -m gentianpoint_standins.demo

up: $(INSTALLED)
	$(BIN)/python -m gentianpoint_standins.deployment up --profile $(PROFILE)

down: $(INSTALLED)
	$(BIN)/python -m gentianpoint_standins.deployment down

generate: $(INSTALLED)
	$(BIN)/python tools/generate.py

format: $(INSTALLED)
	$(BIN)/ruff check -q --select I --fix .
	$(BIN)/ruff format -q .

lint: $(INSTALLED)
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/flake8 packages platform tools bench spec features
	$(BIN)/python tools/check_style.py
	$(BIN)/python tools/take_out_guards.py --check
	$(BIN)/mypy packages/*/src tools spec bench
	cd platform && ../$(BIN)/mypy --config-file ../pyproject.toml *.py
	$(BIN)/python tools/generate.py --check

test: lint
	$(BIN)/python tools/run_tests.py

bench: $(INSTALLED)
	$(BIN)/python -m bench.run_all; ran=$$?; \
	    $(BIN)/python -m bench.capacity && exit $$ran

soak: $(INSTALLED)
	$(BIN)/python -m bench.soak --seed $(SEED) --seeds $(SEEDS) \
	    --minutes $(MINUTES)
