"""An experiment's file, and the cells that it comes to."""

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
_MOST_CELLS = 100_000
# what a simulated cell's result depends on besides its own words
_SOURCES = ("heathway", "ironbarrow/core", "ironbarrow/runtime", "ironbarrow/lab")
_LIVE_SOURCES = ("heathway", "ironbarrow", "ironbarrow/lab")


class Variant(Table, frozen=True):
    """One way to run each cell: other decisions (a git revision or a module's path) or other settings."""

    name: str
    revision: str = ""  # git: the package heathway as it was there
    module: str = ""  # a file to take in place of heathway/logic.py
    set: dict[str, Any] = msgspec.field(default_factory=dict)  # keys of the world, with dots


class Experiment(Table, frozen=True):
    """A sweep. Axes and ``set`` name keys of the world by path, such as "arrivals.load"."""

    name: str
    world: str  # a file beside this one
    seeds: Annotated[list[int], Meta(min_length=1)] | Annotated[int, Meta(ge=1)] = 4  # a number: 1 to that
    mode: Literal["simulated", "live"] = "simulated"
    axes: dict[str, Annotated[list[Any], Meta(min_length=1)]] = msgspec.field(default_factory=dict)
    variants: Annotated[list[Variant], Meta(min_length=1)] = msgspec.field(
        default_factory=lambda: [Variant(name="present")]
    )


@dataclass(frozen=True, slots=True)
class Cell:
    """One run to make: its world in plain form, its seed, and what tells it apart."""

    id: str  # a hash of all that its result depends on
    variant: str
    axes: dict[str, Any]
    seed: int
    mode: str
    world: dict[str, Any]


@dataclass(frozen=True, slots=True)
class Plan:
    """An experiment, checked whole."""

    experiment: Experiment
    path: Path
    cells: list[Cell]
    packages: dict[str, Path]  # by variant: the folder that holds its heathway


def load_plan(path: Path, scratch: Path, *, fleet: bool = False) -> Plan:
    """Reads and checks an experiment before anything runs; a WorldError names what is wrong.

    ``scratch`` takes the packages of variants that are not this revision's. ``fleet``: the dispatchers share
    one in every cell, by its defaults where the world does not say.
    """
    experiment = convert(read_toml(path), Experiment, str(path))
    names = [variant.name for variant in experiment.variants]
    if len(set(names)) != len(names):
        raise WorldError(f"{path}: `variants`: expected names that differ, got {names}")
    world_path = path.parent / experiment.world
    base = with_current_names(read_toml(world_path), str(world_path))
    live = experiment.mode == "live"
    if fleet and not live:
        raise WorldError(f"{path}: `mode`: expected 'live' with --fleet, got {experiment.mode!r}")
    if fleet:
        _set(base, "dispatchers.fleet", base.get("dispatchers", {}).get("fleet", {}), str(path))
    scratch = scratch.resolve()
    packages = {v.name: _package(v, path, scratch, live=live) for v in experiment.variants}
    seeds = experiment.seeds if isinstance(experiment.seeds, list) else list(range(1, experiment.seeds + 1))
    values = list(experiment.axes.values())
    number = len(seeds) * len(names)
    for axis in values:
        number *= len(axis)
    if number > _MOST_CELLS:
        raise WorldError(f"{path}: {number} cells; expected at most {_MOST_CELLS}")
    cells = []
    for variant in experiment.variants:
        sources = _sources_hash(packages[variant.name], _LIVE_SOURCES if live else _SOURCES)
        for point in itertools.product(*values):
            axes = dict(zip(experiment.axes, point, strict=True))
            raw = copy.deepcopy(base)
            for key, value in (*variant.set.items(), *axes.items()):
                _set(raw, key, value, str(path))
            where = f"{path}: variant {variant.name!r}, {axes or 'no axes'}: {world_path.name}"
            world = to_plain_data(convert(raw, World, where))
            for seed in seeds:
                words = json.dumps([world, seed, experiment.mode, sources], sort_keys=True)
                name = blake2b(words.encode(), digest_size=10).hexdigest()
                cells.append(Cell(name, variant.name, axes, seed, experiment.mode, world))
    return Plan(experiment, path, cells, packages)


def _set(raw: dict[str, Any], key: str, value: Any, path: str) -> None:
    """Sets a key by its path; a part that is a list is searched by its entries' names."""
    *way, last = current_path(key).split(".")
    place: Any = raw
    for part in way:
        if isinstance(place, list):
            place = next((entry for entry in place if entry.get("name") == part), None)
        elif isinstance(place, dict):
            place = place.setdefault(part, {})
        else:
            place = None
        if place is None:
            raise WorldError(f"{path}: {key!r}: {part!r} is not there")
    if not isinstance(place, dict):
        raise WorldError(f"{path}: {key!r}: expected a key of a table")
    place[last] = value


def _package(variant: Variant, path: Path, scratch: Path, *, live: bool) -> Path:
    """The folder to import heathway from; in live mode, to start the whole program in."""
    wanted = ["heathway", "ironbarrow"] if live else ["heathway"]
    place = f"{path}: variant {variant.name!r}"
    if variant.revision and variant.module:
        raise WorldError(f"{place}: expected revision or module, not both")
    if variant.revision:
        found = subprocess.run(
            ["git", "rev-parse", "--verify", "--quiet", variant.revision + "^{commit}"],
            cwd=ROOT,
            capture_output=True,
            text=True,
            check=False,
        )
        if found.returncode:
            raise WorldError(f"{place}: revision: expected one that git knows, got {variant.revision!r}")
        target = scratch / f"{found.stdout.strip()[:16]}{'-live' if live else ''}"
        if not (target / "heathway").exists():
            target.mkdir(parents=True, exist_ok=True)
            archive = subprocess.run(
                ["git", "archive", found.stdout.strip(), *wanted],
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
            raise WorldError(f"{place}: module: {module}: {error.strerror}") from None
        target = scratch / f"{blake2b(text, digest_size=8).hexdigest()}{'-live' if live else ''}"
        for package in wanted:
            shutil.copytree(
                ROOT / package,
                target / package,
                dirs_exist_ok=True,
                ignore=shutil.ignore_patterns("__pycache__"),
            )
        (target / "heathway" / "logic.py").write_bytes(text)
        return target
    return ROOT


def _sources_hash(package: Path, folders: tuple[str, ...]) -> str:
    found = blake2b(digest_size=10)
    for folder in folders:
        base = package if folder in ("heathway", "ironbarrow") else ROOT
        for source in sorted((base / folder).rglob("*.py")):
            found.update(source.name.encode() + b"\0" + source.read_bytes() + b"\0")
    return found.hexdigest()
