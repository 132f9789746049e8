"""The plan of a rollout (TOML): which runtime, on which targets, in which waves, and when to pause.

An invalid plan is rejected as a whole; the error names file, key, value and what was expected.
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

MAX_PLAN_BYTES = 65_536  # of the text
MAX_TARGETS = 8192
_DAY = 86_400 * 1_000_000_000
_HOURS_PATTERN = re.compile(r"([01][0-9]|2[0-3]):([0-5][0-9])-([01][0-9]|2[0-3]):([0-5][0-9])")
Probability = Annotated[float, Meta(gt=0, le=0.2)]
Version = Annotated[str, Meta(min_length=1, max_length=64, pattern=r"^[A-Za-z0-9_.\-+]+$")]


class PlanError(ValueError):
    """A plan that can't be used; the message names file, key, value and what was expected."""


@dataclass(frozen=True, slots=True)
class Target:
    """What is upgraded: a worker or a dispatcher, with the slots that it adds to the fleet."""

    name: str
    site: str
    kind: str = ""
    slots: float = 1.0


@dataclass(frozen=True, slots=True)
class Inventory:
    """The existing targets, and the kind of worker that each job class needs (None: any)."""

    targets: tuple[Target, ...]
    classes: dict[str, str | None]


class _Table(Struct, forbid_unknown_fields=True, frozen=True, kw_only=True):
    """Base of all tables of a plan: unknown keys are errors."""


class Wave(_Table, frozen=True):
    """How many targets of a site (``count``), or which part of them (``share``), have the new runtime at the
    wave's end."""

    count: PositiveInt | None = None
    share: Annotated[float, Meta(gt=0, le=1)] | None = None

    def size(self, targets: int) -> int:
        """Returns how many of a site's targets have the new runtime at this wave's end."""
        if self.count is not None:
            return min(targets, self.count)
        return min(targets, max(1, math.ceil((self.share or 0.0) * targets - 1e-9)))


class Floor(_Table, frozen=True):
    """The slots that must be in use at all times; an empty site or kind, or no class, means all."""

    slots: Annotated[float, Meta(gt=0)]
    site: str = ""
    kind: str = ""
    job_class: str | None = msgspec.field(default=None, name="class")

    def includes(self, target: Target, classes: dict[str, str | None]) -> bool:
        """Whether a target's slots count for this floor."""
        needed = classes.get(self.job_class) if self.job_class is not None else None
        return (
            self.site in ("", target.site)
            and self.kind in ("", target.kind)
            and needed in (None, target.kind)
        )

    def label(self) -> str:
        """Returns the floor's site, kind and class as text."""
        found = [("site", self.site), ("kind", self.kind), ("class", self.job_class or "")]
        return " ".join(f"{key} {value}" for key, value in found if value) or "all"


class Rules(_Table, frozen=True):
    """The rules by which a rollout is paused."""

    false_pauses: Probability = 0.01  # chance that a sequential test ever pauses a runtime that is no worse
    worse_by: Fraction = 0.003  # by how much the new runtime's failure rate may exceed the old one's
    slower_odds: Annotated[float, Meta(ge=0.5, lt=0.9)] = (
        0.57  # accepted chance that a job takes longer on the new runtime
    )
    failed_starts: PositiveInt = 2  # starts after which the process did not come up
    start_within: Duration = ms(30_000)  # from the end of the drain until the process is up
    crashes: PositiveInt = 2  # of processes with the new runtime, beyond the old one's rate
    crash_window: Duration = ms(120_000)
    cold_limit: Annotated[float, Meta(gt=0, le=1)] = 0.9  # part of a cold worker's budget that may be used
    # slots lost on a target with the new runtime, beyond those lost with the old one
    leaked_slots: Annotated[float, Meta(gt=0)] = 1.0
    leak_for: Duration = ms(12_000)
    sight: Duration = ms(5_000)  # a site without a member's report for this long is out of sight
    members_lost: Fraction = 0.25  # part of the members at the wave's begin
    clear_for: Duration = ms(10_000)  # a hold ends once its cause has been gone for this long
    hold_most: Duration = ms(120_000)  # after a doubtful hold of this length the rollout stops


