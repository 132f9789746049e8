"""The plan of a rollout: what goes where, in which steps, and what stops it. TOML, checked whole.

A plan that is wrong is refused with file, key, value and what was expected, and changes nothing.
"""

import math
import re
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from typing import Annotated, Any, Literal

import msgspec
from msgspec import Meta, Struct

from ironbarrow.config.units import Duration, ms
from ironbarrow.fleet.file import Fraction, Name, PositiveInt

TEXT_MOST = 65_536  # bytes of a plan
TARGETS_MOST = 8192
_DAY = 86_400 * 1_000_000_000
_HOURS = re.compile(r"([01][0-9]|2[0-3]):([0-5][0-9])-([01][0-9]|2[0-3]):([0-5][0-9])")
Chance = Annotated[float, Meta(gt=0, le=0.2)]
Version = Annotated[str, Meta(min_length=1, max_length=64, pattern=r"^[A-Za-z0-9_.\-+]+$")]


class PlanError(ValueError):
    """A plan that can't be used; the text names file, key, value and what was expected."""


@dataclass(frozen=True, slots=True)
class Target:
    """What can be upgraded: a worker or a dispatcher, with the slots that it adds to the fleet."""

    name: str
    site: str
    kind: str = ""
    slots: float = 1.0


@dataclass(frozen=True, slots=True)
class Inventory:
    """What there is: the targets, and which kind of them each class of jobs needs (None: any)."""

    targets: tuple[Target, ...]
    classes: dict[str, str | None]


class _Table(Struct, forbid_unknown_fields=True, frozen=True, kw_only=True):
    """What all tables of a plan have in common: unknown keys are refused."""


class Wave(_Table, frozen=True):
    """So many targets of a site (``count``), or so large a part of them (``share``), have it at its end."""

    count: PositiveInt | None = None
    share: Annotated[float, Meta(gt=0, le=1)] | None = None

    def size(self, targets: int) -> int:
        """Of so many targets, how many have it at this wave's end."""
        if self.count is not None:
            return min(targets, self.count)
        return min(targets, max(1, math.ceil((self.share or 0.0) * targets - 1e-9)))


class Floor(_Table, frozen=True):
    """The slots that must stay in use at every moment; an empty site or kind, or no class, means all."""

    slots: Annotated[float, Meta(gt=0)]
    site: str = ""
    kind: str = ""
    job_class: str | None = msgspec.field(default=None, name="class")

    def counts(self, target: Target, classes: dict[str, str | None]) -> bool:
        """Whether a target's slots are among those that it speaks of."""
        needed = classes.get(self.job_class) if self.job_class is not None else None
        return (
            self.site in ("", target.site)
            and self.kind in ("", target.kind)
            and needed in (None, target.kind)
        )

    def text(self) -> str:
        found = [("site", self.site), ("kind", self.kind), ("class", self.job_class or "")]
        return " ".join(f"{key} {value}" for key, value in found if value) or "all"


class Rules(_Table, frozen=True):
    """When a rollout is paused."""

    false_pauses: Chance = 0.01  # chance that a sequential test ever stops a runtime that is no worse
    worse_by: Fraction = 0.003  # part of the jobs that the new one may fail beyond the old one
    slower_odds: Annotated[float, Meta(ge=0.5, lt=0.9)] = 0.57  # chance that a job of the new one is slower
    failed_starts: PositiveInt = 2  # that did not come up
    start_within: Duration = ms(30_000)  # from the command to being up
    crashes: PositiveInt = 2  # of started ones of the new runtime, beyond those of the old one
    crash_window: Duration = ms(120_000)
    cold_limit: Annotated[float, Meta(gt=0, le=1)] = 0.9  # part of a cold one's budget that is used
    leaked_slots: Annotated[float, Meta(gt=0)] = 1.0  # missing on a new one beyond what misses on old ones
    leak_for: Duration = ms(12_000)
    sight: Duration = ms(5_000)  # a site that no member has told of for so long is out of sight
    members_lost: Fraction = 0.25  # of those that there were when the wave began
    clear_for: Duration = ms(10_000)  # what caused a hold must be gone for so long
    hold_most: Duration = ms(120_000)  # a hold that lasts longer waits for a person


class Plan(_Table, frozen=True):
    """All of it."""

    name: Name
    runtime: Version
    last_good: Version
    sites: Annotated[list[str], Meta(min_length=1, max_length=64)]  # in this order
    waves: Annotated[list[Wave], Meta(min_length=1, max_length=32)]  # of each site in turn
    targets: Literal["providers", "dispatchers"] = "providers"
    kinds: Annotated[list[str], Meta(max_length=64)] = msgspec.field(default_factory=list)  # none: all
    sites_at_once: PositiveInt = 1
    most_out: PositiveInt = 1  # targets that are drained, being replaced or starting at a time
    soak: Duration = ms(60_000)  # after each wave
    drain: Duration = ms(4_000)  # from draining to the end of the process
    on_pause: Literal["wait", "back"] = "wait"  # back: to last_good, where the runtime is to blame
    quiet: Annotated[list[str], Meta(max_length=32)] = msgspec.field(
        default_factory=list
    )  # "22:00-06:00" UTC
    floors: Annotated[list[Floor], Meta(max_length=256)] = msgspec.field(default_factory=list)
    rules: Rules = Rules()

    def groups(self) -> list[list[str]]:
        """The sites that are upgraded together, in order."""
        step = self.sites_at_once
        return [self.sites[i : i + step] for i in range(0, len(self.sites), step)]

    def chosen(self, targets: Iterable[Target], sites: Sequence[str]) -> list[Target]:
        """The targets of these sites that the plan speaks of, in order of name."""
        found = [t for t in targets if t.site in sites and (not self.kinds or t.kind in self.kinds)]
        return sorted(found, key=lambda target: target.name)

    def may_start(self, unix: int) -> bool:
        """Whether something may start at that Unix time, ns."""
        minute = unix % _DAY // 60_000_000_000
        for hours in self.quiet:
            first, last = _minutes(hours)
            inside = first <= minute < last if first < last else minute >= first or minute < last
            if inside:
                return False
        return True


