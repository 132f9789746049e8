"""The phases of a scale run: one without faults, then one of each kind of fault."""

import time
from collections.abc import Callable
from dataclasses import dataclass

from ironbarrow.lab.scale.children import RealDispatcher
from ironbarrow.lab.scale.fleet import ScaleFleet
from ironbarrow.lab.scale.measuring import Measurement
from ironbarrow.lab.scale.messages import Begin, End, MemberUpdate, Pause
from ironbarrow.lab.scale.meters import LatenessMeter
from ironbarrow.lab.scale.result import Phase
from ironbarrow.lab.scale.target import ZONES, region_of, zone_of
from ironbarrow.runtime.loop import MS, SECOND, Coroutine, Loop, sleep

_DELISTING_DELAY = SECOND  # until a failed worker is removed from the worker list
_RACK_ZONE, _LOST_ZONE = ZONES[0], ZONES[-1]
_BATCH_COUNT = 12  # of a rolling restart
_DRAIN_TIME, _DOWN_TIME = SECOND // 2, SECOND // 2
_POLL_INTERVAL = 20 * MS


@dataclass(frozen=True, slots=True)
class PhaseDurations:
    """Durations of the phases, s. The region cut stands for a cut of an hour; values that grow with its
    duration are extrapolated."""

    warm_up: float = 5.0  # from the first job to the first measurement
    calm: float = 20.0
    workers: float = 8.0
    rack: float = 10.0
    zone: float = 12.0
    zone_back: float = 12.0
    cut: float = 20.0
    heal: float = 15.0
    rolling: float = 20.0

    @property
    def total(self) -> float:
        """The sum of all phases, without the warm-up."""
        faults = self.workers + self.rack + self.zone + self.zone_back + self.cut + self.heal + self.rolling
        return self.calm + faults


