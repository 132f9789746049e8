"""A run in simulated time: the dispatchers, clients, workers and faults of one world, with an auditor."""

import gc
import time
from dataclasses import dataclass
from hashlib import blake2b
from typing import Any

from heathway import api
from heathway.settings import read_settings
from ironbarrow.core.host import Host
from ironbarrow.core.jobs import Answer, JobOptions, Payload, Verdict
from ironbarrow.core.jobs import Job as HostJob
from ironbarrow.lab.audit import Auditor
from ironbarrow.lab.model.client import ClientBehaviour, Finished
from ironbarrow.lab.model.discovery import ListUpdate
from ironbarrow.lab.model.fleet import FaultSchedule, Fleet
from ironbarrow.lab.model.load_balancer import LoadBalancer
from ironbarrow.lab.model.randomness import Streams
from ironbarrow.lab.model.spec import Fault, World, WorldError
from ironbarrow.lab.model.worker import WorkerObserver
from ironbarrow.lab.model.workload import ClientRequest, Workload
from ironbarrow.lab.record import LoadSamples, Recorder
from ironbarrow.lab.result import Result
from ironbarrow.lab.settings import settings_object, zone_of
from ironbarrow.lab.sim.back import SimulatedBack
from ironbarrow.lab.sim.clock import ProcessClock, SimulatedClock
from ironbarrow.routing.file import LoadedFile, parse_routes
from ironbarrow.routing.request import make_request
from ironbarrow.routing.router import Router, Ticket, job_options
from ironbarrow.routing.table import RoutingTable
from ironbarrow.runtime.clock import MS, SECOND

_WARM_UP = 500 * MS  # from the start of the dispatchers to the first job
_ANSWER_DEADLINE = 3200 * MS  # from a stop request; as in ``ironbarrow.daemon``
_MIN_STOP_TIME = 1500 * MS  # a stopping process accepts requests for at least this long
_SAMPLE_STEP = 250 * MS
_LATE_ANSWER_MARGIN = 20 * MS
_GC_THRESHOLD = 100_000  # allocations between garbage collections
_STATES = {
    "up": api.WorkerState.UP,
    "draining": api.WorkerState.DRAINING,
    "removed": api.WorkerState.GONE,
}


class Digest(WorkerObserver):
    """A hash over the events of a run in their order; equal runs have equal digests."""

    def __init__(self, clock: SimulatedClock, ignored_workers: frozenset[str]) -> None:
        """``ignored_workers``: workers whose starts and ends of jobs are left out."""
        self._clock, self._ignored_workers = clock, ignored_workers
        self._hash = blake2b(digest_size=16)
        self._start = clock.now()

    def add(self, *words: object) -> None:
        """Adds an event at the current time."""
        self._hash.update(f"{self._clock.now() - self._start} {words}\n".encode())

    def job_started(self, worker: str, job_id: str) -> None:
        if worker not in self._ignored_workers:
            self.add("start", worker, job_id)

    def job_ended(self, worker: str, job_id: str, outcome: str) -> None:
        if worker not in self._ignored_workers:
            self.add(outcome, worker, job_id)

    def collapsed(self, worker: str) -> None:
        self.add("fell", worker)

    def hex(self) -> str:
        return self._hash.hexdigest()


class _WorkerObservers(WorkerObserver):
    """Passes the events of workers on to several observers."""

    def __init__(self, *observers: WorkerObserver) -> None:
        self._observers = observers

    def job_started(self, worker: str, job_id: str) -> None:
        for observer in self._observers:
            observer.job_started(worker, job_id)

    def job_ended(self, worker: str, job_id: str, outcome: str) -> None:
        for observer in self._observers:
            observer.job_ended(worker, job_id, outcome)

    def collapsed(self, worker: str) -> None:
        for observer in self._observers:
            observer.collapsed(worker)


@dataclass(slots=True, eq=False)
class _Process:
    """A process of a dispatcher: one incarnation."""

    clock: ProcessClock
    host: Host
    back: SimulatedBack
    leave_discovery: Any = None
    stopping_at: int | None = None
    router: Router | None = None


