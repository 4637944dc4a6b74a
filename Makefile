# Development tasks. VENV may name a virtual environment that several work trees share.
VENV ?= .venv
PYTHON ?= python3
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed
SEEDS ?= 5
SOAK_JOBS ?= 2

.PHONY: install format lint types imports unit test run serve bench soak clean

install: $(STAMP)

$(STAMP): requirements.txt requirements-dev.txt pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --no-deps -r requirements-dev.txt -r requirements.txt
	$(BIN)/python -m pip install --quiet --no-deps --no-build-isolation --editable .
	touch $(STAMP)

format: install
	$(BIN)/black --quiet greengagestage standins bench soak tests examples
	$(BIN)/ruff check --quiet --fix greengagestage standins bench soak tests examples

lint: install
	$(BIN)/black --check --quiet greengagestage standins bench soak tests examples
	$(BIN)/ruff check greengagestage standins bench soak tests examples

types: install
	$(BIN)/mypy

imports: install
	$(BIN)/lint-imports

unit: install
	$(BIN)/python -m pytest -n 6 --dist loadgroup -m "not memory"
	$(BIN)/python -m pytest -m memory

test: lint types imports unit

run: install
	$(BIN)/python -m standins.fleet run

serve: install
	$(BIN)/python -m standins.fleet serve

bench: install
	$(BIN)/python -m bench
	$(BIN)/python -m bench.host_cost

soak: install
	$(BIN)/python -m soak hunt --seeds 1-$(SEEDS) --jobs $(SOAK_JOBS)

clean:
	rm -rf .run .ci-venv build dist
