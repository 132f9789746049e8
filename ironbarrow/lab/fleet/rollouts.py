"""Rollouts on a simulated world: real hosts and decisions, real members and ledgers, agents that replace
workers, and a new runtime that may be bad.
"""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import msgspec

from heathway import api
from ironbarrow.core.endings import Ending
from ironbarrow.core.host import Host
from ironbarrow.core.jobs import Attempt
from ironbarrow.fleet.api import Card, FleetEvent, Message
from ironbarrow.fleet.codec import Codec
from ironbarrow.fleet.file import LedgerRules, MemberRules
from ironbarrow.fleet.ledgers import LedgerMachine
from ironbarrow.fleet.members import MemberMachine
from ironbarrow.fleet.node import Node
from ironbarrow.fleet.rollout.commands import AGENT_PREFIX, Agent, StarvationReport
from ironbarrow.fleet.rollout.coordinator import ListedTarget, RolloutChanged, RolloutMachine
from ironbarrow.fleet.rollout.plan import Target
from ironbarrow.fleet.rollout.records import Stage
from ironbarrow.fleet.rollout.signals import AttemptEnd, Signals
from ironbarrow.lab.fleet.agents import AgentMachine
from ironbarrow.lab.fleet.field import KINDS
from ironbarrow.lab.fleet.net import Seat, SimulatedNet
from ironbarrow.lab.model.fleet import FaultSchedule
from ironbarrow.lab.model.spec import Fault, World
from ironbarrow.lab.model.worker import Admission, Demand, HeldJob, Report, State, StateListener, Worker
from ironbarrow.lab.result import Result
from ironbarrow.lab.settings import zone_of
from ironbarrow.lab.sim.back import SimulatedBack, _Exchange
from ironbarrow.lab.sim.clock import ProcessClock
from ironbarrow.lab.sim.run import Simulation
from ironbarrow.runtime.clock import MS, SECOND

START_TIME = SECOND  # of a worker's process, until it is listed
_SYNC = 200 * MS
_LEAK = 0.08  # chance of a job to leave its slots taken, where a runtime leaks
OLD, NEW = "1.0", "2.0"
_ENDS = {
    Ending.DONE: AttemptEnd.DONE,
    Ending.FAILED: AttemptEnd.FAILED,
    Ending.ERROR_ANSWER: AttemptEnd.FAILED,
    Ending.TIMED_OUT: AttemptEnd.FAILED,
    Ending.LOST: AttemptEnd.RESET,
    Ending.RESET: AttemptEnd.RESET,
    Ending.CLOSED: AttemptEnd.RESET,
}


@dataclass(frozen=True, slots=True)
class Runtime:
    """What is wrong with a runtime; by default nothing."""

    failing: float = 0.0  # part of its jobs
    failing_after: int = 0  # ns after its process's start
    failing_class: str = ""  # "": all
    only_zone: str = ""  # "": everywhere
    slow: float = 1.0
    leaks: bool = False
    no_start: bool = False
    falls: bool = False  # at a part of the work that others stand while they are cold
    starves: bool = False  # a verdict comes 10 s after it is up somewhere


KINDS_OF_BAD: dict[str, Runtime] = {
    "fails 2%": Runtime(failing=0.02),
    "fails 10%": Runtime(failing=0.1),
    "fails 30%": Runtime(failing=0.3),
    "fails 100%": Runtime(failing=1.0),
    "fails 30% after 15 s": Runtime(failing=0.3, failing_after=15 * SECOND),
    "one class fails 30%": Runtime(failing=0.3, failing_class="decode"),
    "one site's hardware, 30%": Runtime(failing=0.3, only_zone="middle"),
    "slow x2": Runtime(slow=2.0),
    "leaks slots": Runtime(leaks=True),
    "does not start": Runtime(no_start=True),
    "falls when cold": Runtime(falls=True),
    "starves one tenant": Runtime(starves=True),
}


