"""KNOWN-RED.txt: tests that fail for a fault which is known and not mended yet.

A pytest plugin, loaded by conftest.py. Each line, ``node id; cause; issue``, makes its test a
strict xfail: it is run, its call may fail, and the run fails if it passes. What else could
hide behind a line fails the run too: an error in setup or teardown, a skip, a name that
nothing has, a fourth line. Without the file, or without a line in it, nothing is registered.
"""

from collections.abc import Generator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import pytest

NAME = "KNOWN-RED.txt"
MOST = 3
#: Under this key a worker process of xdist hands its usage error to the process that reports.
WORKER_ERROR_KEY = "known_red_error"


@dataclass(frozen=True)
class Entry:
    """A line of the file."""

    line: int
    node_id: str
    cause: str
    issue: str

    @property
    def reason(self) -> str:
        return f"{NAME}: {self.cause} ({self.issue})"


def parse(text: str) -> list[Entry]:
    """Read the file's text; UsageError names the line."""
    entries: list[Entry] = []
    for number, line in enumerate(text.splitlines(), start=1):
        if not line.strip() or line.lstrip().startswith("#"):
            continue
        where = f"{NAME}, line {number}"
        fields = [field.strip() for field in line.split(";")]
        if len(fields) != 3 or not all(fields) or "::" not in fields[0]:
            raise pytest.UsageError(f"{where}: must be 'test node id; cause; issue': {line!r}")
        if any(entry.node_id == fields[0] for entry in entries):
            raise pytest.UsageError(f"{where}: {fields[0]} is listed twice")
        if len(entries) == MOST:
            raise pytest.UsageError(f"{where}: at most {MOST} tests may be listed")
        entries.append(Entry(number, *fields))
    return entries


def could_collect(entry: Entry, config: pytest.Config) -> bool:
    """Whether the paths and node ids that were asked for cover a test of this name."""
    path, _, name = entry.node_id.partition("::")
    file = (config.rootpath / path).resolve()
    for asked in config.args:
        asked_path, _, asked_name = asked.partition("::")
        start = (config.invocation_params.dir / asked_path).resolve()
        within = file == start or start in file.parents
        prefixes = (f"{asked_name}::", f"{asked_name}[")
        if within and (not asked_name or name == asked_name or name.startswith(prefixes)):
            return True
    return False


class KnownRed:
    """Has the listed tests fail as expected, and nothing else."""

    def __init__(self, entries: list[Entry]) -> None:
        self.entries = {entry.node_id: entry for entry in entries}
        self.worker_error: str | None = None

    @pytest.hookimpl(tryfirst=True)
    def pytest_collection_modifyitems(
        self, session: pytest.Session, config: pytest.Config, items: list[pytest.Item]
    ) -> None:
        # First of all: what -k, -m and --deselect leave out does exist.
        for item in items:
            entry = self.entries.get(item.nodeid)
            if entry is not None:
                # Before the test's own marks, of which one could keep it from being run.
                mark = pytest.mark.xfail(reason=entry.reason, strict=True)
                item.add_marker(mark, append=False)
        if session.testsfailed:
            # A file that cannot be imported fails the run by itself, and says why.
            return
        found, files = {item.nodeid for item in items}, {item.path for item in items}
        ignores = config.getoption("ignore") or config.getoption("ignore_glob")
        for entry in self.entries.values():
            if entry.node_id in found or not could_collect(entry, config):
                continue
            file = config.rootpath / entry.node_id.partition("::")[0]
            if not ignores or file in files:
                message = f"{NAME}, line {entry.line}: no test has the node id {entry.node_id}"
                if hasattr(config, "workeroutput"):
                    # A usage error in a worker process of xdist would read as a crash of it.
                    config.workeroutput[WORKER_ERROR_KEY] = message
                    return
                raise pytest.UsageError(message)

    @pytest.hookimpl(optionalhook=True)
    def pytest_testnodedown(self, node: Any, error: object | None) -> None:
        """Keep the usage error of a worker process of xdist that has ended."""
        message = getattr(node, "workeroutput", {}).get(WORKER_ERROR_KEY)
        self.worker_error = self.worker_error or message

    def pytest_sessionfinish(self) -> None:
        if self.worker_error:
            pytest.exit(self.worker_error, returncode=pytest.ExitCode.USAGE_ERROR)

    @pytest.hookimpl(wrapper=True, tryfirst=True)
    def pytest_runtest_makereport(
        self, item: pytest.Item, call: pytest.CallInfo[None]
    ) -> Generator[None, pytest.TestReport, pytest.TestReport]:
        report = yield
        if item.nodeid not in self.entries or not report.skipped:
            return report
        if not hasattr(report, "wasxfail"):
            report.outcome, report.longrepr = "failed", f"{NAME} lists it, and it is skipped"
        elif report.when != "call":
            # The fault is in what the test calls: an error around it is another one.
            report.outcome = "failed"
            del report.wasxfail
        return report

    def pytest_terminal_summary(self, terminalreporter: pytest.TerminalReporter) -> None:
        stats = terminalreporter.stats
        outcomes = {
            report.nodeid: outcome
            for outcome in ("xfailed", "error", "failed")
            for report in stats.get(outcome, ())
        }
        terminalreporter.section(NAME)
        for entry in self.entries.values():
            outcome = outcomes.get(entry.node_id, "not run")
            terminalreporter.line(f"{entry.node_id}: {outcome}: {entry.cause} ({entry.issue})")


def pytest_configure(config: pytest.Config) -> None:
    file: Path = config.rootpath / NAME
    entries = parse(file.read_text(encoding="utf-8")) if file.exists() else []
    if entries:
        config.pluginmanager.register(KnownRed(entries), "red")
