"""How many targets may be out of use at a time: limited by the floors and by the budgets of cold workers.

The load of a worker taken out moves to the others, and each started worker is cold. If the warm workers
can't carry the load, all dispatchers turn to the cold ones at once, and a cold worker that is sent a multiple
of its capacity collapses. ``heathway.slow_start`` divides a cold worker's budget among the
dispatchers; here the batch is kept so small that the load left for cold workers fits into their budgets.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from heathway import api, slow_start
from ironbarrow.fleet.rollout.plan import Floor, Target

WARM_UTILIZATION = 0.9  # part of the warm workers' slots that can be in use before jobs have to wait


@dataclass(frozen=True, slots=True)
class TargetCapacity:
    """What a target adds to the capacity now: ``fraction`` of its slots, 0 if it is not in use."""

    target: Target
    fraction: float
    cold_since: int = 0  # Unix ns; 0: warm


def cold_capacity(settings: api.Settings, size: float, mean_duration: float, age: int) -> float:
    """Load (slots in use) that the fleet as a whole can keep sending to a cold worker.

    These are the jobs that fit into its budget, divided by the budget's window. ``size``: its slots; ``age``:
    since its start, ns; ``mean_duration``: of a job, ns."""
    budget = (
        settings.fall_multiple
        * slow_start.guaranteed_capacity(settings, 0, age)
        * settings.fall_window
        * size
    )
    return slow_start.jobs_within(budget, mean_duration) * mean_duration / settings.fall_window


def sustainable_load(
    settings: api.Settings, capacities: Iterable[TargetCapacity], mean_duration: float, unix_time: int
) -> float:
    """Load (slots in use) that a fleet can carry: its warm workers, and its cold ones within their
    budgets."""
    total = 0.0
    for target_capacity in capacities:
        if target_capacity.fraction <= 0:
            continue
        if target_capacity.cold_since and target_capacity.fraction < 1:
            usable_slots = target_capacity.fraction * target_capacity.target.slots
            total += min(
                usable_slots,
                cold_capacity(
                    settings,
                    target_capacity.target.slots,
                    mean_duration,
                    unix_time - target_capacity.cold_since,
                ),
            )
        else:
            total += WARM_UTILIZATION * target_capacity.target.slots * target_capacity.fraction
    return total


def broken_floors(
    floors: Iterable[Floor], capacities: Mapping[str, TargetCapacity], classes: dict[str, str | None]
) -> list[tuple[Floor, float]]:
    """Returns the floors that do not hold, each with the slots that are available."""
    broken = []
    for floor in floors:
        available = sum(
            target_capacity.fraction * target_capacity.target.slots
            for target_capacity in capacities.values()
            if floor.includes(target_capacity.target, classes)
        )
        if available < floor.slots - 1e-9:
            broken.append((floor, available))
    return broken
