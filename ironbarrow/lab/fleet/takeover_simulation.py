"""Simulates a fleet's dispatchers in virtual time, with their real hosts, decisions and ledger machines.

Workers and clients are simple models that count. They know nothing of ledgers, so that the jobs that workers
ran and the answers that clients got are independent evidence of whether the invariants hold.
"""

import random
from collections import Counter, defaultdict
from collections.abc import Callable, Iterable
from contextlib import suppress
from dataclasses import dataclass, field
from functools import partial
from typing import Any

from heathway import api
from ironbarrow.core.attempt import Progress
from ironbarrow.core.endings import Ending
from ironbarrow.core.host import Host
from ironbarrow.core.jobs import Answer, Attempt, Payload, Verdict
from ironbarrow.fleet.api import Action, Card, Incarnation
from ironbarrow.fleet.codec import Codec
from ironbarrow.fleet.file import Fleet
from ironbarrow.fleet.ledgers import LedgerMachine
from ironbarrow.fleet.members import MemberMachine
from ironbarrow.fleet.node import Node
from ironbarrow.fleet.takeover.actions import LedgerAdopted
from ironbarrow.fleet.takeover.adapter import TakeoverAdapter, takeover_rules
from ironbarrow.fleet.takeover.machine import Takeover
from ironbarrow.fleet.takeover.steps import StepReport
from ironbarrow.lab.fleet.net import ProcessCrashedError, SimulatedNet, SimulatedPeer
from ironbarrow.lab.sim.clock import EPOCH, SimulatedClock
from ironbarrow.runtime.clock import MS, SECOND, Timer

_ONE_WAY_LATENCY = MS // 2  # between dispatcher and worker
_CONNECT_TIME = 2 * MS
_DELETE_TIMEOUT = 300 * MS  # for a DELETE that is lost
_MAX_CALL_BACK_RETRIES = 12
_CALL_BACK_RETRY_DELAY = 250 * MS
_ENDINGS = {"done": Ending.DONE, "failed": Ending.FAILED, "returned": Ending.RETURNED, "lost": Ending.LOST}


class DispatcherClock:
    """A process's clock. Calls due while the process is paused are deferred; none runs after its end."""

    def __init__(self, clock: SimulatedClock, peer: SimulatedPeer) -> None:
        self._clock, self._peer = clock, peer
        self.ended = False
        self.now = clock.now

    def call_soon(self, call: Callable[..., None], *args: Any) -> None:
        self._clock.call_soon(self._run, call, args)

    def call_at(self, due: int, call: Callable[..., None], *args: Any) -> Timer:
        timer = Timer(call, args)
        self._clock.call_at(due, self._fire, timer)
        return timer

    def _fire(self, timer: Timer) -> None:
        if timer.call is not None:
            self._run(timer.call, timer.args)

    def _run(self, call: Callable[..., None], args: tuple[Any, ...]) -> None:
        if self.ended:
            return
        if self._peer.paused:
            self._peer.deferred.append(lambda: self._run(call, args))
        else:
            with suppress(ProcessCrashedError):
                call(*args)


@dataclass(slots=True, eq=False)
class Worker:
    """A worker and the jobs that it runs."""

    name: str
    running: dict[str, int] = field(default_factory=dict)  # job id -> the number of its start


