"""The command line: one module a group of verbs, imported when one of them is called."""

import importlib

import click

from weldhead import __version__

#: Where each verb is: module and name.
VERBS = {
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
#: Parts of a site, which its keeper starts.
HIDDEN = {
    "site-state": ("weldhead.cli.site", "site_state"),
    "site-pool": ("weldhead.cli.site", "site_pool"),
    "site-front": ("weldhead.cli.site", "site_front"),
    "site-worker": ("weldhead.cli.site", "site_worker"),
}


class LazyGroup(click.Group):
    """A group whose verbs are imported only when they are asked for."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        """Name the verbs that people use."""
        return list(VERBS)

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        """Import a verb."""
        place = VERBS.get(cmd_name) or HIDDEN.get(cmd_name)
        if place is None:
            return None
        command = getattr(importlib.import_module(place[0]), place[1])
        assert isinstance(command, click.Command)
        return command


@click.group(cls=LazyGroup)
@click.version_option(__version__)
def main() -> None:
    """weldhead, a cluster scheduler."""
