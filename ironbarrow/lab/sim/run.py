"""A run in simulated time: dispatchers, clients, workers and faults of one world, audited."""

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
from ironbarrow.lab.model.client import Ended, Habits
from ironbarrow.lab.model.discovery import News
from ironbarrow.lab.model.fleet import Faults, Fleet
from ironbarrow.lab.model.load_balancer import LoadBalancer
from ironbarrow.lab.model.randomness import Streams
from ironbarrow.lab.model.spec import Fault, World, WorldError
from ironbarrow.lab.model.worker import Watcher
from ironbarrow.lab.model.workload import Order, Workload
from ironbarrow.lab.record import Recorder, Sampler
from ironbarrow.lab.result import Result
from ironbarrow.lab.settings import settings_object, zone_of
from ironbarrow.lab.sim.back import SimulatedBack
from ironbarrow.lab.sim.clock import ProcessClock, SimulatedClock
from ironbarrow.routing.file import Loaded, parse
from ironbarrow.routing.request import make_request
from ironbarrow.routing.router import Router, Ticket, arrival
from ironbarrow.routing.table import Table
from ironbarrow.runtime.clock import MS, SECOND

_WARM_UP = 500 * MS  # the dispatchers have run so long when the first job is due
_LAST_ANSWER = 3200 * MS  # as ``ironbarrow.daemon`` has it
_CLOSE_IDLE = 1500 * MS
_SAMPLE_STEP = 250 * MS
_LOOKS_ON = 20 * MS
_COLLECT_AFTER = 100_000  # new objects
_STATES = {
    "up": api.WorkerState.UP,
    "draining": api.WorkerState.DRAINING,
    "removed": api.WorkerState.GONE,
}


class Digest(Watcher):
    """A running hash over what happened, in order: equal for equal runs."""

    def __init__(self, clock: SimulatedClock, apart: frozenset[str]) -> None:
        self._clock, self._apart = clock, apart  # apart: workers whose own events are left out
        self._hash = blake2b(digest_size=16)
        self._start = clock.now()

    def note(self, *words: object) -> None:
        self._hash.update(f"{self._clock.now() - self._start} {words}\n".encode())

    def job_started(self, worker: str, job_id: str) -> None:
        if worker not in self._apart:
            self.note("start", worker, job_id)

    def job_ended(self, worker: str, job_id: str, how: str) -> None:
        if worker not in self._apart:
            self.note(how, worker, job_id)

    def fell(self, worker: str) -> None:
        self.note("fell", worker)

    def hex(self) -> str:
        return self._hash.hexdigest()


class _Watchers(Watcher):
    """Tells several."""

    def __init__(self, *watchers: Watcher) -> None:
        self._all = watchers

    def job_started(self, worker: str, job_id: str) -> None:
        for watcher in self._all:
            watcher.job_started(worker, job_id)

    def job_ended(self, worker: str, job_id: str, how: str) -> None:
        for watcher in self._all:
            watcher.job_ended(worker, job_id, how)

    def fell(self, worker: str) -> None:
        for watcher in self._all:
            watcher.fell(worker)


@dataclass(slots=True, eq=False)
class _Process:
    """One incarnation of a dispatcher."""

    clock: ProcessClock
    host: Host
    back: SimulatedBack
    leave_discovery: Any = None
    stopping_at: int | None = None
    router: Router | None = None


