"""Resolves a client's settings from flags, the environment and the config file.

A flag overrides an environment variable, and that overrides the config file.
"""

import os
from pathlib import Path
from typing import Any

import msgspec

from weldhead.client.client import ClientSettings
from weldhead.client.policy import Policies, read_policies
from weldhead.protocol.settings import split_address
from weldhead.tomlfiles import read_toml


class ConfigFile(msgspec.Struct, forbid_unknown_fields=True):
    """The contents of the config file: server addresses, paths, and default fields of jobs."""

    server: str | list[str] | None = None
    journal: str | None = None
    policies: str | None = None
    defaults: dict[str, Any] = {}


class ConfigProblem(Exception):
    """The configuration names no server, or a server address is invalid."""


def config_path() -> Path:
    """Return the path of the config file, which need not exist."""
    named = os.environ.get("WELDHEAD_CONFIG")
    if named:
        return Path(named)
    base = os.environ.get("XDG_CONFIG_HOME") or "~/.config"
    return Path(base).expanduser() / "weldhead" / "config.toml"


def read_config() -> ConfigFile:
    """Read the config file.

    A missing file is an error if ``WELDHEAD_CONFIG`` names it; otherwise all settings keep their
    defaults.
    """
    path = config_path()
    if not path.exists() and not os.environ.get("WELDHEAD_CONFIG"):
        return ConfigFile()
    return read_toml(path, ConfigFile)


def parse_servers(text: str | list[str], source: str) -> list[str]:
    """Split a text of addresses at commas, and check each address; ``source`` names its origin."""
    parts = text.split(",") if isinstance(text, str) else text
    addresses = [part.strip().removeprefix("http://").rstrip("/") for part in parts]
    for address in addresses:
        try:
            split_address(address)
        except ValueError as error:
            raise ConfigProblem(f"{source}: {error}") from error
    return addresses


def client_settings(
    server: str | None, journal: Path | None, policies: Path | None
) -> ClientSettings:
    """Return a client's settings from flags, environment and config file.

    Raises ConfigProblem if no server is configured or an address is invalid, and FileProblemError
    if a file cannot be read or decoded.
    """
    config = read_config()
    if server:
        servers = parse_servers(server, "--server")
    elif named := os.environ.get("WELDHEAD_SERVER"):
        servers = parse_servers(named, "WELDHEAD_SERVER")
    elif config.server:
        servers = parse_servers(config.server, str(config_path()))
    else:
        raise ConfigProblem(
            f"no server: give --server, set WELDHEAD_SERVER, or write it in {config_path()}"
        )
    rules = Policies()
    if policies is not None:
        rules = read_policies(policies)
    elif config.policies is not None:
        rules = read_policies(config_path().parent / Path(config.policies).expanduser())
    return ClientSettings(servers, journal or journal_path(config), rules)


def journal_path(config: ConfigFile) -> Path:
    """Return the journal's path from the environment, the config file or the default."""
    named = os.environ.get("WELDHEAD_JOURNAL") or config.journal
    if named:
        return Path(named).expanduser()
    base = os.environ.get("XDG_STATE_HOME") or "~/.local/state"
    return Path(base).expanduser() / "weldhead" / "journal.db"
