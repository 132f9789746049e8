"""A live run: model workers, clients and discovery in this process, dispatchers in processes of their own."""

import tempfile
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import numpy as np
import structlog

from ironbarrow.lab.audit import Auditor
from ironbarrow.lab.fleet.files import fleet_file
from ironbarrow.lab.fleet.links import NO_FAULT, LinkFault, LinkProxies
from ironbarrow.lab.fleet.logs import read_logs
from ironbarrow.lab.live.clients import Clients
from ironbarrow.lab.live.discovery_server import DiscoveryAgent
from ironbarrow.lab.live.http import HttpClient
from ironbarrow.lab.live.ports import LoopbackNetwork
from ironbarrow.lab.live.processes import Instance, Program
from ironbarrow.lab.live.worker_server import WorkerEndpoint
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

SOCKET_TOLERANCE = 50 * MS  # added to the auditor's time limits, for delays of real sockets
LATENESS_LIMIT = 20 * MS  # of the clients' requests at the 99th percentile; above it a result is marked late
_SAMPLE_INTERVAL = 250 * MS
_STOP_POLL_INTERVAL = 20 * MS
_STARTUP_TIMEOUT_S = 30


class LiveError(Exception):
    """A live run whose dispatchers could not be started."""


class _LiveFleet(Fleet):
    """A fleet that calls back when a worker's process starts, and when it ends."""

    on_worker_start: Callable[[Worker], None] = staticmethod(lambda worker: None)
    on_worker_end: Callable[[str], None] = staticmethod(lambda name: None)

    def add(self, group: WorkerGroup, name: str, zone: str, started_at: int = 0) -> Worker:
        worker = super().add(group, name, zone, started_at)
        self.on_worker_start(worker)
        return worker

    def end(self, name: str, *, silent: bool = False) -> None:
        super().end(name, silent=silent)
        if self.workers[name].state is State.DOWN:
            self.on_worker_end(name)


