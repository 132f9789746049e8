"""The rules hold in any deployment: drawn settings and workers, virtual time, events only once a tick."""

import random
import subprocess
import tomllib
from dataclasses import dataclass, replace
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from heathway import api
from heathway.api import Effect, Group, ListKind, Outcome, WorkerState
from heathway.logic import Dispatcher
from heathway.state import Worker
from tests.dispatcher_harness import MS, DispatcherHarness, S

KINDS = ("heavy", "light", "odd")
WORKERS = 8


@dataclass(frozen=True)
class Deployment:
    """The settings and the workers of one customer."""

    settings: api.Settings
    workers: tuple[api.WorkerEntry, ...]


class RoundWorld(DispatcherHarness):
    """A world that calls its dispatcher only once a tick; timers and time-outs come at the next tick."""

    def advance(self, length: int) -> None:
        """Lets ``length`` ns pass, in whole ticks and at least one."""
        tick = self.settings.tick
        until = self.now + max(1, length // tick) * tick
        while True:
            due = [t for t, _ in self.timers] + [self.jobs[job].deadline for job, _ in self.in_flight()]
            next_due = min(due, default=until + 1)
            next_due = self.now + max(0, -(-(next_due - self.now) // tick)) * tick
            if next_due > until:
                break
            self.now = next_due
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


@st.composite
def job_classes(draw: st.DrawFn) -> tuple[api.JobClass, ...]:
    classes = []
    for number in range(draw(st.integers(1, 4))):
        effect = draw(st.sampled_from(Effect))
        deadline = draw(st.sampled_from([300, 500, 1500, 2400, 10_000, 60_000])) * MS
        classes.append(
            api.JobClass(
                f"class {number}",
                effect,
                aim=int(deadline * draw(st.sampled_from([0.02, 0.1, 0.4, 1.0]))),
                deadline=deadline,
                stretch=draw(st.sampled_from([0.0, 1.0, 3.0])),
                group=draw(st.sampled_from(Group)) if effect is Effect.KEYED else Group.ALL,
                window=draw(st.sampled_from([0, 50, 700, 5000, 90_000])) * MS,
                worth=draw(st.sampled_from([0.0, 1.0, 8.0])),
                late_worth=draw(st.sampled_from([0.0, 0.4])),
                worker_kind=draw(st.sampled_from([None, None, *KINDS])),
                priority=number,
            )
        )
    return tuple(classes)


@st.composite
def deployments(draw: st.DrawFn) -> Deployment:
    zones = tuple(f"zone {n}" for n in range(draw(st.integers(0, 6))))
    tick = draw(st.sampled_from([1, 4, 5, 20])) * MS
    dispatchers = draw(st.sampled_from([1, 2, 3, 12, 200]))
    tenants = draw(st.sampled_from([0, 1, 3, 200]))
    reports = draw(st.sampled_from([(), ("x0",), ("held", "busy")]))
    drawn = api.Settings(
        me=draw(st.integers(0, dispatchers - 1)),
        dispatchers=dispatchers,
        zone=draw(st.sampled_from(zones)) if zones else "",
        zones=zones,
        classes=draw(job_classes()),
        tenants=tuple(
            api.Tenant(f"tenant {n}", 1 / tenants, draw(st.sampled_from([0.0, 0.3, 40.0])) if n < 3 else 1.0)
            for n in range(tenants)
        ),
        worth_by_work=draw(st.booleans()),
        over_share_worth=draw(st.sampled_from([0.0, 0.25, 1.0])),
        tick=tick,
        live_weights=draw(st.booleans()),
        asks_for_list=draw(st.booleans()),
        report_fields=reports,
        may_cancel=draw(st.booleans()),
        may_probe=draw(st.booleans()),
        gives_retry_after=draw(st.booleans()),
        max_attempts=draw(st.integers(1, 6)),
        max_retry_after=draw(st.sampled_from([0, 100 * MS, 2 * S])),
        tells_start=draw(st.booleans()),
        answer_slack=4 * tick,
        ask_within=draw(st.sampled_from([3, 10])) * S,
        drain_grace=draw(st.sampled_from([200, 1000, 3000])) * MS,
        cold_time=draw(st.sampled_from([0, 8, 22])) * S,
        start_capacity=draw(st.sampled_from([0.1, 0.4, 1.0])),
        fall_multiple=draw(st.sampled_from([1.2, 2.5])),
        fall_window=draw(st.sampled_from([1, 3])) * S,
        probe_price=draw(st.sampled_from([0.0, 0.01])),
    )
    workers = tuple(
        api.WorkerEntry(
            f"w{n}", zones[n % len(zones)] if zones else "", n // 3, KINDS[n % 3], (1.0, 4.0, 9.5)[n % 3]
        )
        for n in range(WORKERS)
    )
    return Deployment(drawn, workers)


Step = tuple[str, int, object]
FAILED = [outcome for outcome in Outcome if outcome is not Outcome.OK]


def drawn_steps(seed: int, number: int) -> list[Step]:
    """``number`` random steps. With the same seed, a lower number gives the first of them."""
    draw = random.Random(seed)
    stable_workers = draw.random() < 0.3
    names = ["arrive"] * 16 + ["end"] * 12 + ["start", "advance"] * 4 + ["probes", "withdraw"]
    names += [] if stable_workers else ["listed", "restart", "full_list", "lost"]
    steps: list[Step] = []
    for _ in range(number):
        what, one, two = draw.choice(names), draw.randrange(1000), draw.randrange(6)
        values: dict[str, tuple[int, object]] = {
            "end": (one, draw.choice(FAILED) if draw.random() < 0.6 else Outcome.OK),
            "advance": (draw.choice([1, 7, 20, 45, 45, 210, 210, 900, 2500, 12_000]), two),
            "listed": (one, draw.choice([WorkerState.UP, *WorkerState])),
            "probes": (draw.choice([0, 0, 11, 104, 110, 111]), two),
        }
        steps.append((what, *values.get(what, (one, two))))
    return steps


class StepRunner:
    """Runs steps on a world; every step is possible under any settings."""

    def __init__(self, deployment: Deployment, seed: int) -> None:
        self.workers = deployment.workers
        self.world = RoundWorld(deployment.settings, deployment.workers, seed)
        self.answered_probes = 0

    def step(self, what: str, one: int, two: object) -> None:
        getattr(self, what)(one, two)
        self.world.advance(1)  # one tick

    def report(self, number: int) -> api.LoadReport | None:
        if not self.world.settings.report_fields:
            return None
        if "x0" in self.world.settings.report_fields:
            return api.LoadReport(free_slots=float(number % 4))
        return api.LoadReport(held=float(number % 4), busy=number % 4 / 4)

    def arrive(self, one: int, two: int) -> None:
        conf = self.world.settings
        cls = conf.classes[one % len(conf.classes)]
        time_left = max(1, int(cls.deadline * (0.01, 0.1, 0.4, 1.0, 1.0, 1.0)[two]))
        tenant = conf.tenants[two % len(conf.tenants)].name if conf.tenants else None
        self.world.arrive(
            cls.name, key=two or None, left=time_left, tenant=tenant, slots=(1.0, 1.0, 2.0)[one % 3]
        )

    def end(self, one: int, outcome: Outcome) -> None:
        out = self.world.in_flight()
        if out:
            self.world.end_attempt(*out[one % len(out)], outcome, report=self.report(one))

    def start(self, one: int, _: object) -> None:
        out = self.world.in_flight()
        if out and self.world.settings.tells_start:
            job, number = out[one % len(out)]
            worker = self.world.attempts(job)[number].worker
            self.world.handle(api.AttemptNote(job, number, worker, api.NoteKind.STARTED))

    def advance(self, one: int, _: object) -> None:
        self.world.advance(one * MS)

    def withdraw(self, one: int, _: object) -> None:
        open_jobs = [job for job, owed in self.world.jobs.items() if not owed.ended]
        if open_jobs:
            self.world.withdraw(open_jobs[one % len(open_jobs)])

    def listed(self, one: int, state: WorkerState) -> None:
        self.world.update_list(ListKind.CHANGES, (replace(self.workers[one % WORKERS], state=state),))

    def restart(self, one: int, _: object) -> None:
        self.world.update_list(
            ListKind.CHANGES, (replace(self.workers[one % WORKERS], started_at=self.world.now),)
        )

    def full_list(self, one: int, _: object) -> None:
        self.world.update_list(ListKind.FULL, self.workers[: 1 + one % WORKERS])

    def lost(self, one: int, _: object) -> None:
        if self.world.settings.asks_for_list:
            self.world.update_list(ListKind.LOST, ())

    def probes(self, code: int, _: object) -> None:
        sent = [a.worker for a in self.world.actions if isinstance(a, api.Probe)]
        for worker in sent[self.answered_probes :]:
            report = self.report(code) if code == 0 else None
            self.world.handle(api.ProbeEnded(worker, Outcome(code), 2 * MS, report))
        self.answered_probes = len(sent)


def play(deployment: Deployment, steps: list[Step], seed: int) -> DispatcherHarness:
    """Runs the steps, and then time until every deadline is past."""
    runner = StepRunner(deployment, seed)
    for what, one, two in steps:
        runner.step(what, one, two)
    runner.world.advance(max(cls.deadline for cls in deployment.settings.classes) + S)
    return runner.world


@settings(max_examples=120)
@given(deployments(), st.integers(1, 80), st.integers(0, 1 << 20))
def test_the_rules_hold_under_any_customers_settings(deployment, number, seed):
    world = play(deployment, drawn_steps(seed, number), seed)
    assert all(owed.ended for owed in world.jobs.values())


def mark_as_warm(self: Dispatcher, worker: Worker) -> None:
    self.ring.mark(worker, True, cold=False)


@pytest.mark.parametrize(
    ("method", "replacement", "rule"),
    [
        ("_may_send_again", lambda *_: True, "an unsafe job sent again"),
        ("_may_refuse", lambda *_: True, "rule 2: refused"),
        ("_repeat_group", lambda *_: -1, "rule 2: (past the window|another)"),
        ("_update_ring", mark_as_warm, "rule 3"),
    ],
)
def test_drawn_steps_catch_decisions_that_break_a_rule(method, replacement, rule, monkeypatch):
    monkeypatch.setattr(Dispatcher, method, replacement)
    classes = (
        api.JobClass("short", Effect.KEYED, S, 5 * S, group=Group.CELL, window=2 * S),
        api.JobClass("once", Effect.UNSAFE, S, 5 * S),
    )
    conf = api.Settings(
        me=0, dispatchers=1, zone="a", zones=("a",), classes=classes, tick=4 * MS, answer_slack=16 * MS
    )
    workers = tuple(api.WorkerEntry(f"w{n}", "a", n // 3, "std") for n in range(WORKERS))
    with pytest.raises(AssertionError, match=rule):
        for seed in range(50):
            play(Deployment(conf, workers), drawn_steps(seed, 80), seed)


@settings(max_examples=120)
@given(deployments(), st.integers(0, 5))
def test_a_first_job_at_an_idle_fleet_goes_out_at_once_to_a_worker_of_its_kind(deployment, seed):
    known = deployment.settings
    for cls in known.classes:
        if cls.deadline <= 4 * known.tick:
            continue
        world = RoundWorld(known, deployment.workers, seed)
        tenant = known.tenants[0].name if known.tenants else None
        job = world.arrive(cls.name, left=cls.deadline, tenant=tenant)
        assert len(world.attempts(job)) == 1
        entry = world.entries[world.attempts(job)[0].worker]
        assert cls.worker_kind in (None, entry.kind)


@pytest.mark.parametrize("outcome", [Outcome.RESET, Outcome.TIMEOUT])
@pytest.mark.parametrize("window", [0, 30, 90, 5000])
@pytest.mark.parametrize("group", list(Group))
def test_a_repeat_within_a_short_window_stays_in_its_group_or_is_not_made(group, window, outcome):
    cls = api.JobClass("short", Effect.KEYED, 200 * MS, 2 * S, group=group, window=window * MS)
    conf = api.Settings(
        me=0, dispatchers=1, zone="a", zones=("a", "b"), classes=(cls,), tick=4 * MS, answer_slack=16 * MS
    )
    workers = tuple(api.WorkerEntry(f"w{n}", "ab"[n % 2], n // 4, "std") for n in range(WORKERS))
    world = RoundWorld(conf, workers)
    job = world.arrive("short", left=2 * S)
    world.advance(60 * MS)
    world.end_attempt(job, 0, outcome)
    is_repeated = window > 60
    assert len(world.attempts(job)) == 1 + is_repeated  # the world checks its group
    if is_repeated:
        world.end_attempt(job, 1, outcome)
    world.advance(3 * S)
    assert [type(answer) for answer in world.answers(job)] == [api.Refuse if group is Group.ALL else api.Fail]


SITES = Path(__file__).parents[1] / "deploy" / "sites"


def test_our_own_deployments_differ_in_names_permissions_and_tenants():
    sites = [tomllib.loads(path.read_text()) for path in sorted(SITES.glob("*.toml"))]
    assert len(sites) == 2
    for values in (  # the names of classes, zones and kinds of workers
        lambda site: {cls["name"] for cls in site["class"]},
        lambda site: set(site["net"]["zones"]),
        lambda site: {kind["name"] for tier in site["tier"] for kind in tier["kind"]},
    ):
        one, other = (values(site) for site in sites)
        assert not one & other
    for name in ("cancel", "probes", "max_attempts"):
        assert len({site["allow"][name] for site in sites}) == 2
    assert len({site["discovery"]["mode"] for site in sites}) == 2
    assert sorted(bool(site.get("tenant")) for site in sites) == [False, True]


def test_lay_reports_the_file_that_is_missing(tmp_path):
    done = subprocess.run([SITES / "lay", tmp_path], capture_output=True, text=True, check=False)
    assert (done.returncode, done.stdout) == (2, "")
    assert done.stderr == (
        f"lay: real.json is missing: neither kit/sites nor kit/more/mass/other in {tmp_path} has it\n"
    )
