"""The providers of a world and what happens to them: starts, drains, ends, and faults on a timeline."""

from dataclasses import dataclass
from typing import Protocol

from ironbarrow.lab.model.directory import Directory, Entry
from ironbarrow.lab.model.network import Network
from ironbarrow.lab.model.provider import Provider, State, Watcher
from ironbarrow.lab.model.randomness import Streams
from ironbarrow.lab.model.spec import Fault, Group, World
from ironbarrow.lab.model.store import Store
from ironbarrow.lab.model.workload import Workload
from ironbarrow.runtime.clock import MS, Clock


class Fleet:
    """All providers, the store they share, the network and the directory that lists them."""

    make: type[Provider] = Provider  # what the next ones are

    def __init__(self, clock: Clock, world: World, streams: Streams, watcher: Watcher) -> None:
        self._clock, self._world, self._streams, self._watcher = clock, world, streams, watcher
        self.network = Network(clock, world.network, streams)
        self.directory = Directory(clock, world.directory, streams)
        self.store = Store(clock, world.store.fetch, world.store.at_once, streams["store"])
        self.providers: dict[str, Provider] = {}
        zones = world.network.zones
        listed = []
        for group in world.providers:
            for number in range(group.count):
                made = self.add(group, f"{group.name}-{number}", zones[number % len(zones)])
                if group.listed:
                    listed.append(self.entry(made))
        self.directory.start(listed)
        if world.directory.weights == "live":
            clock.call_at(clock.now() + world.directory.weight_period, self._weigh)

    def add(self, group: Group, name: str, zone: str, started_at: int = 0) -> Provider:
        """Starts a provider's process."""
        made = self.make(
            self._clock,
            name,
            group,
            self._world.cold,
            self._world.reports,
            self.store,
            self._streams[f"provider {name}"],
            self._watcher,
            zone=zone,
            started_at=started_at,
        )
        self.providers[name] = made
        return made

    def entry(self, provider: Provider) -> Entry:
        status = "draining" if provider.state is State.DRAINING else "up"
        weight = provider.group.slots
        since = provider.started_at // MS * MS  # as the directory tells it: in whole milliseconds
        return Entry(provider.name, provider.zone, provider.group.kind, weight, status, since)

    def _weigh(self) -> None:
        self.directory.weigh(
            {
                p.name: round(p.group.slots / (1 + p.held / p.group.slots), 2)
                for p in self.providers.values()
                if p.group.listed
            }
        )
        self._clock.call_at(self._clock.now() + self._world.directory.weight_period, self._weigh)

    def drain(self, name: str, then_end_after: int | None = None) -> None:
        """Drains a provider and tells the directory; its process ends after so many ns."""
        provider = self.providers[name]
        if provider.state is not State.UP:
            return
        provider.drain()
        self.directory.mark(name, "draining")
        if then_end_after is not None:
            self._clock.call_at(self._clock.now() + then_end_after, self.end, name)

    def end(self, name: str, *, silent: bool = False) -> None:
        """Ends a process; the directory notices."""
        provider = self.providers[name]
        if provider.state in (State.DOWN, State.VANISHED):
            return
        provider.die(silent=silent)
        entry = self.directory.entries.get(name)
        if entry is not None:
            self.directory.change(Entry(name, entry.zone, entry.kind, entry.weight, "removed", entry.since))

    def succeed(self, name: str) -> None:
        """Starts a cold successor of a provider, under a new name."""
        old = self.providers[name]
        stem, _, number = name.partition("~")
        made = self.add(old.group, f"{stem}~{int(number or 0) + 1}", old.zone, self._clock.now())
        self.directory.change(self.entry(made))


class Instances(Protocol):
    """The dispatchers, as far as faults touch them."""

    def kill(self, number: int, down: int) -> None:
        """Ends one at once; it starts again after so many ns."""

    def restart(self, number: int, down: int) -> None:
        """Stops one in order; it starts again so long after its end, ns."""

    def reload(self, number: int) -> None:
        """Gives one a replaced configuration."""

    def pause(self, number: int, lasts: int) -> None:
        """Stops one where it is, as by SIGSTOP, for so many ns."""

    def trouble_links(self, fault: Fault) -> None:
        """Does to the links between dispatchers what a fault of theirs says, as long as it lasts."""


@dataclass(frozen=True, slots=True)
class Played:
    """A fault as it was played: for plots and reports. Times from the run's start, ns."""

    kind: str
    starts: int
    ends: int
    who: tuple[str, ...]


