"""Executes soak runs and checks their results."""

import json
import signal
import socket
import tempfile
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path
from random import Random

from ironbarrow.lab.live.processes import Instance, Program
from ironbarrow.lab.live.run import LiveError, LiveRun
from ironbarrow.lab.model.workload import ClientRequest
from ironbarrow.lab.soak.keep_alive_client import KeepAliveClient
from ironbarrow.lab.soak.plan import Deployment, SoakPlan
from ironbarrow.runtime.clock import MS, SECOND
from ironbarrow.runtime.sockets import Address

# After a job's deadline, as in the standing test. Until then a late answer is worthless, but not a failure.
_ANSWER_LOST_AFTER = 500 * MS
_KEEP_ALIVE_CLIENTS = 6  # for each dispatcher that is stopped; two of them write slowly
_MAX_WRITE_PAUSE_S = 2.0  # of these
_FIRST_KEEP_ALIVE_ORDER = 10_000_000  # above the order numbers of the workload
_SIGNALS = (signal.SIGHUP, signal.SIGTERM, signal.SIGINT, signal.SIGTERM)
_SIGNAL_GAP = 30 * MS
_IDLE_CONNECTIONS_AT = 3 * SECOND  # after the dispatchers have become ready
_PROBLEM_EVENTS = (
    "task failed",
    "shutdown rule broken",
)  # events in a dispatcher's log that are a problem of the run


@dataclass(slots=True)
class SoakResult:
    """The result of a soak run. ``problems``: broken rules and other failures; empty if there were none."""

    seed: int
    problems: list[str] = field(default_factory=list)
    jobs: int = 0
    attempts: int = 0
    stops: int = 0
    decisions_not_carried_out: int = 0
    late_p99_ms: float = 0.0
    folder: str = ""


class SoakRun(LiveRun):
    """A live run whose dispatchers have failing system calls, get series of signals, and are killed early."""

    lost_after = _ANSWER_LOST_AFTER

    def __init__(self, plan: SoakPlan, folder: Path | None = None) -> None:
        folder = folder or Path(tempfile.mkdtemp(prefix=f"ironbarrow-soak-{plan.seed}-"))
        super().__init__(plan.world, plan.seed, folder)
        self._plan = plan
        self._rng = Random(plan.seed)
        self._idle_connections: list[socket.socket] = []
        self.keep_alive_clients: list[KeepAliveClient] = []
        self.overdue_stops: list[int] = []  # dispatchers that still ran just before SIGKILL
        self.graceful_stops = 0
        self.replaced: list[Instance] = []  # whose successor is ready
        self._successors: dict[int, Instance] = {}  # that are not ready yet
        self.failed_successors: list[int] = []  # numbers of the dispatchers
        self._processes = 0  # that have an admin address
        for instance, faults in zip(self.instances, plan.fault_plans, strict=True):
            instance.program = Program.with_faults(faults)
            if plan.deployment is Deployment.SUCCESSORS:
                instance.admin_address = self._new_admin_address(instance.number)

    def _new_admin_address(self, number: int) -> Address:
        self._processes += 1
        return self._loopback.admin(number, self._processes)

    def restart(self, number: int, down: int) -> None:
        """Stops a dispatcher that is ready and starts it again, under harder conditions than ``LiveRun``.

        Clients keep sending on open connections, up to two more signals follow at short intervals, and
        SIGKILL comes after the short stop time of the plan.
        """
        instance = self.instances[number]
        if instance.pid is None or number not in self._ready or self._is_restarting(number):
            return
        if self._plan.deployment is Deployment.SUCCESSORS and self._rng.random() < 0.5:
            self._replace(number)
            return
        self._prepare_stop(number)
        super().restart(number, down)

    def _is_restarting(self, number: int) -> bool:
        replaced = any(old.number == number and old.pid is not None for old in self.replaced)
        return number in self._restart_delays or number in self._successors or replaced

    def _replace(self, number: int) -> None:
        """Starts a successor beside a dispatcher's process, which is stopped once the successor is ready."""
        old = self.instances[number]
        new = self._successors[number] = old.make_successor(self._new_admin_address(number))
        new.on_ready = self._on_successor_ready
        new.on_end = self._on_successor_failed
        new.start()

    def _on_successor_failed(self, number: int) -> None:
        del self._successors[number]
        self.failed_successors.append(number)

    def _on_successor_ready(self, number: int) -> None:
        new, old = self._successors.pop(number), self.instances[number]
        new.on_ready, new.on_end = self._on_ready, self._on_end
        if old.pid is None:  # it has been killed meanwhile; its own restart is due
            new.on_end = lambda number: None
            new.close()
            return
        self._prepare_stop(number)
        self.instances[number] = new
        self.replaced.append(old)
        old.on_end = lambda number: None
        self.audit.dispatcher_stopping(number)
        old.stop()

    def _prepare_stop(self, number: int) -> None:
        """Lets clients go on sending to a dispatcher that is told to stop now, and lets further signals
        follow."""
        instance = self.instances[number]
        self.graceful_stops += 1
        self._start_keep_alive_clients(number)
        for index in range(self._rng.randrange(3)):
            self.loop.call_at(
                self.loop.now() + (index + 1) * _SIGNAL_GAP,
                instance.send_signal,
                self._rng.choice(_SIGNALS),
            )
        kill_at = self.loop.now() + self.world.dispatchers.stop_time
        self.loop.call_at(kill_at - MS, self._check_ended, instance, instance.pid)

    def kill(self, number: int, down: int) -> None:
        """As ``LiveRun.kill``, but only if the dispatcher runs and is not being restarted."""
        if self.instances[number].pid is not None and not self._is_restarting(number):
            super().kill(number, down)

    def _check_ended(self, instance: Instance, pid: int | None) -> None:
        runs = pid is not None and instance.pid == pid
        if runs and not self.audit.may_still_run(instance.number):
            self.overdue_stops.append(instance.number)

    def _start_keep_alive_clients(self, number: int) -> None:
        for index in range(_KEEP_ALIVE_CLIENTS):
            class_number = index % len(self.world.classes)
            cls = self.world.classes[class_number]
            slow = index < len(self.world.classes)
            client = KeepAliveClient(
                self.loop,
                self.audit,
                self._habits,
                number,
                self._listen[number],
                unsafe=cls.effect == "unsafe",
                write_pause=int(self._rng.uniform(0, _MAX_WRITE_PAUSE_S) * SECOND) if slow else 0,
            )
            order = ClientRequest(
                number=_FIRST_KEEP_ALIVE_ORDER + len(self.keep_alive_clients),
                cls=class_number,
                due=self.loop.now(),
                deadline=cls.deadline,
                wanted=cls.wanted,
                patience=cls.deadline,
                honours_retry_after=False,
                work=cls.work.mean,
                slots=1,
                zone=self.world.network.zones[0],
                session=None,
                key=None,
                farm=0,
            )
            self.keep_alive_clients.append(client)
            self.loop.spawn(client.run(order, int(cls.deadline), f"/{cls.name}/1"))

    def start(self) -> None:
        """As ``LiveRun.start``; the idle connections follow later."""
        super().start()
        self.loop.call_at(self.loop.now() + _IDLE_CONNECTIONS_AT, self._open_idle_connections)

    def _open_idle_connections(self) -> None:
        for index in range(self._plan.idle_clients):
            sock = socket.socket()
            sock.setblocking(False)
            with suppress(BlockingIOError):
                sock.connect(self._listen[index % len(self._listen)])
            self._idle_connections.append(sock)

    def close(self) -> None:
        """As ``LiveRun.close``; also closes the idle connections."""
        for sock in self._idle_connections:
            sock.close()
        for instance in (*self.replaced, *self._successors.values()):
            instance.close()
        super().close()


