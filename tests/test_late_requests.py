"""Jobs that are accepted late in a shutdown, on real processes (report 65f787)."""

from pathlib import Path

import pytest

from ironbarrow.runtime.loop import MS, SECOND
from tests.shutdown_rig import Impairment, Restart, ShutdownRig, StopPlan

_MIN_FORWARDED = 3  # jobs of a play that came after SIGTERM and reached a worker


def failing(call: str, error: str, **more: float) -> dict[str, object]:
    """A call that fails from SIGTERM on."""
    return {"call": call, "error": error, "since_stop": True, **more}


NO_MESSAGES = (failing("sendmsg", "ENOBUFS"),)
NO_DESCRIPTORS = (failing("dup", "EMFILE"),)
PLANS = {
    "nothing fails": StopPlan(),
    "a hand-over whose messages fail": StopPlan(Restart.SUCCESSOR, rules=NO_MESSAGES),
    "a hand-over whose messages fail, short deadlines": StopPlan(
        Restart.SUCCESSOR, deadline=1 * SECOND, impaired_from=300 * MS, rules=NO_MESSAGES
    ),
    "a hand-over without descriptors": StopPlan(Restart.SUCCESSOR, rules=NO_DESCRIPTORS),
    "a hand-over beside hung workers": StopPlan(Restart.SUCCESSOR, impairment=Impairment.HUNG),
    "a successor that ends": StopPlan(Restart.SUCCESSOR_ENDS, successor_ends_at=100 * MS),
    "a successor that ends, short deadlines": StopPlan(
        Restart.SUCCESSOR_ENDS, deadline=1 * SECOND, impaired_from=300 * MS, successor_ends_at=100 * MS
    ),
    "a fleet": StopPlan(Restart.FLEET),
    "a fleet, short deadlines": StopPlan(Restart.FLEET, deadline=1 * SECOND, impaired_from=100 * MS),
    "answers that can't be written for a moment": StopPlan(
        timeout=2200 * MS, rules=(failing("send", "ENOBUFS", after_s=3.1, for_s=0.45),)
    ),
}


# Guards against jobs that are accepted in a shutdown, forwarded, and get no answer before the process ends.
@pytest.mark.parametrize("plan", PLANS.values(), ids=PLANS)
def test_a_job_accepted_in_a_shutdown_is_answered_before_the_end(plan: StopPlan, tmp_path: Path) -> None:
    result = ShutdownRig(plan, tmp_path).play()
    assert len(result.forwarded) >= _MIN_FORWARDED
    assert result.lost == []


# Guards against connections, or the listener, that are served no more after a failed epoll_ctl.
def test_a_descriptor_that_stays_in_epoll_ends_no_task(tmp_path: Path) -> None:
    result = ShutdownRig(
        StopPlan(rules=({"call": "unwatch", "error": "ENOMEM", "chance": 0.2},)), tmp_path
    ).play()
    assert result.events("task failed") == []
    assert len(result.forwarded) >= _MIN_FORWARDED and result.lost == []


# Guards against a shutdown whose times count from the end of a start that lasted, not from SIGTERM.
def test_a_stop_during_a_long_start_counts_from_the_signal(tmp_path: Path) -> None:
    no_sockets = {"call": "socket", "error": "ENOBUFS", "for_s": 2.2, "skip": 1}
    plan = StopPlan(Restart.NO_SUCCESSOR, rules=(no_sockets,), sigterm_at_start=True)
    result = ShutdownRig(plan, tmp_path).play()
    assert not result.killed
    assert [name for name, job in result.jobs.items() if job.broken_at is not None] == []
