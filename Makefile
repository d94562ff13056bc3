# make demo: sets up, then runs the whole system for a minute, injects faults and checks the results.
# make demo-sidecar: puts load on sidecars for half a minute, during a rolling deploy.
# make test: sets up and runs the tests.
.PHONY: demo demo-sidecar test setup sites mutants
PYTHON ?= python3

setup: .venv/ready

.venv/ready: requirements.txt requirements-dev.txt
	test -d .venv || $(PYTHON) -m venv .venv
	.venv/bin/pip -q install -r requirements.txt -r requirements-dev.txt
	touch .venv/ready

# The demo installs only what the programs need, so that it starts soon after a clone.
.venv/programs: requirements.txt
	test -d .venv || $(PYTHON) -m venv .venv
	.venv/bin/pip -q install -r requirements.txt
	touch .venv/programs

demo: .venv/programs
	.venv/bin/python -m shedgrade.lab.system

demo-sidecar: setup
	.venv/bin/python -m shedgrade lab run scenarios/demo.toml

test: setup
	.venv/bin/python -m pytest -q && .venv/bin/ruff check . && .venv/bin/python -m tools.checks

# Checks that the tests kill the mutants listed in tests/mutants.toml; takes a few minutes.
mutants: setup
	.venv/bin/python -m tools.mutants

# Copies the operators' files that their bench needs beside a site into deploy/sites. These copies are never committed.
# KIT: the folder of the operators' files.
KIT ?= ../given/kit
sites:
	cp -f $(KIT)/sites/real.json $(KIT)/sites/wire.json $(KIT)/sites/unlock.txt deploy/sites/
	chmod u+w deploy/sites/real.json deploy/sites/wire.json deploy/sites/unlock.txt