class Phases:
    """Runs the phases one after another and passes each result to ``on_phase_done``."""

    def __init__(
        self,
        fleet: ScaleFleet,
        lateness: LatenessMeter,
        durations: PhaseDurations,
        on_phase_done: Callable[[Phase], None],
    ) -> None:
        self._fleet, self._lateness, self._durations, self._on_phase_done = (
            fleet,
            lateness,
            durations,
            on_phase_done,
        )
        self._loop: Loop = fleet.loop

    def run(self) -> Coroutine[None]:
        """Runs all phases."""
        yield from self._calm()
        yield from self._workers_fail()
        yield from self._rack_lost()
        yield from self._zone_lost()
        yield from self._regions_apart()
        yield from self._rolling_restart()

    def _sleep(self, seconds: float) -> Coroutine[None]:
        yield from sleep(self._loop.now() + int(seconds * SECOND))

    def _measure(self, name: str) -> Coroutine[Measurement]:
        measurement = Measurement(self._fleet, self._lateness, name)
        yield from measurement.begin()
        return measurement

    def _calm(self) -> Coroutine[None]:
        measurement = yield from self._measure("calm")
        yield from self._sleep(self._durations.calm)
        self._on_phase_done((yield from measurement.end()))

    # Workers

    def _workers_fail(self) -> Coroutine[None]:
        names = self._sample_workers(self._fleet.layout.size.failures)
        measurement = yield from self._measure("workers fail")
        self._fleet.send_to_workers(End(names))
        yield from sleep(self._loop.now() + _DELISTING_DELAY)
        self._fleet.workers.set_status(names, "removed")
        yield from self._sleep(self._durations.workers - _DELISTING_DELAY / SECOND)
        self._on_phase_done((yield from measurement.end()))
        self._restart_workers(names)

    def _sample_workers(self, count: int) -> list[str]:
        """``count`` workers, spread evenly over the list of all workers."""
        names = self._fleet.layout.workers
        step = max(1, len(names) // count)
        return names[::step][:count]

    def _restart_workers(self, names: list[str]) -> None:
        """Starts these workers again and lists them as new processes."""
        self._fleet.send_to_workers(Begin(names))
        entry = self._fleet.layout.entry
        self._fleet.workers.change(*(entry(name, time.time_ns()) for name in names))

    def _rolling_restart(self) -> Coroutine[None]:
        names = self._sample_workers(self._fleet.layout.size.replaced)
        measurement = yield from self._measure("rolling restart")
        batch = -(-len(names) // _BATCH_COUNT)
        pause = self._durations.rolling / _BATCH_COUNT - (_DRAIN_TIME + _DOWN_TIME) / SECOND
        for start in range(0, len(names), batch):
            batch_names = names[start : start + batch]
            self._fleet.workers.set_status(batch_names, "draining")
            yield from sleep(self._loop.now() + _DRAIN_TIME)
            self._fleet.send_to_workers(End(batch_names))
            self._fleet.workers.set_status(batch_names, "removed")
            yield from sleep(self._loop.now() + _DOWN_TIME)
            self._restart_workers(batch_names)
            yield from self._sleep(max(0.0, pause))
        self._on_phase_done((yield from measurement.end()))

    # Dispatchers and workers together

    def _rack_lost(self) -> Coroutine[None]:
        layout = self._fleet.layout
        workers = self._workers_of(_RACK_ZONE)[: layout.size.rack_workers]
        count = max(1, round(len(workers) * layout.size.dispatchers / layout.size.workers))
        dispatchers = self._hollow_of(_RACK_ZONE)[-count:]
        measurement = yield from self._measure("rack lost")
        yield from self._suspend(measurement, dispatchers, workers, self._durations.rack)
        yield from self._restore("rack back", dispatchers, workers, 0.0)

    def _zone_lost(self) -> Coroutine[None]:
        dispatchers = self._hollow_of(_LOST_ZONE)
        workers = self._workers_of(_LOST_ZONE)
        measurement = yield from self._measure("zone lost")
        for instance in self._real_of(_LOST_ZONE):
            instance.pause()
        yield from self._suspend(measurement, dispatchers, workers, self._durations.zone)
        yield from self._restore("zone back", dispatchers, workers, self._durations.zone_back)

    def _suspend(
        self, measurement: Measurement, dispatchers: list[str], workers: list[str], seconds: float
    ) -> Coroutine[None]:
        """Makes dispatchers and workers unresponsive, as by a power failure or a dead switch, and measures
        the phase."""
        fleet = self._fleet
        lost = frozenset(dispatchers) | {
            f"d{instance.number}" for instance in fleet.real if instance.is_stopped
        }
        fleet.load.excluded = {int(name[1:]) for name in lost}
        fleet.send_to_dispatchers(Pause(dispatchers))
        fleet.send_to_workers(Pause(workers))
        since = time.monotonic_ns()
        yield from sleep(self._loop.now() + _DELISTING_DELAY)
        fleet.workers.set_status(workers, "removed")
        yield from self._sleep(seconds - _DELISTING_DELAY / SECOND)
        phase = yield from measurement.end(lost)
        deaths = [
            update
            for update in measurement.deaths()
            if update.subject in lost and update.observer not in lost
        ]
        observers = fleet.layout.size.hollow - len(dispatchers)
        deaths = measurement.first_of_each(deaths)
        phase.told.append(
            measurement.propagation_time("deaths of members", deaths, since, observers * len(lost))
        )
        self._on_phase_done(phase)

    def _restore(
        self, name: str, dispatchers: list[str], workers: list[str], seconds: float
    ) -> Coroutine[None]:
        """Replaces what is unresponsive by new processes. ``seconds``: how long to measure; 0: no phase."""
        fleet = self._fleet
        measurement = yield from self._measure(name)
        lost = frozenset(dispatchers) | {
            f"d{instance.number}" for instance in fleet.real if instance.is_stopped
        }
        since = time.monotonic_ns()
        yield from self._restart(dispatchers, workers)
        if not seconds:
            return
        yield from self._sleep(seconds)
        phase = yield from measurement.end(lost)
        alive = [
            update
            for update in measurement.member_updates()
            if update.health == "alive" and update.subject in lost and update.observer not in lost
        ]
        observers = fleet.layout.size.hollow - len(dispatchers)
        what = "members known that are back"
        alive = measurement.first_of_each(alive)
        phase.told.append(measurement.propagation_time(what, alive, since, observers * len(lost)))
        self._note_unknown_members(phase)
        self._on_phase_done(phase)

    def _restart(self, dispatchers: list[str], workers: list[str]) -> Coroutine[None]:
        fleet = self._fleet
        stopped = [instance for instance in fleet.real if instance.is_stopped]
        for instance in stopped:
            instance.kill()
        fleet.send_to_dispatchers(End(dispatchers))
        fleet.send_to_dispatchers(Begin(dispatchers))
        fleet.send_to_workers(End(workers))
        self._restart_workers(workers)
        for instance in stopped:
            while instance.pid is not None:
                yield from sleep(self._loop.now() + _POLL_INTERVAL)
            instance.start()
        fleet.load.excluded = set()

    def _note_unknown_members(self, phase: Phase) -> None:
        expected = self._fleet.layout.size.dispatchers
        if phase.held.least_members < expected:
            phase.notes.append(f"at the end one knew {phase.held.least_members} of {expected} members")

    # Regions

    def _regions_apart(self) -> Coroutine[None]:
        measurement = yield from self._measure("regions apart")
        self._fleet.cut_regions(True)
        since = time.monotonic_ns()
        yield from self._sleep(self._durations.cut)
        phase = yield from measurement.end()
        deaths = measurement.deaths()
        cross_region = [update for update in deaths if self._is_cross_region(update)]
        phase.false_deaths = len(deaths) - len(cross_region)
        what = "members of the other region dead"
        cross_region = measurement.first_of_each(cross_region)
        phase.told.append(measurement.propagation_time(what, cross_region, since, self._cross_region_pairs()))
        phase.notes.append(
            f"{self._durations.cut:.0f} s stand for an hour: what grows with it is extrapolated"
        )
        phase.notes.append("lists of workers stay whole in both regions")
        self._on_phase_done(phase)
        yield from self._regions_together()

    def _regions_together(self) -> Coroutine[None]:
        measurement = yield from self._measure("regions together again")
        self._fleet.cut_regions(False)
        since = time.monotonic_ns()
        yield from self._sleep(self._durations.heal)
        phase = yield from measurement.end()
        updates = list(measurement.member_updates())
        alive = [one for one in updates if one.health == "alive" and self._is_cross_region(one)]
        alive = measurement.last_of_each(alive)
        phase.told.append(
            measurement.propagation_time(
                "members of the other region back", alive, since, self._cross_region_pairs()
            )
        )
        phase.told.append(
            measurement.propagation_time("deaths told after the cut", measurement.deaths(), since, 0)
        )
        self._note_unknown_members(phase)
        self._on_phase_done(phase)

    def _is_cross_region(self, update: MemberUpdate) -> bool:
        return self._region(update.subject) != self._region(update.observer)

    def _cross_region_pairs(self) -> int:
        """Number of pairs of a hollow dispatcher and a member of the other region."""
        layout = self._fleet.layout
        regions = [region_of(zone_of(n)) for n in layout.numbers]
        return sum(sum(region != regions[observer] for region in regions) for observer in layout.hollow)

    # Parties by region and zone

    @staticmethod
    def _region(name: str) -> str:
        return region_of(zone_of(int(name[1:])))

    def _hollow_of(self, zone: str) -> list[str]:
        return [f"d{n}" for n in self._fleet.layout.hollow if zone_of(n) == zone]

    def _workers_of(self, zone: str) -> list[str]:
        layout = self._fleet.layout
        return [name for name in layout.workers if layout.worker_zone(name) == zone]

    def _real_of(self, zone: str) -> list[RealDispatcher]:
        return [instance for instance in self._fleet.real if zone_of(instance.number) == zone]
