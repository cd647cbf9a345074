# Every target sets up .venv by itself, so a fresh clone needs one command.
PYTHON ?= python3
VENV := .venv
RUN := $(VENV)/bin/python
# The order of sets depends on it; fixed, so that tests take the same steps on every run.
export PYTHONHASHSEED := 0
STAMP := $(VENV)/.installed

.PHONY: bench test demo faults format lint clean

$(STAMP): requirements.lock pyproject.toml
	test -x $(RUN) || $(PYTHON) -m venv $(VENV)
	$(VENV)/bin/pip install --quiet --requirement requirements.lock
	$(VENV)/bin/pip install --quiet --no-deps --no-build-isolation --editable .
	touch $(STAMP)

test: $(STAMP)
	$(RUN) -W ignore::DeprecationWarning tools/run_tests.py

demo: $(STAMP)
	$(RUN) -W ignore::DeprecationWarning tools/demo.py

faults: $(STAMP)
	$(RUN) -W ignore::DeprecationWarning tools/faults.py

bench: $(STAMP)
	$(RUN) -W ignore -m benchmarks.model --scenario weighbridge --save
	$(RUN) -W ignore -m benchmarks.model --scenario press-line --save
	$(RUN) -W ignore -m benchmarks.load

format: $(STAMP)
	$(VENV)/bin/black --quiet .
	$(VENV)/bin/ruff check --quiet --fix .

lint: $(STAMP)
	$(VENV)/bin/black --quiet --check --diff .
	$(VENV)/bin/ruff check .
	$(RUN) tools/check_imports.py

clean:
	rm -rf $(VENV)