class _Dispatcher:
    """A dispatcher's name and place, over all its incarnations."""

    def __init__(self, run: "Simulation", number: int) -> None:
        self._run, self.number = run, number
        self.zone = zone_of(run.world, number)
        self.settings = read_settings(settings_object(run.world, number))
        self.process: _Process | None = None
        self._known: News = run.fleet.discovery.whole()
        self._starts = 0

    def start(self) -> None:
        run = self._run
        clock = ProcessClock(run.clock)
        self._starts += 1
        seed = run.seed * 1_000_003 + self.number * 1009 + self._starts
        host = Host(clock, self.settings, seed)
        back = run.make_back(self.number, clock, host)
        host.invoker = back
        process = self.process = _Process(clock, host, back)
        if run.world.dispatchers.routes:
            text = run.world.dispatchers.routes.encode()
            process.router = Router(Table(Loaded(parse(text, "routes"), {}, ("routes",)), self.settings))
        host.update_workers(_list(self._known, api.ListKind.LAST_KNOWN))
        process.leave_discovery = run.fleet.discovery.subscribe(
            f"d{self.number}", lambda news: clock.run(self._listed, (process, news))
        )
        run.load_balancer.mark_ready(self.number)

    def known(self) -> News:
        """The list of workers as it knows it."""
        return self._known

    def _listed(self, process: _Process, news: News) -> None:
        for entry in news.entries:
            self._run.audit.told(self.number, entry.name, up=entry.status == "up")
        if news.whole:
            self._known = news
        else:
            kept = {entry.name: entry for entry in self._known.entries}
            for entry in news.entries:
                kept[entry.name] = entry
            self._known = News(news.version, True, tuple(e for e in kept.values() if e.status != "removed"))
        kind = api.ListKind.FULL if news.whole else api.ListKind.CHANGES
        process.host.update_workers(_list(news, kind))

    def reload(self) -> None:
        """Moves to another address of the discovery service: the whole list comes once more."""
        process = self.process
        if process is not None:
            process.leave_discovery()
            process.leave_discovery = self._run.fleet.discovery.subscribe(
                f"d{self.number}", lambda news: process.clock.run(self._listed, (process, news))
            )

    def end(self, down: int, *, killed: bool) -> None:
        """Its process is gone; the next one starts after ``down`` ns."""
        process = self.process
        if process is None:
            return
        self.process = None
        process.clock.over = True
        process.leave_discovery()
        process.back.close()
        if killed or process.host.unanswered:
            self._run.audit.dispatcher_died(self.number)
        self._run.clients_lost(self)
        self._run.load_balancer.mark_failed(self.number)
        self._run.clock.call_at(self._run.clock.now() + down, self.start)

    def stop(self, down: int) -> None:
        """SIGTERM: serves what still comes, finishes what it has, ends."""
        process = self.process
        if process is None or process.stopping_at is not None:
            return
        process.stopping_at = self._run.clock.now()
        self._run.load_balancer.mark_stopping(self.number)
        process.host.answer_deadline = process.stopping_at + _LAST_ANSWER
        stop_time = self._run.world.dispatchers.stop_time
        self._run.clock.call_at(process.stopping_at + _CLOSE_IDLE, self._end_when_done, process, down)
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


def _list(news: News, kind: api.ListKind) -> api.WorkerList:
    entries = tuple(
        api.WorkerEntry(e.name, e.zone, None, e.kind, e.weight, e.since, _STATES[e.status])
        for e in news.entries
    )
    return api.WorkerList(kind, entries, news.version)


@dataclass(slots=True, eq=False)
class _Client:
    """One order's client, over its tries."""

    order: Order
    tries: int = 0
    over: bool = False
    dispatcher: _Dispatcher | None = None
    job: HostJob | None = None
    job_id: str = ""