class NewWorker(Worker):
    """A worker with the new runtime."""

    runtime = Runtime()
    failing_usual: float | None = None  # jobs of this usual work alone fail

    def install(self, runtime: Runtime, usual: float | None) -> None:
        self.runtime, self.failing_usual = runtime, usual
        self._usual: dict[str, float] = {}
        if runtime.slow != 1.0:
            self.slow(runtime.slow)
        if runtime.falls:
            self._cold = msgspec.structs.replace(self._cold, fall_multiple=0.2)

    def arrive(self, job_id: str, need: Demand, tell: StateListener) -> Admission:
        self._usual[job_id] = need.class_mean
        return super().arrive(job_id, need, tell)

    def _start_job(self, job: HeldJob) -> None:
        runtime = self.runtime
        if runtime.failing:
            struck = self.failing_usual in (None, self._usual.get(job.id))
            late = self._clock.now() - self.started_at >= runtime.failing_after
            self.impairment.failure_share = runtime.failing if struck and late else 0.0
        super()._start_job(job)

    def _remove(self, job: HeldJob) -> None:
        before = self.used_slots
        super()._remove(job)
        self._usual.pop(job.id, None)
        if self.runtime.leaks and self.used_slots < before and self._stream.chance(_LEAK):
            self.used_slots = before


class WatchedBack(SimulatedBack):
    """Notes what becomes of a dispatcher's attempts."""

    signals: Signals
    _noted: dict[Attempt, tuple[str, int, str, float, int]]

    def watch(self, signals: Signals) -> None:
        self.signals, self._noted = signals, {}

    def _write(self, attempt: Attempt, way: _Exchange) -> None:
        super()._write(attempt, way)
        if attempt.written and not way.closed and attempt not in self._noted:
            job = attempt.job.arrival
            since = way.worker.started_at // MS * MS
            usual = self._demands[attempt.job.payload.id].class_mean
            self._noted[attempt] = (attempt.worker, since, job.job_class, job.slots, 0)
            self.signals.attempt_sent(attempt.worker, since, job.job_class, int(usual), job.slots)

    def _state_received(self, attempt: Attempt, way: _Exchange, state: str, report: Report | None) -> None:
        noted = self._noted.get(attempt)
        if state == "started" and noted is not None:
            self._noted[attempt] = (*noted[:4], self._clock.now())
        super()._state_received(attempt, way, state, report)

    def _end(
        self, attempt: Attempt, ending: Ending, report: api.LoadReport | None = None, result: bytes = b""
    ) -> None:
        noted = self._noted.pop(attempt, None)
        if noted is not None:
            worker, since, job_class, slots, started = noted
            elapsed = self._clock.now() - started if started else 0
            free = report.free_slots if report is not None else None
            self.signals.attempt_ended(worker, since, job_class, slots, _ENDS.get(ending), elapsed, free)
        super()._end(attempt, ending, report, result)


class WorkerBox:
    """A worker's machine, as its agent uses it: a ``Box``."""

    def __init__(self, run: "RolloutRun", target: Target) -> None:
        self._run, self.target = run, target
        self.listed_as = target.name
        self.starts: list[tuple[int, str]] = []
        self._number = 0
        self._up_at = 0

    def drain(self) -> None:
        self._run.fleet.drain(self.listed_as)

    def end(self) -> None:
        self._run.fleet.end(self.listed_as)

    def begin(self, runtime: str) -> None:
        clock = self._run.clock
        self._number += 1
        self._up_at = clock.now() + START_TIME
        self.starts.append((clock.now(), runtime))
        clock.call_at(self._up_at, self._comes_up, self._number, runtime)

    def _comes_up(self, number: int, runtime: str) -> None:
        run, fleet = self._run, self._run.fleet
        bad = run.bad if runtime == NEW else Runtime()
        if number != self._number or bad.no_start:
            return
        old = fleet.workers[self.target.name]
        if bad.only_zone not in ("", old.zone):
            bad = Runtime()
        self.listed_as = f"{self.target.name}~{number}"
        fleet.worker_class = NewWorker
        made = fleet.add(old.group, self.listed_as, old.zone, run.clock.now())
        fleet.worker_class = Worker
        assert isinstance(made, NewWorker)
        usual = next((float(c.work.mean) for c in run.world.classes if c.name == bad.failing_class), None)
        made.install(bad, usual)
        fleet.discovery.change(fleet.entry(made))

    def up(self) -> bool | None:
        if self._run.clock.now() <= self._up_at:
            return None
        if self._number and self.listed_as != f"{self.target.name}~{self._number}":
            return False
        return self._run.fleet.workers[self.listed_as].state in (State.UP, State.DRAINING)

    def process(self) -> tuple[str, int]:
        return self.listed_as, self._run.fleet.workers[self.listed_as].started_at // MS * MS


