"""The command line: each command's module is imported when the command is called."""

import importlib

import click

from weldhead import __version__

#: The module and the name of each command.
COMMANDS = {
    "serve": ("weldhead.cli.serve", "serve"),
    "check": ("weldhead.cli.tunables", "check"),
    "local": ("weldhead.cli.site", "local"),
    "submit": ("weldhead.cli.jobs", "submit"),
    "wait": ("weldhead.cli.jobs", "wait"),
    "status": ("weldhead.cli.jobs", "status"),
    "cancel": ("weldhead.cli.jobs", "cancel"),
    "jobs": ("weldhead.cli.jobs", "jobs"),
    "logs": ("weldhead.cli.logs", "logs"),
}
#: The commands that run a part of a local site; ``weldhead local`` starts them.
HIDDEN_COMMANDS = {
    "site-state": ("weldhead.cli.site", "site_state"),
    "site-pool": ("weldhead.cli.site", "site_pool"),
    "site-front": ("weldhead.cli.site", "site_front"),
    "site-worker": ("weldhead.cli.site", "site_worker"),
}


class LazyGroup(click.Group):
    """A group of commands that imports a command only when it is called."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        """Return the names of the commands for users."""
        return list(COMMANDS)

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        """Import a command; None if there is no command of that name."""
        location = COMMANDS.get(cmd_name) or HIDDEN_COMMANDS.get(cmd_name)
        if location is None:
            return None
        command = getattr(importlib.import_module(location[0]), location[1])
        assert isinstance(command, click.Command)
        return command


@click.group(cls=LazyGroup)
@click.version_option(__version__)
def main() -> None:
    """weldhead, a cluster scheduler."""
