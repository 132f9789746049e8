"""A short soak, seeded: real dispatchers with failing calls, stepped clocks and signals in series."""

import json
import subprocess
import sys
from pathlib import Path

import pytest

from ironbarrow.lab.faults.rules import PLAN_VARIABLE, FaultPlan, FaultPlanError
from ironbarrow.lab.live.processes import Program
from ironbarrow.lab.soak.plan import draw
from ironbarrow.lab.soak.run import play
from tests.test_live import routed_run

DISPATCHERS = 6
SECONDS = 8.0


@pytest.mark.parametrize("seed", [1, 2, 3, 4])
def test_a_soak_breaks_no_rule(seed: int, tmp_path: Path) -> None:
    """Guards against any rule broken while calls, clocks, workers and dispatchers fail together (bcef66)."""
    result = play(draw(seed, DISPATCHERS, SECONDS), tmp_path)
    assert result.problems == []
    assert result.jobs > 100


def test_a_start_outlasts_calls_that_fail(tmp_path: Path) -> None:
    """Guards against a process that ends at its start for a moment's lack of memory (bcef66)."""
    rules = [
        {"call": "socket", "error": "ENOMEM", "most": 4},
        {"call": "watch", "error": "ENOSPC", "most": 2},
    ]
    run = routed_run(tmp_path, Program.with_faults(json.dumps({"rules": rules})))
    try:
        run.start()
    finally:
        run.close()


def test_equal_seeds_draw_equal_runs() -> None:
    assert draw(7, 4, 10.0) == draw(7, 4, 10.0)
    assert draw(7, 4, 10.0).fault_plans != draw(8, 4, 10.0).fault_plans


@pytest.mark.parametrize(
    ("plan", "named"),
    [
        ("{", "not JSON"),
        ("[]", "expected an object"),
        ('{"rules": [1]}', "rules[0]"),
        ('{"rules": [{"call": "jump"}]}', "rules[0]"),
        ('{"rules": [{"call": "recv", "error": "ENOSUCH"}]}', "rules[0]"),
        ('{"rules": [{"call": "recv", "more": 1}]}', "rules[0]"),
    ],
)
def test_a_plan_that_can_not_be_used_is_named(plan: str, named: str) -> None:
    with pytest.raises(FaultPlanError) as caught:
        FaultPlan.parse(plan)
    assert named in str(caught.value)
    program = Program.with_faults(plan)
    ended = subprocess.run(
        [sys.executable, *program.command[1:]],
        cwd=program.folder,
        env={PLAN_VARIABLE: plan},
        capture_output=True,
        text=True,
        timeout=60,
    )
    assert ended.returncode == 2 and named in ended.stderr and "Traceback" not in ended.stderr


def test_a_rule_fails_in_its_windows_and_no_more_often_than_it_says() -> None:
    rule = {"call": "recv", "error": "ENOMEM", "after_s": 2, "for_s": 1, "every_s": 5, "most": 3, "skip": 1}
    plan = FaultPlan.parse(json.dumps({"rules": [rule]}))
    (parsed,) = plan.rules
    times = [0.5 * n for n in range(30)]
    random = __import__("random").Random(1)
    assert [at for at in times if parsed.should_fail(at, random)] == [2.5, 7.0, 7.5]
