"""The workers of a world: starts, drains and ends, and the faults that are injected on a schedule."""

from dataclasses import dataclass
from typing import Protocol

from ironbarrow.lab.model.discovery import Discovery, Entry
from ironbarrow.lab.model.network import Network
from ironbarrow.lab.model.randomness import Streams
from ironbarrow.lab.model.spec import Fault, WorkerGroup, World
from ironbarrow.lab.model.store import Store
from ironbarrow.lab.model.worker import State, Worker, WorkerObserver
from ironbarrow.lab.model.workload import Workload
from ironbarrow.runtime.clock import MS, Clock


class Fleet:
    """All workers, their shared store, the network and the discovery service that lists them."""

    worker_class: type[Worker] = Worker  # the class that ``add`` creates

    def __init__(self, clock: Clock, world: World, streams: Streams, observer: WorkerObserver) -> None:
        self._clock, self._world, self._streams, self._observer = clock, world, streams, observer
        self.network = Network(clock, world.network, streams)
        self.discovery = Discovery(clock, world.discovery, streams)
        self.store = Store(clock, world.store.fetch, world.store.at_once, streams["store"])
        self.workers: dict[str, Worker] = {}
        zones = world.network.zones
        listed = []
        for group in world.workers:
            for number in range(group.count):
                worker = self.add(group, f"{group.name}-{number}", zones[number % len(zones)])
                if group.listed:
                    listed.append(self.entry(worker))
        self.discovery.start(listed)
        if world.discovery.weights == "live":
            clock.call_at(clock.now() + world.discovery.weight_period, self._update_weights)

    def add(self, group: WorkerGroup, name: str, zone: str, started_at: int = 0) -> Worker:
        """Starts a worker. ``started_at``: ns of Unix time; 0: long ago, so that it is warm."""
        worker = self.worker_class(
            self._clock,
            name,
            group,
            self._world.cold,
            self._world.reports,
            self.store,
            self._streams[f"provider {name}"],
            self._observer,
            zone=zone,
            started_at=started_at,
        )
        self.workers[name] = worker
        return worker

    def entry(self, worker: Worker) -> Entry:
        """A worker's entry in the discovery service's list."""
        status = "draining" if worker.state is State.DRAINING else "up"
        weight = worker.group.slots
        since = worker.started_at // MS * MS  # the discovery service reports whole milliseconds
        return Entry(worker.name, worker.zone, worker.group.kind, weight, status, since)

    def _update_weights(self) -> None:
        self.discovery.set_weights(
            {
                w.name: round(w.group.slots / (1 + w.held / w.group.slots), 2)
                for w in self.workers.values()
                if w.group.listed
            }
        )
        self._clock.call_at(self._clock.now() + self._world.discovery.weight_period, self._update_weights)

    def drain(self, name: str, then_end_after: int | None = None) -> None:
        """Drains a worker and lists it as draining; its process ends ``then_end_after`` ns later if given."""
        worker = self.workers[name]
        if worker.state is not State.UP:
            return
        worker.drain()
        self.discovery.set_status(name, "draining")
        if then_end_after is not None:
            self._clock.call_at(self._clock.now() + then_end_after, self.end, name)

    def end(self, name: str, *, silent: bool = False) -> None:
        """Ends a worker's process and unlists the worker. ``silent``: see ``Worker.terminate``."""
        worker = self.workers[name]
        if worker.state in (State.DOWN, State.VANISHED):
            return
        worker.terminate(silent=silent)
        entry = self.discovery.entries.get(name)
        if entry is not None:
            self.discovery.change(Entry(name, entry.zone, entry.kind, entry.weight, "removed", entry.since))

    def start_successor(self, name: str) -> None:
        """Starts a cold replacement of a worker, under a new name, and lists it."""
        old = self.workers[name]
        stem, _, number = name.partition("~")
        worker = self.add(old.group, f"{stem}~{int(number or 0) + 1}", old.zone, self._clock.now())
        self.discovery.change(self.entry(worker))


class DispatcherControl(Protocol):
    """The operations on dispatchers that faults need."""

    def kill(self, number: int, down: int) -> None:
        """Kills a dispatcher; it starts again ``down`` ns later."""

    def restart(self, number: int, down: int) -> None:
        """Stops a dispatcher gracefully; it starts again ``down`` ns after its process has ended."""

    def reload(self, number: int) -> None:
        """Makes a dispatcher load a changed configuration."""

    def pause(self, number: int, lasts: int) -> None:
        """Suspends a dispatcher's process, as by SIGSTOP, for ``lasts`` ns."""

    def impair_links(self, fault: Fault) -> None:
        """Applies a fault of kind "links" or "links cut" to the links between dispatchers while it lasts."""


@dataclass(frozen=True, slots=True)
class InjectedFault:
    """A fault that was injected, for plots and reports. Times in ns from the run's start."""

    kind: str
    starts: int
    ends: int
    who: tuple[str, ...]


