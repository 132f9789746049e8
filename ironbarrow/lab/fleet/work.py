"""Dispatchers of a fleet at work in virtual time: real hosts, decisions and machines; workers and clients
that only count.

What workers ran and what clients heard decides whether the rules hold: they know nothing of ledgers.
"""

import random
from collections import Counter, defaultdict
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any

from heathway import api
from ironbarrow.core.attempt import Progress
from ironbarrow.core.endings import Ending
from ironbarrow.core.host import Host
from ironbarrow.core.jobs import Answer, Attempt, Payload, Verdict
from ironbarrow.fleet.api import Action, Card
from ironbarrow.fleet.codec import Codec
from ironbarrow.fleet.file import Fleet
from ironbarrow.fleet.ledgers import LedgerMachine
from ironbarrow.fleet.members import MemberMachine
from ironbarrow.fleet.node import Node
from ironbarrow.fleet.takeover.actions import LedgerAdopted
from ironbarrow.fleet.takeover.adapter import TakeoverAdapter, takeover_rules
from ironbarrow.fleet.takeover.machine import Takeover
from ironbarrow.lab.fleet.net import Seat, SimulatedNet
from ironbarrow.lab.sim.clock import SimulatedClock
from ironbarrow.runtime.clock import MS, SECOND, Timer

_TRIP = MS // 2  # between dispatcher and worker, one way
_CONNECT = 2 * MS
_UNCONFIRMED_AFTER = 300 * MS  # where DELETEs are lost
_CALL_BACK_TRIES = 12
_CALL_BACK_PAUSE = 250 * MS
_ENDS = {"done": Ending.DONE, "failed": Ending.FAILED, "returned": Ending.RETURNED, "lost": Ending.LOST}


class SeatClock:
    """A process's clock: nothing is called after its end, and what is due while it is stopped waits."""

    def __init__(self, clock: SimulatedClock, seat: Seat) -> None:
        self._clock, self._seat = clock, seat
        self.over = False
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
        if self.over:
            return
        if self._seat.paused:
            self._seat.waiting.append(lambda: self._run(call, args))
        else:
            call(*args)


@dataclass(slots=True, eq=False)
class Worker:
    """Runs what it is sent, and counts it."""

    name: str
    running: dict[str, int] = field(default_factory=dict)  # by id: which start of it


class Workers:
    """All workers, and what they ran."""

    def __init__(self, world: "WorkWorld", n: int) -> None:
        self._world = world
        self.all = {f"p{i}": Worker(f"p{i}") for i in range(n)}
        self.starts: Counter[str] = Counter()  # by id
        self.done: set[str] = set()  # ids that ran to their end, somewhere
        self.returned: Counter[str] = Counter()  # by id: taken and given back, without a run
        self.copies: Counter[str] = Counter()  # ids of which a second copy was out
        self.unheard = 0

    def arrive(self, name: str, job_id: str) -> bool:
        """A request comes; whether it is taken."""
        worker, world = self.all[name], self._world
        if job_id in worker.running:
            return True
        chance = world.random.random()
        if chance < world.refuses:
            return False
        if any(job_id in other.running for other in self.all.values()):
            self.copies[job_id] += 1
        self.starts[job_id] += 1
        worker.running[job_id] = number = self.starts[job_id]
        lasts = int(world.random.uniform(*world.lasts))
        world.clock.call_at(world.clock.now() + lasts, self._end, worker, job_id, number)
        return True

    def _end(self, worker: Worker, job_id: str, number: int) -> None:
        if worker.running.get(job_id) != number:
            return
        del worker.running[job_id]
        world = self._world
        state = "done" if world.random.random() >= world.fails else "failed"
        if world.random.random() < world.returns:
            state = "returned"
            self.starts[job_id] -= 1
            self.returned[job_id] += 1
        if state == "done":
            self.done.add(job_id)
        self._call_back({"id": job_id, "from": worker.name, "state": state, "result": f"done {job_id}"}, 0)

    def _call_back(self, raw: dict[str, Any], tries: int) -> None:
        world = self._world
        if world.hears(raw):
            return
        if tries >= _CALL_BACK_TRIES:
            self.unheard += 1
            return
        world.clock.call_at(world.clock.now() + _CALL_BACK_PAUSE, self._call_back, raw, tries + 1)

    def delete(self, name: str, job_id: str) -> None:
        self.all[name].running.pop(job_id, None)


