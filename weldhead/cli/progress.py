"""How answers are shown: bars on a terminal, lines elsewhere, JSON where it is asked for."""

import sys
from types import TracebackType
from typing import Any

import click
import msgspec

from weldhead.client.answers import Answer, Outcome


class Reporter:
    """Shows one submission's way, or the ends of ``many``."""

    def __init__(self, *, as_json: bool, many: bool = False) -> None:
        self._as_json = as_json
        self._bar: Any = None
        self._task: Any = None
        self._last = ""
        self._quiet = many
        self._console = sys.stderr.isatty() and not as_json and not many

    def __enter__(self) -> "Reporter":
        if self._console:
            try:
                from rich.console import Console
                from rich.progress import Progress
            except ImportError:
                self._console = False
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
        self._stop()

    def _stop(self) -> None:
        if self._bar is not None:
            self._bar.stop()
            self._bar = None

    def show(self, answer: Answer) -> None:
        """Show how far a submission is, if that has changed."""
        text = _text(answer)
        if self._bar is not None:
            if self._task is None:
                self._task = self._bar.add_task(answer.key, total=answer.tasks)
            self._bar.update(self._task, completed=answer.done or 0, description=text)
        elif text != self._last and not answer.final:
            self._line(answer, text)
        self._last = text

    def _line(self, answer: Answer, text: str) -> None:
        if self._as_json:
            click.echo(msgspec.json.encode(answer).decode())
        elif not self._quiet:
            click.echo(text, err=True)

    def close(self, answer: Answer, *, waited: bool) -> None:
        """Show the last that is said about a submission."""
        self._stop()
        if self._as_json:
            click.echo(msgspec.json.encode(answer).decode())
            return
        if answer.outcome is Outcome.REFUSED:
            field = f"{answer.field}: " if answer.field else ""
            click.echo(f"{answer.key}: refused with {answer.status}: {field}{answer.reason}")
            return
        if waited and not answer.final:
            click.echo(f"no final answer in time: {_text(answer)}", err=True)
        click.echo(_text(answer))


def _text(answer: Answer) -> str:
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
        # By how much is not told where nobody knows how long its tasks take.
        text += f" by about {answer.late_by_s:.0f} s" if answer.late_by_s >= 1 else ""
    return text
