"""Simulates rollouts of a new, possibly faulty runtime under load: real hosts, decisions, members and
ledgers, and simulated agents that replace the workers' processes.
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
from ironbarrow.lab.fleet.net import SimulatedNet, SimulatedPeer
from ironbarrow.lab.fleet.rollout_simulation import KINDS
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
_SYNC_INTERVAL = 200 * MS
_LEAK_PROBABILITY = 0.08  # of a job to leave its slots taken, with a runtime that leaks
OLD, NEW = "1.0", "2.0"
_ATTEMPT_ENDS = {
    Ending.DONE: AttemptEnd.DONE,
    Ending.FAILED: AttemptEnd.FAILED,
    Ending.ERROR_ANSWER: AttemptEnd.FAILED,
    Ending.TIMED_OUT: AttemptEnd.FAILED,
    Ending.LOST: AttemptEnd.RESET,
    Ending.RESET: AttemptEnd.RESET,
    Ending.CLOSED: AttemptEnd.RESET,
}


@dataclass(frozen=True, slots=True)
class RuntimeFaults:
    """The faults of a runtime; none by default."""

    failing: float = 0.0  # share of its jobs
    failing_after: int = 0  # ns after the process's start
    failing_class: str = ""  # "": all classes
    only_zone: str = ""  # "": all zones
    slow: float = 1.0  # factor on the service times
    leaks: bool = False
    fails_to_start: bool = False
    crashes_when_cold: bool = False  # at a load that other cold workers can take
    starves: bool = False  # a tenant is reported as starved about 10 s after the first process of it is up


BAD_RUNTIMES: dict[str, RuntimeFaults] = {
    "fails 2%": RuntimeFaults(failing=0.02),
    "fails 10%": RuntimeFaults(failing=0.1),
    "fails 30%": RuntimeFaults(failing=0.3),
    "fails 100%": RuntimeFaults(failing=1.0),
    "fails 30% after 15 s": RuntimeFaults(failing=0.3, failing_after=15 * SECOND),
    "one class fails 30%": RuntimeFaults(failing=0.3, failing_class="decode"),
    "one site's hardware, 30%": RuntimeFaults(failing=0.3, only_zone="middle"),
    "slow x2": RuntimeFaults(slow=2.0),
    "leaks slots": RuntimeFaults(leaks=True),
    "does not start": RuntimeFaults(fails_to_start=True),
    "falls when cold": RuntimeFaults(crashes_when_cold=True),
    "starves one tenant": RuntimeFaults(starves=True),
}


class FaultyWorker(Worker):
    """A worker whose runtime may have faults."""

    runtime = RuntimeFaults()
    failing_work: float | None = None  # only jobs with this usual work fail; None: all

    def install(self, runtime: RuntimeFaults, usual: float | None) -> None:
        """Applies the faults of a runtime. ``usual``: the usual work of the class that fails; None: all
        fail."""
        self.runtime, self.failing_work = runtime, usual
        self._usual: dict[str, float] = {}
        if runtime.slow != 1.0:
            self.slow(runtime.slow)
        if runtime.crashes_when_cold:
            self._cold = msgspec.structs.replace(self._cold, fall_multiple=0.2)

    def arrive(self, job_id: str, need: Demand, tell: StateListener) -> Admission:
        self._usual[job_id] = need.class_mean
        return super().arrive(job_id, need, tell)

    def _start_job(self, job: HeldJob) -> None:
        runtime = self.runtime
        if runtime.failing:
            affected = self.failing_work in (None, self._usual.get(job.id))
            old_enough = self._clock.now() - self.started_at >= runtime.failing_after
            self.impairment.failure_share = runtime.failing if affected and old_enough else 0.0
        super()._start_job(job)

    def _remove(self, job: HeldJob) -> None:
        before = self.used_slots
        super()._remove(job)
        self._usual.pop(job.id, None)
        if self.runtime.leaks and self.used_slots < before and self._stream.chance(_LEAK_PROBABILITY):
            self.used_slots = before


class ObservedBack(SimulatedBack):
    """Reports a dispatcher's attempts and their ends to its rollout signals."""

    signals: Signals
    _observed: dict[Attempt, tuple[str, int, str, float, int]]

    def watch(self, signals: Signals) -> None:
        """Sets the signals to report to; called before the first attempt."""
        self.signals, self._observed = signals, {}

    def _write(self, attempt: Attempt, way: _Exchange) -> None:
        super()._write(attempt, way)
        if attempt.written and not way.closed and attempt not in self._observed:
            job = attempt.job.arrival
            since = way.worker.started_at // MS * MS
            usual = self._demands[attempt.job.payload.id].class_mean
            self._observed[attempt] = (attempt.worker, since, job.job_class, job.slots, 0)
            self.signals.attempt_sent(attempt.worker, since, job.job_class, int(usual), job.slots)

    def _state_received(self, attempt: Attempt, way: _Exchange, state: str, report: Report | None) -> None:
        observed = self._observed.get(attempt)
        if state == "started" and observed is not None:
            self._observed[attempt] = (*observed[:4], self._clock.now())
        super()._state_received(attempt, way, state, report)

    def _end(
        self, attempt: Attempt, ending: Ending, report: api.LoadReport | None = None, result: bytes = b""
    ) -> None:
        observed = self._observed.pop(attempt, None)
        if observed is not None:
            worker, since, job_class, slots, started = observed
            elapsed = self._clock.now() - started if started else 0
            free = report.free_slots if report is not None else None
            self.signals.attempt_ended(
                worker, since, job_class, slots, _ATTEMPT_ENDS.get(ending), elapsed, free
            )
        super()._end(attempt, ending, report, result)


