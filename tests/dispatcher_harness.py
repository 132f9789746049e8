"""Drives the decision module with legal events and checks its actions against the service rules.

Only events and actions are used, not the dispatcher's state: rule 1, one final answer in time; rule 2, no
unsafe repetition; rule 3, nothing new to a draining worker; and the limits of the settings.
"""

from dataclasses import dataclass, field, replace

from heathway import api, logic
from heathway.api import Effect, Group, Outcome, WorkerState
from heathway.logic import Dispatcher

MS = 1_000_000
S = 1_000 * MS
SAFE = api.JobClass("safe", Effect.SAFE, 400 * MS, 6 * S, stretch=2.0)
KEYED = api.JobClass("keyed", Effect.KEYED, 400 * MS, 6 * S, 2.0, Group.CELL, window=3 * S)
KEYED_ALL = api.JobClass("keyed-all", Effect.KEYED, 400 * MS, 6 * S, 2.0, Group.ALL, window=3 * S)
UNSAFE = api.JobClass("unsafe", Effect.UNSAFE, 400 * MS, 6 * S, stretch=2.0)
NEVER_RAN = (Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.MOOT)


def make_settings(**changes: object) -> api.Settings:
    """Settings of a single dispatcher, with some values changed."""
    base = api.Settings(
        me=0,
        dispatchers=1,
        zone="a",
        zones=("a", "b"),
        classes=(SAFE, KEYED, KEYED_ALL, UNSAFE),
        tick=5 * MS,
        answer_slack=20 * MS,
        drain_grace=1 * S,
        cold_time=20 * S,
        start_capacity=0.15,
        fall_multiple=3.0,
        fall_window=1 * S,
    )
    return replace(base, **changes)  # type: ignore[arg-type]