class _Dispatcher:
    """A dispatcher: what its successive processes have in common."""

    def __init__(self, run: "Simulation", number: int) -> None:
        self._run, self.number = run, number
        self.zone = zone_of(run.world, number)
        self.settings = read_settings(settings_object(run.world, number))
        self.process: _Process | None = None
        self._known: ListUpdate = run.fleet.discovery.full_list()
        self._starts = 0

    def start(self) -> None:
        """Starts a new process."""
        run = self._run
        run.audit.dispatcher_started(self.number)
        clock = ProcessClock(run.clock)
        self._starts += 1
        seed = run.seed * 1_000_003 + self.number * 1009 + self._starts
        host = Host(clock, self.settings, seed)
        back = run.make_back(self.number, clock, host)
        host.invoker = back
        process = self.process = _Process(clock, host, back)
        if run.world.dispatchers.routes:
            text = run.world.dispatchers.routes.encode()
            process.router = Router(
                RoutingTable(LoadedFile(parse_routes(text, "routes"), {}, ("routes",)), self.settings)
            )
        host.update_workers(_worker_list(self._known, api.ListKind.LAST_KNOWN))
        process.leave_discovery = run.fleet.discovery.subscribe(
            f"d{self.number}", lambda update: clock.run(self._on_list_update, (process, update))
        )
        run.load_balancer.mark_ready(self.number)

    def known(self) -> ListUpdate:
        """The list of workers as the dispatcher has received it."""
        return self._known

    def _on_list_update(self, process: _Process, update: ListUpdate) -> None:
        for entry in update.entries:
            self._run.audit.status_received(self.number, entry.name, up=entry.status == "up")
        if update.is_full:
            self._known = update
        else:
            kept = {entry.name: entry for entry in self._known.entries}
            for entry in update.entries:
                kept[entry.name] = entry
            self._known = ListUpdate(
                update.version, True, tuple(e for e in kept.values() if e.status != "removed")
            )
        kind = api.ListKind.FULL if update.is_full else api.ListKind.CHANGES
        process.host.update_workers(_worker_list(update, kind))

    def reload(self) -> None:
        """Reconnects to the discovery service, as for a changed address; the full list is received again."""
        process = self.process
        if process is not None:
            process.leave_discovery()
            process.leave_discovery = self._run.fleet.discovery.subscribe(
                f"d{self.number}", lambda update: process.clock.run(self._on_list_update, (process, update))
            )

    def end(self, down: int, *, killed: bool) -> None:
        """Ends the process; the next one starts ``down`` ns later."""
        process = self.process
        if process is None:
            return
        self.process = None
        process.clock.ended = True
        process.leave_discovery()
        process.back.close()
        if killed or process.host.unanswered:
            self._run.audit.dispatcher_died(self.number)
        self._run.reset_clients(self)
        self._run.load_balancer.mark_failed(self.number)
        self._run.clock.call_at(self._run.clock.now() + down, self.start)

    def stop(self, down: int) -> None:
        """Stops gracefully, as on SIGTERM: still serves new requests, and ends when no job is left."""
        process = self.process
        if process is None or process.stopping_at is not None:
            return
        process.stopping_at = self._run.clock.now()
        self._run.audit.dispatcher_stopping(self.number)
        self._run.load_balancer.mark_stopping(self.number)
        process.host.shutdown.begin(process.stopping_at, process.stopping_at + _ANSWER_DEADLINE)
        stop_time = self._run.world.dispatchers.stop_time
        self._run.clock.call_at(process.stopping_at + _MIN_STOP_TIME, self._end_when_done, process, down)
        self._run.clock.call_at(process.stopping_at + stop_time, self._end_now, process, down)

    def _end_now(self, process: _Process, down: int) -> None:
        if self.process is process:
            self.end(down, killed=True)

    def _end_when_done(self, process: _Process, down: int) -> None:
        if self.process is not process:
            return
        if process.host.unanswered:
            self._run.clock.call_at(self._run.clock.now() + 10 * MS, self._end_when_done, process, down)
        else:
            self.end(down, killed=False)


def _worker_list(update: ListUpdate, kind: api.ListKind) -> api.WorkerList:
    entries = tuple(
        api.WorkerEntry(e.name, e.zone, None, e.kind, e.weight, e.since, _STATES[e.status])
        for e in update.entries
    )
    return api.WorkerList(kind, entries, update.version)


@dataclass(slots=True, eq=False)
class _Client:
    """The client of one request, over all its tries."""

    request: ClientRequest
    tries: int = 0
    done: bool = False
    dispatcher: _Dispatcher | None = None
    job: HostJob | None = None
    job_id: str = ""


