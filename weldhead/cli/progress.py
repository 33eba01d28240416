"""Shows answers: a progress bar on a terminal, lines of text elsewhere, or JSON if requested."""

import sys
from types import TracebackType
from typing import Any

import click
import msgspec

from weldhead.client.answers import Answer, Outcome


class Reporter:
    """Shows the progress of a submission, or only the final answers of ``many`` submissions."""

    def __init__(self, *, as_json: bool, many: bool = False) -> None:
        self._as_json = as_json
        self._bar: Any = None
        self._bar_task: Any = None
        self._last_text = ""
        self._suppress_lines = many
        self._use_bar = sys.stderr.isatty() and not as_json and not many

    def __enter__(self) -> "Reporter":
        if self._use_bar:
            try:
                from rich.console import Console
                from rich.progress import Progress
            except ImportError:
                self._use_bar = False
            else:
                self._bar = Progress(console=Console(stderr=True), transient=True)
                self._bar.start()
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self._stop_bar()

    def _stop_bar(self) -> None:
        if self._bar is not None:
            self._bar.stop()
            self._bar = None

    def show(self, answer: Answer) -> None:
        """Show a submission's state, if its text has changed."""
        text = _format_answer(answer)
        if self._bar is not None:
            if self._bar_task is None:
                self._bar_task = self._bar.add_task(answer.key, total=answer.tasks)
            self._bar.update(self._bar_task, completed=answer.done or 0, description=text)
        elif text != self._last_text and not answer.final:
            self._print(answer, text)
        self._last_text = text

    def _print(self, answer: Answer, text: str) -> None:
        if self._as_json:
            click.echo(msgspec.json.encode(answer).decode())
        elif not self._suppress_lines:
            click.echo(text, err=True)

    def close(self, answer: Answer, *, waited: bool) -> None:
        """Show the last answer about a submission; ``waited``: the command waited for the end."""
        self._stop_bar()
        if self._as_json:
            click.echo(msgspec.json.encode(answer).decode())
            return
        if answer.outcome is Outcome.REFUSED:
            field = f"{answer.field}: " if answer.field else ""
            click.echo(f"{answer.key}: refused with {answer.status}: {field}{answer.reason}")
            return
        if waited and not answer.final:
            click.echo(f"no final answer in time: {_format_answer(answer)}", err=True)
        click.echo(_format_answer(answer))


def _format_answer(answer: Answer) -> str:
    name = answer.key if answer.key == answer.id else f"{answer.key} ({answer.id})"
    text = f"{name}: {answer.known}"
    if answer.final:
        return text
    if answer.held_by is not None:
        text += f"; held by gate {answer.held_by}"
    if answer.due_at is not None:
        text += f"; due by {answer.due_at}"
        if answer.late_by_s is None:
            text += ", on track" if answer.late is False else ", not known whether in time"
    if answer.late_by_s is not None:
        text += "; it will be late"
        # While the run time of the job's tasks is unknown, the delay is below 1 s and not shown.
        text += f" by about {answer.late_by_s:.0f} s" if answer.late_by_s >= 1 else ""
    return text