class Back:
    """One process's attempts to workers."""

    def __init__(self, world: "WorkWorld", clock: SeatClock) -> None:
        self.host: Host
        self._world, self._clock = world, clock
        self._out: set[Attempt] = set()

    def start(self, attempt: Attempt) -> None:
        self._out.add(attempt)
        self._clock.call_at(self._clock.now() + _CONNECT, self._write, attempt)

    def _write(self, attempt: Attempt) -> None:
        if attempt not in self._out:
            return
        self.host.attempt_written(attempt)
        self._world.written[attempt.job.payload.id] += 1
        clock, job_id = self._world.clock, attempt.job.payload.id
        clock.call_at(clock.now() + _TRIP, self._arrive, attempt, job_id)

    def _arrive(self, attempt: Attempt, job_id: str) -> None:
        taken = self._world.workers.arrive(attempt.worker, job_id)
        self._clock.call_at(self._world.clock.now() + _TRIP, self._answered, attempt, taken)

    def _answered(self, attempt: Attempt, taken: bool) -> None:
        if taken:
            attempt.advance_to(Progress.ACCEPTED)
        elif attempt in self._out:
            self._end(attempt, Ending.NOT_PROCESSED)

    def _end(self, attempt: Attempt, ending: Ending, result: bytes = b"") -> None:
        self._out.discard(attempt)
        self.host.attempt_ended(attempt, ending, None, result)

    def give_up(self, attempt: Attempt, ending: Ending) -> None:
        if attempt not in self._out or not attempt.written:
            self._out.discard(attempt)
            self.host.attempt_ended(attempt, ending)
            return
        self._delete(attempt.worker, attempt.job.payload.id, lambda: self._end(attempt, ending))

    def _delete(self, worker: str, job_id: str, done: Callable[[], None]) -> None:
        def arrives() -> None:
            self._world.workers.delete(worker, job_id)
            self._clock.call_at(self._world.clock.now() + _TRIP, done)

        clock = self._world.clock
        # a way of its own: slower than a request's, so that it does not overtake one
        clock.call_at(clock.now() + _CONNECT + _TRIP, arrives)

    def detach(self, attempt: Attempt) -> None:
        self._out.discard(attempt)

    def cancel_job(self, job_id: str, worker: str, until: int, done: Callable[[bool], None]) -> None:
        if self._world.deletes_lost:
            self._clock.call_at(min(until, self._clock.now() + _UNCONFIRMED_AFTER), done, False)
        else:
            self._delete(worker, job_id, lambda: done(True))

    def handle_call_back(self, raw: Any) -> bool:
        attempt = self.host.live_attempt(raw["id"], raw["from"])
        if attempt is None:
            return False
        self.host.attempt_written(attempt)
        self._end(attempt, _ENDS[raw["state"]], raw.get("result", "").encode())
        return True

    def probe(self, worker: str) -> None:
        self.host.probe_ended(worker, Ending.DONE, MS)

    def close_idle(self, worker: str) -> None:
        pass


@dataclass(slots=True, eq=False)
class Process:
    """A dispatcher's process: its host and its work last over incarnations of its member."""

    seat: Seat
    clock: SeatClock
    host: Host
    back: Back
    work: TakeoverAdapter
    members: MemberMachine
    ledgers: LedgerMachine


@dataclass(slots=True, eq=False)
class Order:
    """A job as its client wants it."""

    id: str
    job_class: str
    until: int
    heard: list[Answer | None] = field(default_factory=list)  # one by each try that got an answer
    tries: int = 0
    at: str = ""
    left: Callable[[], None] | None = None


