"""Loads the configuration from the BALANCER_* environment variables and the JSON file that they name.

Everything is checked before the program starts to serve.
"""

import json
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from heathway import api
from heathway.settings import ReportReader, read_settings
from ironbarrow.runtime.sockets import Address, parse_address

_MS = 1_000_000
_DEFAULT_DESCRIPTORS = 1024
_DEFAULT_MEMORY_MB = 192
_MIN_DESCRIPTORS = 64
_ADMIN_DESCRIPTORS = 32  # needed in addition for an operators' address


class ConfigError(Exception):
    """A configuration that the program cannot run with. The message names the key and what is wrong."""


@dataclass(frozen=True, slots=True)
class Config:
    """A checked configuration. Times are in ns."""

    name: str
    listen: Address
    discovery: Address
    seed: int
    settings: api.Settings
    reports: ReportReader
    known: dict[str, Any]  # the last worker list of this dispatcher, in the discovery service's format
    sockets: int = _DEFAULT_DESCRIPTORS
    memory_mb: int = _DEFAULT_MEMORY_MB
    connect_timeout: int = 250 * _MS
    routes: Path | None = None  # the operators' file of routes and limits
    idle_limit: int = 15_000 * _MS  # workers close connections that have been idle for this time
    admin: Address | None = None  # listening address for operators
    folder: Path | None = None  # for files that outlive this process: TMPDIR
    fleet: Path | None = None  # the fleet file; None: this dispatcher is not in a fleet
    traced: bool = False  # every event and action of the decisions is logged


def load(environment: Mapping[str, str], *, prefer_file: bool = False) -> Config:
    """Reads the environment and the file that BALANCER_CONFIG names. Raises a ConfigError.

    ``prefer_file``: where both give a value, the file's counts. For a reload, when the file is newer than the
    environment, which is that of the start.
    """
    path = environment.get("BALANCER_CONFIG")
    if not path:
        raise ConfigError("BALANCER_CONFIG is not set")
    try:
        raw = json.loads(Path(path).read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError) as error:
        raise ConfigError(f"{path}: cannot be read: {error}") from None
    except (ValueError, RecursionError) as error:
        raise ConfigError(f"{path}: not valid JSON: {error}") from None
    if not isinstance(raw, dict):
        raise ConfigError(f"{path}: expected a JSON object")
    try:
        return _config(raw, _Sources(raw, environment, prefer_file))
    except (ValueError, TypeError, OverflowError) as error:
        raise ConfigError(f"{path}: {error}") from None


@dataclass(frozen=True, slots=True)
class _Sources:
    """The values that both the file and the environment may give."""

    raw: dict[str, Any]
    environment: Mapping[str, str]
    prefer_file: bool

    def optional_text(self, name: str) -> str | None:
        """The value, or None if neither source gives one; an empty string counts as absent."""
        value = self.raw.get(name)
        if value is not None and not isinstance(value, str):
            raise ValueError(f"{name}: expected a string, got {str(value)[:40]!r}")
        candidates = (self.environment.get(f"BALANCER_{name.upper()}"), value)
        return next((v for v in (reversed(candidates) if self.prefer_file else candidates) if v), None)

    def required_text(self, name: str) -> str:
        value = self.optional_text(name)
        if value is None:
            raise ValueError(f"{name}: missing, and BALANCER_{name.upper()} is not set")
        return value

    def path(self, name: str) -> Path | None:
        """The path of an optional file, or None."""
        value = self.optional_text(name)
        return None if value is None else Path(value)

    def flag(self, variable: str) -> bool:
        value = self.environment.get(variable, "")
        if value not in ("", "0", "1"):
            raise ValueError(f"{variable}: expected 0 or 1, got {value[:40]!r}")
        return value == "1"

    def address(self, name: str, least_port: int = 1) -> Address:
        try:
            return parse_address(self.required_text(name), least_port)
        except ValueError as error:
            raise ValueError(f"{name}: {error}") from None


def _config(raw: dict[str, Any], sources: _Sources) -> Config:
    raw_settings = _object(raw, "settings")
    limits = _object(raw, "limits")
    known = _object(raw, "known")
    if known and not isinstance(known.get("endpoints"), list):
        raise ValueError("known: expected an object with a list of endpoints")
    settings = read_settings(raw_settings)  # its errors name the key
    connection_limits = _object(raw_settings, "limits")
    admin = sources.address("admin", least_port=0) if sources.optional_text("admin") else None
    sockets = _number(limits, "limits", "sockets", _DEFAULT_DESCRIPTORS)
    # with fewer, the program itself would use all of them and could not accept any connection
    minimum = _MIN_DESCRIPTORS + (_ADMIN_DESCRIPTORS if admin is not None else 0)
    if sockets < minimum:
        raise ValueError(f"limits.sockets: {sockets} is too few; at least {minimum} are needed")
    return Config(
        name=sources.required_text("name"),
        listen=sources.address("listen", least_port=0),  # port 0: any free port
        discovery=sources.address("discovery"),
        seed=_seed(raw.get("seed", 0)),
        settings=settings,
        reports=ReportReader(raw_settings),
        known=known,
        sockets=sockets,
        memory_mb=_number(limits, "limits", "memory_mb", _DEFAULT_MEMORY_MB),
        routes=sources.path("routes"),
        fleet=sources.path("fleet"),
        admin=admin,
        folder=Path(folder) if (folder := sources.environment.get("TMPDIR")) else None,
        traced=sources.flag("BALANCER_TRACE"),
        connect_timeout=_number(connection_limits, "settings.limits", "connectTimeout", 250 * _MS),
        idle_limit=_number(connection_limits, "settings.limits", "connIdle", 15_000 * _MS),
    )


def _object(raw: dict[str, Any], name: str) -> dict[str, Any]:
    value = raw.get(name)
    if value is not None and not isinstance(value, dict):
        raise ValueError(f"{name}: expected an object, got {str(value)[:40]!r}")
    return value or {}


def _number(raw: dict[str, Any], section: str, name: str, default: int) -> int:
    value = raw.get(name)
    if value is None:
        return default
    if isinstance(value, bool) or not isinstance(value, int | float) or not 1 <= value < 1e15:
        raise ValueError(f"{section}.{name}: expected a number from 1 to 1e15, got {str(value)[:40]!r}")
    return int(value)


def _seed(value: Any) -> int:
    if isinstance(value, int) and not isinstance(value, bool):
        return value
    try:
        return int(value, 16)
    except (TypeError, ValueError):
        raise ValueError(
            f"seed: expected an integer or a hexadecimal string, got {str(value)[:40]!r}"
        ) from None