class LiveRun:
    """Runs a world with one seed on sockets. ``folder``: for the dispatchers' configurations and logs."""

    lost_after: int | None = None  # see ``Auditor``

    def __init__(
        self,
        world: World,
        seed: int,
        folder: Path | None = None,
        program: Program | None = None,
        progress: Callable[[float, int, int], None] | None = None,
        *,
        relay_links: bool = True,
    ) -> None:
        """``relay_links``: whether the fleet's links pass through relays, which the faults of links need."""
        self.world, self.seed = world, seed
        self._folder = folder or Path(tempfile.mkdtemp(prefix="ironbarrow-lab-"))
        self._folder.mkdir(parents=True, exist_ok=True)
        self._program = program or Program.own()
        self._progress = progress
        self.loop = loop = Loop(self._on_task_failure)
        self.errors = 0
        self.streams = Streams(seed)
        self.audit = Auditor(loop, world, transport_slack=SOCKET_TOLERANCE, lost_after=self.lost_after)
        self.fleet = _LiveFleet(loop, world, self.streams, self.audit)
        self._habits = ClientBehaviour(loop, world, self.streams)
        self._endpoints: dict[str, list[WorkerEndpoint]] = {}
        count = world.dispatchers.count
        self._loopback = LoopbackNetwork.reserve(count)
        self._listen = [self._loopback.dispatcher(n) for n in range(count)]
        self._call_back_clients = [HttpClient(loop, address) for address in self._listen]
        self._addresses: list[dict[str, str]] = [{} for _ in range(count)]
        self._discovery_told: list[set[str]] = [set() for _ in range(count)]
        self.front = LoadBalancer(loop, [zone_of(world, n) for n in range(count)], world.clients.notice)
        for worker in self.fleet.workers.values():
            self._open_endpoints(worker)
        self.fleet.on_worker_start = self._open_endpoints
        self.fleet.on_worker_end = self._close_endpoints
        self.recorder = Recorder(world)
        self.samples = LoadSamples(_SAMPLE_INTERVAL, [], [])
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
        self.workload = Workload(loop, world, self.streams, self.clients.submit)
        self.faults = FaultSchedule(loop, world, self.fleet, self.workload, self, self.streams)
        self._restart_delays: dict[int, int] = {}
        self._ready: set[int] = set()
        self._discovery_agents: list[DiscoveryAgent] = []
        self.instances: list[Instance] = []
        self.pauses = 0  # of dispatchers, by SIGSTOP
        self.links = LinkProxies(loop, seed)
        self._relay_links = relay_links
        if world.dispatchers.fleet is not None and relay_links:
            self._routes = {
                (n, other): self.links.add(
                    f"d{n}", f"d{other}", self._loopback.lab_listener(n), self._loopback.fleet_member(other)
                )
                for n in range(count)
                for other in range(count)
                if n != other
            }
        for number in range(count):
            self._add_instance(number)

    def _on_task_failure(self, error: Exception) -> None:
        self.errors += 1
        log.error("a task of the live run failed", exc_info=error)

    def _fleet_file(self, number: int) -> str | None:
        """The text of a dispatcher's fleet file, with the addresses of the relays to the others."""
        rules = self.world.dispatchers.fleet
        if rules is None:
            return None
        others = {}
        for other in range(len(self._listen)):
            if other != number:
                address = (
                    self._routes[number, other] if self._relay_links else self._loopback.fleet_member(other)
                )
                others[f"d{other}"] = "{}:{}".format(*address)
        listen = "{}:{}".format(*self._loopback.fleet_member(number))
        return fleet_file(rules, listen, zone_of(self.world, number), others)

    def _add_instance(self, number: int) -> None:
        def record_status(name: str, up: bool) -> None:
            self.audit.status_received(number, name, up=up)

        agent = DiscoveryAgent(
            self.loop,
            self.fleet.discovery,
            f"d{number}",
            self._addresses[number],
            record_status,
            self._loopback.lab_listener(number),
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
        instance.on_ready = self._on_ready
        instance.on_end = self._on_end
        self._discovery_agents.append(agent)
        self.instances.append(instance)

    def _open_endpoints(self, worker: Worker) -> None:
        endpoints = []
        for number, client in enumerate(self._call_back_clients):
            zone = zone_of(self.world, number)

            def alternative(own: int = number, zone: str = zone) -> HttpClient | None:
                """Another dispatcher, as the front picks it for the own zone or else another one."""
                zones = [zone, *(z for z in self.world.network.zones if z != zone)]
                picked = (self.front.choose(z) for z in zones)
                other = next((n for n in picked if n is not None and n != own), None)
                return None if other is None else self._call_back_clients[other]

            endpoint = WorkerEndpoint(
                self.loop,
                worker,
                self._loopback.lab_listener(number),
                zone=zone,
                client=client,
                needs=self._habits.demands,
                audit=self.audit,
                network=self.fleet.network,
                dispatcher=number,
                alternative=alternative if self.world.dispatchers.fleet is not None else None,
            )
            self._addresses[number][worker.name] = "{}:{}".format(*endpoint.address)
            endpoints.append(endpoint)
        self._endpoints[worker.name] = endpoints

    def _close_endpoints(self, name: str) -> None:
        for endpoint in self._endpoints.pop(name, ()):
            endpoint.close()

    # Dispatchers

    def _on_ready(self, number: int) -> None:
        self.audit.dispatcher_started(number)
        self._ready.add(number)
        self.front.mark_ready(number)

    def _on_end(self, number: int) -> None:
        self._ready.discard(number)
        self.audit.dispatcher_died(number)
        self.front.mark_failed(number)
        if number in self._restart_delays:
            self.loop.call_at(
                self.loop.now() + self._restart_delays.pop(number), self.instances[number].start
            )

    def kill(self, number: int, down: int) -> None:
        """Kills a dispatcher, and starts it again ``down`` ns after its end."""
        self._restart_delays[number] = down
        self.audit.dispatcher_killed(number)
        self.instances[number].kill()

    def restart(self, number: int, down: int) -> None:
        """Stops a dispatcher with SIGTERM, and starts it again ``down`` ns after its end."""
        self._restart_delays[number] = down
        self.front.mark_stopping(number)
        self.audit.dispatcher_stopping(number)
        self.instances[number].stop()

    def reload(self, number: int) -> None:
        """Gives a dispatcher a changed configuration, which it loads at SIGHUP."""
        self.instances[number].reload()

    def pause(self, number: int, lasts: int) -> None:
        """Suspends a dispatcher for ``lasts`` ns.

        Its connections stay open without any traffic. The front stops using it after the same delay as for a
        dispatcher that has died.
        """
        self.pauses += 1
        self.instances[number].pause()
        self.audit.dispatcher_paused(number)
        self.front.mark_failed(number)
        self.loop.call_at(self.loop.now() + lasts, self._resume, number, self.instances[number].pid)

    def _resume(self, number: int, pid: int | None) -> None:
        if pid is not None and self.instances[number].pid == pid:
            self.instances[number].resume()
            self.audit.dispatcher_resumed(number)
            self.front.mark_ready(number)

    def inject_first_exit(self, point: str, down: int) -> None:
        """Makes the first dispatcher that reaches a fault point end there; it starts again ``down`` ns later.

        To be called before ``run``.
        """
        for number, instance in enumerate(self.instances):
            self.inject_exit(number, point, down)
            instance.fault_once = True

    def inject_exit(self, number: int, point: str, down: int) -> None:
        """Makes a dispatcher's first incarnation end at a fault point; it starts again ``down`` ns later.

        ``point``: "POINT:N", the Nth time at that point. To be called before ``run``.
        """
        self.instances[number].fault_point = point
        self._restart_delays[number] = down

    def inject_stop(self, number: int, point: str, lasts: int) -> None:
        """Makes a dispatcher's first incarnation stop itself at a fault point; resumes it after ``lasts`` ns.

        To be called before ``run``.
        """
        self.instances[number].fault_point = f"{point}:stop"
        self.loop.spawn(self._pause_once_stopped(number, lasts))

    def _pause_once_stopped(self, number: int, lasts: int) -> Coroutine[None]:
        while not self.instances[number].is_stopped:
            yield from sleep(self.loop.now() + _STOP_POLL_INTERVAL)
        self.pause(number, lasts)

    def impair_links(self, fault: Fault) -> None:
        """Applies a fault of the links between dispatchers, and removes it after its duration."""
        pairs = self.link_pairs(fault)
        cut = fault.kind == "links cut"
        self.links.set(pairs, LinkFault(fault.delay, fault.jitter, fault.lost, fault.doubled, cut))
        self.loop.call_at(self.loop.now() + fault.lasts, self.links.set, pairs, NO_FAULT)

    def link_pairs(self, fault: Fault) -> list[tuple[str, str]]:
        """The ordered pairs of dispatchers, by name, whose links a fault affects."""
        numbers = range(len(self._listen))
        zones = [zone_of(self.world, n) for n in numbers]
        pairs = set()
        for a in numbers:
            for b in numbers:
                if fault.pair:
                    affected = [a, b] == fault.pair
                elif len(fault.zones) > 1:
                    affected = zones[a] == fault.zones[0] and zones[b] in fault.zones[1:]
                else:
                    affected = a != b
                if affected:
                    pairs.add((f"d{a}", f"d{b}"))
        return sorted(pairs if fault.one_way else pairs | {(b, a) for a, b in pairs})

    # The run

    def run(self) -> Result:
        """Runs the world in real time; raises LiveError if the dispatchers do not become ready."""
        started = time.perf_counter()
        try:
            self.start()
            result = self._run_workload()
        finally:
            self.close()
        result.wall_s = time.perf_counter() - started
        return result

    def start(self) -> None:
        """Starts the dispatchers; raises LiveError unless all of them become ready."""
        for instance in self.instances:
            instance.start()
        self._wait_until_ready()

    def close(self) -> None:
        """Kills the dispatchers' processes and closes all sockets."""
        for instance in self.instances:
            instance.close()
        for endpoints in self._endpoints.values():
            for endpoint in endpoints:
                endpoint.close()
        for agent in self._discovery_agents:
            agent.close()
        self.links.close()
        self.loop.close()
        self._loopback.close()

    def _wait_until_ready(self) -> None:
        deadline = time.monotonic() + _STARTUP_TIMEOUT_S
        while len(self._ready) < len(self.instances):
            if time.monotonic() > deadline:
                not_ready = [one for one in self.instances if one.number not in self._ready]
                raise self._startup_error(
                    f"not all dispatchers are ready after {_STARTUP_TIMEOUT_S} s", not_ready
                )
            if ended := [instance for instance in self.instances if instance.crashes]:
                raise self._startup_error("a dispatcher ended at its start", ended)
            self._run_loop(100 * MS)

    def _startup_error(self, problem: str, instances: list[Instance]) -> LiveError:
        logs = "\n".join(instance.log_excerpt for instance in instances)
        return LiveError(f"{problem}; logs are in {self._folder}\n{logs}")

    def _run_loop(self, max_wait: int) -> None:
        self.loop.call_at(self.loop.now() + max_wait, _do_nothing)
        self.loop.run_once()

    def _run_workload(self) -> Result:
        started_at = self.recorder.started_at = self.loop.now()
        self.faults.start()
        self.workload.start()
        self._sample()
        longest_deadline = max(cls.deadline for cls in self.world.classes)
        time_limit = started_at + self.world.duration + longest_deadline + 3 * SECOND
        reported_at = 0
        while not (self.workload.ended and not self.clients.in_progress) and self.loop.now() < time_limit:
            self._run_loop(50 * MS)
            if self._progress is not None and self.loop.now() > reported_at + 200 * MS:
                reported_at = self.loop.now()
                self._progress((reported_at - started_at) / SECOND, self.workload.created, len(self.recorder))
        span = (self.loop.now() - started_at) / SECOND
        rows = self.recorder.columns()
        late = float(np.percentile(rows["late_by"], 99)) if len(rows["late_by"]) else 0.0
        starts = [ready / 1e6 for instance in self.instances for ready in instance.startup_times]
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
                "late": late > LATENESS_LIMIT,
                "late_p99_ms": late / 1e6,
                "peak_mb": [round(instance.peak_kb / 1024, 1) for instance in self.instances],
                "ready_after_ms": [round(value, 1) for value in starts],
                "crashes": sum(instance.crashes for instance in self.instances),
                "refused_connections": self.clients.refused_connections,
                "wrong_results": self.clients.wrong_results,
                "errors": self.errors,
                "unheard_call_backs": sum(
                    e.undelivered_call_backs for endpoints in self._endpoints.values() for e in endpoints
                ),
                "unheard_ends": sum(
                    e.undelivered_ends for endpoints in self._endpoints.values() for e in endpoints
                ),
                "came_again": self.clients.repeated_requests,
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
        """Results from the dispatchers' logs and their links; empty without a fleet."""
        if self.world.dispatchers.fleet is None:
            return {}
        ends = {f"d{n}": instance.end_times for n, instance in enumerate(self.instances)}
        log_notes = read_logs({f"d{n}": instance.log_path for n, instance in enumerate(self.instances)}, ends)
        return {**log_notes, "frames": dict(self.links.frames), "bytes": sum(self.links.bytes.values())}

    def _sample(self) -> None:
        self.samples.held.append([worker.held for worker in self.fleet.workers.values()])
        self.samples.names = list(self.fleet.workers)
        if not self.workload.ended:
            self.loop.call_at(self.loop.now() + _SAMPLE_INTERVAL, self._sample)


def _do_nothing() -> None:
    return
