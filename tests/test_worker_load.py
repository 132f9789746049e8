"""The record of own sends and ends that the next load report of a worker is corrected by."""

import random

from heathway import api, logic, state
from heathway.state import Worker

MS = 1_000_000
JOB = type("Slots", (), {"slots": 1.0, "memory": 0.5})()


def new_worker() -> Worker:
    worker = Worker("w1", api.WorkerEntry("w1", zone="a"))
    worker.memory = 100.0
    return worker


def test_no_change_is_forgotten_that_a_report_may_lack() -> None:
    assert max(logic.REPORT_AGE, logic.WEIGHT_AGE) <= state.LOAD_HISTORY


def test_workers_without_reports_keep_a_bounded_record() -> None:
    """Guards against memory that grows with each job where workers send no load reports."""
    worker = new_worker()
    for number in range(20_000):
        worker.adjust_load(number * 5 * MS, JOB, 1 if number % 2 == 0 else -1)
    assert len(worker.load_changes) <= state.LOAD_HISTORY // (5 * MS) + 1


def test_reports_and_weights_give_the_same_load_as_with_the_whole_record(monkeypatch) -> None:
    """Guards against a bound that changes what is known of a worker's load."""

    def play(history: int) -> list[tuple[float, float | None]]:
        monkeypatch.setattr(state, "LOAD_HISTORY", history)
        drawn, worker, now, seen = random.Random(62), new_worker(), 10_000 * MS, []
        for _ in range(3000):
            now += drawn.randrange(0, 400) * MS
            kind = drawn.random()
            if kind < 0.8:
                worker.adjust_load(now, JOB, drawn.choice((1, -1)))
            elif kind < 0.9:
                report = api.LoadReport(free_slots=drawn.randrange(20), free_memory=drawn.randrange(90))
                worker.apply_report(now - logic.REPORT_AGE, report)
            else:
                worker.entry = api.WorkerEntry("w1", zone="a", weight=drawn.choice((0.3, 0.6, 1.0)))
                worker.apply_weight(now - logic.WEIGHT_AGE, now - 4000 * MS, 1.0, 8.0)
            seen.append((worker.peer_slots, worker.memory))
        return seen

    assert play(state.LOAD_HISTORY) == play(1 << 62)
