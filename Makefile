# Two commands do everything on a fresh machine: `make demo` and `make test`.
PYTHON ?= python3

.PHONY: setup demo test scale soak soak-short

setup: .venv/.ready

.venv/.ready: requirements.txt requirements-dev.txt pyproject.toml
	$(PYTHON) -m venv .venv
	.venv/bin/pip -q install -r requirements.txt -r requirements-dev.txt
	.venv/bin/pip -q install --no-deps -e .
	touch .venv/.ready

demo: setup
	.venv/bin/tansykeel demo

test: setup
	.venv/bin/python -m pytest

# 612 gateways, 6 control nodes and their faults on loopback, for about five minutes: not a part of the tests.
scale: setup
	.venv/bin/tansykeel scale play full --plots docs/plots

# Ten gateways on the platform's protocol, with overlapping faults, for three minutes: not a part of the tests.
soak: setup
	.venv/bin/python -m tansykeel.soak --seeds 3 4 5 35

# Two small plays for CI, a minute together: one with a crowd, a surge and signals in series, one with system calls that fail.
soak-short: setup
	.venv/bin/python -m tansykeel.soak --seeds 2 4 --seconds 15 --gateways 4 --stores 4 --clients 2
