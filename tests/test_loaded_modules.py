"""A controller loads what it needs and nothing of the parts beside it."""

import json
import os
import ssl
import subprocess
import sys

import pytest

from tests.support.paths import ROOT
from weldhead.serving import no_certificates

#: What `serve` loads, without the tunables' language; the packages of weldhead it may use.
ALLOWED = {
    "admission",
    "bytecode",
    "calendars",
    "clock",
    "cluster_state",
    "controller",
    "documents",
    "failure_attribution",
    "membership",
    "protocol",
    "provisioning",
    "quota",
    "reachability",
    "reconciliation",
    "scheduling",
    "serving",
    "transport",
}
LIBRARIES = {"aiohttp", "msgspec", "uvloop"}
#: As many modules as it loads without what an environment's own start adds, and not one more:
#: of the interpreter's and of libraries, and of weldhead's own.
MOST_FOREIGN_MODULES = 326
MOST_OWN_MODULES = 164
FOREIGN = {
    "sqlite3",
    "sortedcontainers",
    "hdrh",
    "opentelemetry",
    "rich",
    "lark",
    "tomllib",
    # The leader of the moment loads these when there is a calendar, and nobody else.
    "dateutil",
    "zoneinfo",
    "grpc",
    "argparse",
    "click",
    "gettext",
}
#: Of aiohttp: what routes and serves applications.
UNUSED = {"aiohttp.web", "aiohttp.web_app", "aiohttp.web_urldispatcher", "aiohttp.web_ws"}

PROGRAM = """
import json, sys
# The whole of what a controller imports happens before it reads its settings.
sys.argv = ["run.py", "--config", "/nonexistent"]
try:
    names = {{"__name__": "__main__", "__file__": {run!r}}}
    exec(compile(open({run!r}).read(), {run!r}, "exec"), names)
except SystemExit as end:
    assert end.code == 1
print(json.dumps(sorted(sys.modules)))
"""


def test_who_only_binds_jobs_loads_no_libraries_of_calendars() -> None:
    """A controller with documents: only the leader of the moment computes instants."""
    program = """
import sys
sys.path[:0] = [{root!r}, {deps!r}]
from weldhead.controller.configuration import (
    calendar_binder, calendar_keeper, deadline_table_follower, gate_binder, gate_keeper
)
import weldhead.controller.configuration.document_file
print(sorted({{"dateutil", "zoneinfo"}} & set(sys.modules)))
""".format(root=str(ROOT), deps=str(ROOT / "target/deps"))
    ran = subprocess.run(
        [sys.executable, "-c", program], capture_output=True, text=True, timeout=60, check=True
    )
    assert ran.stdout == "[]\n"


def test_serve_imports_nothing_of_the_new_parts() -> None:
    program = PROGRAM.format(run=str(ROOT / "run.py"))
    done = subprocess.run(
        [sys.executable, "-S", "-c", program],
        capture_output=True,
        text=True,
        timeout=60,
        check=True,
    )
    modules = json.loads(done.stdout)
    assert "weldhead.controller.process" in modules
    own = {name.split(".")[1] for name in modules if name.startswith("weldhead.")}
    assert own == ALLOWED | {"tunables"}
    assert "weldhead.tunables.language" not in modules
    tops = {name.split(".")[0] for name in modules}
    assert not tops & FOREIGN
    assert tops >= LIBRARIES
    assert not set(modules) & UNUSED
    count_own = sum(name.split(".")[0] == "weldhead" for name in modules)
    assert len(modules) - count_own <= MOST_FOREIGN_MODULES, len(modules) - count_own
    assert count_own <= MOST_OWN_MODULES, count_own


def test_a_controller_reads_no_certificates_and_leaves_the_environment_as_it_was(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setenv("SSL_CERT_FILE", "/some/where")
    monkeypatch.delenv("SSL_CERT_DIR", raising=False)
    with no_certificates():
        assert ssl.create_default_context().cert_store_stats()["x509_ca"] == 0
    assert os.environ["SSL_CERT_FILE"] == "/some/where" and "SSL_CERT_DIR" not in os.environ
