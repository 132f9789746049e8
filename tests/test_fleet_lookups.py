"""The rules of lookups, and what is logged of take-overs and lookups."""

from dataclasses import replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ironbarrow.core.event_log import EventLog
from ironbarrow.core.jobs import Verdict
from ironbarrow.fleet.api import Incarnation
from ironbarrow.fleet.invariants import INVARIANTS, InvariantError
from ironbarrow.fleet.takeover.adapter import log_steps
from ironbarrow.fleet.takeover.lookup_rules import LookupDecision, LookupEvidence, decide
from ironbarrow.fleet.takeover.machine import Takeover
from ironbarrow.fleet.takeover.steps import LedgerReport, LedgerStep, LookupReport, StepReport
from ironbarrow.lab.fleet.random_takeovers import SETTINGS
from ironbarrow.lab.fleet.takeover_simulation import TakeoverSimulation, ms
from ironbarrow.lab.sim.clock import SimulatedClock

ENDED = Incarnation("d0", 1)
COMPLETE = LookupEvidence(
    safe=False,
    fenced=False,
    has_holder=False,
    cancelling=False,
    open_here=(),
    open_elsewhere=False,
    settled=True,
    unanswered=(),
    lost=False,
    history_known=True,
    sent_before=False,
)
INCARNATIONS = st.sampled_from(((), (ENDED,)))
EVIDENCE = st.builds(
    LookupEvidence,
    safe=st.booleans(),
    fenced=st.booleans(),
    has_holder=st.booleans(),
    cancelling=st.booleans(),
    open_here=INCARNATIONS,
    open_elsewhere=st.booleans(),
    settled=st.booleans(),
    unanswered=INCARNATIONS,
    lost=st.booleans(),
    history_known=st.booleans(),
    sent_before=st.booleans(),
)


@given(EVIDENCE)
@settings(derandomize=True)
def test_no_looked_up_job_starts_while_a_ledger_may_hold_its_id(evidence: LookupEvidence) -> None:
    decision = decide(evidence)
    if decision is LookupDecision.START:
        assert not (evidence.open_here or evidence.open_elsewhere or evidence.unanswered)
        assert evidence.settled and not (evidence.fenced or evidence.has_holder or evidence.cancelling)
        assert not evidence.sent_before
        assert evidence.safe or (evidence.history_known and not evidence.lost)
    if decision is LookupDecision.ANSWER_NOT_FOUND:
        known = replace(evidence, lost=False, history_known=True, sent_before=False)
        assert decide(known) is LookupDecision.START


@pytest.mark.parametrize(
    ("change", "decision"),
    [
        ({}, LookupDecision.START),
        ({"open_here": (ENDED,)}, LookupDecision.WAIT_OPEN_LEDGER_HERE),
        ({"open_elsewhere": True, "lost": True}, LookupDecision.WAIT_OPEN_LEDGER_ELSEWHERE),
        ({"unanswered": (ENDED,)}, LookupDecision.WAIT_ANSWERS),
        ({"lost": True}, LookupDecision.ANSWER_NOT_FOUND),
        ({"lost": True, "safe": True}, LookupDecision.START),
        ({"history_known": False}, LookupDecision.ANSWER_HISTORY_UNKNOWN),
        ({"history_known": False, "safe": True}, LookupDecision.START),
        ({"history_known": False, "open_here": (ENDED,)}, LookupDecision.WAIT_OPEN_LEDGER_HERE),
        ({"sent_before": True, "safe": True}, LookupDecision.ANSWER_NOT_FOUND),
    ],
)
def test_the_decision_on_a_looked_up_job(change: dict[str, object], decision: LookupDecision) -> None:
    assert decide(replace(COMPLETE, **change)) is decision  # type: ignore[arg-type]


def test_take_overs_and_lookups_report_their_steps() -> None:
    reports: list[StepReport] = []
    world = TakeoverSimulation(SETTINGS, 5, seed=1, workers=8)
    world.observers.append(lambda name, report: reports.append(report))
    world.run(ms(1500))
    world.service_times = (ms(3000), ms(3000))
    order = world.submit("j", "book", ms(9000), "d0")
    world.run(ms(300))
    world.kill("d0")
    world.run(ms(6000))
    assert [answer and answer.verdict for answer in order.answers] == [Verdict.SERVED]
    ledger = [r.step for r in reports if isinstance(r, LedgerReport) and r.incarnation.name == "d0"]
    for step in (LedgerStep.OPENED, LedgerStep.CLAIM_BEGUN, LedgerStep.SEALED, LedgerStep.ADOPTED):
        assert step in ledger
    lookups = [r for r in reports if isinstance(r, LookupReport)]
    assert lookups and all(r.id == "j" and r.waited > 0 for r in lookups)


def test_steps_are_counted_by_kind() -> None:
    events = EventLog(SimulatedClock())
    observe = log_steps(events)
    observe(LedgerReport(ENDED, LedgerStep.SEALED, records=3, whole=True))
    observe(LookupReport("j", "started", LookupDecision.START.value, rounds=2, waited=5))
    assert events.totals() == {"ledger step: sealed": 1, "lookup ended: started": 1}


def test_the_invariant_detects_a_booking_started_while_a_ledger_is_open(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(Takeover, "_decide", Takeover._take_looked_up)
    monkeypatch.setattr(INVARIANTS, "fatal", True)
    world = TakeoverSimulation(SETTINGS, 5, seed=1, workers=8)
    world.run(ms(1500))
    world.service_times = (ms(3000), ms(3000))
    world.submit("j", "book", ms(9000), "d0")
    world.run(ms(300))
    world.kill("d0")
    with pytest.raises(InvariantError, match="ledgers accounted for"):
        world.run(ms(4000))
