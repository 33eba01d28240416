"""Files that users write (jobs, policies, site descriptions, config) and the command line.

The tests guard against invalid input that is accepted or sent, against errors that do not name the
file, line and field, and against invalid answers of a server that are accepted as valid.
"""

import os
from pathlib import Path

import msgspec
import pytest
from click.testing import CliRunner, Result
from hypothesis import given
from hypothesis import strategies as st

from tests.support.paths import ROOT
from weldhead.cli import COMMANDS, HIDDEN_COMMANDS, main
from weldhead.client.config import ConfigProblem, client_settings, parse_servers
from weldhead.client.decisions import FailedCall, MissingAnswer, RefusedAnswer, StatusAnswer, Step
from weldhead.client.job import SAMPLE_ID, Job, JobProblem, check_job, parse_job
from weldhead.client.policy import Policy, parse_policies
from weldhead.client.transport import interpret_answer
from weldhead.protocol.settings import parse_settings
from weldhead.protocol.wire import MAX_BODY_BYTES
from weldhead.site.description import controller_settings, parse_description, read_description
from weldhead.tomlfiles import FileProblemError, find_line


@pytest.mark.parametrize(
    ("text", "line", "field"),
    [
        ('command = ["x"]\ncpu = 3', 2, "cpu"),
        ('command = ["x"]\n\n# two\ncpus = "two"', 4, "cpus"),
        ('command = ["x"]\ncpus = -1.0', 2, "cpus"),
        ('command = ["x"]\ntasks = 0', 2, "tasks"),
        ('command = [\n  "x",\n  3,\n]', 1, "command[1]"),
        ('command = ["x"]\n[environment]\nA = "1"\nB = 2', 4, "environment.B"),
        ('team = ""\ncommand = ["x"]', 1, "team"),
        ('command = ["x"]\ndirectory = "here"', 2, "directory"),
        ('command = ["x"]\nwaits_on = ["job"]', 2, "waits_on"),
        ('command = ["x"]\nkey = ""', 2, "key"),
        ('command = ["x"]\npriority = "urgent"', 2, "priority"),
        ("command = [\n", 1, ""),
        ("a = 1\na = 2", 2, ""),
    ],
)
def test_invalid_job_file_is_refused_with_line_and_field(text: str, line: int, field: str) -> None:
    with pytest.raises(FileProblemError) as refused:
        parse_job("job.toml", text)
    assert refused.value.field.startswith(field)
    if field:
        assert refused.value.line == line
        assert str(refused.value).startswith(f"job.toml:{line}: {field}")
    else:
        assert "job.toml" in str(refused.value)


def test_job_file_with_key_and_environment_is_parsed() -> None:
    job, key = parse_job(
        "job.toml",
        """
key = "statements-2026-11"
command = ["sh", "-c", "echo"]
tasks = 3
team = "red"
class = "statements"
deadline_s = 600
[environment]
MONTH = "11"
""",
    )
    assert key == "statements-2026-11"
    assert job == Job(
        ("sh", "-c", "echo"),
        tasks=3,
        team="red",
        job_class="statements",
        deadline_s=600.0,
        environment={"MONTH": "11"},
    )
    assert msgspec.json.decode(job.content(), type=Job) == job


@given(st.lists(st.sampled_from(["a = 1", "", "# x", "[t]", 'b = """\nx\n"""', "c = [\n1]"])))
def test_the_line_of_a_value_is_where_its_text_begins(parts: list[str]) -> None:
    text = "\n".join([*dict.fromkeys(parts), "", "[last]", "wanted = 1", "z = 2"])
    line = find_line(text, ["last", "wanted"])
    assert line is not None
    assert text.splitlines()[line - 1] == "wanted = 1"
    assert find_line(text, ["last", "none"]) is None


def test_job_that_server_would_refuse_is_refused_locally() -> None:
    for job, field in (
        (Job(cpus=float("inf")), "cpus"),
        (Job(command=("",)), "command"),
        (Job(command=("a\0",)), "command"),
        (Job(environment={"A=B": ""}), "environment"),
        (Job(command=("x" * MAX_BODY_BYTES,)), "command"),
        (Job(waits_on=tuple(f"run-{n:024}" for n in range(3000))), "job"),
        (Job(zone=""), "zone"),
    ):
        with pytest.raises(JobProblem) as refused:
            check_job(job)
        assert refused.value.field == field
    check_job(Job(command=("true",)))


