"""The file format of experiments, and the cells that an experiment expands to."""

import copy
import itertools
import json
import shutil
import subprocess
from dataclasses import dataclass
from hashlib import blake2b
from pathlib import Path
from typing import Annotated, Any, Literal

import msgspec
from msgspec import Meta

from ironbarrow.lab.model.spec import (
    Table,
    World,
    WorldError,
    convert,
    current_path,
    read_toml,
    to_plain_data,
    with_current_names,
)

ROOT = Path(__file__).resolve().parents[3]
_MAX_CELLS = 100_000
# hashed into a cell's id, so that results of other code are not reused
_SOURCES = ("heathway", "ironbarrow/core", "ironbarrow/runtime", "ironbarrow/lab")
_LIVE_SOURCES = ("heathway", "ironbarrow", "ironbarrow/lab")


class Variant(Table, frozen=True):
    """One way to run each cell: with another version of heathway, or with other settings of the world."""

    name: str
    revision: str = ""  # git revision to take heathway from
    module: str = ""  # path of a file that replaces heathway/logic.py
    set: dict[str, Any] = msgspec.field(default_factory=dict)  # values by dotted path in the world


class Experiment(Table, frozen=True):
    """A parameter sweep. Axes name keys of the world by dotted path, such as "arrivals.load"."""

    name: str
    world: str  # path of the world, relative to this file
    seeds: Annotated[list[int], Meta(min_length=1)] | Annotated[int, Meta(ge=1)] = 4  # a number n: 1 to n
    mode: Literal["simulated", "live"] = "simulated"
    axes: dict[str, Annotated[list[Any], Meta(min_length=1)]] = msgspec.field(default_factory=dict)
    variants: Annotated[list[Variant], Meta(min_length=1)] = msgspec.field(
        default_factory=lambda: [Variant(name="present")]
    )


@dataclass(frozen=True, slots=True)
class Cell:
    """One run of an experiment: its world as plain data, its seed, and its place in the sweep."""

    id: str  # hash of everything that the result depends on
    variant: str
    axes: dict[str, Any]
    seed: int
    mode: str
    world: dict[str, Any]


@dataclass(frozen=True, slots=True)
class Plan:
    """A validated experiment and its cells."""

    experiment: Experiment
    path: Path
    cells: list[Cell]
    packages: dict[str, Path]  # by variant: the folder that contains its heathway


def load_plan(path: Path, scratch: Path, *, fleet: bool = False) -> Plan:
    """Reads and validates an experiment; raises a WorldError that names the invalid key.

    ``scratch``: folder for the code of variants with another revision or module. ``fleet``: the dispatchers
    of every cell form a fleet, with default settings unless the world has a fleet.
    """
    experiment = convert(read_toml(path), Experiment, str(path))
    names = [variant.name for variant in experiment.variants]
    if len(set(names)) != len(names):
        raise WorldError(f"{path}: `variants`: expected unique names, got {names}")
    world_path = path.parent / experiment.world
    base = with_current_names(read_toml(world_path), str(world_path))
    live = experiment.mode == "live"
    if fleet and not live:
        raise WorldError(f"{path}: `mode`: expected 'live' with --fleet, got {experiment.mode!r}")
    if fleet:
        _set_by_path(base, "dispatchers.fleet", base.get("dispatchers", {}).get("fleet", {}), str(path))
    scratch = scratch.resolve()
    packages = {v.name: _prepare_package(v, path, scratch, live=live) for v in experiment.variants}
    seeds = experiment.seeds if isinstance(experiment.seeds, list) else list(range(1, experiment.seeds + 1))
    values = list(experiment.axes.values())
    cell_count = len(seeds) * len(names)
    for axis in values:
        cell_count *= len(axis)
    if cell_count > _MAX_CELLS:
        raise WorldError(f"{path}: {cell_count} cells; expected at most {_MAX_CELLS}")
    cells = []
    for variant in experiment.variants:
        sources = _hash_sources(packages[variant.name], _LIVE_SOURCES if live else _SOURCES)
        for point in itertools.product(*values):
            axes = dict(zip(experiment.axes, point, strict=True))
            raw = copy.deepcopy(base)
            for key, value in (*variant.set.items(), *axes.items()):
                _set_by_path(raw, key, value, str(path))
            where = f"{path}: variant {variant.name!r}, {axes or 'no axes'}: {world_path.name}"
            world = to_plain_data(convert(raw, World, where))
            for seed in seeds:
                identity = json.dumps([world, seed, experiment.mode, sources], sort_keys=True)
                name = blake2b(identity.encode(), digest_size=10).hexdigest()
                cells.append(Cell(name, variant.name, axes, seed, experiment.mode, world))
    return Plan(experiment, path, cells, packages)


def _set_by_path(raw: dict[str, Any], key: str, value: Any, path: str) -> None:
    """Sets a value by its dotted path; an entry of a list is selected by its name."""
    *parents, last = current_path(key).split(".")
    node: Any = raw
    for part in parents:
        if isinstance(node, list):
            node = next((entry for entry in node if entry.get("name") == part), None)
        elif isinstance(node, dict):
            node = node.setdefault(part, {})
        else:
            node = None
        if node is None:
            raise WorldError(f"{path}: {key!r}: {part!r} not found")
    if not isinstance(node, dict):
        raise WorldError(f"{path}: {key!r}: expected a key of a table")
    node[last] = value


def _prepare_package(variant: Variant, path: Path, scratch: Path, *, live: bool) -> Path:
    """Prepares a variant's code and returns its folder.

    heathway is imported from there; in live mode, the whole program is started there.
    """
    packages_needed = ["heathway", "ironbarrow"] if live else ["heathway"]
    where = f"{path}: variant {variant.name!r}"
    if variant.revision and variant.module:
        raise WorldError(f"{where}: expected either revision or module, not both")
    if variant.revision:
        resolved = subprocess.run(
            ["git", "rev-parse", "--verify", "--quiet", variant.revision + "^{commit}"],
            cwd=ROOT,
            capture_output=True,
            text=True,
            check=False,
        )
        if resolved.returncode:
            raise WorldError(f"{where}: revision: expected a git revision, got {variant.revision!r}")
        target = scratch / f"{resolved.stdout.strip()[:16]}{'-live' if live else ''}"
        if not (target / "heathway").exists():
            target.mkdir(parents=True, exist_ok=True)
            archive = subprocess.run(
                ["git", "archive", resolved.stdout.strip(), *packages_needed],
                cwd=ROOT,
                capture_output=True,
                check=True,
            )
            subprocess.run(["tar", "-x", "-C", str(target)], input=archive.stdout, check=True)
        return target
    if variant.module:
        module = path.parent / variant.module
        try:
            text = module.read_bytes()
        except OSError as error:
            raise WorldError(f"{where}: module: {module}: {error.strerror}") from None
        target = scratch / f"{blake2b(text, digest_size=8).hexdigest()}{'-live' if live else ''}"
        for package in packages_needed:
            shutil.copytree(
                ROOT / package,
                target / package,
                dirs_exist_ok=True,
                ignore=shutil.ignore_patterns("__pycache__"),
            )
        (target / "heathway" / "logic.py").write_bytes(text)
        return target
    return ROOT


def _hash_sources(package: Path, folders: tuple[str, ...]) -> str:
    digest = blake2b(digest_size=10)
    for folder in folders:
        base = package if folder in ("heathway", "ironbarrow") else ROOT
        for source in sorted((base / folder).rglob("*.py")):
            digest.update(source.name.encode() + b"\0" + source.read_bytes() + b"\0")
    return digest.hexdigest()
