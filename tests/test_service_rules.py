"""Tests that an action of the decision module which would break a service rule is not carried out, and is
counted."""

import random
from collections.abc import Iterable

import pytest

from heathway import api
from ironbarrow.backend import invoker
from ironbarrow.core.jobs import Payload
from ironbarrow.core.rules import Rule
from ironbarrow.core.shutdown import LateJobRule
from ironbarrow.frontend.owed_answers import AnswerEnd, OwedAnswers
from ironbarrow.runtime.loop import MS, Coroutine, Task
from tests import test_attempt
from tests.decisions import fixed_order
from tests.scenario import Harness, answer, call_back, job


def violations(harness: Harness) -> dict[str, int]:
    counts = harness.dispatcher.host.event_log.counts
    return {kind: number for (event, kind), number in counts.items() if event == "decision not carried out"}


def test_a_booking_that_may_have_run_is_not_sent_again() -> None:
    """Guards against a decision module that repeats an effect (bcef66)."""
    harness, _ = fixed_order("p1", "p2")
    for line in (f"c1 send {job(path='book/x')}", "p1 expect in$", f"p1 send {answer(500)}", "c1 expect 500"):
        harness.step(line)
    assert harness.peers["p2"].sock is None
    assert violations(harness) == {Rule.NO_REPEATED_EFFECT.value: 1}
    harness.close()


def test_a_booking_that_may_have_run_is_not_refused() -> None:
    """Guards against a decision module that refuses a job which may have run: the client would repeat it
    (bcef66)."""
    harness, decisions = fixed_order("p1")
    real = decisions.handle
    decisions.handle = lambda now, events: [  # type: ignore[method-assign]
        api.Refuse(action.job) if isinstance(action, api.Fail) else action for action in real(now, events)
    ]
    for line in (f"c1 send {job(path='book/x')}", "p1 expect in$", f"p1 send {answer(500)}", "c1 expect 500"):
        harness.step(line)
    assert violations(harness) == {Rule.LAWFUL_REFUSAL.value: 1}
    harness.close()


def test_no_job_goes_to_one_worker_twice() -> None:
    """Guards against a duplicate call-back that ends the next attempt at the same worker (bcef66)."""
    harness, _ = fixed_order("p1", "p1", "p2")
    for line in (f"c1 send {job()}", "p1 expect in$", f"p1 send {answer(202)}"):
        harness.step(line)
    for line in (f"c9 send {call_back('returned')}", "c9 expect 204", "p2 expect in$"):
        harness.step(line)
    assert not harness.peers["p1"].received
    assert violations(harness) == {Rule.ONE_ATTEMPT_PER_WORKER.value: 1}
    harness.close()


class RandomDecisions:
    """Sends, cancels, refuses and fails jobs at random, whatever has happened."""

    def __init__(self, generator: random.Random) -> None:
        self._random = generator
        self._sends = 0

    def handle(self, now: int, events: Iterable[api.Event]) -> list[api.Action]:
        actions: list[api.Action] = []
        for event in events:
            number = getattr(event, "job", 0)
            if not number:
                continue
            kind = self._random.choice(("send", "send", "send", "cancel", "refuse", "fail", "nothing"))
            if kind == "send" or isinstance(event, api.JobArrived):
                self._sends += 1
                actions.append(api.Send(number, self._random.choice(("p1", "p2", "p3"))))
            elif kind == "cancel":
                actions.append(api.CancelAttempt(number, self._random.randrange(self._sends)))
            elif kind == "refuse":
                actions.append(api.Refuse(number))
            elif kind == "fail":
                actions.append(api.Fail(number))
        return actions


@pytest.mark.parametrize("effect", test_attempt.EFFECTS)
def test_random_decisions_break_no_rule(effect: api.Effect, monkeypatch: pytest.MonkeyPatch) -> None:
    violated: set[str] = set()
    for seed in range(400):
        world = test_attempt.World(seed, effect)
        world.host._dispatcher = RandomDecisions(random.Random(seed))  # type: ignore[assignment]

        def connect(address: tuple[str, int], until: int) -> Coroutine[test_attempt.FakeConnection]:
            yield from test_attempt.wait(world.loop.now())  # noqa: B023
            return test_attempt.FakeConnection(world, world.workers[address[0]])  # noqa: B023

        monkeypatch.setattr(invoker, "connect", connect)
        world.simulate()
        assert world.second_copies == 0, seed
        assert world.run_twice == 0, seed
        assert len(world.answers) == 1, seed
        assert len(world.attempts) <= 3, seed
        refused = world.answers[0].verdict.value == "refused"
        may_have_run = any(held.may_have_run for held in world.attempts)
        assert effect is not api.Effect.UNSAFE or not (refused and may_have_run), seed
        violated |= {
            kind for event, kind in world.host.event_log.counts if event == "decision not carried out"
        }
    # The random decisions did try to break these rules.
    assert {Rule.ONE_LIVE_ATTEMPT.value, Rule.ONE_ATTEMPT_PER_WORKER.value} <= violated
    if effect is api.Effect.UNSAFE:
        assert {Rule.NO_REPEATED_EFFECT.value, Rule.LAWFUL_REFUSAL.value} <= violated


