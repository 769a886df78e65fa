# The same commands as CI and the deploy file; see README.md.
.PHONY: build test lint run

build:
	test -d .venv || (python3 -m venv .venv && .venv/bin/pip -q install -r requirements.txt)

.venv/bin/pytest: build
	.venv/bin/pip -q install -r requirements.txt -r requirements-dev.txt

lint: .venv/bin/pytest
	.venv/bin/ruff check . && .venv/bin/mypy

test: lint
	.venv/bin/pytest -q

run: build
	.venv/bin/python -m firvane