class Simulation:
    """A run of one world with one seed. A WorldError if the world needs a live run."""

    def __init__(self, world: World, seed: int, *, ignored_workers: frozenset[str] = frozenset()) -> None:
        if world.dispatchers.fleet is not None or any(f.kind == "dispatcher stopped" for f in world.faults):
            raise WorldError(
                "`dispatchers.fleet` and 'dispatcher stopped' are available in live runs only; "
                "for a fleet in simulated time see lab/fleet/net.py"
            )
        self.world, self.seed = world, seed
        self.clock = SimulatedClock()
        self.streams = Streams(seed)
        self.audit = Auditor(self.clock, world)
        self.digest = Digest(self.clock, ignored_workers)
        self.fleet = Fleet(self.clock, world, self.streams, _WorkerObservers(self.audit, self.digest))
        self.client_behaviour = ClientBehaviour(self.clock, world, self.streams)
        self.load_balancer = LoadBalancer(
            self.clock, [zone_of(world, n) for n in range(world.dispatchers.count)], world.clients.notice
        )
        self.dispatchers = [_Dispatcher(self, n) for n in range(world.dispatchers.count)]
        self.recorder = Recorder(world)
        self.workload = Workload(self.clock, world, self.streams, self._on_request)
        self.faults = FaultSchedule(self.clock, world, self.fleet, self.workload, self, self.streams)
        self._waiting: dict[_Client, None] = {}  # clients that wait for a dispatcher's answer
        self._open_requests = 0
        self._open_integral, self._open_updated_at = 0, 0  # integral of the open requests over time, ns
        self.turned_away = 0  # requests refused by limits, before the decision module saw them
        self.samples = LoadSamples(_SAMPLE_STEP, [], [])

    def make_back(self, number: int, clock: ProcessClock, host: Host) -> SimulatedBack:
        """Creates the back end of a dispatcher's new process."""
        zone = zone_of(self.world, number)
        return SimulatedBack(
            clock, host, self.fleet, self.audit, f"d{number}", zone, self.client_behaviour.demands
        )

    # Faults on dispatchers

    def kill(self, number: int, down: int) -> None:
        self.dispatchers[number].end(down, killed=True)

    def restart(self, number: int, down: int) -> None:
        self.dispatchers[number].stop(down)

    def reload(self, number: int) -> None:
        self.dispatchers[number].reload()

    def pause(self, number: int, lasts: int) -> None:
        raise WorldError("'dispatcher stopped' is available in live runs only")

    def impair_links(self, fault: Fault) -> None:
        raise WorldError("faults of links are available in live runs only")

    # The run

    def run(self) -> Result:
        """Runs until every request has ended, and then long enough for late answers to be seen."""
        wall_start = time.perf_counter()
        # Jobs and their callbacks form reference cycles, so without garbage collection memory would grow with
        # every job. With the default threshold, collections would take a quarter of the run time.
        threshold = gc.get_threshold()
        gc.set_threshold(_GC_THRESHOLD, 50, 1000)
        try:
            return self._run(wall_start)
        finally:
            gc.set_threshold(*threshold)

    def _run(self, wall_start: float) -> Result:
        for dispatcher in self.dispatchers:
            dispatcher.start()
        self.clock.run(self.clock.now() + _WARM_UP)
        self.recorder.started_at = started_at = self.clock.now()
        self.samples.names = list(self.fleet.workers)
        self.faults.start()
        self.workload.start()
        self._sample()
        longest = max(cls.deadline for cls in self.world.classes)
        last = started_at + self.world.duration + longest + SECOND
        while self.clock.now() < last and not (self.workload.ended and not self._open_requests):
            self.clock.run(min(last, self.clock.now() + SECOND))
        self.clock.run(self.clock.now() + self.world.dispatchers.answer_slack + _LATE_ANSWER_MARGIN)
        return Result(
            self.world,
            self.seed,
            "simulated",
            self.recorder.columns(),
            self.audit.finish(),
            self.faults.injected,
            self.samples,
            time.perf_counter() - wall_start,
            (self.clock.now() - started_at) / SECOND,
            self.digest.hex(),
            self.clock.events,
            {
                **self.audit.rates_by_second(started_at),
                "turned_away": self.turned_away,
                "little": self._littles_law_ratio(),
            },
        )

    def _sample(self) -> None:
        held = [self.fleet.workers[name].held for name in self.fleet.workers]
        self.samples.held.append(held)
        self.samples.names = list(self.fleet.workers)
        if not self.workload.ended:
            self.clock.call_at(self.clock.now() + _SAMPLE_STEP, self._sample)

    # Clients

    def _on_request(self, request: ClientRequest) -> None:
        client = _Client(request)
        self._change_open(1)
        self.clock.call_at(request.due + request.patience, self._on_patience_expired, client)
        self._send_try(client)

    def _change_open(self, change: int) -> None:
        now = self.clock.now()
        self._open_integral += self._open_requests * (now - self._open_updated_at)
        self._open_updated_at = now
        self._open_requests += change

    def _littles_law_ratio(self) -> float:
        """The integral of the open requests over time, divided by the sum of latencies: 1 by Little's law."""
        latencies = sum(self.recorder.latency)
        return self._open_integral / latencies if latencies else 1.0

    def _send_try(self, client: _Client) -> None:
        if client.done:
            return
        client.tries += 1
        number = self.load_balancer.choose(client.request.zone)
        delay = self.fleet.network.client_latency("consumers")
        if number is None:
            self.clock.call_at(self.clock.now() + 2 * delay, self._on_result, client, "unreachable", 0)
        else:
            self.clock.call_at(self.clock.now() + delay, self._on_arrival, client, self.dispatchers[number])

    def _on_arrival(self, client: _Client, dispatcher: _Dispatcher) -> None:
        if client.done:
            return
        process = dispatcher.process
        request = client.request
        remaining = request.due + request.deadline - self.clock.now()
        if process is None or remaining < MS:
            self._call_after_latency(self._on_result, client, "unreachable", 0)
            return
        client.job_id = job_id = self.client_behaviour.start_try(request, client.tries)
        cls = self.world.classes[request.cls]
        options = JobOptions()
        job_class, tenant = cls.name, None
        if process.router is not None:
            headers = {
                "cookie": f"sid={request.session}",
                "x-farm": f"farm{request.farm}",
                "x-request-id": job_id,
            }
            target, size = f"/{cls.name}/{request.number}", 200
            routed_request = make_request(
                "POST", target, headers, body_size=size, time_left=remaining, zone=dispatcher.zone
            )
            admitted = process.router.admit(routed_request, self.clock.now())
            if not isinstance(admitted, Ticket):
                self.turned_away += 1
                self._call_after_latency(self._on_result, client, "refused", admitted.retry_after)
                return
            job_class, tenant = admitted.route.cls.name, admitted.tenant
            options = JobOptions(**job_options(admitted, dispatcher.settings), limiter=admitted)
        self.audit.job_taken(
            job_id, request.number, dispatcher.number, remaining, unsafe=cls.effect == "unsafe"
        )
        client.dispatcher = dispatcher
        self._waiting[client] = None
        # the time left travels in whole milliseconds, rounded down so that no answer is late
        remaining = remaining // MS * MS
        client.job = process.host.submit(
            Payload(job_id, "POST", "/" + cls.name, b""),
            lambda answer: self._on_answer(client, job_id, answer),
            job_class=job_class,
            tenant=tenant,
            options=options,
            time_left=remaining,
            key=request.session,
            slots=float(request.slots),
            repeat=client.tries > 1,
        )

    def _on_answer(self, client: _Client, job_id: str, answer: Answer) -> None:
        self.audit.job_answered(job_id, answer.verdict.value)
        self.digest.add(answer.verdict.value, job_id)
        self._waiting.pop(client, None)
        client.job = None
        retry_after = answer.retry_after if answer.verdict is Verdict.REFUSED else 0
        self._call_after_latency(self._on_result, client, answer.verdict.value, retry_after)

    def _call_after_latency(self, call: Any, *args: object) -> None:
        self.clock.call_at(self.clock.now() + self.fleet.network.client_latency("answers"), call, *args)

    def _on_result(self, client: _Client, result: str, retry_after: int) -> None:
        if client.done:
            return
        step = self.client_behaviour.next_step(client.request, result, client.tries, retry_after)
        if isinstance(step, Finished):
            self._finish(client, step.outcome)
        else:
            self.clock.call_at(self.clock.now() + step.pause, self._send_try, client)

    def _on_patience_expired(self, client: _Client) -> None:
        if not client.done:
            self._finish(client, self.client_behaviour.timeout_outcome(client.request))

    def _finish(self, client: _Client, outcome: str) -> None:
        client.done = True
        self._change_open(-1)
        self.recorder.add(client.request, outcome, self.clock.now(), client.tries)
        if client.job is not None and outcome == "no answer":
            # the client can no longer use an answer, but waits until the slack is over, so that the auditor
            # sees whether one comes
            late = self.world.dispatchers.answer_slack + _LATE_ANSWER_MARGIN
            self.clock.call_at(self.clock.now() + late, self._disconnect, client)
        else:
            self._disconnect(client)
        self.client_behaviour.forget(client.request, client.tries)

    def _disconnect(self, client: _Client) -> None:
        job, process = client.job, client.dispatcher.process if client.dispatcher else None
        if job is not None:
            self._waiting.pop(client, None)
            client.job = None
            self.audit.client_left(client.job_id)
            if process is not None:
                process.host.withdraw(job)

    def reset_clients(self, dispatcher: _Dispatcher) -> None:
        """Resets the connections of all clients that wait for an answer from this dispatcher."""
        for client in [c for c in self._waiting if c.dispatcher is dispatcher]:
            self._waiting.pop(client, None)
            client.job = None
            self._call_after_latency(self._on_result, client, "failed", 0)
