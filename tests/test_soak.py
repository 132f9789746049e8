"""Short seeded soak runs: real dispatchers with failing system calls, clock steps and series of signals."""

import json
import subprocess
import sys
from pathlib import Path

import pytest

from ironbarrow.lab.faults.rules import PLAN_VARIABLE, FaultPlan, FaultPlanError
from ironbarrow.lab.live.processes import Program
from ironbarrow.lab.soak.plan import draw_plan
from ironbarrow.lab.soak.run import run_soak
from tests.test_live import routed_run

DISPATCHERS = 6
SECONDS = 8.0


@pytest.mark.parametrize("seed", [1, 2, 3, 4])
def test_a_soak_breaks_no_rule(seed: int, tmp_path: Path) -> None:
    """Guards against a broken rule of service while calls, clocks, workers and dispatchers fail (bcef66)."""
    result = run_soak(draw_plan(seed, DISPATCHERS, SECONDS), tmp_path)
    assert result.problems == []
    assert result.jobs > 100


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