def test_invalid_policies_are_refused_with_line_and_field() -> None:
    policies = parse_policies(
        "p.toml",
        '[default]\nfail_after = 0\n[class.rendering]\nrepeat = 2\non = ["failed", "withdrawn"]\n',
    )
    assert policies.of("rendering") == Policy(repeat=2, on=("failed", "withdrawn"))
    assert policies.of("other") == Policy(fail_after=0)
    for text, line, field in (
        ("[default]\nrepeat = -1", 2, "default.repeat"),
        ("[class.x]\nrepeat = 1\non = []", 3, "class.x.on"),
        ('[class.x]\non = ["lost"]', 2, "class.x.on"),
        ("[class.x]\npatience_s = 1e9", 2, "class.x.patience_s"),
        ("[classes.x]", 1, "classes"),
    ):
        with pytest.raises(FileProblemError) as refused:
            parse_policies("p.toml", text)
        assert (refused.value.line, refused.value.field[: len(field)]) == (line, field)


def test_shipped_site_description_gives_valid_settings() -> None:
    description = read_description(ROOT / "deploy" / "local.toml")
    all_settings = controller_settings(
        description, ["127.0.0.1:1", "127.0.0.1:2"], ["127.0.0.1:3", "127.0.0.1:4"], "a:1", "b:2"
    )
    for settings in all_settings:
        assert parse_settings(msgspec.json.encode(settings)) == settings
    assert [peer.address for peer in all_settings[0].peers] == ["127.0.0.1:4"]


SITE = """
cores = 4.0
[[machines]]
name = "one"
cpus = 1.0
memory_gb = 2.0
[[teams]]
name = "red"
"""


@pytest.mark.parametrize(
    ("old", "new", "field"),
    [
        ("cpus = 1.0", "cpus = 8.0", "machines[0].cpus"),
        ("cpus = 1.0", "cpus = 0.0", "machines[0].cpus"),
        ("memory_gb = 2.0", "memory = 2.0", "machines[0].memory"),
        ("memory_gb = 2.0", 'memory_gb = 2.0\nzones = ["mars"]', "machines[0].zones"),
        ('name = "red"', 'name = "red"\n[[teams]]\nname = "red"', "teams[1].name"),
        ('name = "red"', 'name = "red"\ncpus = "most"', "teams[0].cpus"),
        ("cores = 4.0", "cores = 0.0", "cores"),
        ("cores = 4.0", "cores = 4.0\nzones = []", "zones"),
        ("cores = 4.0", "cores = 4.0\n[controllers]\ncount = 0", "controllers.count"),
        ("cores = 4.0", "cores = 4.0\n[state]\ntxn_ops = 1", "state.txn_ops"),
        ("cores = 4.0", "cores = 4.0\n[workers]\nlease_s = 0.0", "workers.lease_s"),
        ("cores = 4.0", "cores = 4.0\n[cloud.spot]\nunannounced = 2.0", "cloud.spot.unannounced"),
    ],
)
def test_invalid_site_description_error_names_field(old: str, new: str, field: str) -> None:
    parse_description("site.toml", SITE)
    with pytest.raises(FileProblemError) as refused:
        parse_description("site.toml", SITE.replace(old, new))
    assert refused.value.field == field
    assert refused.value.line is not None


@pytest.mark.parametrize(
    ("step", "status", "body", "meaning"),
    [
        (Step.SUBMIT, 201, b'{"uid":"%s","status":"pending"}', StatusAnswer("pending", fresh=True)),
        (
            Step.SUBMIT,
            200,
            b'{"uid":"%s","status":"running","done":1,"running":2}',
            StatusAnswer("running", done=1, running=2),
        ),
        (
            Step.POLL,
            200,
            b'{"uid":"%s","status":"pending","late":true,"late_by_s":9}',
            StatusAnswer("pending", late_by_s=9.0, late=True),
        ),
        (
            Step.POLL,
            503,
            b'{"error":"down; due by noon"}',
            FailedCall("status 503: down; due by noon"),
        ),
        (Step.SUBMIT, 422, b'{"error":"x","field":"cores"}', RefusedAnswer(422, "x", "cores")),
        (Step.SUBMIT, 400, b"<html>", RefusedAnswer(400, "no reason given")),
        (Step.POLL, 404, b"", MissingAnswer()),
        (Step.CANCEL, 404, b"", MissingAnswer()),
    ],
)
def test_answers_are_classified_by_step_and_status(
    step: Step, status: int, body: bytes, meaning: object
) -> None:
    assert (
        interpret_answer(step, SAMPLE_ID, status, body.replace(b"%s", SAMPLE_ID.encode()))
        == meaning
    )