def entries(number: int, **changes: object) -> tuple[api.WorkerEntry, ...]:
    """``number`` listed workers in two zones, four in each cell."""
    created = []
    for i in range(number):
        entry = api.WorkerEntry(f"w{i:03d}", "ab"[i % 2], i // 4, "std")
        created.append(replace(entry, **changes))  # type: ignore[arg-type]
    return tuple(created)


@dataclass
class AttemptRecord:
    """An attempt that the dispatcher sent. ``at``: when, ns."""

    worker: str
    at: int
    in_flight: bool = True
    never_ran: bool = False


@dataclass
class PendingJob:
    """A job, its attempts, and whether it needs no answer any more."""

    event: api.JobArrived
    cls: api.JobClass
    deadline: int
    attempts: list[AttemptRecord] = field(default_factory=list)
    ended: bool = False


class DispatcherHarness:
    """A dispatcher with a simulated clock. Each of its actions is checked against the rules."""

    def __init__(self, settings: api.Settings, workers: tuple[api.WorkerEntry, ...] = (), seed: int = 1):
        self.settings = settings
        self.dispatcher = Dispatcher(settings, seed)
        self.now = 7 * S
        self.jobs: dict[int, PendingJob] = {}
        self.entries: dict[str, api.WorkerEntry] = {}
        self.no_sends_from: dict[str, int] = {}
        self.timers: list[tuple[int, str]] = []
        self.sends: list[tuple[int, int, str]] = []
        self.actions: list[api.Action] = []
        self.next_job = 100
        self.update_list(api.ListKind.LAST_KNOWN, workers)

    def handle(self, *events: api.Event) -> list[api.Action]:
        """Passes events to the dispatcher; checks, records and returns its actions."""
        actions = self.dispatcher.handle(self.now, list(events))
        for action in actions:
            self._check(action)
        self.actions.extend(actions)
        return actions

    def update_list(self, kind: api.ListKind, listed: tuple[api.WorkerEntry, ...]) -> list[api.Action]:
        """Sends a worker list, and notes from when each worker may get no new attempts."""
        names = {entry.worker for entry in listed}
        if kind in (api.ListKind.FULL, api.ListKind.LAST_KNOWN):
            for name in self.entries:
                if name not in names:
                    self.no_sends_from.setdefault(name, self.now + self.settings.drain_grace)
        for entry in listed:
            self.entries[entry.worker] = entry
            if entry.state is WorkerState.UP:
                self.no_sends_from.pop(entry.worker, None)
            else:
                self.no_sends_from.setdefault(entry.worker, self.now + self.settings.drain_grace)
        return self.handle(api.WorkerList(kind, listed))

    def arrive(self, cls: str = "safe", key: int | None = 1, left: int = 6 * S, **more: object) -> int:
        """A job arrives with ``left`` ns until its deadline; returns its number."""
        self.next_job += 1
        event = api.JobArrived(self.next_job, cls, "t", key, left)
        event = replace(event, **more)  # type: ignore[arg-type]
        job_class = next(c for c in self.settings.classes if c.name == cls)
        self.jobs[event.job] = PendingJob(event, job_class, self.now + left)
        self.handle(event)
        return event.job

    def end_attempt(
        self,
        job: int,
        number: int,
        outcome: Outcome = Outcome.OK,
        free: float | None = None,
        report: api.LoadReport | None = None,
    ) -> list[api.Action]:
        """An attempt ends; ``free``: free slots of its worker, as a shorthand for ``report``."""
        pending = self.jobs[job]
        attempt = pending.attempts[number]
        attempt.in_flight = False
        attempt.never_ran = outcome in NEVER_RAN
        pending.ended = pending.ended or outcome is Outcome.OK
        if free is not None:
            report = api.LoadReport(free_slots=free)
        elapsed = self.now - attempt.at
        return self.handle(
            api.AttemptEnded(job, number, attempt.worker, outcome, pending.ended, elapsed, report)
        )

    def estimated_free_slots(self, name: str) -> float | None:
        """The dispatcher's estimate of a worker's free slots."""
        dispatcher = self.dispatcher
        return dispatcher._workers[name].estimated_free(
            dispatcher._now, logic.REPORT_TRUST_TIME, dispatcher._typical
        )

    def withdraw(self, job: int) -> None:
        """The client of a job disconnects."""
        self.jobs[job].ended = True
        self.handle(api.JobWithdrawn(job))

    def in_flight(self) -> list[tuple[int, int]]:
        """The attempts that have not ended, as pairs of job and attempt number."""
        return [(j, n) for j, o in self.jobs.items() for n, t in enumerate(o.attempts) if t.in_flight]

    def advance(self, length: int) -> None:
        """Advances the clock by ``length`` ns. Timers fire, and attempts time out at the jobs' deadlines."""
        until = self.now + length
        while True:
            due = [t for t, _ in self.timers]
            due += [self.jobs[j].deadline for j, _ in self.in_flight()]
            at = min((max(t, self.now) for t in due if t <= until), default=None)
            if at is None:
                break
            self.now = at
            for job, number in self.in_flight():
                if self.jobs[job].deadline <= self.now:
                    self.end_attempt(job, number, Outcome.TIMEOUT)
            fired = [name for t, name in self.timers if t <= self.now]
            self.timers = [(t, name) for t, name in self.timers if t > self.now]
            if fired:
                self.handle(*(api.TimerFired(name) for name in fired))
            self._check_answers()
        self.now = until
        self._check_answers()

    def answers(self, job: int) -> list[api.Action]:
        """The refusals and failures that the dispatcher answered for a job."""
        kinds = (api.Refuse, api.Fail)
        return [a for a in self.actions if isinstance(a, kinds) and a.job == job]

    def attempts(self, job: int) -> list[AttemptRecord]:
        return self.jobs[job].attempts

    # Rule checks

    def _check_answers(self) -> None:
        for job, pending in self.jobs.items():
            late = self.now > pending.deadline + self.settings.answer_slack
            assert pending.ended or not late, f"rule 1: job {job} without a final answer in time"

    def _check(self, action: api.Action) -> None:
        if isinstance(action, api.SetTimer):
            assert action.delay > 0
            self.timers.append((self.now + action.delay, action.name))
        elif isinstance(action, api.Send):
            self._check_send(action)
        elif isinstance(action, api.Refuse | api.Fail):
            pending = self.jobs[action.job]
            assert not pending.ended, "rule 1: a second final answer"
            if isinstance(action, api.Refuse):
                ran = any(not t.never_ran for t in pending.attempts)
                bound = pending.cls.effect is Effect.KEYED and pending.cls.group is not Group.ALL
                assert not (ran and (bound or pending.cls.effect is Effect.UNSAFE)), "rule 2: refused"
                most = self.settings.max_retry_after if self.settings.gives_retry_after else 0
                assert 0 <= action.retry_after <= most, "retry_after is not allowed"
            pending.ended = True
        elif isinstance(action, api.CancelAttempt):
            assert len(self.jobs[action.job].attempts) > action.attempt
            assert self.settings.may_cancel
        elif isinstance(action, api.Probe):
            assert self.settings.may_probe
            assert action.worker in self.entries
        elif isinstance(action, api.Tell):
            assert self.settings.may_tell_peers

    def _check_send(self, action: api.Send) -> None:
        pending = self.jobs[action.job]
        entry = self.entries[action.worker]
        assert not pending.ended, "rule 1: sent after the end"
        assert self.now < self.no_sends_from.get(action.worker, self.now + 1), (
            "rule 3: sent to a draining worker"
        )
        may_have_run = [t for t in pending.attempts if not t.never_ran]
        if not self.settings.may_send_second_copy:
            assert not any(t.in_flight for t in pending.attempts), "rule 2: two attempts at once"
        if pending.cls.effect is Effect.UNSAFE:
            assert not may_have_run, "rule 2: an unsafe job sent again"
        if pending.cls.effect is Effect.KEYED:
            for earlier in may_have_run:
                assert self.now < earlier.at + pending.cls.window, "rule 2: past the window"
                if pending.cls.group is Group.CELL:
                    assert self.entries[earlier.worker].cell == entry.cell, "rule 2: another cell"
                if pending.cls.group is Group.ZONE:
                    assert self.entries[earlier.worker].zone == entry.zone, "rule 2: another zone"
        assert len(pending.attempts) < self.settings.max_attempts
        pending.attempts.append(AttemptRecord(action.worker, self.now))
        self.sends.append((self.now, action.job, action.worker))