class Faults:
    """Plays the faults of a world."""

    def __init__(
        self,
        clock: Clock,
        world: World,
        fleet: Fleet,
        workload: Workload,
        instances: Instances,
        streams: Streams,
    ) -> None:
        self._clock, self._world, self._fleet = clock, world, fleet
        self._workload, self._instances = workload, instances
        self._stream = streams["faults"]
        self.played: list[Played] = []
        self._started_at = 0

    def start(self) -> None:
        self._started_at = self._clock.now()
        # who is struck is drawn now, in the file's order: what happens in the run must not change it
        for fault in self._world.faults:
            who = fault.providers or self._draw(fault)
            self._clock.call_at(self._started_at + fault.at, self._play, fault, who)

    def _draw(self, fault: Fault) -> list[str]:
        if fault.kind not in _ON_PROVIDERS:
            return []
        names = [p.name for p in self._fleet.providers.values() if p.group.listed]
        order = sorted((self._stream.uniform(), name) for name in names)
        least = 0 if fault.part == 0 else 1
        return [name for _, name in order[: max(least, round(fault.part * len(names)))]]

    def _play(self, fault: Fault, who: list[str]) -> None:
        now = self._clock.now()
        target = tuple(who) or ((f"dispatcher {fault.dispatcher}",) if "dispatcher" in fault.kind else ())
        begun = now - self._started_at
        self.played.append(Played(fault.kind, begun, begun + fault.lasts, target))
        ends = now + fault.lasts
        network, directory = self._fleet.network, self._fleet.directory
        struck = [self._fleet.providers[name] for name in who]
        if fault.kind in ("deploy", "shrink"):
            self._roll(fault, who)
        elif fault.kind == "cut":
            network.cut(fault.zones)
            self._clock.call_at(ends, network.mend, fault.zones)
        elif fault.kind == "directory outage":
            directory.out(ends)
        elif fault.kind == "flood":
            self._workload.flood, self._workload.flooding_farm = fault.size, fault.farm
            self._clock.call_at(ends, self._calm)
        elif fault.kind == "dispatcher killed":
            self._instances.kill(fault.dispatcher, fault.down)
        elif fault.kind == "dispatcher restarted":
            self._instances.restart(fault.dispatcher, fault.down)
        elif fault.kind == "dispatcher stopped":
            self._instances.pause(fault.dispatcher, fault.lasts)
        elif fault.kind in ("links", "links cut"):
            self._instances.trouble_links(fault)
        elif fault.kind == "reload":
            self._instances.reload(fault.dispatcher)
        for provider in struck:
            if fault.kind == "slow":
                provider.slow(fault.size)
                self._clock.call_at(ends, provider.slow, 1.0)
            elif fault.kind == "hang":
                provider.hang()
                self._clock.call_at(ends, provider.recover)
            elif fault.kind == "fail fast":
                provider.fail_fast(fault.size)
                self._clock.call_at(ends, provider.fail_fast, 0.0)
            elif fault.kind == "late reports":
                provider.delay_reports(int(fault.size * 1e9))
                self._clock.call_at(ends, provider.delay_reports, 0)
            elif fault.kind == "drain":
                self._fleet.drain(provider.name)
                if fault.lasts:
                    self._clock.call_at(ends, self._undrain, provider)
            elif fault.kind in ("die", "vanish"):
                self._fleet.end(provider.name, silent=fault.kind == "vanish")

    def _calm(self) -> None:
        self._workload.flood, self._workload.flooding_farm = 1.0, None

    def _undrain(self, provider: Provider) -> None:
        provider.undrain()
        if provider.state is State.UP:
            self._fleet.directory.mark(provider.name, "up")

    def _roll(self, fault: Fault, who: list[str]) -> None:
        """Replaces (deploy) or ends (shrink) providers, a batch at a time."""
        size = max(1, round(fault.batch * len(self._fleet.directory.entries)))
        batches = [who[i : i + size] for i in range(0, len(who), size)]
        pause = fault.lasts // max(1, len(batches))
        for number, batch in enumerate(batches):
            at = self._clock.now() + number * pause
            for name in batch:
                self._clock.call_at(at, self._fleet.drain, name, int(fault.drain))
                if fault.kind == "deploy":
                    self._clock.call_at(at + fault.drain + 1, self._fleet.succeed, name)


_ON_PROVIDERS = frozenset(
    ("slow", "hang", "fail fast", "late reports", "deploy", "shrink", "drain", "die", "vanish")
)
