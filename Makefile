LAB = .lab-venv/bin/python

.PHONY: build demo test lint format run check-config ci clean

build: ## what run and sim need, in .venv
	deploy/build

.dev-venv: requirements.txt requirements-routes.txt requirements-lab.txt requirements-dev.txt
	python3 -m venv --clear .dev-venv
	.dev-venv/bin/python -m pip -q install -r requirements-dev.txt
	touch .dev-venv

.lab-venv: requirements.txt requirements-routes.txt requirements-lab.txt
	python3 -m venv --clear .lab-venv
	.lab-venv/bin/python -m pip -q install -r requirements-lab.txt
	touch .lab-venv

demo: .lab-venv ## three dispatchers and twelve workers on loopback for about 20 s, two of them in trouble
	$(LAB) -m ironbarrow lab demo

test: .dev-venv ## the tests
	.dev-venv/bin/python -m pytest

lint: .dev-venv ## format, lint and types, as .ci/run checks them
	.dev-venv/bin/ruff format --check .
	.dev-venv/bin/ruff check .
	.dev-venv/bin/mypy --strict heathway ironbarrow
	.dev-venv/bin/lint-imports --no-cache

format: .dev-venv ## puts the code into its format
	.dev-venv/bin/ruff format .
	.dev-venv/bin/ruff check --fix .

run: build ## one dispatcher in the foreground, as BALANCER_* in the environment says
	.venv/bin/python -m ironbarrow serve

check-config: build ## whether BALANCER_* name a configuration that run can use
	.venv/bin/python -m ironbarrow check-config

ci: ## all that must hold before a change lands
	.ci/run

clean:
	rm -rf .venv .lab-venv .dev-venv .ci-venv
