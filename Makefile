# Each target installs what it needs; the lock pins every version.
VENV := .venv
PY := $(VENV)/bin/python
STAMP := $(VENV)/.installed
PROFILE ?= small
SEEDS ?= 8

.PHONY: demo test bench capacity lint format spec mutants session soak clean

$(STAMP): requirements.lock pyproject.toml
	python3 -m venv $(VENV)
	$(PY) -m pip install -q --disable-pip-version-check -r requirements.lock
	$(PY) -m pip install -q --disable-pip-version-check --no-deps --no-build-isolation -e .
	touch $(STAMP)

demo: $(STAMP)
	$(PY) -m dockreach.demo --profile $(PROFILE)

test: lint spec
	$(PY) -m pytest -m "not crowd"
	$(PY) -m pytest -m crowd -n 0

lint: $(STAMP)
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .
	$(VENV)/bin/mypy

spec: $(STAMP)
	bash spec/check.sh

format: $(STAMP)
	$(VENV)/bin/ruff format .
	$(VENV)/bin/ruff check --fix .

bench: $(STAMP)
	$(PY) -m benchmarks.run

capacity: $(STAMP)
	$(PY) -m benchmarks.capacity --keep

session: $(STAMP)
	$(PY) -m benchmarks.session

soak: $(STAMP)
	PYTHONPATH=platform $(PY) -W ignore -m tests.soak --seeds $(SEEDS)

mutants: $(STAMP)
	$(PY) -m benchmarks.mutants

clean:
	rm -rf $(VENV) build *.egg-info