class Simulation:
    """One world, one seed."""

    def __init__(self, world: World, seed: int, *, apart: frozenset[str] = frozenset()) -> None:
        if world.dispatchers.fleet is not None or any(f.kind == "dispatcher stopped" for f in world.faults):
            raise WorldError(
                "`dispatchers.fleet` and 'dispatcher stopped' are played live alone; "
                "a fleet in simulated time is lab/fleet/net.py"
            )
        self.world, self.seed = world, seed
        self.clock = SimulatedClock()
        self.streams = Streams(seed)
        self.audit = Auditor(self.clock, world)
        self.digest = Digest(self.clock, apart)
        self.fleet = Fleet(self.clock, world, self.streams, _Watchers(self.audit, self.digest))
        self.habits = Habits(self.clock, world, self.streams)
        self.load_balancer = LoadBalancer(
            self.clock, [zone_of(world, n) for n in range(world.dispatchers.count)], world.clients.notice
        )
        self.dispatchers = [_Dispatcher(self, n) for n in range(world.dispatchers.count)]
        self.recorder = Recorder(world)
        self.workload = Workload(self.clock, world, self.streams, self._ordered)
        self.faults = Faults(self.clock, world, self.fleet, self.workload, self, self.streams)
        self._waiting: dict[_Client, None] = {}  # with a job at a dispatcher
        self._open = 0
        self._open_area, self._open_at = 0, 0  # orders under way, summed over time (ns)
        self.turned_away = 0  # by limits, before the decisions
        self.samples = Sampler(_SAMPLE_STEP, [], [])

    def make_back(self, number: int, clock: ProcessClock, host: Host) -> SimulatedBack:
        """The back of a dispatcher's new process."""
        zone = zone_of(self.world, number)
        return SimulatedBack(clock, host, self.fleet, self.audit, f"d{number}", zone, self.habits.needs)

    # Faults on dispatchers

    def kill(self, number: int, down: int) -> None:
        self.dispatchers[number].end(down, killed=True)

    def restart(self, number: int, down: int) -> None:
        self.dispatchers[number].stop(down)

    def reload(self, number: int) -> None:
        self.dispatchers[number].reload()

    def pause(self, number: int, lasts: int) -> None:
        raise WorldError("a dispatcher is stopped in live mode alone")

    def trouble_links(self, fault: Fault) -> None:
        raise WorldError("links between dispatchers are there in live mode alone")

    # The run

    def run(self) -> Result:
        """Plays it to the end: until every order is over and a little longer."""
        begun = time.perf_counter()
        # a job and its calls hold each other: without collections memory grows with all jobs that ever came,
        # and with the usual threshold a quarter of the time goes into looking at what stays alive
        threshold = gc.get_threshold()
        gc.set_threshold(_COLLECT_AFTER, 50, 1000)
        try:
            return self._run(begun)
        finally:
            gc.set_threshold(*threshold)

    def _run(self, begun: float) -> Result:
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
        while self.clock.now() < last and not (self.workload.ended and not self._open):
            self.clock.run(min(last, self.clock.now() + SECOND))
        self.clock.run(self.clock.now() + self.world.dispatchers.answer_slack + _LOOKS_ON)
        return Result(
            self.world,
            self.seed,
            "simulated",
            self.recorder.columns(),
            self.audit.finish(),
            self.faults.played,
            self.samples,
            time.perf_counter() - begun,
            (self.clock.now() - started_at) / SECOND,
            self.digest.hex(),
            self.clock.events,
            {**self.audit.loads(started_at), "turned_away": self.turned_away, "little": self._little()},
        )

    def _sample(self) -> None:
        held = [self.fleet.workers[name].held for name in self.fleet.workers]
        self.samples.held.append(held)
        self.samples.names = list(self.fleet.workers)
        if not self.workload.ended:
            self.clock.call_at(self.clock.now() + _SAMPLE_STEP, self._sample)

    # Clients

    def _ordered(self, order: Order) -> None:
        client = _Client(order)
        self._count_open(1)
        self.clock.call_at(order.due + order.patience, self._gives_up, client)
        self._try(client)

    def _count_open(self, change: int) -> None:
        now = self.clock.now()
        self._open_area += self._open * (now - self._open_at)
        self._open_at = now
        self._open += change

    def _little(self) -> float:
        """Orders under way, counted over time, over rate times mean latency: 1 by Little's law."""
        latencies = sum(self.recorder.latency)
        return self._open_area / latencies if latencies else 1.0

    def _try(self, client: _Client) -> None:
        if client.over:
            return
        client.tries += 1
        number = self.load_balancer.choose(client.order.zone)
        delay = self.fleet.network.client_latency("consumers")
        if number is None:
            self.clock.call_at(self.clock.now() + 2 * delay, self._heard, client, "unreachable", 0)
        else:
            self.clock.call_at(self.clock.now() + delay, self._arrives, client, self.dispatchers[number])

    def _arrives(self, client: _Client, dispatcher: _Dispatcher) -> None:
        if client.over:
            return
        process = dispatcher.process
        order = client.order
        left = order.due + order.deadline - self.clock.now()
        if process is None or left < MS:
            self._later(self._heard, client, "unreachable", 0)
            return
        client.job_id = job_id = self.habits.new_try(order, client.tries)
        cls = self.world.classes[order.cls]
        terms = JobOptions()
        job_class, tenant = cls.name, None
        if process.router is not None:
            headers = {
                "cookie": f"sid={order.session}",
                "x-farm": f"farm{order.farm}",
                "x-request-id": job_id,
            }
            target, size = f"/{cls.name}/{order.number}", 200
            seen = make_request("POST", target, headers, body_size=size, time_left=left, zone=dispatcher.zone)
            found = process.router.admit(seen, self.clock.now())
            if not isinstance(found, Ticket):
                self.turned_away += 1
                self._later(self._heard, client, "refused", found.retry_after)
                return
            job_class, tenant = found.route.cls.name, found.tenant
            terms = JobOptions(**arrival(found, dispatcher.settings), limiter=found)
        self.audit.taken(job_id, order.number, dispatcher.number, left, unsafe=cls.effect == "unsafe")
        client.dispatcher = dispatcher
        self._waiting[client] = None
        # whole milliseconds pass on a socket, rounded down: no answer may come after its time
        left = left // MS * MS
        client.job = process.host.submit(
            Payload(job_id, "POST", "/" + cls.name, b""),
            lambda answer: self._answered(client, job_id, answer),
            job_class=job_class,
            tenant=tenant,
            options=terms,
            time_left=left,
            key=order.session,
            slots=float(order.slots),
            repeat=client.tries > 1,
        )

    def _answered(self, client: _Client, job_id: str, answer: Answer) -> None:
        self.audit.answered(job_id, answer.verdict.value)
        self.digest.note(answer.verdict.value, job_id)
        self._waiting.pop(client, None)
        client.job = None
        retry_after = answer.retry_after if answer.verdict is Verdict.REFUSED else 0
        self._later(self._heard, client, answer.verdict.value, retry_after)

    def _later(self, call: Any, *args: object) -> None:
        self.clock.call_at(self.clock.now() + self.fleet.network.client_latency("answers"), call, *args)

    def _heard(self, client: _Client, how: str, retry_after: int) -> None:
        if client.over:
            return
        step = self.habits.next_step(client.order, how, client.tries, retry_after)
        if isinstance(step, Ended):
            self._ends(client, step.outcome)
        else:
            self.clock.call_at(self.clock.now() + step.pause, self._try, client)

    def _gives_up(self, client: _Client) -> None:
        if not client.over:
            self._ends(client, self.habits.gives_up(client.order))

    def _ends(self, client: _Client, outcome: str) -> None:
        client.over = True
        self._count_open(-1)
        self.recorder.add(client.order, outcome, self.clock.now(), client.tries)
        if client.job is not None and outcome == "no answer":
            # it has no use for an answer now, and still looks whether one comes by the end of the slack
            late = self.world.dispatchers.answer_slack + _LOOKS_ON
            self.clock.call_at(self.clock.now() + late, self._hangs_up, client)
        else:
            self._hangs_up(client)
        self.habits.forget(client.order, client.tries)

    def _hangs_up(self, client: _Client) -> None:
        job, process = client.job, client.dispatcher.process if client.dispatcher else None
        if job is not None:
            self._waiting.pop(client, None)
            client.job = None
            self.audit.left(client.job_id)
            if process is not None:
                process.host.withdraw(job)

    def clients_lost(self, dispatcher: _Dispatcher) -> None:
        """Its connections are reset: whoever waited there hears so."""
        for client in [c for c in self._waiting if c.dispatcher is dispatcher]:
            self._waiting.pop(client, None)
            client.job = None
            self._later(self._heard, client, "failed", 0)
