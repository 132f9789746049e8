"""Slow start: what a whole fleet sends to a cold worker, in virtual time."""

import math
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from heathway import api, slow_start
from heathway.api import ListKind, Outcome, WorkerState
from heathway.logic import Dispatcher
from heathway.state import Worker
from tests.dispatcher_harness import MS, DispatcherHarness, S, entries, make_settings

CLASS_MEANS = (4500 * MS, 800 * MS, 400 * MS)  # mean work of a fleet's classes, long ones first
GAPS = (0, 1, 10 * MS)  # ns, added to steps of half a window, a window, or 1 ns less or more than one


class AdmitsAll(Dispatcher):
    """Admits all jobs, so that only the budget limits what goes to cold workers."""

    def _admits(self, cls: api.JobClass) -> bool:
        return True

    def _update_typical(self) -> None:
        pass


@dataclass
class Offer:
    """Jobs that a dispatcher is offered at one time: of each class in turn, until one is not sent."""

    classes: tuple[int, ...]
    slots: int = 1


class Fleet:
    """Dispatchers that share nothing, and one worker that has just started.

    Each job ends as soon as it is sent, so that only the slow start holds jobs back.
    """

    def __init__(self, rules: api.Settings, means: tuple[int, ...], size: float, number: int = 0) -> None:
        classes = tuple(
            api.JobClass(f"c{i}", (api.Effect.SAFE, api.Effect.UNSAFE)[i % 2], 30 * S, 60 * S)
            for i in range(len(means))
        )
        self.rules, self.means, self.size = replace(rules, classes=classes), means, size
        self.entry = api.WorkerEntry("w", "a", 0, "std", started_at=100 * S)
        self.now = 100 * S
        self.job = 0
        self.sends: list[tuple[int, float]] = []  # when, work in ns
        self.dispatchers: list[AdmitsAll] = []
        self.older: dict[AdmitsAll, AdmitsAll] = {}  # by process: the one that ran when it was started
        # started long before the worker
        self.dispatchers = [self.start(me, 10 * S) for me in range(number or rules.dispatchers)]

    def start(self, me: int, now: int | None = None) -> AdmitsAll:
        dispatcher = AdmitsAll(replace(self.rules, me=me), me)
        if me < len(self.dispatchers):
            self.older[dispatcher] = self.dispatchers[me]
        self.prepare(dispatcher)
        self.tell(dispatcher, now)
        return dispatcher

    def prepare(self, dispatcher: AdmitsAll) -> None:
        dispatcher._typical = (self.size, 0.0)
        for i, mean in enumerate(self.means):
            dispatcher._service_time[f"c{i}"].mean = mean

    def tell(self, dispatcher: AdmitsAll, now: int | None = None) -> None:
        at = self.now if now is None else now
        if 0 < dispatcher._now < self.entry.started_at < at:
            # it ran at the worker's start, and discovery told it then
            dispatcher.handle(self.entry.started_at, [api.WorkerList(ListKind.FULL, (self.entry,))])
        # a dispatcher that starts before the worker gets a list without it first
        entries_then = (self.entry,) if at >= self.entry.started_at else ()
        dispatcher.handle(at, [api.WorkerList(ListKind.FULL, entries_then)])

    def tell_of_older_process(self, dispatcher: AdmitsAll) -> None:
        """As the host does where the older process serves on: after a restart it is not listed any more."""
        if dispatcher not in self.dispatchers and self.older.get(dispatcher) in self.dispatchers:
            dispatcher.handle(self.now, [api.PredecessorState(running=True)])

    def tell_all(self) -> None:
        for dispatcher in self.dispatchers:
            self.tell(dispatcher)

    def offer(self, dispatcher: AdmitsAll, offer: Offer, most: int = 10_000) -> int:
        """Offers one job after another of each class until one is not sent; returns how many were sent."""
        self.tell_of_older_process(dispatcher)
        sent = 0
        if self.now >= self.entry.started_at + self.rules.cold_time:
            return 0  # the worker is warm
        for number in offer.classes:
            while sent < most:
                self.job += 1
                event = api.JobArrived(self.job, f"c{number}", None, None, 60 * S, float(offer.slots))
                actions = dispatcher.handle(self.now, [event])
                if not any(isinstance(a, api.Send) for a in actions):
                    dispatcher.handle(self.now, [api.JobWithdrawn(self.job)])
                    break
                sent += 1
                self.sends.append((self.now, float(self.means[number] * offer.slots)))
                end = api.AttemptEnded(
                    self.job, 0, "w", Outcome.CANCELLED, True, 0, api.LoadReport(free_slots=self.size)
                )
                dispatcher.handle(self.now, [end])
        return sent

    def peak(self) -> float:
        """The largest work sent within a window, as a part of the budget at the end of that window."""
        rules, worst, total = self.rules, 0.0, 0.0
        window: deque[tuple[int, float]] = deque()
        for at, work in sorted(self.sends):
            while window and window[0][0] <= at - rules.fall_window:
                total -= window.popleft()[1]
            window.append((at, work))
            total += work
            part = rules.start_capacity + (1 - rules.start_capacity) * (at - 100 * S) / rules.cold_time
            worst = max(worst, total / (rules.fall_multiple * min(1.0, part) * rules.fall_window * self.size))
        return worst

    def check(self) -> None:
        """The work sent, at mean sizes, must be within the budget; the margin for chance is separate."""
        assert self.peak() <= 1 + 1e-9


