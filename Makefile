VENV ?= .venv
PY = $(VENV)/bin/python

.PHONY: run test setup lint check clean soak

$(VENV)/ready: requirements-lock.txt pyproject.toml
	python3 -m venv $(VENV)
	$(VENV)/bin/pip install -q -r requirements-lock.txt
	$(VENV)/bin/pip install -q --no-deps -e .
	touch $@

setup: $(VENV)/ready

run: setup
	$(PY) -m examples.first_run

lint: setup
	$(VENV)/bin/ruff check .
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/flake8 chervilwheel loadtool soak standins examples tests platform

test: setup lint
	$(PY) -m pytest -q -rxX -n 6 -m "not alone"
	$(PY) -m pytest -q -rxX -m alone

SEEDS ?= 50
SOAK_JOBS ?= 2

soak: setup
	$(PY) -m soak --seeds $(SEEDS) --jobs $(SOAK_JOBS) --keep run/soak

clean:
	rm -rf $(VENV) build