def run_soak(plan: SoakPlan, folder: Path | None = None) -> SoakResult:
    """Executes one run. If its dispatchers do not become ready, this is the only problem in the result."""
    run = SoakRun(plan, folder)
    try:
        outcome = run.run()
    except LiveError as error:
        return SoakResult(plan.seed, [str(error)])
    result = SoakResult(plan.seed, folder=str(outcome.notes["folder"]), stops=run.graceful_stops)
    result.jobs = outcome.verdicts.looked_at["jobs taken"]
    result.attempts = outcome.verdicts.looked_at["attempts"]
    result.late_p99_ms = outcome.notes["late_p99_ms"]
    result.problems += [f"{name}: {number}" for name, number in outcome.verdicts.breaches.items()]
    result.problems += outcome.verdicts.examples
    for name in ("crashes", "wrong_results", "errors"):
        if outcome.notes[name]:
            result.problems.append(f"{name}: {outcome.notes[name]}")
    crashes = [old.number for old in run.replaced if old.crashes]
    if crashes or run.failed_successors:
        result.problems.append(f"ended by themselves: {crashes}, successors: {run.failed_successors}")
    if run.overdue_stops:
        result.problems.append(f"still running at the time of SIGKILL: dispatchers {run.overdue_stops}")
    unanswered = [job for client in run.keep_alive_clients for job in client.unanswered]
    if unanswered:
        result.problems.append(f"no answer on a keep-alive connection: {unanswered[:5]}")
    _read_logs(run, result)
    return result


def _read_logs(run: SoakRun, result: SoakResult) -> None:
    for instance in run.instances:
        for line in instance.log_path.read_text(errors="replace").splitlines():
            try:
                event = json.loads(line)
            except ValueError:
                result.problems.append(f"d{instance.number} logged a line that is not JSON: {line[:200]}")
                continue
            if event.get("event") in _PROBLEM_EVENTS:
                cause = str(event.get("exception", "")).strip().splitlines()[-1:]
                result.problems.append(f"d{instance.number}: {event['event']}: {' '.join(cause)}")
            result.decisions_not_carried_out += event.get("event") == "decision not carried out"