class WorkWorld:
    """Dispatchers, workers and clients on one clock."""

    def __init__(
        self,
        settings: api.Settings,
        n: int,
        *,
        seed: int,
        fleet: Fleet | None = None,
        sites: int = 3,
        workers: int = 4,
    ) -> None:
        self.clock, self.random = SimulatedClock(), random.Random(seed)
        kinds = (*MemberMachine.handles, *LedgerMachine.handles, *Takeover.handles)
        self.net = SimulatedNet(self.clock, Codec(kinds), seed)
        self.settings, self.seed = settings, seed
        self.fleet = fleet or Fleet(listen="127.0.0.1:0")
        self.refuses = self.fails = self.returns = 0.0
        self.deletes_lost = False  # workers can't be told to stop what another dispatcher sent
        self.call_backs_to: str | None = None  # None: to any dispatcher
        self.lasts = (100 * MS, 600 * MS)
        self.written: Counter[str] = Counter()  # by id
        self.workers = Workers(self, workers)
        self.processes: dict[str, Process] = {}
        self.orders: dict[str, Order] = {}
        self.adoptions: list[tuple[str, LedgerAdopted]] = []
        self.counts: Counter[str] = Counter()
        self.faults: dict[str, Callable[[str], None]] = {}  # by name, of the next process
        self._renewing: set[str] = set()
        self._waiting: dict[str, list[Order]] = defaultdict(list)
        for i in range(n):
            self.net.add(f"d{i}", f"s{i % sites}", self._build)
        for i in range(n):
            self.net.start(f"d{i}")

    # Processes

    def _build(self, seat: Seat, node: Node) -> None:
        now = self.clock.now()
        process = self.processes.get(seat.name)
        new = process is None or seat.name not in self._renewing
        known = [
            p.members.me for p in self.processes.values() if p.seat.node is not None and p.seat is not seat
        ]
        card = Card(node.incarnation, f"{seat.name}:1", seat.site, version=1)
        seeds = {name: f"{name}:1" for name in self.net.seats if name != seat.name}
        members = MemberMachine(card, self.fleet.members, seeds, now, known)
        ledgers = LedgerMachine(node.incarnation, members, self.fleet.ledgers)
        if new:
            process = self._process(seat, members, ledgers)
        assert process is not None
        process.members, process.ledgers = members, ledgers
        work = process.work
        earlier = None if new else work.machine
        rules = takeover_rules(self.settings, self.fleet, self.faults.get(seat.name))
        machine = Takeover(now, node.incarnation, members, ledgers, rules)
        work.machine = machine
        node.add((members, ledgers, machine))
        seat.on_news = work.on_event
        node.carry_out(machine.open_ledger(now))
        if earlier is not None:
            node.carry_out(machine.inherit(now, earlier))

    def _process(self, seat: Seat, members: MemberMachine, ledgers: LedgerMachine) -> Process:
        clock = SeatClock(self.clock, seat)
        host = Host(clock, self.settings, self.seed)
        back = Back(self, clock)
        back.host = host

        def carry_out(actions: Iterable[Action]) -> None:
            gathered = list(actions)
            self.net.order(seat.name, lambda node, now: node.carry_out(gathered))

        work = TakeoverAdapter(clock, host, back, carry_out)
        work.on_superseded = lambda: clock.call_soon(self._renew, seat.name)
        work.on_adopted = lambda news: self.adoptions.append((seat.name, news))
        entries = tuple(
            api.WorkerEntry(worker=name, state=api.WorkerState.UP, zone=self.settings.zone)
            for name in self.workers.all
        )
        host.update_workers(api.WorkerList(api.ListKind.FULL, entries, 1))
        self.processes[seat.name] = process = Process(seat, clock, host, back, work, members, ledgers)
        return process

    def _renew(self, name: str) -> None:
        self.counts["renewed"] += 1
        self._renewing.add(name)
        waiting = self.net.seats[name].waiting
        self.net.start(name)
        self.net.seats[name].waiting = waiting
        self._renewing.discard(name)

    def kill(self, name: str) -> None:
        """Ends a process at once; its clients see their connections end."""
        if self.net.seats[name].node is None:
            return
        self.net.crash(name)
        self.processes[name].clock.over = True
        waiting, self._waiting[name] = self._waiting[name], []
        for order in waiting:
            if not order.heard:
                self.clock.call_at(self.clock.now() + self._pause(), self._try, order)

    def restart(self, name: str) -> None:
        self.net.start(name)

    def resume(self, name: str) -> None:
        """Lets a process go on that was stopped, if it was not killed meanwhile."""
        if self.net.seats[name].paused:
            self.net.resume(name)

    def hears(self, raw: dict[str, Any]) -> bool:
        """A worker's call-back reaches whoever is up, the front says whom; False if nobody is."""
        up = [name for name, seat in self.net.seats.items() if seat.node is not None and not seat.paused]
        if not up:
            return False
        process = self.processes[self.call_backs_to or self.random.choice(up)]
        if not process.back.handle_call_back(raw):
            process.work.on_unmatched_call_back(raw)
        return True

    def up(self) -> list[str]:
        return [name for name, seat in self.net.seats.items() if seat.node is not None]

    # Clients

    def order(self, job_id: str, job_class: str, time_left: int, at: str | None = None) -> Order:
        """A client sends a job, to any dispatcher or a named one."""
        order = self.orders[job_id] = Order(job_id, job_class, self.clock.now() + time_left)
        self._try(order, at)
        return order

    def _pause(self) -> int:
        return int(self.random.uniform(20, 400) * MS)

    def _try(self, order: Order, at: str | None = None) -> None:
        left = order.until - self.clock.now()
        if left <= MS or order.heard:
            return
        up = self.up()
        if not up:
            self.clock.call_at(self.clock.now() + self._pause(), self._try, order)
            return
        name = at or self.random.choice(up)
        order.tries += 1
        order.at = name
        self._waiting[name].append(order)

        number = order.tries

        def answered(answer: Answer | None) -> None:
            if number == order.tries:
                order.heard.append(answer)
            else:
                self.counts["answered to nobody"] += 1

        marked = number > 1
        process = self.processes[name]

        def taken() -> None:
            order.left = process.work.submit(
                Payload(order.id, "POST", f"/{order.job_class}/{order.id}", b"in"),
                answered,
                job_class=order.job_class,
                time_left=max(MS, order.until - self.clock.now()),
                slots=1.0,
                memory=0.0,
                repeat=marked,
            )

        process.clock.call_soon(taken)

    def again(self, order: Order, at: str | None = None) -> None:
        """The client leaves the connection and comes again."""
        process = self.processes[order.at]
        if order.left is not None and not process.clock.over:
            process.clock.call_soon(order.left)
        if order in self._waiting[order.at]:
            self._waiting[order.at].remove(order)
        self._try(order, at)

    def run(self, duration: int) -> None:
        self.net.run(duration)

    def ends(self) -> Counter[str]:
        """What clients heard, by verdict; "nothing" where no answer came."""
        found: Counter[str] = Counter()
        for order in self.orders.values():
            answer = order.heard[0] if order.heard else None
            found["nothing" if answer is None else answer.verdict.value] += 1
        return found

    def broken(self, unsafe: Iterable[str]) -> list[str]:
        """Rules that the counts of workers and clients show as broken."""
        found = []
        wrong = set(unsafe)
        for order in self.orders.values():
            booked = order.job_class in wrong
            runs = self.workers.starts[order.id]
            attempts = runs + self.workers.returned[order.id]
            if booked and runs > 1:
                found.append(f"{order.id}: a booking was run {runs} times")
            if attempts > self.settings.max_attempts:
                found.append(f"{order.id}: {attempts} attempts")
            if len(order.heard) > 1:
                found.append(f"{order.id}: {len(order.heard)} answers")
            for answer in order.heard:
                if answer is None:
                    found.append(f"{order.id}: refused as another request")
                elif booked and answer.verdict is Verdict.REFUSED and runs:
                    found.append(f"{order.id}: refused though it may have run")
                elif answer.verdict is Verdict.SERVED and answer.result != f"done {order.id}".encode():
                    found.append(f"{order.id}: a result that nobody made")
        return found


def ms(n: float) -> int:
    return round(n * MS)


__all__ = ["SECOND", "Process", "WorkWorld", "ms"]