def fleet_settings(dispatchers: int, **changes: object) -> api.Settings:
    changes = {"fall_multiple": 2.5, "fall_window": 3 * S, "cold_time": 22 * S, **changes}
    return make_settings(dispatchers=dispatchers, **changes)


@st.composite
def fleets(draw: st.DrawFn, dispatchers: Iterable[int]) -> Fleet:
    rules = fleet_settings(
        draw(st.sampled_from(list(dispatchers))),
        fall_multiple=draw(st.floats(0.5, 6)),
        fall_window=draw(st.integers(200, 5000)) * MS,
        start_capacity=draw(st.floats(0.05, 1)),
        cold_time=draw(st.integers(1, 60)) * S,
    )
    means = draw(st.lists(st.integers(50, 6000).map(lambda ms: ms * MS), min_size=1, max_size=4))
    return Fleet(rules, tuple(sorted(means, reverse=True)), float(draw(st.integers(1, 32))))


@st.composite
def moments(draw: st.DrawFn, window: int, classes: int) -> list[tuple[int, str, list[Offer]]]:
    """Times, the order of the dispatchers, and the offers, which they get in turn."""
    found, at = [], 0
    steps = (0, window // 2, window - 1, window, window + 1)
    order = st.permutations(range(classes)).map(tuple)
    for _ in range(draw(st.integers(1, 5))):
        at += draw(st.sampled_from(steps)) + draw(st.sampled_from(GAPS))
        offers = draw(
            st.lists(st.builds(Offer, order, st.sampled_from((1, 1, 1, 2, 3, 8))), min_size=1, max_size=3)
        )
        found.append((at, draw(st.sampled_from(("up", "down"))), offers))
    return found


@settings(max_examples=60)
@given(st.data())
def test_a_fleet_that_sends_any_mix_keeps_within_a_cold_workers_budget(data):
    # guards against shares that overlap: those for a long class and those for a short one made 1.6 budgets
    fleet = data.draw(fleets((1, 2, 3, 20, 30)))
    for at, order, offers in data.draw(moments(fleet.rules.fall_window, len(fleet.means))):
        fleet.now = 100 * S + at
        fleet.tell_all()
        some = fleet.dispatchers if order == "up" else fleet.dispatchers[::-1]
        for i, dispatcher in enumerate(some):
            fleet.offer(dispatcher, offers[i % len(offers)], most=40)
    fleet.check()


@pytest.mark.parametrize("dispatchers", [1, 2, 3, 20, 30, 200, 1024])
@pytest.mark.parametrize("age", [0, 8 * S, 22 * S - 1])
def test_all_classes_at_once_keep_within_the_budget_and_use_much_of_it(dispatchers, age):
    # guards against shares that overlap: at their largest class, 30 dispatchers sent 1.09 budgets, 200 1.34
    fleet = Fleet(fleet_settings(dispatchers), CLASS_MEANS, 5.0)
    fleet.now += age
    fleet.tell_all()
    for dispatcher in fleet.dispatchers:
        fleet.offer(dispatcher, Offer((0, 1, 2)))
    fleet.check()
    assert fleet.peak() >= (0.4 if age else 0.25)


@pytest.mark.parametrize("dispatchers", [3, 30, 200])
def test_a_window_in_which_the_capacity_grows_keeps_within_the_budget(dispatchers):
    rules = fleet_settings(dispatchers, fall_window=3 * S, cold_time=6 * S)
    fleet = Fleet(rules, CLASS_MEANS, 6.0)
    for step in range(8):
        fleet.now = 100 * S + step * 750 * MS
        fleet.tell_all()
        for i, dispatcher in enumerate(fleet.dispatchers):
            fleet.offer(dispatcher, Offer(((0, 1, 2), (2, 1, 0), (1, 2, 0))[(i + step) % 3]))
    fleet.check()


def restart(fleet: Fleet, some: Iterable[int]) -> None:
    for me in some:
        fleet.dispatchers[me] = fleet.start(me)


@pytest.mark.parametrize("dispatchers", [1, 2, 3, 20, 30, 200])
@pytest.mark.parametrize("which", ["one", "a tenth each second", "seven in ten at once", "twice in a window"])
def test_restarted_dispatchers_do_not_spend_their_share_again(dispatchers, which):
    # guards against a restarted process, which does not know what it has sent, spending its share twice
    fleet = Fleet(fleet_settings(dispatchers, fall_multiple=4.0), CLASS_MEANS[1:], 6.0)
    fleet.now += 10 * S
    number = len(fleet.dispatchers)
    seven = range(math.ceil(0.7 * number))
    for step in range(12):
        if which == "one":
            restart(fleet, [step % number] if step in (1, 2, 3, 7) else [])
        elif which == "a tenth each second":
            restart(fleet, range(step % 10, number, 10) if step else [])
        elif which == "seven in ten at once":
            restart(fleet, seven if step in (1, 6) else [])
        else:
            restart(fleet, seven if step in (1, 2) else [])
        fleet.tell_all()
        for dispatcher in fleet.dispatchers:
            fleet.offer(dispatcher, Offer((0, 1)))
        fleet.now += S
    fleet.check()
    assert fleet.peak() >= 0.4


@settings(max_examples=60)
@given(st.data())
def test_a_fleet_restarted_at_any_time_keeps_within_the_budget(data):
    fleet = data.draw(fleets((1, 2, 3, 20)))
    for at, _, offers in data.draw(moments(fleet.rules.fall_window, len(fleet.means))):
        fleet.now = 100 * S + at
        fleet.tell_all()
        for i, dispatcher in enumerate(fleet.dispatchers):
            fleet.offer(dispatcher, offers[i % len(offers)], most=40)
        part = data.draw(st.sampled_from((0.0, 0.1, 0.7, 1.0)))
        restart(fleet, range(math.ceil(part * len(fleet.dispatchers))))
        for i, dispatcher in enumerate(fleet.dispatchers):
            fleet.offer(dispatcher, offers[i % len(offers)], most=40)
    fleet.check()


def test_a_dispatcher_restarted_at_the_moment_of_a_workers_start_does_not_spend_its_share_again():
    # guards against a restart within the same clock reading as the worker's start: the new process takes the
    # worker for one that has started after it, and spends its share a second time
    fleet_rules = fleet_settings(
        1, fall_multiple=6.0, fall_window=223 * MS, start_capacity=1.0, cold_time=1 * S
    )
    fleet = Fleet(fleet_rules, (50 * MS,), 1.0)
    fleet.tell_all()
    fleet.offer(fleet.dispatchers[0], Offer((0,)), most=40)
    restart(fleet, [0])
    fleet.offer(fleet.dispatchers[0], Offer((0,)), most=40)
    fleet.check()


@pytest.mark.parametrize("dispatchers", [1, 3, 25])
@pytest.mark.parametrize("ahead", [-10 * S, 0, 1, 60 * S, 3_600 * S])
@pytest.mark.parametrize("listed_after", [0, 1, 50 * MS])
def test_restarted_dispatchers_wait_a_window_whatever_start_is_listed(dispatchers, ahead, listed_after):
    # guards against a share spent twice by processes whose clock is behind: a start listed in the future, or
    # in a first list that comes after other events, looked later than their own
    fleet = Fleet(fleet_settings(dispatchers, fall_multiple=4.0), CLASS_MEANS[1:], 6.0)
    fleet.now += S
    fleet.tell_all()
    for dispatcher in fleet.dispatchers:
        fleet.offer(dispatcher, Offer((0, 1)))
    spent = len(fleet.sends)
    fleet.entry = replace(fleet.entry, started_at=fleet.now + ahead)
    for me in range(dispatchers):
        fleet.dispatchers[me] = AdmitsAll(replace(fleet.rules, me=me), me)
        fleet.dispatchers[me].handle(fleet.now, [])
    begun = fleet.now
    fleet.now += listed_after
    for me, dispatcher in enumerate(fleet.dispatchers):
        fleet.prepare(dispatcher)
        dispatcher.handle(fleet.now, [api.WorkerList(ListKind.FULL, (fleet.entry,))])
        assert fleet.offer(dispatcher, Offer((0, 1))) == 0, me
    fleet.now = begun + fleet.rules.fall_window
    assert spent and sum(fleet.offer(dispatcher, Offer((0, 1))) for dispatcher in fleet.dispatchers)


def test_a_process_and_its_successor_beside_it_spend_one_share_together():
    # guards against a hand-over in which both processes spend the share of the one dispatcher that they are
    fleet = Fleet(fleet_settings(1, fall_multiple=4.0), CLASS_MEANS[1:], 6.0)
    fleet.now += S
    fleet.tell_all()
    fleet.offer(fleet.dispatchers[0], Offer((0, 1)))
    successor = fleet.start(0)
    fleet.now += fleet.rules.fall_window
    for process in (fleet.dispatchers[0], successor):
        fleet.tell(process)
        fleet.offer(process, Offer((0, 1)))
    fleet.check()


def test_a_fleet_that_starts_with_cold_workers_serves_after_one_window():
    fleet = Fleet(fleet_settings(3), CLASS_MEANS[1:], 5.0)
    fleet.now += 5 * S
    restart(fleet, range(3))
    assert sum(fleet.offer(dispatcher, Offer((0, 1))) for dispatcher in fleet.dispatchers) == 0
    fleet.now += fleet.rules.fall_window
    assert all(fleet.offer(dispatcher, Offer((0, 1))) for dispatcher in fleet.dispatchers)


def test_a_worker_that_starts_after_the_dispatchers_is_used_at_once():
    # the smallest step after them: at the same reading, an earlier process may have used the share
    fleet = Fleet(fleet_settings(3), CLASS_MEANS[1:], 5.0)
    fleet.now -= 1
    restart(fleet, range(3))
    fleet.now += 1
    fleet.tell_all()
    assert all(fleet.offer(dispatcher, Offer((0, 1))) for dispatcher in fleet.dispatchers)


def test_dispatchers_beyond_the_number_in_the_settings_send_nothing_to_cold_workers():
    # guards against shares that are used twice: theirs would be those of the first dispatchers
    fleet = Fleet(fleet_settings(20), CLASS_MEANS, 5.0, number=30)
    fleet.now += 10 * S
    fleet.tell_all()
    sent = [fleet.offer(dispatcher, Offer((0, 1, 2))) for dispatcher in fleet.dispatchers]
    assert sum(sent[:20]) > 0
    assert sum(sent[20:]) == 0
    fleet.check()


@pytest.mark.parametrize("slots", [1, 2, 4, 8, 16])
@pytest.mark.parametrize("dispatchers", [3, 30, 200])
def test_jobs_of_several_slots_count_with_all_of_them(dispatchers, slots):
    fleet = Fleet(fleet_settings(dispatchers), CLASS_MEANS[1:], 32.0)
    fleet.now += 10 * S
    fleet.tell_all()
    for dispatcher in fleet.dispatchers:
        fleet.offer(dispatcher, Offer((0, 1), slots))
        fleet.offer(dispatcher, Offer((0, 1), 1))
    fleet.check()
    assert any(work >= slots * CLASS_MEANS[2] for _, work in fleet.sends) or slots > 8


@pytest.mark.parametrize("dispatchers", [1, 3, 20, 200])
def test_long_jobs_leave_room_for_chance(dispatchers):
    # guards against a limit on work alone: with random lengths, six long jobs exceed it far more often than
    # many short ones do
    fleet = Fleet(fleet_settings(dispatchers), CLASS_MEANS, 5.0)
    fleet.now += 22 * S - 1
    fleet.tell_all()
    long_jobs = sum(fleet.offer(dispatcher, Offer((0,))) for dispatcher in fleet.dispatchers)
    assert 0 < long_jobs + 2 * math.sqrt(long_jobs) <= 2.5 * 3 * S * 5.0 / CLASS_MEANS[0]


def test_several_jobs_in_one_tick_count_against_one_share():
    fleet = Fleet(fleet_settings(1), CLASS_MEANS[2:], 8.0)
    fleet.now += S
    fleet.tell_all()
    arrivals = [api.JobArrived(i, "c0", None, None, 60 * S) for i in range(500)]
    sent = sum(isinstance(a, api.Send) for a in fleet.dispatchers[0].handle(fleet.now, arrivals))
    assert 0 < sent <= 8


def test_a_trial_job_counts_and_keeps_within_the_share():
    fleet = Fleet(fleet_settings(1), CLASS_MEANS[2:], 5.0)
    fleet.now += S
    fleet.tell_all()
    dispatcher = fleet.dispatchers[0]
    assert fleet.offer(dispatcher, Offer((0,))) > 0
    worker = dispatcher._workers["w"]
    for _ in range(5):
        worker.ejected = worker.on_trial = True
        dispatcher._update_ring(worker)
        fleet.now += 1
        fleet.offer(dispatcher, Offer((0,)))
    fleet.check()


def test_work_sent_before_a_restart_was_listed_counts_after_it():
    # guards against overload when the list is a second late: by then, most of the budget may have been sent
    fleet = Fleet(fleet_settings(1), CLASS_MEANS[2:], 5.0)
    dispatcher = fleet.dispatchers[0]
    restarted, fleet.entry = fleet.entry, replace(fleet.entry, started_at=1)
    fleet.tell(dispatcher, 50 * S)
    fleet.entry = restarted
    fleet.now += S
    before = fleet.offer(dispatcher, Offer((0,)), most=12)
    fleet.tell(dispatcher)
    fleet.offer(dispatcher, Offer((0,)))
    assert before == 12
    fleet.check()


def test_a_worker_that_restarts_while_cold_gets_no_more_within_a_window():
    fleet = Fleet(fleet_settings(3, fall_multiple=6.0), CLASS_MEANS[2:], 5.0)
    fleet.now += S
    fleet.tell_all()
    first = sum(fleet.offer(dispatcher, Offer((0,))) for dispatcher in fleet.dispatchers)
    fleet.entry = replace(fleet.entry, started_at=fleet.now)
    fleet.now += 1
    fleet.tell_all()
    again = sum(fleet.offer(dispatcher, Offer((0,))) for dispatcher in fleet.dispatchers)
    assert first > 0
    assert again <= 1  # ranks depend on the start time, so one dispatcher may get a larger share
    fleet.now += fleet.rules.fall_window
    assert sum(fleet.offer(dispatcher, Offer((0,))) for dispatcher in fleet.dispatchers) > 0


def relisted(*lines: tuple[int, int, WorkerState]) -> Worker:
    """The only worker of a world after these entries: ns after the first, start time, state."""
    world = DispatcherHarness(make_settings(), entries(1))
    begun = world.now
    for after, start, state in lines:
        world.now = begun + after
        world.update_list(ListKind.CHANGES, entries(1, started_at=start, state=state))
    return world.dispatcher._workers["w000"]


def test_an_entry_of_an_earlier_start_does_not_make_a_cold_worker_warm():
    up = WorkerState.UP
    worker = relisted((0, 3, up), (0, 7 * S, up), (S, 0, up), (2 * S, 3, up))
    assert worker.entry.started_at == 7 * S
    assert worker.cold_until == 27 * S


def test_an_earlier_start_that_was_not_listed_before_is_that_of_a_new_process():
    worker = relisted((0, 7 * S, WorkerState.UP), (2 * S, 3, WorkerState.UP))
    assert worker.entry.started_at == 3
    assert worker.cold_until == 29 * S


def test_a_worker_that_was_gone_for_a_while_stays_cold():
    worker = relisted((0, 7 * S, WorkerState.UP), (S, 0, WorkerState.GONE), (2 * S, 7 * S, WorkerState.UP))
    assert worker.cold_until == 27 * S
    assert worker.entry.started_at == 7 * S


def test_a_start_in_the_future_keeps_a_worker_cold_for_no_longer_than_the_cold_time():
    worker = relisted((0, 5000 * S, WorkerState.UP), (5 * S, 5000 * S, WorkerState.UP))
    assert worker.cold_until == 27 * S


@pytest.mark.parametrize("live", [False, True])
def test_the_budget_of_a_slow_worker_goes_by_its_weight_also_right_after_a_list(live):
    # guards against a budget by slots alone: a worker of a quarter of the speed was sent as much as others
    sent = []
    for weight in (1.0, 0.25):
        fast, slow = entries(2)
        slow = replace(slow, kind="old", weight=weight)
        world = DispatcherHarness(make_settings(fall_window=3 * S, live_weights=live), (fast, slow))
        for worker in world.dispatcher._workers.values():
            worker.size = 8.0
        world.dispatcher._workers["w000"].ejected = True  # so that the other one gets all jobs
        world.update_list(ListKind.FULL, (fast, slow))
        world.update_list(ListKind.CHANGES, (replace(slow, started_at=world.now),))
        for _ in range(60):
            world.arrive("safe")
            for job, number in world.in_flight():
                world.end_attempt(job, number, Outcome.CANCELLED)
        sent.append(sum(name == "w001" for _, _, name in world.sends))
    assert 0 < sent[1] <= 0.45 * sent[0]


@pytest.mark.parametrize("live", [False, True])
@pytest.mark.parametrize("weight", [math.nan, math.inf, -math.inf, -1.0, 0.0, 1e300])
def test_an_implausible_weight_neither_raises_nor_keeps_other_cold_workers_idle(weight, live):
    first, second = entries(2, started_at=7 * S)
    world = DispatcherHarness(make_settings(live_weights=live, fall_window=3 * S), ())
    world.update_list(ListKind.FULL, ())  # the workers start later: they may be used at once
    world.update_list(ListKind.FULL, (replace(first, weight=weight, kind="odd"), second))
    for worker in world.dispatcher._workers.values():
        worker.size = 8.0
    for key in range(40):
        world.arrive("safe", key=key)
    assert "w001" in {name for _, _, name in world.sends}


@given(
    st.floats(1e6, 1e12),
    st.lists(st.floats(1e6, 1e11), min_size=1, max_size=5),
    st.sampled_from((1, 2, 3, 20, 30, 200, 1024)),
    st.floats(1, 4),
)
def test_shares_add_up_to_the_budget_at_most_and_none_shrinks_as_it_grows(budget, sizes, dispatchers, growth):
    steps = tuple(sorted({math.ceil(math.log2(size) * slow_start.STEPS_PER_OCTAVE) for size in sizes}))
    shares = []
    for one in (budget, budget * growth):
        split = slow_start._shares(
            math.floor(math.log2(one) * slow_start.STEPS_PER_OCTAVE), steps, dispatchers
        )
        assert slow_start._total_work(split) <= one
        shares.append([next(p for until, p in split if rank < until) for rank in range(dispatchers)])
    for before, after in zip(*shares, strict=True):
        assert after.work >= before.work * (1 - 1e-5)


@pytest.mark.parametrize("dispatchers", [1, 4, 30])
def test_all_dispatchers_together_keep_within_a_cold_workers_budget(dispatchers):
    settings = make_settings(dispatchers=dispatchers)
    total = []
    for me in range(dispatchers):
        world = DispatcherHarness(make_settings(dispatchers=dispatchers, me=me), entries(1), seed=me)
        job = world.arrive("safe")
        world.now += 400 * MS
        world.end_attempt(job, 0, Outcome.OK, free=8.0)  # the size is known before the restart
        start = world.now
        world.update_list(ListKind.CHANGES, entries(1, started_at=start))
        sent_before = len(world.sends)
        for n in range(40):
            world.arrive("safe", key=n)
            for job, number in world.in_flight():
                world.end_attempt(job, number, Outcome.FULL if n % 2 else Outcome.OK, free=8.0)
            world.advance(20 * MS)
        total += [at for at, _, _ in world.sends[sent_before:] if at < start + settings.fall_window]
    work = len(total) * 400 * MS
    growth = settings.fall_window / settings.cold_time
    capacity = settings.start_capacity + (1 - settings.start_capacity) * growth
    assert 0 < work <= settings.fall_multiple * capacity * settings.fall_window * 8


def test_jobs_go_to_cold_workers_of_unknown_size_rather_than_wait():
    # guards against shares of nothing: counted as one slot, a cold worker's budget was too small for forty
    cold = entries(60, started_at=7 * S)  # after the dispatchers, which would wait for a window otherwise
    sent = set()
    for me in range(40):
        world = DispatcherHarness(
            make_settings(me=me, dispatchers=40, tells_start=True, fall_window=3 * S), ()
        )
        world.dispatcher._typical = (5.0, 0.0)
        world.dispatcher._update_typical = lambda: None
        world.update_list(api.ListKind.FULL, ())
        world.update_list(api.ListKind.FULL, cold)
        for _ in range(6):
            world.arrive("safe")
        sent |= {worker for _, _, worker in world.sends}
    assert len(sent) > 30


HOUR = 3_600 * S


@pytest.mark.parametrize("ahead", [0, HOUR, -HOUR, 60 * S])
@pytest.mark.parametrize("listed", ["in the first list", "in changes"])
def test_a_stepped_wall_clock_makes_no_cold_worker_warm(ahead: int, listed: str) -> None:
    """Guards against cold workers overloaded by a process that started after its clock was set (bcef66)."""
    rules = make_settings(cold_time=22 * S)
    decisions = Dispatcher(rules, 1)
    true = 10 * HOUR
    old = api.WorkerEntry("w1", started_at=true - 2 * HOUR)
    fresh = api.WorkerEntry("w2", started_at=true - 2 * S)
    first = (old, fresh) if listed == "in the first list" else (old,)
    decisions.handle(true + ahead, [api.WorkerList(api.ListKind.FULL, first, 1)])
    if listed == "in changes":
        decisions.handle(true + ahead, [api.WorkerList(api.ListKind.CHANGES, (fresh,), 2)])
    now = true + ahead
    assert decisions._workers["w2"].cold_until >= now + 15 * S
    if ahead >= 0:
        assert decisions._workers["w1"].cold_until <= now


@pytest.mark.parametrize("kind", [api.ListKind.FULL, api.ListKind.CHANGES])
def test_a_worker_becomes_warm_whatever_lists_come_meanwhile(kind: api.ListKind) -> None:
    rules = make_settings(cold_time=22 * S)
    decisions = Dispatcher(rules, 1)
    now = 10 * HOUR
    entry = api.WorkerEntry("w1", started_at=now - 60 * S)
    decisions.handle(now, [api.WorkerList(api.ListKind.LAST_KNOWN, (entry,), 1)])
    for second in range(40):
        lines = (replace(entry, weight=1 + second / 100),)
        decisions.handle(now + second * S, [api.WorkerList(kind, lines, 2 + second)])
    assert decisions._workers["w1"].cold_until <= now + 22 * S
    assert decisions._workers["w1"].started_at <= now  # its budget grows with its age