class WorkerHost:
    """The machine of a simulated worker. Implements ``TargetHost``."""

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
        clock.call_at(self._up_at, self._finish_start, self._number, runtime)

    def _finish_start(self, number: int, runtime: str) -> None:
        run, fleet = self._run, self._run.fleet
        faults = run.runtime_faults if runtime == NEW else RuntimeFaults()
        if number != self._number or faults.fails_to_start:
            return
        old = fleet.workers[self.target.name]
        if faults.only_zone not in ("", old.zone):
            faults = RuntimeFaults()
        self.listed_as = f"{self.target.name}~{number}"
        fleet.worker_class = FaultyWorker
        made = fleet.add(old.group, self.listed_as, old.zone, run.clock.now())
        fleet.worker_class = Worker
        assert isinstance(made, FaultyWorker)
        usual = next((float(c.work.mean) for c in run.world.classes if c.name == faults.failing_class), None)
        made.install(faults, usual)
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
    """Faults that affect a machine's current process, also one that a rollout has started."""

    hosts: dict[str, WorkerHost]

    def _inject(self, fault: Fault, who: list[str]) -> None:
        super()._inject(fault, [self.hosts[name].listed_as for name in who])


@dataclass(slots=True)
class Outcome:
    """The result of a rollout. Times in s from its start; -1: never."""

    stage: str
    rule: str
    figures: str
    had_it: float  # share of the targets that had or were getting the new runtime when it first stopped
    first_up: float
    held_at: float  # the first hold
    stopped_at: float
    holds: list[str]
    done_at: float