# Guards against late jobs of a shutdown that are sent or unanswered past their limit.
@pytest.mark.parametrize("effect", test_attempt.EFFECTS)
def test_random_decisions_keep_the_answer_limit_of_a_shutdown(
    effect: api.Effect, monkeypatch: pytest.MonkeyPatch
) -> None:
    limited = 0
    for seed in range(300):
        world = test_attempt.World(seed, effect)
        rng = random.Random(seed)
        if rng.random() < 0.5:
            world.host._dispatcher = RandomDecisions(random.Random(seed))  # type: ignore[assignment]

        def connect(address: tuple[str, int], until: int) -> Coroutine[test_attempt.FakeConnection]:
            yield from test_attempt.wait(world.loop.now())  # noqa: B023
            return test_attempt.FakeConnection(world, world.workers[address[0]])  # noqa: B023

        monkeypatch.setattr(invoker, "connect", connect)
        start, host = test_attempt.START, world.host
        limit = start + rng.randrange(1, 3000) * MS
        host.shutdown.begin(start, limit)
        for _ in range(rng.randrange(3)):  # a successor comes and goes
            takes = rng.random() < 0.5
            at = start + rng.randrange(2000) * MS
            world.loop.call_at(at, setattr, host.shutdown, "jobs_are_taken_over", takes)
        host.shutdown.jobs_are_taken_over = rng.random() < 0.5
        end = limit + host.settings.answer_slack
        world.loop.call_at(end, host.end_late_jobs)
        payload = Payload("j1", "POST", "/x", b"in")
        host.submit(payload, world.answers.append, job_class="x", time_left=test_attempt.DEADLINE)
        world.loop.run(end)
        assert len(world.answers) == 1, seed
        limited += host.event_log.counts["late job ended", ""]
        world.loop.run(end + 2 * test_attempt.DEADLINE)
        assert len(world.answers) == 1 and world.second_copies == 0 and world.run_twice == 0, seed
        assert all(attempt.written_at <= end for attempt in world.attempts), seed
        refused = world.answers[0].verdict.value == "refused"
        may_have_run = any(held.may_have_run for held in world.attempts)
        assert effect is not api.Effect.UNSAFE or not (refused and may_have_run), seed
    assert limited > 0


# Guards against an attempt of a late job past its limit, where a successor let the job keep its own time.
def test_an_attempt_past_the_answer_limit_is_not_carried_out() -> None:
    world = test_attempt.World(1, api.Effect.SAFE)
    host, limit = world.host, test_attempt.START + 100 * MS
    host.shutdown.begin(test_attempt.START, limit)
    host.shutdown.jobs_are_taken_over = True
    payload = Payload("j1", "POST", "/x", b"in")
    job = host.submit(payload, world.answers.append, job_class="x", time_left=test_attempt.DEADLINE)
    world.loop.time = limit
    host._send(api.Send(job.number, "p1"))
    assert job.attempts[0].ended and job.attempts[0].never_ran
    assert host.event_log.counts["decision not carried out", Rule.TIME_FOR_ANSWER.value] == 1


# Guards against late answers that are missing or cut off by this process without being counted.
def test_a_late_answer_that_is_missing_or_cut_off_is_counted() -> None:
    world = test_attempt.World(1, api.Effect.SAFE)
    shutdown = world.host.shutdown
    owed = OwedAnswers(world.loop, world.host.event_log, shutdown)
    early, late, written = (Task(world.loop, test_attempt.wait(0)) for _ in range(3))  # type: ignore[arg-type]
    owed.begin(early, "early")
    world.loop.time += MS
    shutdown.begin(world.loop.now(), world.loop.now() + MS)
    owed.begin(late, "late")
    owed.begin(written, "written")
    owed.decided(written)
    owed.check_late()
    assert shutdown.violations == {LateJobRule.ANSWERING: 1}
    owed.end(written, AnswerEnd.WRITTEN)
    for task in (early, late, written):
        owed.connection_closed(task)
    assert shutdown.violations == {LateJobRule.ANSWERING: 1, LateJobRule.CLOSING: 1}
