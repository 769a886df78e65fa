# The same commands as CI and the deploy file; see README.md.
.PHONY: build venv test lint run demo fleet wheel native sites

venv:
	test -d .venv || (python3 -m venv .venv && .venv/bin/pip -q install -r requirements.txt)

build: venv
	.venv/bin/python tools/build_native.py

.venv/bin/pytest: requirements.txt requirements-dev.txt | build
	.venv/bin/pip -q install -r requirements.txt -r requirements-dev.txt
	touch $@

# Compiled modules take a minute to make and are not needed for it: `make build` makes them.
.venv/bin/firvane: pyproject.toml | venv
	.venv/bin/pip -q install -e .
	touch $@

lint: .venv/bin/pytest
	.venv/bin/ruff check . && .venv/bin/ruff format --check . && .venv/bin/mypy && .venv/bin/lint-imports

test: lint
	.venv/bin/pytest -q -n 8

run: build
	trap '' HUP; exec .venv/bin/python -m firvane

# 14 boxes, 3 proxies and 710 requests a second as processes on loopback, for half a minute.
demo: .venv/bin/firvane
	.venv/bin/firvane rehearse deploy/demo.toml --live --json demo.json --html demo.html; \
		code=$$?; echo "The report is in demo.html."; exit $$code

.venv/fleet.installed: pyproject.toml | venv
	.venv/bin/pip -q install -e '.[fleet]'
	touch $@

# Routers, controllers, and stand-ins around them, on loopback addresses for 20 s; see docs/localfleet.md.
fleet: .venv/fleet.installed
	.venv/bin/firvane-fleet --routers 3 --controllers 3 --backends 4 --seconds 20

# The wheel, installed into a fresh environment and tried there; too slow for CI.
wheel:
	python3 tests/wheel.py

# The operators' names on the sockets, laid beside the customers' sites of our own; git ignores them.
sites:
	cp -f ../given/kit/more/mass/other/real.json ../given/kit/more/mass/other/wire.json \
		../given/kit/more/mass/other/unlock.txt deploy/sites/
	chmod u+w deploy/sites/*.json deploy/sites/unlock.txt
	cp -f ../given/kit/more/system/sites/wire.json benchmarks/fleet_days/sites/
	chmod u+w benchmarks/fleet_days/sites/wire.json
