"""Plays soak runs and judges them."""

import json
import signal
import socket
import tempfile
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path
from random import Random

from ironbarrow.lab.live.processes import Program
from ironbarrow.lab.live.run import LiveError, LiveRun
from ironbarrow.lab.model.workload import ClientRequest
from ironbarrow.lab.soak.lingering import LingeringClient
from ironbarrow.lab.soak.plan import SoakPlan
from ironbarrow.runtime.clock import MS, SECOND

_LOST_AFTER = 500 * MS  # by the standing test's page; up to then an answer only earns nothing
_LINGERING = 3  # clients for each dispatcher that is told to stop
_LINGERING_FROM = 10_000_000  # numbers of their orders, beyond those of the workload
_SIGNALS = (signal.SIGHUP, signal.SIGTERM, signal.SIGINT, signal.SIGTERM)
_SIGNAL_GAP = 30 * MS
_CROWD_AT = 3 * SECOND
_BAD_LINES = ("task failed",)


@dataclass(slots=True)
class SoakResult:
    """What a run broke; ``problems`` is empty where nothing was."""

    seed: int
    problems: list[str] = field(default_factory=list)
    jobs: int = 0
    attempts: int = 0
    stops: int = 0
    decisions_not_carried_out: int = 0
    late_p99_ms: float = 0.0
    folder: str = ""


class SoakRun(LiveRun):
    """A live run whose dispatchers have failing calls, are signalled in series, and are killed early."""

    lost_after = _LOST_AFTER

    def __init__(self, plan: SoakPlan, folder: Path | None = None) -> None:
        folder = folder or Path(tempfile.mkdtemp(prefix=f"ironbarrow-soak-{plan.seed}-"))
        super().__init__(plan.world, plan.seed, folder)
        self._plan = plan
        self._chance = Random(plan.seed)
        self._crowd: list[socket.socket] = []
        self.lingering: list[LingeringClient] = []
        self.forced_ends: list[int] = []  # dispatchers that had not ended by the time of SIGKILL
        self.stops_in_order = 0
        for instance, faults in zip(self.instances, plan.fault_plans, strict=True):
            instance.program = Program.with_faults(faults)

    def restart(self, number: int, down: int) -> None:
        """Signals in series; clients go on sending on open connections; SIGKILL at the earliest."""
        instance = self.instances[number]
        if instance.pid is None or number not in self._ready or number in self._down:
            return
        self.stops_in_order += 1
        self._linger(number)
        for turn in range(self._chance.randrange(3)):
            self.loop.call_at(
                self.loop.now() + (turn + 1) * _SIGNAL_GAP,
                instance.send_signal,
                self._chance.choice(_SIGNALS),
            )
        pid = instance.pid
        super().restart(number, down)
        earliest = self.loop.now() + self.world.dispatchers.stop_time
        self.loop.call_at(earliest - MS, self._look_whether_ended, number, pid)

    def kill(self, number: int, down: int) -> None:
        if self.instances[number].pid is not None and number not in self._down:
            super().kill(number, down)

    def _look_whether_ended(self, number: int, pid: int) -> None:
        if self.instances[number].pid == pid:
            self.forced_ends.append(number)

    def _linger(self, number: int) -> None:
        cls = self.world.classes[0]
        for _ in range(_LINGERING):
            client = LingeringClient(self.loop, self.audit, self._habits, number, self._listen[number])
            order = ClientRequest(
                number=_LINGERING_FROM + len(self.lingering),
                cls=0,
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
            self.lingering.append(client)
            self.loop.spawn(client.run(order, int(cls.deadline), f"/{cls.name}/1"))

    def start(self) -> None:
        super().start()
        self.loop.call_at(self.loop.now() + _CROWD_AT, self._come_in_crowds)

    def _come_in_crowds(self) -> None:
        for turn in range(self._plan.crowd):
            sock = socket.socket()
            sock.setblocking(False)
            with suppress(BlockingIOError):
                sock.connect(self._listen[turn % len(self._listen)])
            self._crowd.append(sock)

    def close(self) -> None:
        for sock in self._crowd:
            sock.close()
        super().close()


def play(plan: SoakPlan, folder: Path | None = None) -> SoakResult:
    """Plays one run; that its dispatchers do not come up is a problem of its own."""
    run = SoakRun(plan, folder)
    try:
        outcome = run.run()
    except LiveError as error:
        return SoakResult(plan.seed, [str(error)])
    result = SoakResult(plan.seed, folder=str(outcome.notes["folder"]), stops=run.stops_in_order)
    result.jobs = outcome.verdicts.looked_at["jobs taken"]
    result.attempts = outcome.verdicts.looked_at["attempts"]
    result.late_p99_ms = outcome.notes["late_p99_ms"]
    result.problems += [f"{name}: {number}" for name, number in outcome.verdicts.breaches.items()]
    result.problems += outcome.verdicts.examples
    for name in ("crashes", "wrong_results", "errors"):
        if outcome.notes[name]:
            result.problems.append(f"{name}: {outcome.notes[name]}")
    if run.forced_ends:
        result.problems.append(f"not ended by the earliest SIGKILL: dispatchers {run.forced_ends}")
    unanswered = [job for client in run.lingering for job in client.unanswered]
    if unanswered:
        result.problems.append(f"no answer on a connection kept open: {unanswered[:5]}")
    _read_logs(run, result)
    return result


def _read_logs(run: SoakRun, result: SoakResult) -> None:
    for instance in run.instances:
        for line in instance.log_path.read_text(errors="replace").splitlines():
            try:
                event = json.loads(line)
            except ValueError:
                result.problems.append(f"d{instance.number} wrote: {line[:200]}")
                continue
            if event.get("event") in _BAD_LINES:
                cause = str(event.get("exception", "")).strip().splitlines()[-1:]
                result.problems.append(f"d{instance.number}: {event['event']}: {' '.join(cause)}")
            result.decisions_not_carried_out += event.get("event") == "decision not carried out"
