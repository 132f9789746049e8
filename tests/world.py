"""Feeds a dispatcher legal events and checks the four rules from outside, by the wire's wording alone."""

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
    made = []
    for i in range(number):
        entry = api.WorkerEntry(f"w{i:03d}", "ab"[i % 2], i // 4, "std")
        made.append(replace(entry, **changes))  # type: ignore[arg-type]
    return tuple(made)


@dataclass
class Try:
    worker: str
    at: int
    out: bool = True
    never_ran: bool = False


@dataclass
class Owed:
    event: api.JobArrived
    cls: api.JobClass
    deadline: int
    tries: list[Try] = field(default_factory=list)
    over: bool = False


class World:
    """One dispatcher on a clock of its own."""

    def __init__(self, settings: api.Settings, workers: tuple[api.WorkerEntry, ...] = (), seed: int = 1):
        self.settings = settings
        self.dispatcher = Dispatcher(settings, seed)
        self.now = 7 * S
        self.jobs: dict[int, Owed] = {}
        self.entries: dict[str, api.WorkerEntry] = {}
        self.stop_at: dict[str, int] = {}
        self.timers: list[tuple[int, str]] = []
        self.sends: list[tuple[int, int, str]] = []
        self.actions: list[api.Action] = []
        self.next_job = 100
        self.listed(api.ListKind.LAST_KNOWN, workers)

    def batch(self, *events: api.Event) -> list[api.Action]:
        actions = self.dispatcher.handle(self.now, list(events))
        for action in actions:
            self._check(action)
        self.actions.extend(actions)
        return actions

    def listed(self, kind: api.ListKind, some: tuple[api.WorkerEntry, ...]) -> list[api.Action]:
        names = {entry.worker for entry in some}
        if kind in (api.ListKind.FULL, api.ListKind.LAST_KNOWN):
            for name in self.entries:
                if name not in names:
                    self.stop_at.setdefault(name, self.now + self.settings.drain_grace)
        for entry in some:
            self.entries[entry.worker] = entry
            if entry.state is WorkerState.UP:
                self.stop_at.pop(entry.worker, None)
            else:
                self.stop_at.setdefault(entry.worker, self.now + self.settings.drain_grace)
        return self.batch(api.WorkerList(kind, some))

    def arrive(self, cls: str = "safe", key: int | None = 1, left: int = 6 * S, **more: object) -> int:
        self.next_job += 1
        event = api.JobArrived(self.next_job, cls, "t", key, left)
        event = replace(event, **more)  # type: ignore[arg-type]
        found = next(c for c in self.settings.classes if c.name == cls)
        self.jobs[event.job] = Owed(event, found, self.now + left)
        self.batch(event)
        return event.job

    def end(
        self,
        job: int,
        number: int,
        outcome: Outcome = Outcome.OK,
        free: float | None = None,
        report: api.LoadReport | None = None,
    ) -> list[api.Action]:
        owed = self.jobs[job]
        attempt = owed.tries[number]
        attempt.out = False
        attempt.never_ran = outcome in NEVER_RAN
        owed.over = owed.over or outcome is Outcome.OK
        if free is not None:
            report = api.LoadReport(free_slots=free)
        elapsed = self.now - attempt.at
        return self.batch(api.AttemptEnded(job, number, attempt.worker, outcome, owed.over, elapsed, report))

    def believed_free(self, name: str) -> float | None:
        module = self.dispatcher
        return module._workers[name].estimated_free(module._now, logic.REPORT_TRUST_TIME, module._typical)

    def withdraw(self, job: int) -> None:
        self.jobs[job].over = True
        self.batch(api.JobWithdrawn(job))

    def out(self) -> list[tuple[int, int]]:
        return [(j, n) for j, o in self.jobs.items() for n, t in enumerate(o.tries) if t.out]

    def advance(self, length: int) -> None:
        """Moves on, with timers and the time-outs at the clients' deadlines when they come."""
        until = self.now + length
        while True:
            due = [t for t, _ in self.timers]
            due += [self.jobs[j].deadline for j, _ in self.out()]
            at = min((max(t, self.now) for t in due if t <= until), default=None)
            if at is None:
                break
            self.now = at
            for job, number in self.out():
                if self.jobs[job].deadline <= self.now:
                    self.end(job, number, Outcome.TIMEOUT)
            fired = [name for t, name in self.timers if t <= self.now]
            self.timers = [(t, name) for t, name in self.timers if t > self.now]
            if fired:
                self.batch(*(api.TimerFired(name) for name in fired))
            self._check_answers()
        self.now = until
        self._check_answers()

    def answers(self, job: int) -> list[api.Action]:
        kinds = (api.Refuse, api.Fail)
        return [a for a in self.actions if isinstance(a, kinds) and a.job == job]

    def attempts(self, job: int) -> list[Try]:
        return self.jobs[job].tries

    # The rules

    def _check_answers(self) -> None:
        for job, owed in self.jobs.items():
            late = self.now > owed.deadline + self.settings.answer_slack
            assert owed.over or not late, f"rule 1: job {job} without a final answer in time"

    def _check(self, action: api.Action) -> None:
        if isinstance(action, api.SetTimer):
            assert action.delay > 0
            self.timers.append((self.now + action.delay, action.name))
        elif isinstance(action, api.Send):
            self._check_send(action)
        elif isinstance(action, api.Refuse | api.Fail):
            owed = self.jobs[action.job]
            assert not owed.over, "rule 1: a second final answer"
            if isinstance(action, api.Refuse):
                ran = any(not t.never_ran for t in owed.tries)
                bound = owed.cls.effect is Effect.KEYED and owed.cls.group is not Group.ALL
                assert not (ran and (bound or owed.cls.effect is Effect.UNSAFE)), "rule 2: refused"
                most = self.settings.max_retry_after if self.settings.gives_retry_after else 0
                assert 0 <= action.retry_after <= most, "advice that is not allowed"
            owed.over = True
        elif isinstance(action, api.CancelAttempt):
            assert len(self.jobs[action.job].tries) > action.attempt
            assert self.settings.may_cancel
        elif isinstance(action, api.Probe):
            assert self.settings.may_probe
            assert action.worker in self.entries
        elif isinstance(action, api.Tell):
            assert self.settings.may_tell_peers

    def _check_send(self, action: api.Send) -> None:
        owed = self.jobs[action.job]
        entry = self.entries[action.worker]
        assert not owed.over, "rule 1: sent after the end"
        assert self.now < self.stop_at.get(action.worker, self.now + 1), "rule 3: sent to a draining worker"
        risky = [t for t in owed.tries if not t.never_ran]
        if not self.settings.may_send_second_copy:
            assert not any(t.out for t in owed.tries), "rule 2: two attempts at once"
        if owed.cls.effect is Effect.UNSAFE:
            assert not risky, "rule 2: an unsafe job sent again"
        if owed.cls.effect is Effect.KEYED:
            for earlier in risky:
                assert self.now < earlier.at + owed.cls.window, "rule 2: past the window"
                if owed.cls.group is Group.CELL:
                    assert self.entries[earlier.worker].cell == entry.cell, "rule 2: another cell"
                if owed.cls.group is Group.ZONE:
                    assert self.entries[earlier.worker].zone == entry.zone, "rule 2: another zone"
        assert len(owed.tries) < self.settings.max_attempts
        owed.tries.append(Try(action.worker, self.now))
        self.sends.append((self.now, action.job, action.worker))