class Workers:
    """All workers, with counts of what they ran."""

    def __init__(self, world: "TakeoverSimulation", n: int) -> None:
        self._world = world
        self.all = {f"p{i}": Worker(f"p{i}") for i in range(n)}
        self.starts: Counter[str] = Counter()  # by job id
        self.done: set[str] = set()  # ids of jobs that some worker completed
        self.returned: Counter[str] = Counter()  # by job id: accepted, then returned without a run
        self.duplicate_runs: Counter[str] = Counter()  # by job id: accepted while another worker ran it
        self.lost_call_backs = 0  # given up after all retries

    def arrive(self, name: str, job_id: str) -> bool:
        """Handles a request; returns whether the worker accepts it."""
        worker, world = self.all[name], self._world
        if job_id in worker.running:
            return True
        draw = world.random.random()
        if draw < world.refusal_rate:
            return False
        if any(job_id in other.running for other in self.all.values()):
            self.duplicate_runs[job_id] += 1
        self.starts[job_id] += 1
        worker.running[job_id] = number = self.starts[job_id]
        service_time = int(world.random.uniform(*world.service_times))
        world.clock.call_at(world.clock.now() + service_time, self._end, worker, job_id, number)
        return True

    def _end(self, worker: Worker, job_id: str, number: int) -> None:
        if worker.running.get(job_id) != number:
            return
        del worker.running[job_id]
        world = self._world
        state = "done" if world.random.random() >= world.failure_rate else "failed"
        if world.random.random() < world.return_rate:
            state = "returned"
            self.starts[job_id] -= 1
            self.returned[job_id] += 1
        if state == "done":
            self.done.add(job_id)
        self._call_back({"id": job_id, "from": worker.name, "state": state, "result": f"done {job_id}"}, 0)

    def _call_back(self, raw: dict[str, Any], tries: int) -> None:
        world = self._world
        if world.deliver_call_back(raw):
            return
        if tries >= _MAX_CALL_BACK_RETRIES:
            self.lost_call_backs += 1
            return
        world.clock.call_at(world.clock.now() + _CALL_BACK_RETRY_DELAY, self._call_back, raw, tries + 1)

    def delete(self, name: str, job_id: str) -> None:
        self.all[name].running.pop(job_id, None)


class SimulatedInvoker:
    """Sends one process's attempts to the simulated workers; takes the place of ``HttpInvoker``."""

    def __init__(self, world: "TakeoverSimulation", clock: DispatcherClock) -> None:
        self.host: Host
        self._world, self._clock = world, clock
        self._attempts: set[Attempt] = set()

    def start(self, attempt: Attempt) -> None:
        self._attempts.add(attempt)
        self._clock.call_at(self._clock.now() + _CONNECT_TIME, self._write, attempt)

    def _write(self, attempt: Attempt) -> None:
        if attempt not in self._attempts:
            return
        self.host.attempt_written(attempt)
        self._world.written[attempt.job.payload.id] += 1
        clock, job_id = self._world.clock, attempt.job.payload.id
        clock.call_at(clock.now() + _ONE_WAY_LATENCY, self._arrive, attempt, job_id)

    def _arrive(self, attempt: Attempt, job_id: str) -> None:
        taken = self._world.workers.arrive(attempt.worker, job_id)
        self._clock.call_at(self._world.clock.now() + _ONE_WAY_LATENCY, self._answered, attempt, taken)

    def _answered(self, attempt: Attempt, taken: bool) -> None:
        if taken:
            attempt.advance_to(Progress.ACCEPTED)
        elif attempt in self._attempts:
            self._end(attempt, Ending.NOT_PROCESSED)

    def _end(self, attempt: Attempt, ending: Ending, result: bytes = b"") -> None:
        self._attempts.discard(attempt)
        self.host.attempt_ended(attempt, ending, None, result)

    def give_up(self, attempt: Attempt, ending: Ending) -> None:
        if attempt not in self._attempts or not attempt.written:
            self._attempts.discard(attempt)
            self.host.attempt_ended(attempt, ending)
            return
        self._delete(attempt.worker, attempt.job.payload.id, lambda: self._end(attempt, ending))

    def _delete(self, worker: str, job_id: str, done: Callable[[], None]) -> None:
        def handle_delete() -> None:
            self._world.workers.delete(worker, job_id)
            self._clock.call_at(self._world.clock.now() + _ONE_WAY_LATENCY, done)

        clock = self._world.clock
        # on a connection of its own, with a longer delay than a request, so that it can't overtake one
        clock.call_at(clock.now() + _CONNECT_TIME + _ONE_WAY_LATENCY, handle_delete)

    def detach(self, attempt: Attempt) -> None:
        self._attempts.discard(attempt)

    def cancel_job(self, job_id: str, worker: str, until: int, done: Callable[[bool], None]) -> None:
        if self._world.lose_deletes:
            self._clock.call_at(min(until, self._clock.now() + _DELETE_TIMEOUT), done, False)
        else:
            self._delete(worker, job_id, lambda: done(True))

    def handle_call_back(self, raw: Any) -> bool:
        attempt = self.host.live_attempt(raw["id"], raw["from"])
        if attempt is None:
            return False
        self.host.attempt_written(attempt)
        self._end(attempt, _ENDINGS[raw["state"]], raw.get("result", "").encode())
        return True

    def probe(self, worker: str) -> None:
        self.host.probe_ended(worker, Ending.DONE, MS)

    def close_idle(self, worker: str) -> None:
        pass