@given(
    step=st.sampled_from([Step.SUBMIT, Step.POLL, Step.CANCEL]),
    status=st.one_of(st.sampled_from([200, 201, 301, 404, 429, 500, 503]), st.integers(100, 599)),
    body=st.one_of(
        st.binary(max_size=40),
        st.sampled_from(
            [
                b'{"uid":"run-1","status":"done"}',
                b'{"status":"done"}',
                b"[]",
                b'{"uid":"' + SAMPLE_ID.encode() + b'","status":"finished"}',
            ]
        ),
    ),
)
def test_nonsense_is_never_an_answer(step: Step, status: int, body: bytes) -> None:
    reply = interpret_answer(step, SAMPLE_ID, status, body)
    if step is Step.SUBMIT and status in (400, 422):
        assert isinstance(reply, RefusedAnswer)
    elif status == 404 and step is not Step.SUBMIT:
        assert isinstance(reply, MissingAnswer)
    else:
        assert isinstance(reply, FailedCall)


# The command line, as far as no server is needed


def run(tmp_path: Path, *arguments: str, config: str = "") -> Result:
    (tmp_path / "config.toml").write_text(config)
    environment: dict[str, str | None] = {
        "WELDHEAD_CONFIG": str(tmp_path / "config.toml"),
        "WELDHEAD_JOURNAL": str(tmp_path / "journal.db"),
        "WELDHEAD_SERVER": None,
    }
    return CliRunner().invoke(main, list(arguments), env=environment)


def test_every_command_has_help() -> None:
    for command in [*COMMANDS, *HIDDEN_COMMANDS]:
        assert CliRunner().invoke(main, [command, "--help"]).exit_code == 0
    assert CliRunner().invoke(main, ["weld"]).exit_code == 2


def test_server_flag_overrides_environment_and_config_file(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    path = tmp_path / "config.toml"
    path.write_text('server = ["a:1", "b:2"]\npolicies = "p.toml"\n')
    (tmp_path / "p.toml").write_text("[default]\nrepeat = 3\n")
    monkeypatch.setenv("WELDHEAD_CONFIG", str(path))
    monkeypatch.delenv("WELDHEAD_SERVER", raising=False)
    settings = client_settings(None, None, None)
    assert settings.servers == ["a:1", "b:2"]
    assert settings.policies.of("x").repeat == 3
    monkeypatch.setenv("WELDHEAD_SERVER", "c:3,http://d:4/")
    assert client_settings(None, None, None).servers == ["c:3", "d:4"]
    assert client_settings("e:5", None, None).servers == ["e:5"]
    with pytest.raises(ConfigProblem, match="--server"):
        parse_servers("nowhere", "--server")
    path.write_text('serve = "a:1"\n')
    with pytest.raises(FileProblemError, match=r"config\.toml:1: serve"):
        client_settings(None, None, None)
    monkeypatch.delenv("WELDHEAD_SERVER")
    path.write_text("")
    with pytest.raises(ConfigProblem, match="no server"):
        client_settings(None, None, None)


def test_usage_errors_are_reported_without_server(tmp_path: Path) -> None:
    invalid_file = tmp_path / "job.toml"
    invalid_file.write_text('command = ["true"]\ntask = 2\n')
    unreachable_server = ("--server", "127.0.0.1:1")
    for arguments, message in (
        (("submit", str(invalid_file), *unreachable_server), f"{invalid_file}:2: task"),
        (("submit", str(tmp_path / "none.toml"), *unreachable_server), "No such file"),
        (("submit", *unreachable_server), "command"),
        (("submit", "--env", "X", *unreachable_server, "--", "true"), "NAME=VALUE"),
        (("status", "nothing", *unreachable_server), "neither a key"),
        (("wait", "nothing", *unreachable_server), "not in the journal"),
        (("logs", "nothing", *unreachable_server), "JOB/TASK"),
        (("local", "--dir", str(tmp_path), "--description", str(invalid_file)), "command"),
    ):
        result = run(tmp_path, *arguments)
        assert result.exit_code in (1, 2), result.output
        assert message in result.output


def test_damaged_journal_has_its_own_exit_code(tmp_path: Path) -> None:
    (tmp_path / "journal.db").write_bytes(os.urandom(4096))
    result = run(tmp_path, "jobs")
    assert result.exit_code == 5
    assert "nothing was sent" in result.output


def test_unanswered_submission_exits_4_and_stays_in_journal(tmp_path: Path) -> None:
    file = tmp_path / "job.toml"
    file.write_text('key = "k"\ncommand = ["true"]\n')
    result = run(tmp_path, "submit", str(file), "--server", "127.0.0.1:1", "--timeout", "0.3")
    assert result.exit_code == 4
    assert "not sent yet" in result.output
    listed = run(tmp_path, "jobs", "--json")
    assert msgspec.json.decode(listed.output)["key"] == "k"
    cancelled = run(tmp_path, "cancel", "k", "--server", "127.0.0.1:1", "--json")
    assert cancelled.exit_code == 0
    assert msgspec.json.decode(cancelled.output)["outcome"] == "withdrawn"
    assert run(tmp_path, "jobs").output == ""
    assert "withdrawn" in run(tmp_path, "jobs", "--all").output
