VENV ?= .venv
PYTHON := $(VENV)/bin/python
SOURCES := $(wildcard packages/*/src)
empty :=
space := $(empty) $(empty)
export PYTHONPATH := $(subst $(space),:,$(abspath $(SOURCES)))
export PYTHONDONTWRITEBYTECODE := 1

.PHONY: demo test lint bench binary format relay soak soak-connections

SEEDS ?= 1-10
SECONDS ?= 20

$(VENV)/installed: requirements.txt requirements-product.txt
	test -x $(PYTHON) || python3 -m venv $(VENV)
	$(VENV)/bin/pip install --quiet -r requirements.txt
	touch $@

demo: $(VENV)/installed
	$(PYTHON) tools/demo.py

test: $(VENV)/installed
	$(PYTHON) tools/run_tests.py

lint: $(VENV)/installed
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .
	MYPYPATH=$(PYTHONPATH) $(VENV)/bin/mypy $(foreach s,$(SOURCES),$(wildcard $(s)/lavendershed/*))

format: $(VENV)/installed
	$(VENV)/bin/ruff check --fix .
	$(VENV)/bin/ruff format .

bench: $(VENV)/installed
	$(PYTHON) tools/bench.py

relay: $(VENV)/installed
	$(PYTHON) tools/measure_relay.py

binary: $(VENV)/installed
	$(PYTHON) tools/build_binary.py

soak: $(VENV)/installed
	$(PYTHON) tools/soak.py $(SEEDS) $(SECONDS)

soak-connections: $(VENV)/installed
	$(PYTHON) tools/soak.py $(SEEDS) $(SECONDS) --connections
