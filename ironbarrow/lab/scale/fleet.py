"""All processes of a scale run, which the leader starts, controls and stops together."""

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import TypeVar

from ironbarrow.lab.fleet.links import CUT, NO_FAULT, LinkProxies
from ironbarrow.lab.live.processes import Program
from ironbarrow.lab.scale.children import Child, RealDispatcher
from ironbarrow.lab.scale.discovery import DispatcherAgent, RegionFeed, WorkerList
from ironbarrow.lab.scale.layout import JOB_S, SLOTS, Layout
from ironbarrow.lab.scale.load import LiveWeights, LoadGenerator
from ironbarrow.lab.scale.messages import (
    Command,
    CutRegions,
    DispatcherSpec,
    DispatchersReport,
    DispatchersSpec,
    Traffic,
    WorkerSpec,
    WorkersReport,
    WorkersSpec,
)
from ironbarrow.lab.scale.meters import Usage, usage
from ironbarrow.lab.scale.target import REGIONS, region_of, zone_of
from ironbarrow.runtime.loop import SECOND, Coroutine, Loop

# with more in one process, each would wait for the others whenever all have work at once
DISPATCHERS_PER_PROCESS = 6
WORKERS_PER_PROCESS = 210
_SEED = 1
_AGENT_DELAY_SPREAD = SECOND  # all agents publish a change within this time

ItemT = TypeVar("ItemT")


@dataclass(slots=True)
class Collected:
    """Counts of all processes since the last collection."""

    dispatchers: list[DispatchersReport] = field(default_factory=list)
    workers: list[WorkersReport] = field(default_factory=list)
    discovery: dict[str, Traffic] = field(default_factory=dict)
    jobs: dict[str, int] = field(default_factory=dict)


