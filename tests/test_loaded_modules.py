"""A controller imports only the modules it needs.

The tests guard against imports that load the client, the local site, the command line or a large
library into every controller, where they cost memory and start time.
"""

import json
import os
import ssl
import subprocess
import sys

import pytest

from tests.support.paths import ROOT
from weldhead.serving import without_system_certificates

#: The packages of weldhead that a controller may import, apart from ``tunables``.
ALLOWED_PACKAGES = {
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
REQUIRED_LIBRARIES = {"aiohttp", "msgspec", "uvloop"}
#: The numbers of modules that a controller imports at present: modules of the interpreter and of
#: libraries, and modules of weldhead. The interpreter runs with ``-S``, so the start-up code of
#: the environment adds no modules.
MAX_FOREIGN_MODULES = 326
MAX_OWN_MODULES = 165
FORBIDDEN_LIBRARIES = {
    "sqlite3",
    "sortedcontainers",
    "hdrh",
    "opentelemetry",
    "rich",
    "lark",
    "tomllib",
    # Only the current leader imports these, and only if there is a calendar.
    "dateutil",
    "zoneinfo",
    "grpc",
    "argparse",
    "click",
    "gettext",
}
#: The modules of aiohttp for routing and for serving applications.
FORBIDDEN_AIOHTTP_MODULES = {
    "aiohttp.web",
    "aiohttp.web_app",
    "aiohttp.web_urldispatcher",
    "aiohttp.web_ws",
}

PROGRAM = """
import json, sys
# A controller imports all its modules before it reads its settings.
sys.argv = ["run.py", "--config", "/nonexistent"]
try:
    names = {{"__name__": "__main__", "__file__": {run!r}}}
    exec(compile(open({run!r}).read(), {run!r}, "exec"), names)
except SystemExit as end:
    assert end.code == 1
print(json.dumps(sorted(sys.modules)))
"""


def test_modules_that_bind_jobs_import_no_date_libraries() -> None:
    """Only the current leader computes the instants of calendars and needs the libraries."""
    program = """
import sys
sys.path[:0] = [{root!r}, {deps!r}]
from weldhead.controller.configuration import (
    calendar_binder, calendar_keeper, deadline_table_follower, gate_binder, gate_keeper
)
import weldhead.controller.configuration.document_file
print(sorted({{"dateutil", "zoneinfo"}} & set(sys.modules)))
""".format(root=str(ROOT), deps=str(ROOT / "target/deps"))
    result = subprocess.run(
        [sys.executable, "-c", program], capture_output=True, text=True, timeout=60, check=True
    )
    assert result.stdout == "[]\n"


def test_controller_imports_only_allowed_packages() -> None:
    program = PROGRAM.format(run=str(ROOT / "run.py"))
    result = subprocess.run(
        [sys.executable, "-S", "-c", program],
        capture_output=True,
        text=True,
        timeout=60,
        check=True,
    )
    modules = json.loads(result.stdout)
    assert "weldhead.controller.process" in modules
    own_packages = {name.split(".")[1] for name in modules if name.startswith("weldhead.")}
    assert own_packages == ALLOWED_PACKAGES | {"tunables"}
    assert "weldhead.tunables.language" not in modules
    top_level_names = {name.split(".")[0] for name in modules}
    assert not top_level_names & FORBIDDEN_LIBRARIES
    assert top_level_names >= REQUIRED_LIBRARIES
    assert not set(modules) & FORBIDDEN_AIOHTTP_MODULES
    own_count = sum(name.split(".")[0] == "weldhead" for name in modules)
    assert len(modules) - own_count <= MAX_FOREIGN_MODULES, len(modules) - own_count
    assert own_count <= MAX_OWN_MODULES, own_count


def test_certificates_are_hidden_and_environment_restored(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setenv("SSL_CERT_FILE", "/some/where")
    monkeypatch.delenv("SSL_CERT_DIR", raising=False)
    with without_system_certificates():
        assert ssl.create_default_context().cert_store_stats()["x509_ca"] == 0
    assert os.environ["SSL_CERT_FILE"] == "/some/where" and "SSL_CERT_DIR" not in os.environ
