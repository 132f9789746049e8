"""When a worker counts as started anew, whatever the wall clocks of the machines say."""

from dataclasses import replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from heathway import api
from heathway.api import ListKind, WorkerState
from heathway.settings import read_settings
from heathway.start_times import StartTimes
from tests.dispatcher_harness import S
from tests.scenario import SETTINGS, Harness
from tests.test_warming import CLASS_MEANS, HOUR, Fleet, Offer, fleet_settings

COLD_TIME = 22 * S
TRUE_TIME = 10 * HOUR
OLD_START = TRUE_TIME - HOUR // 3
STEPS = [0, -1, -S, -10 * S, -60 * S, -HOUR, 10 * S, HOUR]  # of the clock of the worker's machine
UP, DRAINING, GONE = WorkerState.UP, WorkerState.DRAINING, WorkerState.GONE

# lists that come after the worker's first process was listed: kind, whether the list has the new process, and
# the state in which it has the worker; None: it does not have it
WAYS = {
    "up, with nothing before": [(ListKind.CHANGES, True, UP)],
    "drained before": [(ListKind.CHANGES, False, DRAINING), (ListKind.CHANGES, True, UP)],
    "removed before": [(ListKind.CHANGES, False, GONE), (ListKind.CHANGES, True, UP)],
    "drained at first": [(ListKind.CHANGES, True, DRAINING), (ListKind.CHANGES, True, UP)],
    "in a whole list": [(ListKind.FULL, True, UP)],
    "missing in a whole list, then in changes": [(ListKind.FULL, False, None), (ListKind.CHANGES, True, UP)],
    "missing in a whole list, then in the next one": [
        (ListKind.FULL, False, None),
        (ListKind.FULL, True, UP),
    ],
    "removed with its new start": [(ListKind.CHANGES, True, GONE), (ListKind.CHANGES, True, UP)],
}


def entry(started_at: int, state: WorkerState = UP) -> api.WorkerEntry:
    return api.WorkerEntry("w", "a", 0, "std", started_at=started_at, state=state)


@pytest.mark.parametrize("step", STEPS)
@pytest.mark.parametrize("way", WAYS)
def test_a_worker_that_returns_is_cold_whatever_start_is_listed(way: str, step: int) -> None:
    """Guards against a new process taken for the warm one before it, for its earlier start (review/2)."""
    starts, now = StartTimes(COLD_TIME), TRUE_TIME
    starts.apply_list([entry(OLD_START)], now, ListKind.FULL)
    for kind, is_new, state in WAYS[way]:
        now += 5 * S
        true_start = now if is_new else 0
        listed = entry(now + step if is_new else OLD_START, state or UP)
        starts.apply_list([listed] * (state is not None), now, kind)
    assert starts.latest("w") >= true_start


@pytest.mark.parametrize("dispatchers", [1, 3, 30])
@pytest.mark.parametrize("step", STEPS)
def test_a_fleet_keeps_within_the_budget_of_a_worker_whose_clock_was_stepped(
    dispatchers: int, step: int
) -> None:
    """Guards against a cold worker sent the work of a warmer one (review/2: 15 requests, 8.1 allowed)."""
    fleet = Fleet(fleet_settings(dispatchers), CLASS_MEANS, 5.0)
    old = replace(fleet.entry, started_at=45 * S)
    new = replace(fleet.entry, started_at=max(1, fleet.entry.started_at + step))
    for dispatcher in fleet.dispatchers:
        dispatcher.handle(50 * S, [api.WorkerList(ListKind.FULL, (old,))])
        dispatcher.handle(fleet.now, [api.WorkerList(ListKind.CHANGES, (new,))])
    for _ in range(8):
        for dispatcher in fleet.dispatchers:
            fleet.offer(dispatcher, Offer((0, 1, 2)))
        fleet.now += S
    fleet.check()
    assert fleet.sends


@pytest.mark.parametrize("kind", [ListKind.FULL, ListKind.CHANGES])
def test_a_delayed_list_does_not_end_the_slow_start(kind: ListKind) -> None:
    starts = StartTimes(COLD_TIME)
    starts.apply_list([entry(OLD_START)], TRUE_TIME, ListKind.FULL)
    for second, listed in ((1, TRUE_TIME - HOUR), (2, OLD_START), (3, 0), (4, TRUE_TIME - HOUR)):
        starts.apply_list([entry(listed)], TRUE_TIME + second * S, kind)
        assert starts.latest("w") == TRUE_TIME + S
        assert starts.listed("w") == TRUE_TIME - HOUR