class FaultSchedule:
    """Injects the faults of a world at their times."""

    def __init__(
        self,
        clock: Clock,
        world: World,
        fleet: Fleet,
        workload: Workload,
        dispatchers: DispatcherControl,
        streams: Streams,
    ) -> None:
        self._clock, self._world, self._fleet = clock, world, fleet
        self._workload, self._dispatchers = workload, dispatchers
        self._stream = streams["faults"]
        self.injected: list[InjectedFault] = []
        self._started_at = 0

    def start(self) -> None:
        """Schedules all faults, relative to now."""
        self._started_at = self._clock.now()
        # the affected workers are drawn in advance and in the file's order, so that events in the run cannot
        # change the choice
        for fault in self._world.faults:
            names = fault.workers or self._choose_workers(fault)
            self._clock.call_at(self._started_at + fault.at, self._inject, fault, names)

    def _choose_workers(self, fault: Fault) -> list[str]:
        if fault.kind not in _WORKER_FAULTS:
            return []
        names = [w.name for w in self._fleet.workers.values() if w.group.listed]
        shuffled = sorted((self._stream.uniform(), name) for name in names)
        minimum = 0 if fault.part == 0 else 1
        return [name for _, name in shuffled[: max(minimum, round(fault.part * len(names)))]]

    def _inject(self, fault: Fault, names: list[str]) -> None:
        now = self._clock.now()
        target = tuple(names) or ((f"dispatcher {fault.dispatcher}",) if "dispatcher" in fault.kind else ())
        started = now - self._started_at
        self.injected.append(InjectedFault(fault.kind, started, started + fault.lasts, target))
        ends = now + fault.lasts
        network, discovery = self._fleet.network, self._fleet.discovery
        affected = [self._fleet.workers[name] for name in names]
        if fault.kind in ("deploy", "shrink"):
            self._replace_in_batches(fault, names)
        elif fault.kind == "cut":
            network.cut(fault.zones)
            self._clock.call_at(ends, network.heal, fault.zones)
        elif fault.kind == "discovery outage":
            discovery.start_outage(ends)
        elif fault.kind == "flood":
            self._workload.flood_factor, self._workload.flood_farm = fault.size, fault.farm
            self._clock.call_at(ends, self._end_flood)
        elif fault.kind == "dispatcher killed":
            self._dispatchers.kill(fault.dispatcher, fault.down)
        elif fault.kind == "dispatcher restarted":
            self._dispatchers.restart(fault.dispatcher, fault.down)
        elif fault.kind == "dispatcher stopped":
            self._dispatchers.pause(fault.dispatcher, fault.lasts)
        elif fault.kind in ("links", "links cut"):
            self._dispatchers.impair_links(fault)
        elif fault.kind == "reload":
            self._dispatchers.reload(fault.dispatcher)
        for worker in affected:
            if fault.kind == "slow":
                worker.slow(fault.size)
                self._clock.call_at(ends, worker.slow, 1.0)
            elif fault.kind == "hang":
                worker.hang()
                self._clock.call_at(ends, worker.recover)
            elif fault.kind == "fail fast":
                worker.fail_fast(fault.size)
                self._clock.call_at(ends, worker.fail_fast, 0.0)
            elif fault.kind == "late reports":
                worker.delay_reports(int(fault.size * 1e9))
                self._clock.call_at(ends, worker.delay_reports, 0)
            elif fault.kind == "drain":
                self._fleet.drain(worker.name)
                if fault.lasts:
                    self._clock.call_at(ends, self._end_drain, worker)
            elif fault.kind in ("die", "vanish"):
                self._fleet.end(worker.name, silent=fault.kind == "vanish")

    def _end_flood(self) -> None:
        self._workload.flood_factor, self._workload.flood_farm = 1.0, None

    def _end_drain(self, worker: Worker) -> None:
        worker.cancel_drain()
        if worker.state is State.UP:
            self._fleet.discovery.set_status(worker.name, "up")

    def _replace_in_batches(self, fault: Fault, names: list[str]) -> None:
        """Drains and ends workers, one batch at a time; "deploy" also starts a successor of each."""
        size = max(1, round(fault.batch * len(self._fleet.discovery.entries)))
        batches = [names[i : i + size] for i in range(0, len(names), size)]
        pause = fault.lasts // max(1, len(batches))
        for number, batch in enumerate(batches):
            at = self._clock.now() + number * pause
            for name in batch:
                self._clock.call_at(at, self._fleet.drain, name, int(fault.drain))
                if fault.kind == "deploy":
                    self._clock.call_at(at + fault.drain + 1, self._fleet.start_successor, name)


_WORKER_FAULTS = frozenset(
    ("slow", "hang", "fail fast", "late reports", "deploy", "shrink", "drain", "die", "vanish")
)