class ScaleFleet:
    """Discovery agents, links, load generator and processes of one run."""

    def __init__(self, loop: Loop, layout: Layout, lifetime_s: float) -> None:
        self.loop, self.layout = loop, layout
        self.workers = WorkerList([layout.entry(name) for name in layout.workers])
        self._list_traffic: dict[str, Traffic] = defaultdict(Traffic)
        self.agents = self._open_agents()
        self.links = LinkProxies(loop, _SEED)
        self.load = LoadGenerator(loop, layout, _SEED)
        self.weights = LiveWeights(loop, layout, self.workers, _SEED)
        self.hollow: list[Child[DispatchersReport]] = []
        self.hollow_workers: list[Child[WorkersReport]] = []
        self.real: list[RealDispatcher] = []
        self.ready: set[int] = set()
        self._lifetime_s = lifetime_s

    @staticmethod
    def process_count(layout: Layout) -> int:
        """The number of processes of a run, including the leader."""
        size = layout.size
        hollow = -(-size.hollow // DISPATCHERS_PER_PROCESS)
        return 1 + size.real + hollow + -(-size.workers // WORKERS_PER_PROCESS)

    def start(self) -> None:
        """Starts all processes."""
        for number, names in enumerate(_batches(self.layout.workers, WORKERS_PER_PROCESS)):
            self.hollow_workers.append(self._workers_child(number, names))
        for number, numbers in enumerate(_batches(list(self.layout.hollow), DISPATCHERS_PER_PROCESS)):
            self.hollow.append(self._dispatchers_child(number, numbers))
        routes = self._open_links()
        for number in self.layout.real:
            self.real.append(self._real_dispatcher(number, routes))
        for instance in self.real:
            instance.start()

    def close(self) -> None:
        """Ends everything that was started."""
        self.load.stop()
        self.weights.stop()
        for instance in self.real:
            instance.close()
        for dispatchers in self.hollow:
            dispatchers.close()
        for workers in self.hollow_workers:
            workers.close()
        self.load.close()
        for agent in self.agents:
            agent.close()
        self.links.close()

    # Construction

    def _open_agents(self) -> list[DispatcherAgent]:
        """One agent for each dispatcher, with evenly staggered delays."""
        layout = self.layout
        regions = {region: RegionFeed(self.workers, layout.worker_addresses(region)) for region in REGIONS}
        return [
            DispatcherAgent(
                self.loop,
                regions[region_of(zone_of(number))],
                number * _AGENT_DELAY_SPREAD // layout.size.dispatchers,
                self._list_traffic,
            )
            for number in layout.numbers
        ]

    def _workers_child(self, number: int, names: list[str]) -> Child[WorkersReport]:
        layout = self.layout
        specs = [
            WorkerSpec(
                name,
                layout.worker_zone(name),
                {region: layout.worker_address(name, region) for region in REGIONS},
            )
            for name in names
        ]
        fronts = ["{}:{}".format(*layout.front(n)) for n in layout.numbers]
        spec = WorkersSpec(specs, fronts, SLOTS, JOB_S, self._lifetime_s)
        module = "ironbarrow.lab.scale.hollow_workers"
        label = f"workers-{number}"
        return Child(self.loop, module, spec, layout.folder, label, names, WorkersReport)

    def _dispatchers_child(self, number: int, numbers: list[int]) -> Child[DispatchersReport]:
        layout = self.layout
        specs = []
        for n in numbers:
            agent = self.agents[n]
            config = layout.write_config(n, agent.address, agent.known())
            specs.append(DispatcherSpec(f"d{n}", str(config), str(layout.write_fleet_file(n))))
        spec = DispatchersSpec(specs, [f"d{n}" for n in layout.real], self._lifetime_s)
        module = "ironbarrow.lab.scale.hollow_dispatchers"
        label = f"dispatchers-{number}"
        names = [one.name for one in specs]
        return Child(self.loop, module, spec, layout.folder, label, names, DispatchersReport)

    def _open_links(self) -> dict[tuple[int, int], str]:
        """Relays between the real dispatchers, which can be cut; their addresses by sender and target."""
        found = {}
        for sender in self.layout.real:
            for target in self.layout.real:
                if sender != target:
                    local = (self.layout.host(sender), 0)
                    remote = self.layout.member(target)
                    address = self.links.add(f"d{sender}", f"d{target}", local, remote)
                    found[sender, target] = "{}:{}".format(*address)
        return found

    def _real_dispatcher(self, number: int, routes: dict[tuple[int, int], str]) -> RealDispatcher:
        layout = self.layout
        own = {f"d{target}": address for (sender, target), address in routes.items() if sender == number}
        instance = RealDispatcher(
            self.loop,
            layout.world,
            number,
            layout.front(number),
            self.agents[number],
            layout.folder,
            Program.own(),
            _SEED * 100 + number,
            layout.fleet_text(number, own),
        )
        instance.layout = layout
        instance.on_ready = self.ready.add
        instance.on_end = self.ready.discard
        return instance

    # Control by the run

    def send_to_dispatchers(self, command: Command) -> None:
        """Sends a command to all processes of hollow dispatchers."""
        for child in self.hollow:
            child.send(command)

    def send_to_workers(self, command: Command) -> None:
        """Sends a command to all processes of hollow workers."""
        for child in self.hollow_workers:
            child.send(command)

    def cut_regions(self, cut: bool) -> None:
        """Partitions the regions, or ends the partition."""
        self.send_to_dispatchers(CutRegions(cut))
        self.send_to_workers(CutRegions(cut))
        numbers = self.layout.real
        region = {n: region_of(zone_of(n)) for n in numbers}
        pairs = [(f"d{a}", f"d{b}") for a in numbers for b in numbers if region[a] != region[b]]
        self.links.set(pairs, CUT if cut else NO_FAULT)

    def collect(self) -> Coroutine[Collected]:
        """Counts of all processes since the last call."""
        found = Collected()
        for dispatchers in self.hollow:
            found.dispatchers.append((yield from dispatchers.report()))
        for workers in self.hollow_workers:
            found.workers.append((yield from workers.report()))
        found.discovery = dict(self._list_traffic)
        self._list_traffic.clear()
        found.jobs = self.load.take_outcomes()
        return found

    def real_usage(self) -> dict[int, Usage]:
        """Resource usage of the running real dispatchers, by process id."""
        return _usages(instance.pid for instance in self.real)

    def hollow_usage(self) -> dict[int, Usage]:
        """Resource usage of the processes of hollow dispatchers, by process id."""
        return _usages(child.pid for child in self.hollow)

    def worker_usage(self) -> dict[int, Usage]:
        """Resource usage of the processes of hollow workers, by process id."""
        return _usages(child.pid for child in self.hollow_workers)

    def pids(self) -> list[int]:
        """Ids of all child processes that run."""
        children = [child.pid for child in self.hollow]
        children += [child.pid for child in self.hollow_workers]
        return children + [instance.pid for instance in self.real if instance.pid is not None]


def _batches(items: list[ItemT], size: int) -> list[list[ItemT]]:
    return [items[start : start + size] for start in range(0, len(items), size)]


def _usages(pids: Iterable[int | None]) -> dict[int, Usage]:
    return {pid: found for pid in pids if pid is not None and (found := usage(pid)) is not None}
