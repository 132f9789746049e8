"""A live run: the model's parties in this process, dispatchers in processes of their own, on loopback."""

import tempfile
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import numpy as np
import structlog

from ironbarrow.lab.audit import Auditor
from ironbarrow.lab.fleet.files import fleet_file
from ironbarrow.lab.fleet.links import CALM, LinkStandIns, Trouble
from ironbarrow.lab.fleet.logs import read_logs
from ironbarrow.lab.live.clients import Clients
from ironbarrow.lab.live.discovery_server import Agent
from ironbarrow.lab.live.ports import LoopbackNetwork
from ironbarrow.lab.live.processes import Instance, Program
from ironbarrow.lab.live.wire import HttpClient
from ironbarrow.lab.live.worker_server import Door
from ironbarrow.lab.model.client import ClientBehaviour
from ironbarrow.lab.model.fleet import FaultSchedule, Fleet
from ironbarrow.lab.model.load_balancer import LoadBalancer
from ironbarrow.lab.model.randomness import Streams
from ironbarrow.lab.model.spec import Fault, WorkerGroup, World
from ironbarrow.lab.model.worker import State, Worker
from ironbarrow.lab.model.workload import Workload
from ironbarrow.lab.record import LoadSamples, Recorder
from ironbarrow.lab.result import Result
from ironbarrow.lab.settings import zone_of
from ironbarrow.runtime.clock import MS, SECOND
from ironbarrow.runtime.loop import Coroutine, Loop, sleep

log = structlog.get_logger()

SOCKETS_SLACK = 50 * MS  # each time limit is so much longer on sockets
LATE = 20 * MS  # a generator whose 99th percentile of lateness is over this marks its result
_SAMPLE_STEP = 250 * MS
_SEES_STOP = 20 * MS
_START_LIMIT_S = 30


class LiveError(Exception):
    """A run that could not be started."""


class _LiveFleet(Fleet):
    """Workers that open their doors when their processes start and shut them when these end."""

    opened: Callable[[Worker], None] = staticmethod(lambda worker: None)
    ended: Callable[[str], None] = staticmethod(lambda name: None)

    def add(self, group: WorkerGroup, name: str, zone: str, started_at: int = 0) -> Worker:
        made = super().add(group, name, zone, started_at)
        self.opened(made)
        return made

    def end(self, name: str, *, silent: bool = False) -> None:
        super().end(name, silent=silent)
        if self.workers[name].state is State.DOWN:
            self.ended(name)