@dataclass(slots=True, eq=False)
class Process:
    """A dispatcher's process. Its host and adapter are kept when its member starts a new incarnation."""

    peer: SimulatedPeer
    clock: DispatcherClock
    host: Host
    invoker: SimulatedInvoker
    adapter: TakeoverAdapter
    members: MemberMachine
    ledgers: LedgerMachine


@dataclass(slots=True, eq=False)
class ClientRequest:
    """A job that a client wants done, over all its tries."""

    id: str
    job_class: str
    deadline: int
    # None: refused as a different request of the same id
    answers: list[Answer | None] = field(default_factory=list)
    tries: int = 0
    at: str = ""
    disconnect: Callable[[], None] | None = None


class TakeoverSimulation:
    """Dispatchers, workers and clients on one virtual clock. Everything follows from ``seed``."""

    def __init__(
        self,
        settings: api.Settings,
        n: int,
        *,
        seed: int,
        fleet: Fleet | None = None,
        sites: int = 3,
        workers: int = 4,
        start: int = EPOCH,
    ) -> None:
        """``start``: Unix ns; ranks of claimants and replicas follow from the start times of incarnations."""
        self._start = start
        self.clock, self.random = SimulatedClock(start), random.Random(seed)
        kinds = (*MemberMachine.handles, *LedgerMachine.handles, *Takeover.handles)
        self.net = SimulatedNet(self.clock, Codec(kinds), seed)
        self.settings, self.seed = settings, seed
        self.fleet = fleet or Fleet(listen="127.0.0.1:0")
        self.refusal_rate = self.failure_rate = self.return_rate = 0.0
        self.lose_deletes = False  # DELETEs for another dispatcher's attempts get no answer
        self.call_backs_to: str | None = None  # a dispatcher; None: a random one
        self.service_times = (100 * MS, 600 * MS)
        self.written: Counter[str] = Counter()  # requests written, by job id
        self.workers = Workers(self, workers)
        self.processes: dict[str, Process] = {}
        self.requests: dict[str, ClientRequest] = {}
        self.adoptions: list[tuple[str, LedgerAdopted]] = []
        self.counts: Counter[str] = Counter()
        self.first_crash_point = ""  # the first dispatcher that reaches this fault point crashes there
        self.crashed_down_time = 500 * MS  # until that dispatcher starts again
        self.crashed: list[str] = []  # dispatchers that crashed at a fault point
        self.ended: dict[Incarnation, int] = {}  # killed or superseded incarnations, and when, ns
        self.observers: list[Callable[[str, StepReport], None]] = []  # told of each dispatcher's steps
        self._renewing: set[str] = set()
        self._connected: dict[str, list[ClientRequest]] = defaultdict(list)
        for i in range(n):
            self.net.add(f"d{i}", f"s{i % sites}", self._build)
        for i in range(n):
            self.net.start(f"d{i}")

    # Processes

    def _build(self, peer: SimulatedPeer, node: Node) -> None:
        now = self.clock.now()
        process = self.processes.get(peer.name)
        new = process is None or peer.name not in self._renewing
        known = [
            p.members.me for p in self.processes.values() if p.peer.node is not None and p.peer is not peer
        ]
        card = Card(node.incarnation, f"{peer.name}:1", peer.site, version=1)
        seeds = {name: f"{name}:1" for name in self.net.peers if name != peer.name}
        members = MemberMachine(card, self.fleet.members, seeds, now, known)
        ledgers = LedgerMachine(node.incarnation, members, self.fleet.ledgers)
        if new:
            process = self._process(peer, members, ledgers)
        assert process is not None
        process.members, process.ledgers = members, ledgers
        adapter = process.adapter
        previous = None if new else adapter.machine
        rules = takeover_rules(
            self.settings,
            self.fleet,
            partial(self._on_fault_point, peer),
            partial(self._on_step, peer.name),
        )
        # the dispatchers that a world begins with have followed their fleet for long
        followed_since = now - rules.answer_retention if now == self._start else None
        machine = Takeover(now, node.incarnation, members, ledgers, rules, followed_since)
        adapter.machine = machine
        node.add((members, ledgers, machine))
        peer.on_event = adapter.on_event
        node.carry_out(machine.open_ledger(now))
        if previous is not None:
            node.carry_out(machine.inherit(now, previous))

    def _process(self, peer: SimulatedPeer, members: MemberMachine, ledgers: LedgerMachine) -> Process:
        clock = DispatcherClock(self.clock, peer)
        host = Host(clock, self.settings, self.seed)
        invoker = SimulatedInvoker(self, clock)
        invoker.host = host

        def carry_out(actions: Iterable[Action]) -> None:
            pending = list(actions)
            self.net.run_on(peer.name, lambda node, now: node.carry_out(pending))

        adapter = TakeoverAdapter(clock, host, invoker, carry_out)
        adapter.on_superseded = lambda: clock.call_soon(self._renew, peer.name)
        adapter.on_adopted = lambda event: self.adoptions.append((peer.name, event))
        entries = tuple(
            api.WorkerEntry(worker=name, state=api.WorkerState.UP, zone=self.settings.zone)
            for name in self.workers.all
        )
        host.update_workers(api.WorkerList(api.ListKind.FULL, entries, 1))
        self.processes[peer.name] = process = Process(peer, clock, host, invoker, adapter, members, ledgers)
        return process

    def _renew(self, name: str) -> None:
        """Starts a new incarnation of a process's member; the process itself and its deferred calls are
        kept."""
        self.counts["renewed"] += 1
        self._note_end(name)
        self._renewing.add(name)
        deferred = self.net.peers[name].deferred
        self.net.start(name)
        self.net.peers[name].deferred = deferred
        self._renewing.discard(name)

    def kill(self, name: str) -> None:
        """Ends a process at once; its clients see their connections end and retry."""
        if self.net.peers[name].node is None:
            return
        self._note_end(name)
        self.net.crash(name)
        self.processes[name].clock.ended = True
        requests, self._connected[name] = self._connected[name], []
        for request in requests:
            if not request.answers:
                self.clock.call_at(self.clock.now() + self._retry_delay(), self._send, request)

    def _note_end(self, name: str) -> None:
        node = self.net.peers[name].node
        assert node is not None
        self.ended[node.incarnation] = self.clock.now()

    def _on_step(self, name: str, report: StepReport) -> None:
        for observer in self.observers:
            observer(name, report)

    def _on_fault_point(self, peer: SimulatedPeer, point: str) -> None:
        if point != self.first_crash_point:
            return
        self.first_crash_point = ""
        self.crashed.append(peer.name)
        self.kill(peer.name)
        self.clock.call_at(self.clock.now() + self.crashed_down_time, self.restart, peer.name)
        raise ProcessCrashedError(peer.name)

    def restart(self, name: str) -> None:
        """Starts a new process of a dispatcher that was killed."""
        self.net.start(name)

    def resume(self, name: str) -> None:
        """Continues a paused process, unless it was killed meanwhile."""
        if self.net.peers[name].paused:
            self.net.resume(name)

    def deliver_call_back(self, raw: dict[str, Any]) -> bool:
        """Delivers a worker's call-back to one of the running dispatchers; False if none runs."""
        up = [name for name, peer in self.net.peers.items() if peer.node is not None and not peer.paused]
        if not up:
            return False
        process = self.processes[self.call_backs_to or self.random.choice(up)]
        if not process.invoker.handle_call_back(raw):
            process.adapter.on_unmatched_call_back(raw)
        return True

    def up(self) -> list[str]:
        """Returns the names of the dispatchers that are not down."""
        return [name for name, peer in self.net.peers.items() if peer.node is not None]

    # Clients

    def submit(self, job_id: str, job_class: str, time_left: int, at: str | None = None) -> ClientRequest:
        """Has a client send a job to a random dispatcher, or to ``at``. ``time_left``: ns until its
        deadline."""
        request = self.requests[job_id] = ClientRequest(job_id, job_class, self.clock.now() + time_left)
        self._send(request, at)
        return request

    def _retry_delay(self) -> int:
        return int(self.random.uniform(20, 400) * MS)

    def _send(self, request: ClientRequest, at: str | None = None) -> None:
        remaining = request.deadline - self.clock.now()
        if remaining <= MS or request.answers:
            return
        up = self.up()
        if not up:
            self.clock.call_at(self.clock.now() + self._retry_delay(), self._send, request)
            return
        name = at or self.random.choice(up)
        request.tries += 1
        request.at = name
        self._connected[name].append(request)

        number = request.tries

        def answered(answer: Answer | None) -> None:
            if number == request.tries:
                request.answers.append(answer)
            else:
                self.counts["answered to nobody"] += 1

        is_retry = number > 1
        process = self.processes[name]

        def pass_on() -> None:
            request.disconnect = process.adapter.submit(
                Payload(request.id, "POST", f"/{request.job_class}/{request.id}", b"in"),
                answered,
                job_class=request.job_class,
                time_left=max(MS, request.deadline - self.clock.now()),
                slots=1.0,
                memory=0.0,
                repeat=is_retry,
            )

        process.clock.call_soon(pass_on)

    def reconnect(self, request: ClientRequest, at: str | None = None) -> None:
        """Has the client disconnect and send its job again."""
        process = self.processes[request.at]
        if request.disconnect is not None and not process.clock.ended:
            process.clock.call_soon(request.disconnect)
        if request in self._connected[request.at]:
            self._connected[request.at].remove(request)
        self._send(request, at)

    def run(self, duration: int) -> None:
        """Advances the virtual time by ``duration`` ns."""
        self.net.run(duration)

    def verdict_counts(self) -> Counter[str]:
        """Returns the number of jobs by verdict; "nothing" counts those without an answer."""
        found: Counter[str] = Counter()
        for request in self.requests.values():
            answer = request.answers[0] if request.answers else None
            found["nothing" if answer is None else answer.verdict.value] += 1
        return found

    def violations(self, unsafe: Iterable[str]) -> list[str]:
        """Returns a description of each invariant that the workers' and clients' counts show as broken.

        ``unsafe``: the job classes that must not run twice."""
        found = []
        unsafe_classes = set(unsafe)
        for request in self.requests.values():
            unsafe_job = request.job_class in unsafe_classes
            runs = self.workers.starts[request.id]
            attempts = runs + self.workers.returned[request.id]
            if unsafe_job and runs > 1:
                found.append(f"{request.id}: a booking ran {runs} times")
            if attempts > self.settings.max_attempts:
                found.append(f"{request.id}: {attempts} attempts")
            if len(request.answers) > 1:
                found.append(f"{request.id}: {len(request.answers)} answers")
            for answer in request.answers:
                if answer is None:
                    found.append(f"{request.id}: refused as another request")
                elif unsafe_job and answer.verdict is Verdict.REFUSED and runs:
                    found.append(f"{request.id}: refused though it may have run")
                elif answer.verdict is Verdict.SERVED and answer.result != f"done {request.id}".encode():
                    found.append(f"{request.id}: a result that no worker sent")
        return found


def ms(n: float) -> int:
    """Converts milliseconds to ns."""
    return round(n * MS)


__all__ = ["SECOND", "Process", "TakeoverSimulation", "ms"]