def _minutes(hours: str) -> tuple[int, int]:
    found = _HOURS.fullmatch(hours)
    if found is None:
        raise ValueError(f"quiet: expected hours such as '22:00-06:00' (UTC), got {hours!r}")
    first, last = int(found[1]) * 60 + int(found[2]), int(found[3]) * 60 + int(found[4])
    if first == last:
        raise ValueError(f"quiet: expected hours that leave some of the day, got {hours!r}")
    return first, last


def _decode(kind: type, value: Any) -> Any:
    if kind is Duration:
        return Duration.parse(value)
    raise NotImplementedError(kind)


def parse(text: bytes, where: str, inventory: Inventory | None = None) -> Plan:
    """A plan's text, held against what there is (None: by itself alone); a PlanError says what is wrong."""
    try:
        if len(text) > TEXT_MOST:
            raise ValueError(f"expected at most {TEXT_MOST} bytes, got {len(text)}")
        plan = msgspec.toml.decode(text, type=Plan, dec_hook=_decode)
        _check(plan)
        if inventory is not None:
            _check_against(plan, inventory)
    except (msgspec.MsgspecError, UnicodeDecodeError, ValueError) as error:
        raise PlanError(f"{where}: {str(error).replace('`$.', '`')}") from None
    return plan


def _check(plan: Plan) -> None:
    """What no single key shows."""
    for key, names in (("sites", plan.sites), ("kinds", plan.kinds)):
        twice = sorted({name for name in names if names.count(name) > 1})
        if twice:
            raise ValueError(f"{key}: expected names that differ, got {twice[0]!r} twice")
    if plan.runtime == plan.last_good:
        raise ValueError(f"runtime: expected another than last_good, got {plan.runtime!r}")
    if plan.sites_at_once > len(plan.sites):
        raise ValueError(f"sites_at_once: expected at most {len(plan.sites)}, got {plan.sites_at_once}")
    for hours in plan.quiet:
        _minutes(hours)
    covered = [0] * 1440  # minutes of the day
    for hours in plan.quiet:
        begin, end = _minutes(hours)
        for minute in range(begin, end if begin < end else end + 1440):
            covered[minute % 1440] = 1
    if all(covered):
        raise ValueError(f"quiet: expected hours that leave some of the day, got {plan.quiet}")
    for number, wave in enumerate(plan.waves):
        key = f"waves[{number}]"
        if (wave.count is None) == (wave.share is None):
            raise ValueError(f"{key}: expected exactly one of count and share")
        before = plan.waves[number - 1] if number else None
        if before is None:
            continue
        if before.share is not None and wave.count is not None:
            raise ValueError(f"{key}.count: expected a share after a share, got {wave.count}")
        least = (before.count or 0) if wave.count is not None else (before.share or 0.0)
        size = wave.count if wave.count is not None else wave.share
        if (size or 0) <= least:
            raise ValueError(f"{key}: expected more than {least:g} of the wave before, got {size:g}")
    if plan.waves[-1].share != 1:
        got = plan.waves[-1].share or plan.waves[-1].count
        raise ValueError(f"waves[{len(plan.waves) - 1}]: expected share = 1, got {got}")
    floors = [(f.site, f.kind, f.job_class) for f in plan.floors]
    for number, floor in enumerate(plan.floors):
        if floors.index((floor.site, floor.kind, floor.job_class)) != number:
            raise ValueError(f"floors[{number}]: expected each floor once, got {floor.text()!r} twice")


def _check_against(plan: Plan, inventory: Inventory) -> None:
    """The plan against what there is."""
    names = [target.name for target in inventory.targets]
    if len(names) > TARGETS_MOST:
        raise ValueError(f"targets: expected at most {TARGETS_MOST}, got {len(names)}")
    sites, kinds = {t.site for t in inventory.targets}, {t.kind for t in inventory.targets}
    for key, wanted, known in (
        ("sites", plan.sites, sites),
        ("kinds", plan.kinds, kinds),
        ("floors.site", [f.site for f in plan.floors if f.site], sites),
        ("floors.kind", [f.kind for f in plan.floors if f.kind], kinds),
        ("floors.class", [f.job_class for f in plan.floors if f.job_class is not None], {*inventory.classes}),
    ):
        unknown = [name for name in wanted if name not in known]
        if unknown:
            raise ValueError(f"{key}: expected some of {sorted(known)}, got {unknown[0]!r}")
    for site in plan.sites:
        if not plan.chosen(inventory.targets, [site]):
            raise ValueError(f"sites: expected sites with targets of kinds {plan.kinds}, got {site!r}")
    for number, floor in enumerate(plan.floors):
        counted = [t for t in inventory.targets if floor.counts(t, inventory.classes)]
        has = sum(target.slots for target in counted)
        if floor.slots > has:
            raise ValueError(
                f"floors[{number}].slots: expected at most the capacity of {has:g} ({floor.text()}),"
                f" got {floor.slots:g}"
            )
        for target in plan.chosen(counted, plan.sites):
            if has - target.slots < floor.slots - 1e-9:
                raise ValueError(
                    f"floors[{number}].slots: expected at most {has - target.slots:g}, so that"
                    f" {target.name!r} can be taken out ({floor.text()}: {has:g} in all), got {floor.slots:g}"
                )
