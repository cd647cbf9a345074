# Every target sets up .venv by itself, so a fresh clone needs one command.
PYTHON ?= python3
VENV := .venv
RUN := $(VENV)/bin/python
# The order of sets depends on it; fixed, so that tests take the same steps on every run.
export PYTHONHASHSEED := 0
STAMP := $(VENV)/.installed

.PHONY: bench test demo faults soak slopes format lint clean

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

# One run of a minute; docs/SOAK.md has more.
soak: $(STAMP)
	$(RUN) -W ignore tools/run_soak.py run --seed $${SEED:-1}

# Measures what docs/CAPACITY.md is worked out from, and writes that page; about six minutes.
slopes: $(STAMP)
	$(RUN) -W ignore benchmarks/entry_cost.py
	$(RUN) -W ignore benchmarks/claims_cost.py
	$(RUN) -W ignore -m benchmarks.membership_cost
	$(RUN) -W ignore -m benchmarks.control_cost
	$(RUN) -W ignore -m benchmarks.configuration_spread
	$(RUN) -W ignore -m benchmarks.configuration_size
	$(RUN) -W ignore -m benchmarks.capacity

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