class RolloutRun(Simulation):
    """A simulated world with a rollout that its dispatchers coordinate.

    ``plan``: the text of the plan file; None: agents and members run, without a rollout."""

    def __init__(
        self,
        world: World,
        seed: int,
        plan: str | None,
        runtime_faults: RuntimeFaults | None = None,
        start_at: int = 8 * SECOND,
    ) -> None:
        super().__init__(world, seed)
        self.runtime_faults = runtime_faults or RuntimeFaults()
        self.plan, self._start_at = plan, start_at
        self.signals = [Signals(zone_of(world, n)) for n in range(world.dispatchers.count)]
        self.machines: dict[str, RolloutMachine] = {}
        self.hosts: dict[str, WorkerHost] = {}
        self.agents: dict[str, Agent] = {}
        self.rollout_changes: list[tuple[int, RolloutChanged]] = []
        self._starvation_reported = False
        self.faults = faults = CurrentFaults(self.clock, world, self.fleet, self.workload, self, self.streams)
        faults.hosts = self.hosts
        self._share_at_pause = -1.0
        kinds: tuple[type[Message], ...] = (*KINDS, *MemberMachine.handles, *LedgerMachine.handles)
        self.net = SimulatedNet(self.clock, Codec(kinds), seed)
        self.names = [f"d{n}" for n in range(world.dispatchers.count)]
        self._targets = {
            p.name: Target(p.name, p.zone, p.group.kind, p.group.slots) for p in self.fleet.workers.values()
        }
        for name in self.names:
            peer = self.net.add(name, zone_of(world, int(name[1:])), self._member)
            peer.on_event = lambda event, peer=peer: self._on_event(peer, event)
        for target in self._targets.values():
            self.hosts[target.name] = WorkerHost(self, target)
            self.agents[target.name] = Agent(target.name, OLD)
            self.net.add(AGENT_PREFIX + target.name, target.site, self._agent)
            self.net.start(AGENT_PREFIX + target.name)
        self.clock.call_at(self.clock.now() + _SYNC_INTERVAL, self._sync)
        if plan is not None:
            self.clock.call_at(self.clock.now() + start_at, self._begin, plan)

    def make_back(self, number: int, clock: ProcessClock, host: Host) -> SimulatedBack:
        zone = zone_of(self.world, number)
        back = ObservedBack(
            clock, host, self.fleet, self.audit, f"d{number}", zone, self.client_behaviour.demands
        )
        self.signals[number] = Signals(zone)
        back.watch(self.signals[number])
        machine = self.machines.get(f"d{number}")
        if machine is not None:
            machine.signals = self.signals[number]
        return back

    def _member(self, peer: SimulatedPeer, node: Node) -> None:
        number = int(peer.name[1:])
        seeds = [name for name in self.names if name != peer.name]
        members = MemberMachine(
            Card(node.incarnation, "", peer.site, version=1), MemberRules(), seeds, self.clock.now()
        )
        ledgers = LedgerMachine(node.incarnation, members, LedgerRules())
        settings = self.dispatchers[number].settings
        machine = RolloutMachine(members, ledgers, lambda now: now, settings)
        machine.signals = self.signals[number]
        self.machines[peer.name] = machine
        machine.update_targets(self.clock.now(), self._listed(number))
        node.add([members, ledgers, machine])

    def _agent(self, peer: SimulatedPeer, node: Node) -> None:
        name = peer.name.removeprefix(AGENT_PREFIX)
        node.add([AgentMachine(self.agents[name], self.hosts[name])])

    def _on_event(self, peer: SimulatedPeer, event: FleetEvent) -> None:
        node = peer.node
        if isinstance(event, RolloutChanged):
            self.rollout_changes.append((self.clock.now(), event))
            if event.stage in (Stage.STOPPED, Stage.BACK):
                self._record_pause()
        elif node is not None:
            node.carry_out(self.machines[peer.name].on_event(self.clock.now(), event))

    def _record_pause(self) -> None:
        if self._share_at_pause < 0:
            had = sum(any(r == NEW for _, r in host.starts) for host in self.hosts.values())
            self._share_at_pause = had / len(self.hosts)

    def _listed(self, number: int) -> list[ListedTarget]:
        """Returns the targets as a dispatcher's worker list has them; an unlisted one is not in use."""
        known = {entry.name: entry for entry in self.dispatchers[number].known().entries}
        found: dict[str, ListedTarget] = {
            n: ListedTarget(target, up=False) for n, target in self._targets.items()
        }
        for entry in known.values():
            target_name = entry.name.partition("~")[0]
            if target_name in found:
                found[target_name] = ListedTarget(
                    self._targets[target_name], entry.status == "up", entry.since
                )
        return list(found.values())

    def _sync(self) -> None:
        """Starts and ends members with their dispatchers, and gives them the dispatchers' worker lists."""
        for number, name in enumerate(self.names):
            runs, peer = self.dispatchers[number].process is not None, self.net.peers[name]
            if runs and peer.node is None:
                self.net.start(name)
            elif not runs and peer.node is not None:
                self.net.crash(name)
            if runs:
                self.machines[name].update_targets(self.clock.now(), self._listed(number))
        if self.runtime_faults.starves and not self._starvation_reported:
            since = [at for host in self.hosts.values() for at, runtime in host.starts if runtime == NEW]
            if since and self.clock.now() > min(since) + 12 * SECOND:
                self._starvation_reported = True
                seen = StarvationReport("farm3", "d1", min(since) + 2 * SECOND)
                self._run_on("d1", lambda machine, now: machine.report_starvation(now, seen))
        if not self.workload.ended:
            self.clock.call_at(self.clock.now() + _SYNC_INTERVAL, self._sync)

    def _run_on(self, name: str, call: Callable[[RolloutMachine, int], Any]) -> None:
        self.net.run_on(name, lambda node, now: node.carry_out(call(self.machines[name], now)))

    def _begin(self, plan: str) -> None:
        runs = [n for n, name in enumerate(self.names) if self.net.peers[name].node is not None]
        self._run_on(self.names[runs[0]], lambda machine, now: machine.start(now, plan.encode()))

    def run_rollout(self) -> tuple[Result, Outcome]:
        """Runs the world to its end; returns the usual result and the outcome of the rollout."""
        started_at = self.clock.now() + self._start_at
        result = self.run()
        new_starts = [at for host in self.hosts.values() for at, runtime in host.starts if runtime == NEW]

        def first_time_of(*stages: Stage) -> float:
            found = [at for at, event in self.rollout_changes if event.stage in stages]
            return (found[0] - started_at) / SECOND if found else -1.0

        stop = next((n for _, n in self.rollout_changes if n.stage in (Stage.STOPPED, Stage.BACK)), None)
        last = stop or (self.rollout_changes[-1][1] if self.rollout_changes else None)
        return result, Outcome(
            last.stage.name if last else "NONE",
            stop.rule if stop else "",
            stop.details if stop else "",
            self._share_at_pause,
            (min(new_starts) + START_TIME - started_at) / SECOND if new_starts else -1.0,
            first_time_of(Stage.HELD),
            first_time_of(Stage.STOPPED, Stage.BACK),
            [event.rule for _, event in self.rollout_changes if event.stage is Stage.HELD],
            first_time_of(Stage.DONE),
        )
