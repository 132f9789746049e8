"""All processes of a scale run, started and stopped together: the leader's view of them."""

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import TypeVar

from ironbarrow.lab.fleet.links import CUT, NO_FAULT, LinkProxies
from ironbarrow.lab.live.processes import Program
from ironbarrow.lab.scale.children import Child, RealDispatcher
from ironbarrow.lab.scale.discovery import DispatcherAgent, RegionLines, WorkerList
from ironbarrow.lab.scale.layout import JOB_S, SLOTS, Layout
from ironbarrow.lab.scale.load import LiveWeights, Load
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

DISPATCHERS_A_PROCESS = 6  # danger: of many, each would wait for all others where all work at once
WORKERS_A_PROCESS = 210
_SEED = 1
_AGENTS_SPREAD = SECOND  # within which all agents tell of a change

ItemT = TypeVar("ItemT")


@dataclass(slots=True)
class Collected:
    """What all processes have counted since the last collection."""

    dispatchers: list[DispatchersReport] = field(default_factory=list)
    workers: list[WorkersReport] = field(default_factory=list)
    discovery: dict[str, Traffic] = field(default_factory=dict)
    jobs: dict[str, int] = field(default_factory=dict)


class Parties:
    """Lists, links, loads and processes of one run."""

    def __init__(self, loop: Loop, layout: Layout, lives_s: float) -> None:
        self.loop, self.layout = loop, layout
        self.workers = WorkerList([layout.entry(name) for name in layout.workers])
        self._list_traffic: dict[str, Traffic] = defaultdict(Traffic)
        self.agents = self._open_agents()
        self.links = LinkProxies(loop, _SEED)
        self.load = Load(loop, layout, _SEED)
        self.weights = LiveWeights(loop, layout, self.workers, _SEED)
        self.hollow: list[Child[DispatchersReport]] = []
        self.hollow_workers: list[Child[WorkersReport]] = []
        self.real: list[RealDispatcher] = []
        self.ready: set[int] = set()
        self._lives_s = lives_s

    @staticmethod
    def process_count(layout: Layout) -> int:
        """How many processes a run takes, the leader included."""
        size = layout.size
        hollow = -(-size.hollow // DISPATCHERS_A_PROCESS)
        return 1 + size.real + hollow + -(-size.workers // WORKERS_A_PROCESS)

    def start(self) -> None:
        """Starts all of them."""
        for number, names in enumerate(_chunks(self.layout.workers, WORKERS_A_PROCESS)):
            self.hollow_workers.append(self._workers_child(number, names))
        for number, numbers in enumerate(_chunks(list(self.layout.hollow), DISPATCHERS_A_PROCESS)):
            self.hollow.append(self._dispatchers_child(number, numbers))
        routes = self._open_links()
        for number in self.layout.real:
            self.real.append(self._real_dispatcher(number, routes))
        for instance in self.real:
            instance.start()

    def close(self) -> None:
        """Ends all that was started."""
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

    # How each is made

    def _open_agents(self) -> list[DispatcherAgent]:
        """One agent for each dispatcher, evenly out of step."""
        layout = self.layout
        regions = {region: RegionLines(self.workers, layout.worker_addresses(region)) for region in REGIONS}
        return [
            DispatcherAgent(
                self.loop,
                regions[region_of(zone_of(number))],
                number * _AGENTS_SPREAD // layout.size.dispatchers,
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
        spec = WorkersSpec(specs, fronts, SLOTS, JOB_S, self._lives_s)
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
        spec = DispatchersSpec(specs, [f"d{n}" for n in layout.real], self._lives_s)
        module = "ironbarrow.lab.scale.hollow_dispatchers"
        label = f"dispatchers-{number}"
        names = [one.name for one in specs]
        return Child(self.loop, module, spec, layout.folder, label, names, DispatchersReport)

    def _open_links(self) -> dict[tuple[int, int], str]:
        """Where each real dispatcher finds each other real one: at a relay that can be cut."""
        found = {}
        for sender in self.layout.real:
            for target in self.layout.real:
                if sender != target:
                    near = (self.layout.host(sender), 0)
                    goes_to = self.layout.member(target)
                    address = self.links.add(f"d{sender}", f"d{target}", near, goes_to)
                    found[sender, target] = "{}:{}".format(*address)
        return found

    def _real_dispatcher(self, number: int, routes: dict[tuple[int, int], str]) -> RealDispatcher:
        layout = self.layout
        own = {f"d{target}": address for (sender, target), address in routes.items() if sender == number}
        made = RealDispatcher(
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
        made.layout = layout
        made.on_ready = self.ready.add
        made.on_end = self.ready.discard
        return made

    # What the run does with them

    def tell_dispatchers(self, command: Command) -> None:
        """An order to all hollow dispatchers."""
        for child in self.hollow:
            child.tell(command)

    def tell_workers(self, command: Command) -> None:
        """An order to all hollow workers."""
        for child in self.hollow_workers:
            child.tell(command)

    def cut_regions(self, cut: bool) -> None:
        """Nothing passes between regions from now on, or everything does again."""
        self.tell_dispatchers(CutRegions(cut))
        self.tell_workers(CutRegions(cut))
        numbers = self.layout.real
        region = {n: region_of(zone_of(n)) for n in numbers}
        pairs = [(f"d{a}", f"d{b}") for a in numbers for b in numbers if region[a] != region[b]]
        self.links.set(pairs, CUT if cut else NO_FAULT)

    def collect(self) -> Coroutine[Collected]:
        """Everybody's counts since the last time."""
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
        """Of the real dispatchers that run now, by process id."""
        return _usages(instance.pid for instance in self.real)

    def hollow_usage(self) -> dict[int, Usage]:
        """Of the processes of hollow dispatchers, by process id."""
        return _usages(child.pid for child in self.hollow)

    def worker_usage(self) -> dict[int, Usage]:
        """Of the processes of hollow workers, by process id."""
        return _usages(child.pid for child in self.hollow_workers)

    def pids(self) -> list[int]:
        """Of all processes that were started and run."""
        children = [child.pid for child in self.hollow]
        children += [child.pid for child in self.hollow_workers]
        return children + [instance.pid for instance in self.real if instance.pid is not None]


def _chunks(items: list[ItemT], most: int) -> list[list[ItemT]]:
    return [items[start : start + most] for start in range(0, len(items), most)]


def _usages(pids: Iterable[int | None]) -> dict[int, Usage]:
    return {pid: found for pid in pids if pid is not None and (found := usage(pid)) is not None}