class Plan(_Table, frozen=True):
    """The whole plan."""

    name: Name
    runtime: Version
    last_good: Version
    sites: Annotated[list[str], Meta(min_length=1, max_length=64)]  # upgraded in this order
    waves: Annotated[list[Wave], Meta(min_length=1, max_length=32)]  # of each site
    targets: Literal["providers", "dispatchers"] = "providers"
    kinds: Annotated[list[str], Meta(max_length=64)] = msgspec.field(default_factory=list)  # empty: all
    sites_at_once: PositiveInt = 1
    most_out: PositiveInt = 1  # targets that may be draining, stopped or starting at the same time
    soak: Duration = ms(60_000)  # after each wave
    drain: Duration = ms(4_000)  # from the start of draining until the process is stopped
    on_pause: Literal["wait", "back"] = "wait"  # back: to last_good, if the runtime is the cause
    # hours in which no step starts, such as "22:00-06:00" (UTC)
    quiet: Annotated[list[str], Meta(max_length=32)] = msgspec.field(default_factory=list)
    floors: Annotated[list[Floor], Meta(max_length=256)] = msgspec.field(default_factory=list)
    rules: Rules = Rules()

    def groups(self) -> list[list[str]]:
        """Returns the groups of sites that are upgraded together, in order."""
        step = self.sites_at_once
        return [self.sites[i : i + step] for i in range(0, len(self.sites), step)]

    def select(self, targets: Iterable[Target], sites: Sequence[str]) -> list[Target]:
        """Returns the targets of these sites that the plan applies to, sorted by name."""
        found = [t for t in targets if t.site in sites and (not self.kinds or t.kind in self.kinds)]
        return sorted(found, key=lambda target: target.name)

    def may_start(self, unix_time: int) -> bool:
        """Whether steps may start at this Unix time (ns), outside the quiet hours."""
        minute = unix_time % _DAY // 60_000_000_000
        for hours in self.quiet:
            first, last = _parse_hours(hours)
            inside = first <= minute < last if first < last else minute >= first or minute < last
            if inside:
                return False
        return True


def _parse_hours(hours: str) -> tuple[int, int]:
    found = _HOURS_PATTERN.fullmatch(hours)
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


def parse(text: bytes, source: str, inventory: Inventory | None = None) -> Plan:
    """Decodes and checks a plan, also against the existing targets unless ``inventory`` is None.

    Raises a PlanError; ``source`` names the file in its message."""
    try:
        if len(text) > MAX_PLAN_BYTES:
            raise ValueError(f"expected at most {MAX_PLAN_BYTES} bytes, got {len(text)}")
        plan = msgspec.toml.decode(text, type=Plan, dec_hook=_decode)
        _validate(plan)
        if inventory is not None:
            _validate_against(plan, inventory)
    except (msgspec.MsgspecError, UnicodeDecodeError, ValueError) as error:
        raise PlanError(f"{source}: {str(error).replace('`$.', '`')}") from None
    return plan


def _validate(plan: Plan) -> None:
    """Checks what involves more than one key."""
    for key, names in (("sites", plan.sites), ("kinds", plan.kinds)):
        duplicates = sorted({name for name in names if names.count(name) > 1})
        if duplicates:
            raise ValueError(f"{key}: expected names that differ, got {duplicates[0]!r} twice")
    if plan.runtime == plan.last_good:
        raise ValueError(f"runtime: expected another than last_good, got {plan.runtime!r}")
    if plan.sites_at_once > len(plan.sites):
        raise ValueError(f"sites_at_once: expected at most {len(plan.sites)}, got {plan.sites_at_once}")
    for hours in plan.quiet:
        _parse_hours(hours)
    covered = [0] * 1440  # minutes of the day
    for hours in plan.quiet:
        begin, end = _parse_hours(hours)
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
            raise ValueError(f"floors[{number}]: expected each floor once, got {floor.label()!r} twice")


def _validate_against(plan: Plan, inventory: Inventory) -> None:
    """Checks the plan against the existing targets and job classes."""
    names = [target.name for target in inventory.targets]
    if len(names) > MAX_TARGETS:
        raise ValueError(f"targets: expected at most {MAX_TARGETS}, got {len(names)}")
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
        if not plan.select(inventory.targets, [site]):
            raise ValueError(f"sites: expected sites with targets of kinds {plan.kinds}, got {site!r}")
    for number, floor in enumerate(plan.floors):
        included = [t for t in inventory.targets if floor.includes(t, inventory.classes)]
        available = sum(target.slots for target in included)
        if floor.slots > available:
            raise ValueError(
                f"floors[{number}].slots: expected at most the capacity of {available:g} ({floor.label()}),"
                f" got {floor.slots:g}"
            )
        for target in plan.select(included, plan.sites):
            if available - target.slots < floor.slots - 1e-9:
                raise ValueError(
                    f"floors[{number}].slots: expected at most {available - target.slots:g}, so that"
                    f" {target.name!r} can be taken out ({floor.label()}: {available:g} in all),"
                    f" got {floor.slots:g}"
                )
