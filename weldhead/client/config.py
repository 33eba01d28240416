"""Where a client's settings come from: flags, then the environment, then the config file."""

import os
from pathlib import Path
from typing import Any

import msgspec

from weldhead.client.client import ClientSettings
from weldhead.client.policy import Policies, read_policies
from weldhead.protocol.settings import split_address
from weldhead.tomlfiles import read_toml


class ConfigFile(msgspec.Struct, forbid_unknown_fields=True):
    """The config file: addresses, paths, and defaults for the jobs that are submitted."""

    server: str | list[str] | None = None
    journal: str | None = None
    policies: str | None = None
    defaults: dict[str, Any] = {}


class ConfigProblem(Exception):
    """There is no usable configuration."""


def config_path() -> Path:
    """Return where the config file is looked for."""
    named = os.environ.get("WELDHEAD_CONFIG")
    if named:
        return Path(named)
    base = os.environ.get("XDG_CONFIG_HOME") or "~/.config"
    return Path(base).expanduser() / "weldhead" / "config.toml"


def read_config() -> ConfigFile:
    """Read the config file; one that was named must be there."""
    path = config_path()
    if not path.exists() and not os.environ.get("WELDHEAD_CONFIG"):
        return ConfigFile()
    return read_toml(path, ConfigFile)


def servers_of(text: str | list[str], source: str) -> list[str]:
    """Split addresses at commas, and check them."""
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
    """Put a client's settings together; ConfigProblem or FileProblem if that fails."""
    config = read_config()
    if server:
        servers = servers_of(server, "--server")
    elif named := os.environ.get("WELDHEAD_SERVER"):
        servers = servers_of(named, "WELDHEAD_SERVER")
    elif config.server:
        servers = servers_of(config.server, str(config_path()))
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
    """Return where the journal is, if no flag says so."""
    named = os.environ.get("WELDHEAD_JOURNAL") or config.journal
    if named:
        return Path(named).expanduser()
    base = os.environ.get("XDG_STATE_HOME") or "~/.local/state"
    return Path(base).expanduser() / "weldhead" / "journal.db"
