# The README's commands: make demo, make test. Each installs what it needs under target/.

PYTHON ?= python3

.PHONY: demo test tools

target/deps/installed: requirements.txt
	$(PYTHON) -m pip install -q -U --target target/deps -r requirements.txt
	touch $@

target/extras/installed: pyproject.toml
	$(PYTHON) -m pip install -q -U --target target/extras $$($(PYTHON) tools/extras)
	touch $@

target/dev/installed: requirements.txt requirements-dev.txt pyproject.toml
	$(PYTHON) -m venv target/dev
	target/dev/bin/python -m pip install -q -r requirements-dev.txt $$($(PYTHON) tools/extras)
	touch $@

demo: target/deps/installed target/extras/installed
	tools/demo

tools: target/dev/installed

test: target/deps/installed target/extras/installed tools
	target/dev/bin/ruff check .
	target/dev/bin/ruff format --check .
	target/dev/bin/mypy
	PYTHONHASHSEED=0 target/dev/bin/python -m pytest -n auto --dist worksteal
