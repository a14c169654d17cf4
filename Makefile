# make demo: runs the demo scenario on a fresh clone; make test: runs all checks of CI.
PYTHON ?= python3
BIN := .venv/bin
READY := .venv/.ready-for-wickdyke

.PHONY: demo test lint unit prove bench scale

demo: $(READY)
	$(BIN)/wickdyke prove scripts/bad-day.sexp

test: lint unit

$(READY): pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv .venv
	$(BIN)/pip -q install --disable-pip-version-check -e ".[test]"
	touch $@

lint: $(READY)
	$(BIN)/ruff check .
	$(BIN)/ruff format --check .
	$(BIN)/mypy

unit: $(READY)
	$(BIN)/python -m tests.known_red

# Runs and checks all scenarios with twenty seeds each: about an hour and a half.
prove: $(READY)
	$(BIN)/wickdyke prove --brief --seeds 20 scripts/*.sexp

# Compares the gateway with a relay without decisions: about five minutes on an idle machine.
bench: $(READY)
	$(BIN)/python -m bench.compare

# Measures the cost of a front end as the fleet grows, and one real front end with simulated workers: about half an
# hour on two cores.
scale: $(READY)
	mkdir -p build
	$(BIN)/python -m bench.scale run build/scale.json
	$(BIN)/python -m bench.scale show build/scale.json
	$(BIN)/python -m bench.real
