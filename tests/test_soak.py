"""Short seeded soak runs: real dispatchers with failing system calls, clock steps and series of signals."""

import json
import subprocess
import sys
from pathlib import Path

import pytest

from ironbarrow.lab.audit import Auditor, Breach
from ironbarrow.lab.faults.rules import PLAN_VARIABLE, FaultPlan, FaultPlanError
from ironbarrow.lab.live.processes import Program
from ironbarrow.lab.soak.plan import Deployment, draw_plan
from ironbarrow.lab.soak.run import run_soak
from ironbarrow.runtime.clock import MS, SECOND
from tests.test_live import routed_run
from tests.virtual import VirtualLoop

DISPATCHERS = 6
SECONDS = 8.0


@pytest.mark.parametrize("seed", [1, 2, 3, 4])
def test_a_soak_breaks_no_rule(seed: int, tmp_path: Path) -> None:
    """Guards against a broken rule of service while calls, clocks, workers and dispatchers fail (bcef66)."""
    result = run_soak(draw_plan(seed, DISPATCHERS, SECONDS), tmp_path)
    assert result.problems == []
    assert result.jobs > 100


# Guards against a soak that never stops a dispatcher in one of the ways that its judge covers.
def test_consecutive_seeds_play_every_deployment() -> None:
    plans = [draw_plan(seed, DISPATCHERS, SECONDS) for seed in (1, 2, 3)]
    assert {plan.deployment for plan in plans} == set(Deployment)
    for plan in plans:
        stops = [fault for fault in plan.world.faults if fault.kind == "dispatcher restarted"]
        assert len(stops) >= DISPATCHERS // 2
        assert all('"since_stop": true' in text for text in plan.fault_plans)


# Guards against a judge that excuses what a process loses at its end, as the former one did (65f787).
@pytest.mark.parametrize(
    ("taken_after_ms", "forwarded", "lost"),
    [(-100, True, 0), (600, True, 0), (701, True, 1), (2000, True, 1), (2000, False, 0)],
)
def test_a_late_job_that_is_lost_at_the_end_of_a_process_is_reported(
    taken_after_ms: int, forwarded: bool, lost: int
) -> None:
    clock = VirtualLoop(10 * SECOND)
    audit = Auditor(clock, draw_plan(1, 2, 8.0).world)
    clock.time += min(0, taken_after_ms) * MS
    if taken_after_ms < 0:
        audit.job_taken("j1", 1, 0, 9 * SECOND, unsafe=True)
        clock.time -= taken_after_ms * MS
    audit.dispatcher_stopping(0)
    if taken_after_ms >= 0:
        clock.time += taken_after_ms * MS
        audit.job_taken("j1", 1, 0, 9 * SECOND, unsafe=True)
    if forwarded:
        audit.attempt_sent("j1", "w1")
    clock.time += 100 * MS
    audit.connection_broken("j1")
    audit.dispatcher_died(0)
    assert audit.finish().breaches[Breach.LOST_IN_SHUTDOWN.value] == lost
    assert sum(audit.finish().breaches.values()) == lost


# Guards against a judge that wants a process to end though a job of before its stop is still open.
@pytest.mark.parametrize(("taken_after_ms", "may_run"), [(-40, True), (600, True), (800, False)])
def test_a_process_may_run_until_sigkill_for_a_job_of_before_alone(
    taken_after_ms: int, may_run: bool
) -> None:
    clock = VirtualLoop(10 * SECOND)
    audit = Auditor(clock, draw_plan(1, 2, 8.0).world)
    for at, step in sorted([(0, "stop"), (taken_after_ms, "take")]):
        clock.time = 10 * SECOND + at * MS
        if step == "stop":
            audit.dispatcher_stopping(0)
        else:
            audit.job_taken("j1", 1, 0, 9 * SECOND, unsafe=True)
    assert audit.may_still_run(0) is may_run
    audit.job_answered("j1", "failed")
    assert audit.may_still_run(0) is False


# Guards against a judge that takes the kill of a successor for the end of the process that it replaced.
def test_jobs_lost_with_a_killed_successor_are_excused() -> None:
    clock = VirtualLoop(10 * SECOND)
    audit = Auditor(clock, draw_plan(1, 2, 8.0).world)
    audit.dispatcher_stopping(0)
    clock.time += 2 * SECOND
    audit.job_taken("j1", 1, 0, 9 * SECOND, unsafe=True)
    audit.attempt_sent("j1", "w1")
    audit.dispatcher_killed(0)
    audit.connection_broken("j1")
    audit.dispatcher_died(0)
    clock.time += 20 * SECOND
    assert audit.finish().kept


def test_a_start_survives_failing_system_calls(tmp_path: Path) -> None:
    """Guards against a dispatcher that exits at its start because memory is short for a moment (bcef66)."""
    rules = [
        {"call": "socket", "error": "ENOMEM", "most": 4},
        {"call": "watch", "error": "ENOSPC", "most": 2},
    ]
    run = routed_run(tmp_path, Program.with_faults(json.dumps({"rules": rules})))
    try:
        run.start()
    finally:
        run.close()


def test_equal_seeds_give_equal_plans() -> None:
    assert draw_plan(7, 4, 10.0) == draw_plan(7, 4, 10.0)
    assert draw_plan(7, 4, 10.0).fault_plans != draw_plan(8, 4, 10.0).fault_plans


@pytest.mark.parametrize(
    ("plan", "expected"),
    [
        ("{", "not JSON"),
        ("[]", "expected an object"),
        ('{"rules": [1]}', "rules[0]"),
        ('{"rules": [{"call": "jump"}]}', "rules[0]"),
        ('{"rules": [{"call": "recv", "error": "ENOSUCH"}]}', "rules[0]"),
        ('{"rules": [{"call": "recv", "more": 1}]}', "rules[0]"),
    ],
)
def test_an_invalid_plan_is_reported_with_its_key(plan: str, expected: str) -> None:
    with pytest.raises(FaultPlanError) as caught:
        FaultPlan.parse(plan)
    assert expected in str(caught.value)
    program = Program.with_faults(plan)
    finished = subprocess.run(
        [sys.executable, *program.command[1:]],
        cwd=program.folder,
        env={PLAN_VARIABLE: plan},
        capture_output=True,
        text=True,
        timeout=60,
    )
    assert finished.returncode == 2 and expected in finished.stderr and "Traceback" not in finished.stderr


def test_a_rule_fails_calls_only_in_its_windows_and_up_to_its_maximum() -> None:
    rule = {"call": "recv", "error": "ENOMEM", "after_s": 2, "for_s": 1, "every_s": 5, "most": 3, "skip": 1}
    plan = FaultPlan.parse(json.dumps({"rules": [rule]}))
    (parsed,) = plan.rules
    times = [0.5 * n for n in range(30)]
    random = __import__("random").Random(1)
    assert [at for at in times if parsed.should_fail(at, random)] == [2.5, 7.0, 7.5]
