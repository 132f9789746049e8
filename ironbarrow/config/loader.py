"""What the program is told at its start: BALANCER_* and the JSON file, checked before anything runs."""

import json
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from heathway import api
from heathway.settings import ReportReader, read_settings
from ironbarrow.runtime.sockets import Address, parse_address

_MS = 1_000_000
_DESCRIPTORS = 1024  # where no limit is given
_MEMORY_MB = 192  # likewise
_LEAST_DESCRIPTORS = 64
_DOOR_DESCRIPTORS = 32  # what an operators' address needs beside them


class ConfigError(Exception):
    """A configuration that the program cannot run with; the text names what is wrong."""


@dataclass(frozen=True, slots=True)
class Config:
    """A checked configuration."""

    name: str
    listen: Address
    discovery: Address
    seed: int
    settings: api.Settings
    reports: ReportReader
    known: dict[str, Any]  # the list as this dispatcher had it last, in the discovery service's form
    sockets: int = _DESCRIPTORS
    memory_mb: int = _MEMORY_MB
    connect_timeout: int = 250 * _MS
    routes: Path | None = None  # an operators' file of routes and limits
    idle_limit: int = 15_000 * _MS  # a worker closes a connection that was idle for so long
    admin: Address | None = None  # the operators' own address
    folder: Path | None = None  # for what is to outlast this process: TMPDIR
    fleet: Path | None = None  # the fleet file; None: this dispatcher shares nothing with others
    traced: bool = False  # each event and action of the decisions is logged


def load(environment: Mapping[str, str], *, prefer_file: bool = False) -> Config:
    """Reads the environment and the file it names.

    ``prefer_file``: the file is newer than the environment, which the program was started with, and so
    its own words for name and addresses come first.
    """
    path = environment.get("BALANCER_CONFIG")
    if not path:
        raise ConfigError("BALANCER_CONFIG is not set")
    try:
        raw = json.loads(Path(path).read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError) as error:
        raise ConfigError(f"{path}: cannot be read: {error}") from None
    except (ValueError, RecursionError) as error:
        raise ConfigError(f"{path}: not JSON: {error}") from None
    if not isinstance(raw, dict):
        raise ConfigError(f"{path}: not an object")
    try:
        return _config(raw, _Texts(raw, environment, prefer_file))
    except (ValueError, TypeError, OverflowError) as error:
        raise ConfigError(f"{path}: {error}") from None


@dataclass(frozen=True, slots=True)
class _Texts:
    """What both the file and the environment may tell."""

    raw: dict[str, Any]
    environment: Mapping[str, str]
    file_first: bool

    def told(self, name: str) -> str | None:
        """What is told, or None; an empty text is nothing."""
        value = self.raw.get(name)
        if value is not None and not isinstance(value, str):
            raise ValueError(f"{name}: expected a text, got {str(value)[:40]!r}")
        told = (self.environment.get(f"BALANCER_{name.upper()}"), value)
        return next((v for v in (reversed(told) if self.file_first else told) if v), None)

    def text(self, name: str) -> str:
        value = self.told(name)
        if value is None:
            raise ValueError(f"{name}: missing, and BALANCER_{name.upper()} is not set")
        return value

    def path(self, name: str) -> Path | None:
        """A file's path, or None: nobody has to have one."""
        value = self.told(name)
        return None if value is None else Path(value)

    def switch(self, variable: str) -> bool:
        value = self.environment.get(variable, "")
        if value not in ("", "0", "1"):
            raise ValueError(f"{variable}: neither 0 nor 1: {value[:40]!r}")
        return value == "1"

    def address(self, name: str, least_port: int = 1) -> Address:
        try:
            return parse_address(self.text(name), least_port)
        except ValueError as error:
            raise ValueError(f"{name}: {error}") from None


def _config(raw: dict[str, Any], texts: _Texts) -> Config:
    conf = _object(raw, "settings")
    limits = _object(raw, "limits")
    known = _object(raw, "known")
    if known and not isinstance(known.get("endpoints"), list):
        raise ValueError("known: no object with endpoints")
    settings = read_settings(conf)  # whose errors name the key
    rules = _object(conf, "limits")
    admin = texts.address("admin", least_port=0) if texts.told("admin") else None
    sockets = _number(limits, "limits", "sockets", _DESCRIPTORS)
    # danger: with all of them taken by the program itself, it would run and take no connection
    least = _LEAST_DESCRIPTORS + (_DOOR_DESCRIPTORS if admin is not None else 0)
    if sockets < least:
        raise ValueError(f"limits.sockets: {sockets} is too few; {least} are needed")
    return Config(
        name=texts.text("name"),
        listen=texts.address("listen", least_port=0),  # 0: any free one
        discovery=texts.address("discovery"),
        seed=_seed(raw.get("seed", 0)),
        settings=settings,
        reports=ReportReader(conf),
        known=known,
        sockets=sockets,
        memory_mb=_number(limits, "limits", "memory_mb", _MEMORY_MB),
        routes=texts.path("routes"),
        fleet=texts.path("fleet"),
        admin=admin,
        folder=Path(folder) if (folder := texts.environment.get("TMPDIR")) else None,
        traced=texts.switch("BALANCER_TRACE"),
        connect_timeout=_number(rules, "settings.limits", "connectTimeout", 250 * _MS),
        idle_limit=_number(rules, "settings.limits", "connIdle", 15_000 * _MS),
    )


def _object(raw: dict[str, Any], name: str) -> dict[str, Any]:
    value = raw.get(name)
    if value is not None and not isinstance(value, dict):
        raise ValueError(f"{name}: not an object: {str(value)[:40]!r}")
    return value or {}


def _number(raw: dict[str, Any], place: str, name: str, default: int) -> int:
    value = raw.get(name)
    if value is None:
        return default
    if isinstance(value, bool) or not isinstance(value, int | float) or not 1 <= value < 1e15:
        raise ValueError(f"{place}.{name}: not a number from 1 to 1e15: {str(value)[:40]!r}")
    return int(value)


def _seed(value: Any) -> int:
    if isinstance(value, int) and not isinstance(value, bool):
        return value
    try:
        return int(value, 16)
    except (TypeError, ValueError):
        raise ValueError(f"seed: neither a number nor hexadecimal: {str(value)[:40]!r}") from None
