# make test: set up, then all tests: those of one process, and those that start many and keep real times.
# make demo: set up, play the bad day on loopback, print the verdict.
VENV ?= .venv
SEED ?= 1

.PHONY: setup test lint demo bench clean

setup: $(VENV)/.done

$(VENV)/.done: pyproject.toml constraints.txt
	test -d $(VENV) || python3 -m venv $(VENV)
	$(VENV)/bin/pip install -q -c constraints.txt -e '.[reports,registry,lab,dev]'
	touch $@

# With eight cores or more, the two parts side by side, each on a half of its own: what starts programs keeps its times.
PYTEST = $(VENV)/bin/python -m pytest -q
ONE = -n auto --dist worksteal -m "not processes"
MANY = -n 4 --dist loadscope -m processes
CORES := $(shell nproc)
HALF := $(shell expr $(CORES) / 2)

test: setup
ifeq ($(shell test $(CORES) -ge 8 && taskset -c $(HALF) true 2>/dev/null && echo yes),yes)
	@mkdir -p out
	@taskset -c $(HALF)-$(shell expr $(CORES) - 1) $(PYTEST) $(MANY) >out/processes.txt 2>&1 & many=$$!; \
	taskset -c 0-$(shell expr $(HALF) - 1) $(PYTEST) $(subst auto,$(HALF),$(ONE)); one=$$?; \
	wait $$many; many=$$?; cat out/processes.txt; test $$one -eq 0 -a $$many -eq 0
else
	$(PYTEST) $(ONE)
	$(PYTEST) $(MANY)
endif

lint: setup
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .
	$(VENV)/bin/mypy

demo: setup
	$(VENV)/bin/corallanding lab run examples/bad-day.hcl --out out/bad-day --seed $(SEED)

bench: setup
	$(VENV)/bin/python -m bench.run

clean:
	rm -rf out build *.egg-info