@pytest.mark.parametrize("step", [-1, -S, -HOUR])
def test_a_worker_listed_earlier_than_in_the_configuration_has_just_started(step: int) -> None:
    starts = StartTimes(COLD_TIME)
    other = replace(entry(TRUE_TIME), worker="other")  # shows that the own clock is not ahead
    starts.apply_list([entry(OLD_START), other], TRUE_TIME, ListKind.LAST_KNOWN)
    starts.apply_list([entry(OLD_START + step), other], TRUE_TIME + S, ListKind.FULL)
    assert starts.latest("w") == TRUE_TIME + S


@settings(max_examples=300)
@given(st.data())
def test_a_worker_never_counts_as_older_than_it_is(data: st.DataObject) -> None:
    """Restarts, steps of its clock, and lists that may be delayed, in any order."""
    starts, now, clock_error = StartTimes(COLD_TIME), TRUE_TIME, 0
    processes = [(OLD_START, OLD_START)]  # when each started, truly and by its machine's clock
    starts.apply_list([entry(OLD_START)], now, ListKind.FULL)
    told = 0  # the latest process that a list has shown
    for _ in range(data.draw(st.integers(1, 20))):
        now += data.draw(st.integers(1, 30)) * S
        what = data.draw(st.sampled_from(("restart", "step", "list", "delayed list", "gone")))
        if what == "restart":
            processes.append((now, now + clock_error))
        elif what == "step":
            clock_error += data.draw(st.sampled_from(STEPS))
        else:
            shown = len(processes) - 1
            if what == "delayed list":
                shown = data.draw(st.integers(0, shown))
            kind = data.draw(st.sampled_from((ListKind.CHANGES, ListKind.FULL)))
            state = GONE if what == "gone" else data.draw(st.sampled_from((UP, DRAINING)))
            starts.apply_list([entry(processes[shown][1], state)], now, kind)
            if state is not GONE:
                told = max(told, shown)
        readings = [listed for _, listed in processes]
        if len(set(readings)) == len(readings):  # two processes with one start can't be told apart
            assert starts.latest("w") >= processes[told][0]


def test_the_starts_kept_of_a_worker_are_bounded() -> None:
    starts = StartTimes(COLD_TIME)
    for second in range(1_000):
        starts.apply_list([entry(TRUE_TIME + second)], TRUE_TIME + second * S, ListKind.CHANGES)
    assert len(starts._earlier["w"]) <= 8


def test_a_worker_removed_and_listed_with_an_earlier_start_is_cold() -> None:
    """As review/2, through the discovery client and the decisions."""
    guarantees = {**SETTINGS["guarantees"], "cold": COLD_TIME}
    harness = Harness(settings=read_settings({**SETTINGS, "guarantees": guarantees}))
    try:
        harness.step("d expect follow=1")
        now_ms = harness.dispatcher.loop.now() // 1_000_000
        # shows that the own clock is not ahead
        other = {**harness.entry("p2"), "since_ms": now_ms}
        listed = []
        for index, (status, minutes) in enumerate((("up", 20), ("removed", 20), ("up", 60))):
            change = {**harness.entry("p1", status), "since_ms": now_ms - minutes * 60_000}
            listed.append(harness.list_chunk(change, other, index=42 + index))
        head = "HTTP/1.1 200 OK\\r\\nTransfer-Encoding: chunked\\r\\n\\r\\n"
        decisions = harness.dispatcher.host._dispatcher
        for chunk, states in zip(listed, (UP, GONE, UP), strict=True):
            harness.step("d send " + head + chunk.replace("\r", "\\r").replace("\n", "\\n"))
            head = ""
            harness.run_until(
                str(states), lambda states=states: decisions._workers["p1"].entry.state is states
            )
            harness.run_for(0.05)
            is_cold = decisions._workers["p1"].cold_until > harness.dispatcher.loop.now()
            assert is_cold == (chunk is listed[-1])
    finally:
        harness.close()
