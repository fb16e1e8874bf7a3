UV_VERSION := 0.13.9
TOOLS := .tools
UV := $(TOOLS)/bin/uv
PYTHON := .venv/bin/python
PATHS := packages platform soak test bench

.PHONY: setup test lint format types demo bench generate

$(UV):
	python3 -m venv $(TOOLS)
	$(TOOLS)/bin/pip install --quiet "uv==$(UV_VERSION)"

setup: $(UV)
	$(UV) sync --quiet

format: setup
	.venv/bin/ruff format $(PATHS)
	.venv/bin/ruff check --fix $(PATHS)

lint: setup
	.venv/bin/ruff format --check $(PATHS)
	.venv/bin/ruff check $(PATHS)

types: setup
	MYPYPATH=$$(echo packages/*/src platform/src | tr ' ' ':') .venv/bin/mypy packages/*/src platform/src

test: setup
	$(PYTHON) test/run.py

demo: setup
	$(PYTHON) -m persimmonyard.standin.demo

bench: setup
	$(PYTHON) bench/run.py

generate: setup
	$(PYTHON) -m grpc_tools.protoc -I packages/wire/src \
		--python_out=packages/wire/src --pyi_out=packages/wire/src --grpc_python_out=packages/wire/src \
		persimmonyard/wire/generated/control.proto
