"""How many targets may be out at a time: by the floors, and by what cold workers can be sent.

Danger: each worker taken out leaves its load to the others, and each that starts is cold. If the warm ones
can't carry the load, dispatchers turn to the cold ones, all at once, and a cold worker that is sent a
multiple of what it can do falls over. ``heathway.slow_start`` divides that budget over the fleet; here the
batch is kept so small that what is left for cold workers fits into it.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from heathway import api, slow_start
from ironbarrow.fleet.rollout.plan import Floor, Target

CARRIES = 0.9  # part of their slots that warm workers can have in use before jobs wait


@dataclass(frozen=True, slots=True)
class Capacity:
    """What a target adds at present: ``part`` of its slots, 0 when it is not in use."""

    target: Target
    part: float
    cold_since: int = 0  # Unix ns; 0: it is warm


def cold_room(rules: api.Settings, size: float, mean: float, age: int) -> float:
    """Slots of work that the whole fleet can keep sending to a cold worker of that age (ns), mean service
    time (ns) and size (slots): the jobs that fit its budget, over the window that this is for."""
    budget = rules.fall_multiple * slow_start.guaranteed_capacity(rules, 0, age) * rules.fall_window * size
    return slow_start.jobs_within(budget, mean) * mean / rules.fall_window


def carried(rules: api.Settings, fleet: Iterable[Capacity], mean: float, unix: int) -> float:
    """Slots of work that a fleet carries: its warm workers, and its cold ones as far as they may be sent."""
    total = 0.0
    for one in fleet:
        if one.part <= 0:
            continue
        if one.cold_since and one.part < 1:
            able = one.part * one.target.slots
            total += min(able, cold_room(rules, one.target.slots, mean, unix - one.cold_since))
        else:
            total += CARRIES * one.target.slots * one.part
    return total


def under_floor(
    floors: Iterable[Floor], fleet: Mapping[str, Capacity], classes: dict[str, str | None]
) -> list[tuple[Floor, float]]:
    """The floors that are broken, with the slots that there are."""
    found = []
    for floor in floors:
        has = sum(c.part * c.target.slots for c in fleet.values() if floor.counts(c.target, classes))
        if has < floor.slots - 1e-9:
            found.append((floor, has))
    return found
