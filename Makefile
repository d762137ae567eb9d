.PHONY: setup test check demo measure slopes bench proto soak
VENV := .venv
PY := $(VENV)/bin/python
STAMP := $(VENV)/.installed

setup: $(STAMP)

$(STAMP): pyproject.toml constraints.txt
	python3 -m venv $(VENV)
	$(VENV)/bin/pip install -q -c constraints.txt -e '.[dev]'
	touch $(STAMP)

test: setup
	$(PY) -m pytest

demo: setup
	$(PY) -m examples.demo

check: setup
	$(VENV)/bin/black --check -q src tests examples
	$(VENV)/bin/ruff check src tests examples
	$(VENV)/bin/mypy
	$(PY) examples/generate_rpc.py --check

proto: setup
	$(PY) examples/generate_rpc.py

measure: setup
	$(PY) -m examples.measure

slopes: setup
	$(PY) -m examples.slopes

bench: setup
	$(PY) -m examples.bench

soak: setup
	$(PY) -m tests.soak --signals 4 --minutes $(or $(MINUTES),3)
