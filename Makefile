# The README's test command: make test

.PHONY: test

test:
	ruff check .
	ruff format --check .
	mypy
	python -m pytest
