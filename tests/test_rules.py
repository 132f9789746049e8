"""Tests of the decision module's four rules under arbitrary legal events, and in edge cases."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from heathway import api
from heathway.api import ListKind, Outcome, WorkerState
from heathway.logic import Dispatcher
from tests.dispatcher_harness import MS, DispatcherHarness, S, entries, make_settings

FAILURES = [o for o in Outcome if o is not Outcome.OK]
STEP = st.one_of(
    st.tuples(
        st.just("arrive"), st.sampled_from(["safe", "keyed", "keyed-all", "unsafe"]), st.integers(0, 5)
    ),
    st.tuples(st.just("end"), st.integers(0, 50), st.sampled_from(list(Outcome))),
    st.tuples(st.just("advance"), st.sampled_from([1, 7, 60, 400, 2500]), st.none()),
    st.tuples(st.just("withdraw"), st.integers(0, 50), st.none()),
    st.tuples(st.just("list"), st.integers(0, 7), st.sampled_from(list(WorkerState))),
    st.tuples(st.just("restart"), st.integers(0, 7), st.none()),
    st.tuples(st.just("full list"), st.integers(0, 8), st.none()),
    st.tuples(st.just("lost"), st.none(), st.none()),
)


def apply_steps(world: DispatcherHarness, steps: list[tuple[str, object, object]]) -> None:
    for kind, first, second in steps:
        if kind == "arrive":
            world.arrive(str(first), key=second, left=(1 + int(str(second))) * S)
        elif kind == "end" and world.in_flight():
            job, number = world.in_flight()[int(str(first)) % len(world.in_flight())]
            world.end_attempt(job, number, Outcome(second), free=float(int(str(first)) % 3))
        elif kind == "advance":
            world.advance(int(str(first)) * MS)
        elif kind == "withdraw":
            live = [job for job, owed in world.jobs.items() if not owed.ended]
            if live:
                world.withdraw(live[int(str(first)) % len(live)])
        elif kind == "list":
            entry = entries(8, state=second)[int(str(first))]
            world.update_list(ListKind.CHANGES, (entry,))
        elif kind == "restart":
            world.update_list(ListKind.CHANGES, (entries(8, started_at=world.now)[int(str(first))],))
        elif kind == "full list":
            world.update_list(ListKind.FULL, entries(int(str(first))))
        elif kind == "lost":
            world.update_list(ListKind.LOST, ())
    world.advance(8 * S)


@given(st.lists(STEP, max_size=60), st.booleans(), st.integers(1, 3))
def test_the_rules_hold_under_any_legal_events(steps, asks, dispatchers):
    world = DispatcherHarness(make_settings(asks_for_list=asks, dispatchers=dispatchers), entries(6))
    apply_steps(world, steps)
    assert all(owed.ended for owed in world.jobs.values())


def broken(world: DispatcherHarness, method: str, instead=lambda self, *args: True) -> DispatcherHarness:
    class Broken(Dispatcher):
        pass

    setattr(Broken, method, instead)
    world.dispatcher.__class__ = Broken
    return world


@pytest.mark.parametrize(("method", "rule"), [("_may_send_again", "rule 2"), ("_may_refuse", "rule 2")])
def test_the_checker_catches_a_broken_decision_module(method, rule):
    world = broken(DispatcherHarness(make_settings(), entries(6)), method)
    with pytest.raises(AssertionError, match=rule):
        job = world.arrive("unsafe")
        world.end_attempt(job, 0, Outcome.RESET)
        world.advance(5 * S)


def test_the_checker_catches_an_answer_that_never_comes():
    world = broken(
        DispatcherHarness(make_settings(), ()), "_give_up", lambda self, job, why: self._close(job)
    )
    with pytest.raises(AssertionError, match="rule 1"):
        world.arrive("safe")
        world.arrive("safe")
        world.advance(8 * S)


@pytest.mark.parametrize("outcome", [Outcome.ERROR, Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED])
def test_an_unsafe_job_that_may_have_run_fails(outcome):
    world = DispatcherHarness(make_settings(), entries(3))
    job = world.arrive("unsafe")
    world.end_attempt(job, 0, outcome)
    assert world.answers(job) == [api.Fail(job)]


@pytest.mark.parametrize("outcome", [Outcome.FULL, Outcome.CONNECT_FAILED])
def test_an_unsafe_job_that_never_ran_is_sent_again(outcome):
    world = DispatcherHarness(make_settings(), entries(3))
    job = world.arrive("unsafe")
    world.end_attempt(job, 0, outcome)
    assert len(world.attempts(job)) == 2


def test_a_keyed_job_is_repeated_only_in_its_cell():
    world = DispatcherHarness(make_settings(), entries(8))
    job = world.arrive("keyed")
    first = world.attempts(job)[0].worker
    world.end_attempt(job, 0, Outcome.RESET)
    second = world.attempts(job)[1].worker
    assert second != first
    assert world.entries[second].cell == world.entries[first].cell


@pytest.mark.parametrize(
    ("after", "again"), [(3 * S - 6 * MS, True), (3 * S - 5 * MS, False), (3 * S, False)]
)
def test_a_keyed_job_is_repeated_only_in_its_window(after, again):
    keyed = api.JobClass("keyed", api.Effect.KEYED, 5 * S, 20 * S, 0.0, api.Group.CELL, window=3 * S)
    world = DispatcherHarness(make_settings(classes=(keyed,)), entries(8))
    job = world.arrive("keyed", left=20 * S)
    world.advance(after)
    world.end_attempt(job, 0, Outcome.RESET)
    assert (len(world.attempts(job)) == 2) is again
    assert again or world.answers(job) == [api.Fail(job)]


@pytest.mark.parametrize("state", [WorkerState.DRAINING, WorkerState.GONE])
def test_nothing_is_sent_to_a_worker_that_drains_or_is_gone(state):
    world = DispatcherHarness(make_settings(), entries(1))
    world.update_list(ListKind.CHANGES, entries(1, state=state))
    job = world.arrive()
    world.advance(5 * S)
    assert world.sends == []
    assert len(world.answers(job)) == 1


def test_a_worker_missing_from_a_full_list_is_gone():
    world = DispatcherHarness(make_settings(), entries(3))
    world.update_list(ListKind.FULL, entries(1))
    for key in range(9):
        world.arrive(key=key)
    assert {worker for _, _, worker in world.sends} <= {"w000"}


def test_a_draining_worker_is_used_again_once_it_is_listed_as_up():
    world = DispatcherHarness(make_settings(), entries(1, state=WorkerState.DRAINING))
    world.arrive()
    world.update_list(ListKind.CHANGES, entries(1))
    assert len(world.sends) == 1


def test_a_final_answer_comes_before_the_deadline_when_there_are_no_workers():
    world = DispatcherHarness(make_settings(), ())
    job = world.arrive(left=6 * S)
    world.advance(6 * S)
    assert len(world.answers(job)) == 1


def test_a_job_with_hardly_any_time_left_is_answered():
    world = DispatcherHarness(make_settings(), ())
    job = world.arrive(left=1)
    world.advance(30 * MS)
    assert len(world.answers(job)) == 1