class LiveRun:
    """One world and one seed on sockets. ``folder`` takes the dispatchers' configurations and logs."""

    lost_after: int | None = None  # see ``Auditor``

    def __init__(
        self,
        world: World,
        seed: int,
        folder: Path | None = None,
        program: Program | None = None,
        progress: Callable[[float, int, int], None] | None = None,
        *,
        stand_ins: bool = True,
    ) -> None:
        """``stand_ins``: the links of a fleet pass through relays; without, no fault can touch them."""
        self.world, self.seed = world, seed
        self._folder = folder or Path(tempfile.mkdtemp(prefix="ironbarrow-lab-"))
        self._folder.mkdir(parents=True, exist_ok=True)
        self._program = program or Program.own()
        self._progress = progress
        self.loop = loop = Loop(self._failed)
        self.errors = 0
        self.streams = Streams(seed)
        self.audit = Auditor(loop, world, transport_slack=SOCKETS_SLACK, lost_after=self.lost_after)
        self.fleet = _LiveFleet(loop, world, self.streams, self.audit)
        self._habits = ClientBehaviour(loop, world, self.streams)
        self._doors: dict[str, list[Door]] = {}
        count = world.dispatchers.count
        self._loopback = LoopbackNetwork.reserve(count)
        self._listen = [self._loopback.dispatcher(n) for n in range(count)]
        self._call_backs = [HttpClient(loop, address) for address in self._listen]
        self._addresses: list[dict[str, str]] = [{} for _ in range(count)]
        self._discovery_told: list[set[str]] = [set() for _ in range(count)]
        self.front = LoadBalancer(loop, [zone_of(world, n) for n in range(count)], world.clients.notice)
        for worker in self.fleet.workers.values():
            self._open(worker)
        self.fleet.opened = self._open
        self.fleet.ended = self._shut
        self.recorder = Recorder(world)
        self.samples = LoadSamples(_SAMPLE_STEP, [], [])
        http_clients = [HttpClient(loop, address) for address in self._listen]
        self.clients = Clients(
            loop,
            world,
            self._habits,
            self.fleet.network,
            self.front,
            http_clients,
            self.audit,
            self.recorder,
        )
        self.workload = Workload(loop, world, self.streams, self.clients.take)
        self.faults = FaultSchedule(loop, world, self.fleet, self.workload, self, self.streams)
        self._down: dict[int, int] = {}
        self._ready: set[int] = set()
        self._agents: list[Agent] = []
        self.instances: list[Instance] = []
        self.stops = 0  # of dispatchers that stood still
        self.links = LinkStandIns(loop, seed)
        self._stand_ins = stand_ins
        if world.dispatchers.fleet is not None and stand_ins:
            self._routes = {
                (n, other): self.links.add(
                    f"d{n}", f"d{other}", self._loopback.party(n), self._loopback.fleet_member(other)
                )
                for n in range(count)
                for other in range(count)
                if n != other
            }
        for number in range(count):
            self._add_instance(number)

    def _failed(self, error: Exception) -> None:
        self.errors += 1
        log.error("a party of the laboratory failed", exc_info=error)

    def _fleet_file(self, number: int) -> str | None:
        """Of one dispatcher: it finds each other one at the stand-in of that way."""
        rules = self.world.dispatchers.fleet
        if rules is None:
            return None
        others = {}
        for other in range(len(self._listen)):
            if other != number:
                address = (
                    self._routes[number, other] if self._stand_ins else self._loopback.fleet_member(other)
                )
                others[f"d{other}"] = "{}:{}".format(*address)
        listen = "{}:{}".format(*self._loopback.fleet_member(number))
        return fleet_file(rules, listen, zone_of(self.world, number), others)

    def _add_instance(self, number: int) -> None:
        def told(name: str, up: bool) -> None:
            self.audit.status_received(number, name, up=up)

        agent = Agent(
            self.loop,
            self.fleet.discovery,
            f"d{number}",
            self._addresses[number],
            told,
            self._loopback.party(number),
        )
        instance = Instance(
            self.loop,
            self.world,
            number,
            self._listen[number],
            agent,
            self._folder,
            self._program,
            self.seed * 100 + number,
            self._fleet_file(number),
        )
        instance.on_ready = self._is_ready
        instance.on_end = self._has_ended
        self._agents.append(agent)
        self.instances.append(instance)

    def _open(self, worker: Worker) -> None:
        doors = []
        for number, client in enumerate(self._call_backs):
            zone = zone_of(self.world, number)

            def elsewhere(own: int = number, zone: str = zone) -> HttpClient | None:
                """Another dispatcher, through the front of some zone, its own first."""
                zones = [zone, *(z for z in self.world.network.zones if z != zone)]
                picked = (self.front.choose(z) for z in zones)
                other = next((n for n in picked if n is not None and n != own), None)
                return None if other is None else self._call_backs[other]

            door = Door(
                self.loop,
                worker,
                self._loopback.party(number),
                zone=zone,
                call_back=client,
                needs=self._habits.demands,
                audit=self.audit,
                network=self.fleet.network,
                number=number,
                elsewhere=elsewhere if self.world.dispatchers.fleet is not None else None,
            )
            self._addresses[number][worker.name] = "{}:{}".format(*door.address)
            doors.append(door)
        self._doors[worker.name] = doors

    def _shut(self, name: str) -> None:
        for door in self._doors.pop(name, ()):
            door.close()

    # Dispatchers

    def _is_ready(self, number: int) -> None:
        self._ready.add(number)
        self.front.mark_ready(number)

    def _has_ended(self, number: int) -> None:
        self._ready.discard(number)
        self.audit.dispatcher_died(number)
        self.front.mark_failed(number)
        if number in self._down:
            self.loop.call_at(self.loop.now() + self._down.pop(number), self.instances[number].start)

    def kill(self, number: int, down: int) -> None:
        self._down[number] = down
        self.instances[number].kill()

    def restart(self, number: int, down: int) -> None:
        self._down[number] = down
        self.front.mark_stopping(number)
        self.instances[number].stop()

    def reload(self, number: int) -> None:
        self.instances[number].reload()

    def pause(self, number: int, lasts: int) -> None:
        """Its connections stay, and say nothing; the front notices as it notices a dead one."""
        self.stops += 1
        self.instances[number].pause()
        self.audit.dispatcher_paused(number)
        self.front.mark_failed(number)
        self.loop.call_at(self.loop.now() + lasts, self._goes_on, number, self.instances[number].pid)

    def _goes_on(self, number: int, pid: int | None) -> None:
        if pid is not None and self.instances[number].pid == pid:
            self.instances[number].go_on()
            self.audit.dispatcher_resumed(number)
            self.front.mark_ready(number)

    def end_first(self, point: str, down: int) -> None:
        """Whichever dispatcher comes to a named point first ends there by itself, and starts again so many ns
        later. Before ``run``."""
        for number, instance in enumerate(self.instances):
            self.end_at(number, point, down)
            instance.fault_once = True

    def end_at(self, number: int, point: str, down: int) -> None:
        """A dispatcher's first incarnation ends by itself at a named point ("POINT:N"), and starts again so
        many ns later. Before ``run``."""
        self.instances[number].fault = point
        self._down[number] = down

    def stop_at(self, number: int, point: str, lasts: int) -> None:
        """A dispatcher's first incarnation stops by itself at a named point, and goes on so many ns later.
        Before ``run``."""
        self.instances[number].fault = f"{point}:stop"
        self.loop.spawn(self._watch_for_stop(number, lasts))

    def _watch_for_stop(self, number: int, lasts: int) -> Coroutine[None]:
        while not self.instances[number].stands_still:
            yield from sleep(self.loop.now() + _SEES_STOP)
        self.pause(number, lasts)

    def impair_links(self, fault: Fault) -> None:
        pairs = self.pairs_of(fault)
        cut = fault.kind == "links cut"
        self.links.set(pairs, Trouble(fault.delay, fault.jitter, fault.lost, fault.doubled, cut))
        self.loop.call_at(self.loop.now() + fault.lasts, self.links.set, pairs, CALM)

    def pairs_of(self, fault: Fault) -> list[tuple[str, str]]:
        """The ordered pairs of dispatchers whose links a fault touches."""
        numbers = range(len(self._listen))
        zones = [zone_of(self.world, n) for n in numbers]
        found = set()
        for a in numbers:
            for b in numbers:
                if fault.pair:
                    touched = [a, b] == fault.pair
                elif len(fault.zones) > 1:
                    touched = zones[a] == fault.zones[0] and zones[b] in fault.zones[1:]
                else:
                    touched = a != b
                if touched:
                    found.add((f"d{a}", f"d{b}"))
        return sorted(found if fault.one_way else found | {(b, a) for a, b in found})

    # The run

    def run(self) -> Result:
        """Plays it in real time; a LiveError if the dispatchers do not come up."""
        begun = time.perf_counter()
        try:
            self.start()
            result = self._play()
        finally:
            self.close()
        result.wall_s = time.perf_counter() - begun
        return result

    def start(self) -> None:
        """Starts the dispatchers; a LiveError unless all of them become ready."""
        for instance in self.instances:
            instance.start()
        self._until_ready()

    def close(self) -> None:
        """Ends the dispatchers' processes and lets go of every socket."""
        for instance in self.instances:
            instance.close()
        for doors in self._doors.values():
            for door in doors:
                door.close()
        for agent in self._agents:
            agent.close()
        self.links.close()
        self.loop.close()
        self._loopback.close()

    def _until_ready(self) -> None:
        limit = time.monotonic() + _START_LIMIT_S
        while len(self._ready) < len(self.instances):
            if time.monotonic() > limit:
                late = [one for one in self.instances if one.number not in self._ready]
                raise self._failed_start(f"not all dispatchers are ready after {_START_LIMIT_S} s", late)
            if ended := [instance for instance in self.instances if instance.crashes]:
                raise self._failed_start("a dispatcher ended at its start", ended)
            self._turn(100 * MS)

    def _failed_start(self, what: str, concerned: list[Instance]) -> LiveError:
        logs = "\n".join(instance.last_words for instance in concerned)
        return LiveError(f"{what}; logs are in {self._folder}\n{logs}")

    def _turn(self, most: int) -> None:
        self.loop.call_at(self.loop.now() + most, _nothing)
        self.loop.run_once()

    def _play(self) -> Result:
        started_at = self.recorder.started_at = self.loop.now()
        self.faults.start()
        self.workload.start()
        self._sample()
        longest = max(cls.deadline for cls in self.world.classes)
        last = started_at + self.world.duration + longest + 3 * SECOND
        told = 0
        while not (self.workload.ended and not self.clients.open) and self.loop.now() < last:
            self._turn(50 * MS)
            if self._progress is not None and self.loop.now() > told + 200 * MS:
                told = self.loop.now()
                self._progress((told - started_at) / SECOND, self.workload.created, len(self.recorder))
        span = (self.loop.now() - started_at) / SECOND
        rows = self.recorder.columns()
        late = float(np.percentile(rows["late_by"], 99)) if len(rows["late_by"]) else 0.0
        starts = [ready / 1e6 for instance in self.instances for ready in instance.ready_after]
        return Result(
            self.world,
            self.seed,
            "live",
            rows,
            self.audit.finish(),
            self.faults.injected,
            self.samples,
            0.0,
            span,
            notes={
                "late": late > LATE,
                "late_p99_ms": late / 1e6,
                "peak_mb": [round(instance.peak_kb / 1024, 1) for instance in self.instances],
                "ready_after_ms": [round(value, 1) for value in starts],
                "crashes": sum(instance.crashes for instance in self.instances),
                "refused_connections": self.clients.refused_connections,
                "wrong_results": self.clients.wrong_results,
                "errors": self.errors,
                "unheard_call_backs": sum(d.gave_up_calls for doors in self._doors.values() for d in doors),
                "unheard_ends": sum(d.gave_up_ends for doors in self._doors.values() for d in doors),
                "came_again": self.clients.came_again,
                "without_dispatcher": {
                    cls.name: sum(order.cls == n for order in self.clients.without_dispatcher)
                    for n, cls in enumerate(self.world.classes)
                },
                "fleet": self._fleet_notes(),
                "folder": str(self._folder),
                **self.audit.rates_by_second(started_at),
            },
        )

    def _fleet_notes(self) -> dict[str, Any]:
        """What the dispatchers' logs and the links tell of the fleet; empty without one."""
        if self.world.dispatchers.fleet is None:
            return {}
        ends = {f"d{n}": instance.ended_at for n, instance in enumerate(self.instances)}
        told = read_logs({f"d{n}": instance.log_path for n, instance in enumerate(self.instances)}, ends)
        return {**told, "frames": dict(self.links.frames), "bytes": sum(self.links.bytes.values())}

    def _sample(self) -> None:
        self.samples.held.append([worker.held for worker in self.fleet.workers.values()])
        self.samples.names = list(self.fleet.workers)
        if not self.workload.ended:
            self.loop.call_at(self.loop.now() + _SAMPLE_STEP, self._sample)


def _nothing() -> None:
    return