class CurrentFaults(FaultSchedule):
    """Faults that strike whatever process a machine has at the time, the new runtime's too."""

    boxes: dict[str, WorkerBox]

    def _inject(self, fault: Fault, who: list[str]) -> None:
        super()._inject(fault, [self.boxes[name].listed_as for name in who])


@dataclass(slots=True)
class Outcome:
    """What became of a rollout. Times in seconds from its start; -1: never."""

    stage: str
    rule: str
    figures: str
    had_it: float  # part of the targets that had the new runtime, or were getting it, at the first pause
    first_up: float
    held_at: float  # the first hold or stop from then on that lasted to the stop, or the first one
    stopped_at: float
    holds: list[str]
    done_at: float


class RolloutRun(Simulation):
    """A world with a rollout in it, led by its dispatchers. ``plan`` None: agents and members alone."""

    def __init__(
        self,
        world: World,
        seed: int,
        plan: str | None,
        bad: Runtime | None = None,
        start_at: int = 8 * SECOND,
    ) -> None:
        super().__init__(world, seed)
        self.bad = bad or Runtime()
        self.plan, self._start_at = plan, start_at
        self.signals = [Signals(zone_of(world, n)) for n in range(world.dispatchers.count)]
        self.machines: dict[str, RolloutMachine] = {}
        self.boxes: dict[str, WorkerBox] = {}
        self.agents: dict[str, Agent] = {}
        self.changes: list[tuple[int, RolloutChanged]] = []
        self._verdict_given = False
        self.faults = faults = CurrentFaults(self.clock, world, self.fleet, self.workload, self, self.streams)
        faults.boxes = self.boxes
        self._had_at_pause = -1.0
        kinds: tuple[type[Message], ...] = (*KINDS, *MemberMachine.handles, *LedgerMachine.handles)
        self.net = SimulatedNet(self.clock, Codec(kinds), seed)
        self.names = [f"d{n}" for n in range(world.dispatchers.count)]
        self._targets = {
            p.name: Target(p.name, p.zone, p.group.kind, p.group.slots) for p in self.fleet.workers.values()
        }
        for name in self.names:
            seat = self.net.add(name, zone_of(world, int(name[1:])), self._member)
            seat.on_news = lambda news, seat=seat: self._news(seat, news)
        for target in self._targets.values():
            self.boxes[target.name] = WorkerBox(self, target)
            self.agents[target.name] = Agent(target.name, OLD)
            self.net.add(AGENT_PREFIX + target.name, target.site, self._agent)
            self.net.start(AGENT_PREFIX + target.name)
        self.clock.call_at(self.clock.now() + _SYNC, self._sync)
        if plan is not None:
            self.clock.call_at(self.clock.now() + start_at, self._begin, plan)

    def make_back(self, number: int, clock: ProcessClock, host: Host) -> SimulatedBack:
        zone = zone_of(self.world, number)
        back = WatchedBack(
            clock, host, self.fleet, self.audit, f"d{number}", zone, self.client_behaviour.demands
        )
        self.signals[number] = Signals(zone)
        back.watch(self.signals[number])
        machine = self.machines.get(f"d{number}")
        if machine is not None:
            machine.signals = self.signals[number]
        return back

    def _member(self, seat: Seat, node: Node) -> None:
        number = int(seat.name[1:])
        seeds = [name for name in self.names if name != seat.name]
        members = MemberMachine(
            Card(node.incarnation, "", seat.site, version=1), MemberRules(), seeds, self.clock.now()
        )
        ledgers = LedgerMachine(node.incarnation, members, LedgerRules())
        settings = self.dispatchers[number].settings
        machine = RolloutMachine(members, ledgers, lambda now: now, settings)
        machine.signals = self.signals[number]
        self.machines[seat.name] = machine
        machine.update_targets(self.clock.now(), self._listed(number))
        node.add([members, ledgers, machine])

    def _agent(self, seat: Seat, node: Node) -> None:
        name = seat.name.removeprefix(AGENT_PREFIX)
        node.add([AgentMachine(self.agents[name], self.boxes[name])])

    def _news(self, seat: Seat, news: FleetEvent) -> None:
        node = seat.node
        if isinstance(news, RolloutChanged):
            self.changes.append((self.clock.now(), news))
            if news.stage in (Stage.STOPPED, Stage.BACK):
                self._note_pause()
        elif node is not None:
            node.carry_out(self.machines[seat.name].on_event(self.clock.now(), news))

    def _note_pause(self) -> None:
        if self._had_at_pause < 0:
            had = sum(any(r == NEW for _, r in box.starts) for box in self.boxes.values())
            self._had_at_pause = had / len(self.boxes)

    def _listed(self, number: int) -> list[ListedTarget]:
        """The targets as a dispatcher's list has them; what is not listed is not in use."""
        known = {entry.name: entry for entry in self.dispatchers[number].known().entries}
        found: dict[str, ListedTarget] = {
            n: ListedTarget(target, up=False) for n, target in self._targets.items()
        }
        for entry in known.values():
            stem = entry.name.partition("~")[0]
            if stem in found:
                found[stem] = ListedTarget(self._targets[stem], entry.status == "up", entry.since)
        return list(found.values())

    def _sync(self) -> None:
        """Members live as their dispatchers do, and know the list that these know."""
        for number, name in enumerate(self.names):
            runs, seat = self.dispatchers[number].process is not None, self.net.seats[name]
            if runs and seat.node is None:
                self.net.start(name)
            elif not runs and seat.node is not None:
                self.net.crash(name)
            if runs:
                self.machines[name].update_targets(self.clock.now(), self._listed(number))
        if self.bad.starves and not self._verdict_given:
            since = [at for box in self.boxes.values() for at, runtime in box.starts if runtime == NEW]
            if since and self.clock.now() > min(since) + 12 * SECOND:
                self._verdict_given = True
                seen = StarvationReport("farm3", "d1", min(since) + 2 * SECOND)
                self._order("d1", lambda machine, now: machine.report_starvation(now, seen))
        if not self.workload.ended:
            self.clock.call_at(self.clock.now() + _SYNC, self._sync)

    def _order(self, name: str, what: Callable[[RolloutMachine, int], Any]) -> None:
        self.net.order(name, lambda node, now: node.carry_out(what(self.machines[name], now)))

    def _begin(self, plan: str) -> None:
        runs = [n for n, name in enumerate(self.names) if self.net.seats[name].node is not None]
        self._order(self.names[runs[0]], lambda machine, now: machine.start(now, plan.encode()))

    def play(self) -> tuple[Result, Outcome]:
        """Plays it to the end."""
        begun = self.clock.now() + self._start_at
        result = self.run()
        ups = [at for box in self.boxes.values() for at, runtime in box.starts if runtime == NEW]

        def when(*stages: Stage) -> float:
            found = [at for at, news in self.changes if news.stage in stages]
            return (found[0] - begun) / SECOND if found else -1.0

        stop = next((n for _, n in self.changes if n.stage in (Stage.STOPPED, Stage.BACK)), None)
        last = stop or (self.changes[-1][1] if self.changes else None)
        return result, Outcome(
            last.stage.name if last else "NONE",
            stop.rule if stop else "",
            stop.details if stop else "",
            self._had_at_pause,
            (min(ups) + START_TIME - begun) / SECOND if ups else -1.0,
            when(Stage.HELD),
            when(Stage.STOPPED, Stage.BACK),
            [news.rule for _, news in self.changes if news.stage is Stage.HELD],
            when(Stage.DONE),
        )
