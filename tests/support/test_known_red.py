"""KNOWN-RED.txt: its tests are run, may fail in their call, and in no other way."""

from collections.abc import Callable

import pytest

from tests.support.known_red import NAME

RunTests = Callable[..., pytest.RunResult]

PLUGIN = "tests.support.known_red"
TESTS = """
    import pytest

    @pytest.fixture
    def broken():
        raise RuntimeError

    @pytest.fixture
    def breaks():
        yield
        raise RuntimeError

    @pytest.mark.parametrize("n", [1, 2])
    def test_red(n):
        assert n == 2

    def test_green():
        pass

    def test_setup(broken):
        assert False

    def test_teardown(breaks):
        assert False

    def test_skipped():
        pytest.skip("not now")

    @pytest.mark.xfail(run=False)
    def test_marked():
        pass
"""
RED = "test_a.py::test_red[1]"


@pytest.fixture
def site(pytester: pytest.Pytester) -> pytest.Pytester:
    pytester.makepyfile(test_a=TESTS, test_b="def test_b(): pass")
    pytester.makeini("[pytest]\naddopts = -q")
    return pytester


def lists(site: pytest.Pytester, *lines: str) -> None:
    (site.path / NAME).write_text("\n".join(lines), encoding="utf-8")


@pytest.fixture(params=[(), ("-n", "2")], ids=["one-process", "two-processes"])
def workers(request: pytest.FixtureRequest) -> tuple[str, ...]:
    """The options that say in how many processes the inner run plays its tests."""
    options: tuple[str, ...] = request.param
    return options


@pytest.fixture
def run(site: pytest.Pytester, workers: tuple[str, ...]) -> RunTests:
    def run_tests(*args: str) -> pytest.RunResult:
        return site.runpytest("-p", PLUGIN, "-p", "no:cacheprovider", *workers, *args)

    return run_tests


def test_without_the_file_nothing_changes(site: pytest.Pytester, run: RunTests) -> None:
    result = run(RED, "test_b.py")
    result.assert_outcomes(failed=1, passed=1)
    result.stdout.no_fnmatch_line(f"*{NAME}*")


def test_what_is_listed_is_run_and_may_fail_and_is_printed(
    site: pytest.Pytester, workers: tuple[str, ...], run: RunTests
) -> None:
    lists(site, "# a comment", "", f"{RED}; the sum is wrong; #7")
    result = run("-k", "red or green or test_b")
    # The summary of several processes does not count what was deselected.
    result.assert_outcomes(xfailed=1, passed=3, deselected=0 if workers else 4)
    assert result.ret == pytest.ExitCode.OK
    result.stdout.fnmatch_lines_random(
        [f"=*{NAME}*=", "test_a.py::test_red[[]1[]]: xfailed: the sum is wrong (#7)"]
    )


@pytest.mark.parametrize(
    ("listed", "outcomes"),
    [
        ("test_green", {"failed": 1}),
        # The test's own mark would keep it from being run.
        ("test_marked", {"failed": 1}),
        ("test_skipped", {"failed": 1}),
        # Only the call may fail.
        ("test_setup", {"errors": 1}),
        ("test_teardown", {"xfailed": 1, "errors": 1}),
    ],
)
def test_what_passes_is_skipped_or_breaks_elsewhere_fails_the_run(
    site: pytest.Pytester,
    run: RunTests,
    listed: str,
    outcomes: dict[str, int],
) -> None:
    lists(site, f"test_a.py::{listed}; a cause; #7")
    result = run(f"test_a.py::{listed}")
    result.assert_outcomes(**outcomes)
    assert result.ret == pytest.ExitCode.TESTS_FAILED
    kind = "failed" if "failed" in outcomes else "error"
    result.stdout.fnmatch_lines([f"test_a.py::{listed}: {kind}: a cause (#7)"])


@pytest.mark.parametrize(
    ("lines", "what"),
    [
        ([RED], "line 1: must be"),
        (["", f"{RED}; a cause"], "line 2: must be"),
        ([f"{RED}; ; #7"], "line 1: must be"),
        ([f"{RED}; a cause; #7; more"], "line 1: must be"),
        (["test_red; a cause; #7"], "line 1: must be"),
        ([f"{RED}; a cause; #7"] * 2, "line 2: * listed twice"),
        ([f"test_a.py::test_{n}; a cause; #7" for n in range(4)], "line 4: at most 3 tests"),
    ],
)
def test_malformed_lines_and_a_fourth_one_fail_the_run(
    site: pytest.Pytester, run: RunTests, lines: list[str], what: str
) -> None:
    lists(site, *lines)
    result = run("test_b.py")
    assert result.ret == pytest.ExitCode.USAGE_ERROR
    result.stderr.fnmatch_lines([f"*{NAME}, {what}*"])


@pytest.mark.parametrize(
    ("listed", "args", "judged"),
    [
        ("test_a.py::test_gone", [], True),
        ("test_c.py::test_gone", [], True),
        # All of its cases together are no test.
        ("test_a.py::test_red", [], True),
        ("test_a.py::test_gone", ["test_a.py"], True),
        ("test_a.py::test_red[3]", ["test_a.py::test_red"], True),
        # Left out after it was collected, or looked for in vain.
        (RED, ["-k", "test_b"], False),
        (RED, ["--deselect", RED, "-k", "test_b"], False),
        ("test_a.py::test_gone", ["-k", "test_b"], True),
        # Not asked for.
        ("test_a.py::test_gone", ["test_b.py"], False),
        ("test_a.py::test_gone", ["test_a.py::test_green"], False),
        ("test_a.py::test_gone", ["--ignore", "test_a.py"], False),
        ("test_b.py::test_gone", ["--ignore", "test_a.py"], True),
    ],
)
def test_a_name_that_no_test_has_fails_the_run_that_could_collect_it(
    site: pytest.Pytester,
    run: RunTests,
    listed: str,
    args: list[str],
    judged: bool,
) -> None:
    lists(site, f"{listed}; a cause; #7")
    result = run(*args)
    if judged:
        assert result.ret == pytest.ExitCode.USAGE_ERROR
        result.stderr.fnmatch_lines([f"*{NAME}, line 1: no test has the node id*"])
    else:
        result.assert_outcomes(passed=1, deselected=result.parseoutcomes().get("deselected", 0))
        assert result.ret == pytest.ExitCode.OK


def test_a_file_that_cannot_be_imported_says_so_itself(
    site: pytest.Pytester, workers: tuple[str, ...], run: RunTests
) -> None:
    site.makepyfile(test_c="import nothing_of_this_name")
    lists(site, "test_c.py::test_red; a cause; #7")
    result = run()
    # Processes go on with the files that can be imported.
    expected = pytest.ExitCode.TESTS_FAILED if workers else pytest.ExitCode.INTERRUPTED
    assert result.ret == expected
    result.stdout.fnmatch_lines(["*nothing_of_this_name*"])
